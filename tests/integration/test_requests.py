"""Tests of crashing requests, large bodies and misbehaving callers.

Most tests use the example service ``lots`` from the configuration
``processes.BUNDLE``; its routing key is in the path.
"""

import hashlib
import pathlib
import socket

import urllib3
from bronzepaddle_callers import streaming_app
from bronzepaddle_standins import callers

from integration import processes

MEGABYTE = 1 << 20
DOWNLOAD_BYTES = 200 * MEGABYTE


def _peak_bytes(vm: processes.Vm) -> int:
    """Return the peak resident memory of a VM's router process."""
    assert vm.node is not None
    status = pathlib.Path(f"/proc/{vm.node.pid}/status").read_text()
    line = next(text for text in status.splitlines() if "VmHWM" in text)
    return int(line.split()[1]) * 1024


def test_crashing_request_takes_down_two_servers_at_most(
    fleet: processes.Fleet,
) -> None:
    """A request that crashes its server is refused after two crashes.

    The reason for the refusal is ``suspect``: the request is suspected of
    crashing servers.  The caller repeats it after each failure.  Guards
    against retries that crash one backend server after the other.
    """
    vms = fleet.start_three_vms()
    path = f"/lots/{fleet.key_owned_by(vms[0])}?crash"
    reasons = []
    for _ in range(12):
        response = fleet.http.request(
            "GET",
            vms[1].callers_url + path,
            headers={streaming_app.DEADLINE_MS_HEADER: "4000"},
        )
        reasons.append(response.headers[streaming_app.REASON_HEADER])
        if reasons[-1] == "suspect":
            break
    assert reasons[-1] == "suspect"
    crashed = [
        vm for vm in vms if vm.backend and vm.backend.poll() is not None
    ]
    assert len(crashed) == 2


def test_download_of_200_mb_is_whole_and_held_nowhere(
    fleet: processes.Fleet,
) -> None:
    """A large body is relayed whole, without being held in memory.

    The first request enters at the owner, the second is forwarded to it.
    Guards against a process that collects a body before it sends it on.
    """
    vms = fleet.start_three_vms()
    path = f"/lots/{fleet.key_owned_by(vms[0])}?bytes={DOWNLOAD_BYTES}"
    for vm in vms[:2]:
        response = fleet.http.request(
            "GET", vm.callers_url + path, preload_content=False
        )
        digest, received_bytes = hashlib.sha256(), 0
        for piece in response.stream(MEGABYTE):
            digest.update(piece)
            received_bytes += len(piece)
        assert received_bytes == DOWNLOAD_BYTES
        expected = hashlib.sha256()
        for _ in range(DOWNLOAD_BYTES // (64 * 1024)):
            expected.update(bytes(range(256)) * 256)
        assert digest.digest() == expected.digest()
    for vm in vms:
        assert _peak_bytes(vm) < 100 * MEGABYTE


def test_disconnected_caller_leaves_nothing_in_flight(
    fleet: processes.Fleet,
) -> None:
    """A caller that closes its connection early leaves nothing in flight.

    The caller reads a part of a large body, from the owner and from a process
    that forwards.  Guards against requests that are held until a timeout
    because nobody notices that their caller is gone.
    """
    vms = fleet.start_three_vms()
    path = f"/lots/{fleet.key_owned_by(vms[0])}?bytes={DOWNLOAD_BYTES}"
    for vm in vms[:2]:
        response = fleet.http.request(
            "GET", vm.callers_url + path, preload_content=False
        )
        response.read(MEGABYTE)
        response.close()
    for vm in vms:
        fleet.wait_until(
            "nothing is in flight",
            lambda vm=vm: fleet.status(vm)["in_flight"] == 0,  # type: ignore[misc]
        )


def test_malformed_input_gets_a_clear_answer(fleet: processes.Fleet) -> None:
    """Malformed requests get 400 or 413, not a closed connection or 500.

    Covers a bad length, a bad request line, an oversized header, bad values
    of the router's own headers, and a path without the key.
    """
    vm = fleet.add("n1", "lots")
    cases = {
        b"GET /lots/a HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n": 400,
        b"nonsense\r\n\r\n": 400,
        b"GET /lots/a HTTP/1.1\r\nHost: x\r\nA: "
        + b"a" * 70_000
        + b"\r\n\r\n": 413,
        b"GET /lots/a HTTP/1.1\r\nHost: x\r\n"
        b"Bronzepaddle-Deadline-Ms: soon\r\n\r\n": 400,
        b"GET /lots/a HTTP/1.1\r\nHost: x\r\n"
        b"Bronzepaddle-Priority: none\r\n\r\n": 400,
        b"GET /lots HTTP/1.1\r\nHost: x\r\n\r\n": 400,
    }
    host, _, port = vm.callers_url.removeprefix("http://").rpartition(":")
    for text, status in cases.items():
        with socket.create_connection((host, int(port)), 10) as connection:
            connection.sendall(text)
            response = connection.recv(4096)
        assert response.split()[1] == str(status).encode(), text[:60]


def test_control_is_out_of_reach_for_callers(fleet: processes.Fleet) -> None:
    """The paths of the control port do not exist on the callers' port.

    The control port is for operators and the backend server.
    """
    vm = fleet.add("n1", "lots")
    url = f"{vm.callers_url}/bronzepaddle/status"
    response = urllib3.request("GET", url, retries=False)
    assert response.status == 404


def test_service_keyed_by_idempotency_key_runs_a_repeat_once(
    fleet: processes.Fleet,
) -> None:
    """A repeated request runs once, at whichever process it enters.

    The key of this service is the idempotency key, so that the repetition
    reaches the owner that knows the first result.  Guards against a second
    execution by the other VM's backend server.

    Every request claims to be the first attempt, so that none is rejected
    because its key is older than the owner's record of results.  That record
    alone prevents a second execution.
    """
    vms = [fleet.add(name, "enrolments") for name in ("n1", "n2")]
    key = callers.uuid7()
    headers = {
        streaming_app.IDEMPOTENCY_KEY_HEADER: key,
        streaming_app.FIRST_ATTEMPT_HEADER: "yes",
    }

    def enrolled(vm: processes.Vm) -> bool:
        url = f"{vm.callers_url}/enrolments"
        return fleet.http.request("POST", url, headers=headers).status == 200

    for vm in vms * 2:
        fleet.wait_until("the enrolment succeeds", lambda vm=vm: enrolled(vm))  # type: ignore[misc]
    assert sum(len(fleet.executed_requests(vm)) for vm in vms) == 1
