"""The whole path on real processes: any entry, the owner, and back."""

import concurrent.futures
import hashlib

import urllib3
from bronzepaddle_callers import streaming_app

from integration import processes

DISTINCT = 1000
THREADS = 32


def test_every_entry_reaches_the_one_owner(fleet: processes.Fleet) -> None:
    vms = fleet.three()
    for number in range(20):
        key = f"lot-{number}"
        assert len({fleet.owner(vm, key) for vm in vms}) == 1


def test_each_answer_belongs_to_its_request(fleet: processes.Fleet) -> None:
    vms = fleet.three()

    def ask(number: int) -> bool:
        body = hashlib.sha256(str(number).encode()).digest() * 40
        url = vms[number % 3].callers + f"/lots/{number % 50}?n={number}"
        answer = fleet.http.request("POST", url, body=body)
        return answer.status == 200 and answer.data == body

    with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
        right = list(threads.map(ask, range(DISTINCT)))
    assert right.count(True) == DISTINCT


def test_caller_sees_that_an_answer_is_cut_off(
    fleet: processes.Fleet,
) -> None:
    vms = fleet.three()
    for vm in vms:
        body = b"x" * 100_000
        url = vm.callers + "/lots/a?cut=70000"
        answer = fleet.http.request(
            "POST", url, body=body, preload_content=False
        )
        try:
            got = answer.read()
        except urllib3.exceptions.HTTPError:
            continue
        raise AssertionError(f"{len(got)} bytes passed off as whole")


def test_unknown_name_is_a_clear_problem(fleet: processes.Fleet) -> None:
    vm = fleet.add("n1", "lots")
    answer = fleet.get(vm, "/nowhere")
    assert answer.status == 404
    assert answer.headers[streaming_app.VERDICT] == "not-run"
    assert answer.json()["type"].endswith("unknown-name")
