"""Crashing requests, large bodies and callers that misbehave."""

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
    """Return the most memory that a VM's process has held."""
    assert vm.node is not None
    status = pathlib.Path(f"/proc/{vm.node.pid}/status").read_text()
    line = next(one for one in status.splitlines() if "VmHWM" in one)
    return int(line.split()[1]) * 1024


def test_crashing_request_takes_down_two_servers_at_most(
    fleet: processes.Fleet,
) -> None:
    vms = fleet.three()
    path = f"/lots/{fleet.owned_by(vms[0])}?crash"
    reasons = []
    for _ in range(12):
        answer = fleet.http.request(
            "GET",
            vms[1].callers + path,
            headers={streaming_app.DEADLINE_MS: "4000"},
        )
        reasons.append(answer.headers[streaming_app.REASON])
        if reasons[-1] == "suspect":
            break
    assert reasons[-1] == "suspect"
    dead = [vm for vm in vms if vm.backend and vm.backend.poll() is not None]
    assert len(dead) == 2


def test_download_of_200_mb_is_whole_and_held_nowhere(
    fleet: processes.Fleet,
) -> None:
    vms = fleet.three()
    path = f"/lots/{fleet.owned_by(vms[0])}?bytes={DOWNLOAD_BYTES}"
    for vm in vms[:2]:
        answer = fleet.http.request(
            "GET", vm.callers + path, preload_content=False
        )
        digest, size = hashlib.sha256(), 0
        for piece in answer.stream(MEGABYTE):
            digest.update(piece)
            size += len(piece)
        assert size == DOWNLOAD_BYTES
        pattern = hashlib.sha256()
        for _ in range(DOWNLOAD_BYTES // (64 * 1024)):
            pattern.update(bytes(range(256)) * 256)
        assert digest.digest() == pattern.digest()
    for vm in vms:
        assert _peak_bytes(vm) < 100 * MEGABYTE


def test_caller_that_hangs_up_frees_what_it_held(
    fleet: processes.Fleet,
) -> None:
    vms = fleet.three()
    path = f"/lots/{fleet.owned_by(vms[0])}?bytes={DOWNLOAD_BYTES}"
    for vm in vms[:2]:
        answer = fleet.http.request(
            "GET", vm.callers + path, preload_content=False
        )
        answer.read(MEGABYTE)
        answer.close()
    for vm in vms:
        fleet.until(
            "nothing is in flight",
            lambda vm=vm: fleet.status(vm)["in_flight"] == 0,  # type: ignore[misc]
        )


def test_malformed_input_gets_a_clear_answer(fleet: processes.Fleet) -> None:
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
    host, _, port = vm.callers.removeprefix("http://").rpartition(":")
    for text, status in cases.items():
        with socket.create_connection((host, int(port)), 10) as connection:
            connection.sendall(text)
            answer = connection.recv(4096)
        assert answer.split()[1] == str(status).encode(), text[:60]


def test_control_is_out_of_reach_for_callers(fleet: processes.Fleet) -> None:
    vm = fleet.add("n1", "lots")
    url = f"{vm.callers}/bronzepaddle/status"
    answer = urllib3.request("GET", url, retries=False)
    assert answer.status == 404


def test_service_divided_by_idempotency_key_runs_a_repeat_once(
    fleet: processes.Fleet,
) -> None:
    vms = [fleet.add(name, "enrolments") for name in ("n1", "n2")]
    key = callers.uuid7()
    headers = {
        streaming_app.IDEMPOTENCY_KEY: key,
        streaming_app.FIRST_ATTEMPT: "yes",
    }

    def enrolled(vm: processes.Vm) -> bool:
        url = f"{vm.callers}/enrolments"
        return fleet.http.request("POST", url, headers=headers).status == 200

    for vm in vms * 2:
        fleet.until("the enrolment is answered", lambda vm=vm: enrolled(vm))  # type: ignore[misc]
    assert sum(len(fleet.ran(vm)) for vm in vms) == 1
