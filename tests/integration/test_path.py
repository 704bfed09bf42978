"""Tests of requests that enter at any process and run at the owner."""

import concurrent.futures
import hashlib

import urllib3
from bronzepaddle_callers import streaming_app

from integration import processes

REQUESTS = 1000
THREADS = 32


def test_all_processes_forward_a_key_to_one_owner(
    fleet: processes.Fleet,
) -> None:
    """A key is served by the same member at whichever process it enters.

    Guards against processes that disagree on the owner of a key.
    """
    vms = fleet.start_three_vms()
    for number in range(20):
        key = f"lot-{number}"
        assert len({fleet.owner(vm, key) for vm in vms}) == 1


def test_each_answer_belongs_to_its_request(fleet: processes.Fleet) -> None:
    """Concurrent requests get the responses to their own bodies.

    Guards against responses that are swapped where many requests share the
    streams between processes or the connections to a backend server.
    """
    vms = fleet.start_three_vms()

    def responds_with_own_body(number: int) -> bool:
        body = hashlib.sha256(str(number).encode()).digest() * 40
        url = vms[number % 3].callers_url + f"/lots/{number % 50}?n={number}"
        response = fleet.http.request("POST", url, body=body)
        return response.status == 200 and response.data == body

    with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
        correct = list(threads.map(responds_with_own_body, range(REQUESTS)))
    assert correct.count(True) == REQUESTS


def test_caller_sees_that_an_answer_is_cut_off(
    fleet: processes.Fleet,
) -> None:
    """A response that the backend server cuts short is not completed.

    The backend server closes the connection within the body.  Guards against
    a process that then ends the body properly, so that the caller takes it
    for the whole.
    """
    vms = fleet.start_three_vms()
    for vm in vms:
        body = b"x" * 100_000
        url = vm.callers_url + "/lots/a?cut=70000"
        response = fleet.http.request(
            "POST", url, body=body, preload_content=False
        )
        try:
            received = response.read()
        except urllib3.exceptions.HTTPError:
            continue
        raise AssertionError(
            f"{len(received)} bytes received as a complete body"
        )


def test_unknown_name_is_a_clear_problem(fleet: processes.Fleet) -> None:
    """A path of no service gets 404 with the verdict and a problem type."""
    vm = fleet.add("n1", "lots")
    response = fleet.get(vm, "/nowhere")
    assert response.status == 404
    assert response.headers[streaming_app.VERDICT_HEADER] == "not-run"
    assert response.json()["type"].endswith("unknown-name")
