"""Tests of lost, frozen, disconnected and stopped processes.

The processes are reached through proxies that simulate network faults.  The
tests check that keys are served again; bench/ measures how long it takes.
"""

import concurrent.futures
import signal
import threading
import time
import uuid

import pytest
from bronzepaddle_callers import streaming_app
from bronzepaddle_standins import callers, proxy

from integration import processes


def _serves(fleet: processes.Fleet, vm: processes.Vm, key: str) -> bool:
    """Return whether a request for a key at a process succeeds soon."""
    headers = {streaming_app.DEADLINE_MS_HEADER: "300"}
    return fleet.get(vm, f"/lots/{key}", **headers).status == 200


def _wait_until_another_serves(
    fleet: processes.Fleet, entry: processes.Vm, key: str, previous: str
) -> None:
    """Wait until a member other than the previous owner serves a key.

    The requests are sent to the process of the VM ``entry``.
    """

    def served() -> bool:
        headers = {streaming_app.DEADLINE_MS_HEADER: "300"}
        response = fleet.get(entry, f"/lots/{key}", **headers)
        return (
            response.status == 200
            and response.headers[streaming_app.SERVED_BY_HEADER] != previous
        )

    fleet.wait_until(f"a member other than {previous} serves {key}", served)


def test_keys_of_a_lost_vm_are_served_again(fleet: processes.Fleet) -> None:
    """The keys of a killed VM get a new owner.

    Guards against keys that stay unserved when their owner and its backend
    server end at once, without handing the keys over.
    """
    lost, entry, _ = fleet.start_three_vms()
    key = fleet.key_owned_by(lost)
    fleet.lose(lost)
    _wait_until_another_serves(fleet, entry, key, lost.name)


def test_frozen_owner_runs_nothing_after_its_return(
    fleet: processes.Fleet,
) -> None:
    """An owner that was frozen does not act on its expired lease.

    It is stopped until another member owns its key, then continued and sent
    requests for the key.  Guards against an owner that still believes in the
    lease it held before.
    """
    frozen, entry, _ = fleet.start_three_vms()
    key = fleet.key_owned_by(frozen)
    assert frozen.node is not None
    frozen.node.send_signal(signal.SIGSTOP)
    _wait_until_another_serves(fleet, entry, key, frozen.name)
    frozen.node.send_signal(signal.SIGCONT)
    for _ in range(20):
        fleet.get(frozen, f"/lots/{key}")
    # The frozen member may get the key back, but only by a newer grant, so
    # the tokens must never decrease in the order of execution.
    tokens = fleet.executed_tokens(key)
    assert len(set(tokens)) >= 2
    assert tokens == sorted(tokens)


def test_owner_cut_off_stops_and_another_serves(
    fleet: processes.Fleet,
) -> None:
    """An owner that no peer can reach loses its lease and its keys.

    Its proxy drops all traffic from peers.  Guards against an owner that
    serves on while another member has taken its keys over.
    """
    isolated, entry, _ = fleet.start_three_vms()
    key = fleet.key_owned_by(isolated)
    isolated.peer_proxy.set_faults(proxy.Faults(blackhole=True))
    _wait_until_another_serves(fleet, entry, key, isolated.name)
    assert fleet.status(isolated)["lease_left_s"] == 0
    isolated.peer_proxy.set_faults(proxy.Faults())
    fleet.wait_until_balanced()


def test_outage_of_the_store_takes_no_key_away(
    fleet: processes.Fleet,
) -> None:
    """Owners serve on while the store, which records the owners, is down.

    Leases are renewed by peers, without the store.  Only the takeover of a
    lost member's keys has to wait until the store is back.  Guards against
    owners that stop because they can't reach the store.
    """
    vms = fleet.start_three_vms()
    keys = {vm.name: fleet.key_owned_by(vm) for vm in vms}
    fleet.set_platform_faults(down=True)
    end = time.monotonic() + 6.0
    while time.monotonic() < end:
        for key in keys.values():
            assert _serves(fleet, vms[0], key)
    # The keys of a lost member stay unserved until the store is back.
    fleet.lose(vms[2])
    time.sleep(4.0)
    assert not _serves(fleet, vms[0], keys[vms[2].name])
    fleet.set_platform_faults()
    _wait_until_another_serves(fleet, vms[0], keys[vms[2].name], vms[2].name)


@pytest.mark.parametrize("token_flag", ["--checks-tokens", "--trusts"])
def test_planned_stop_cuts_off_no_request(
    fleet: processes.Fleet, token_flag: str
) -> None:
    """No request fails while a process stops on SIGTERM.

    Requests for keys of all members run meanwhile, on backend servers that
    check fencing tokens and on those that do not.  Guards against requests
    that are cut off or rejected while keys move to their new owners.
    """
    stopped, entry, _ = fleet.start_three_vms(token_flag)
    done = threading.Event()

    def send(number: int) -> list[int]:
        statuses = []
        while not done.is_set():
            url = f"{entry.callers_url}/lots/k{number}?sleep-ms=150"
            response = fleet.http.request(
                "POST",
                url,
                headers={
                    streaming_app.IDEMPOTENCY_KEY_HEADER: callers.uuid7()
                },
            )
            statuses.append(response.status)
        return statuses

    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        futures = [threads.submit(send, number) for number in range(8)]
        time.sleep(1.0)
        assert stopped.node is not None
        stopped.node.send_signal(signal.SIGTERM)
        assert stopped.node.wait(timeout=processes.WAIT_TIMEOUT_S) == 0
        time.sleep(0.5)
        done.set()
        statuses = [status for future in futures for status in future.result()]
    assert set(statuses) == {200}


def test_nothing_runs_twice_through_losses(fleet: processes.Fleet) -> None:
    """No request runs twice while a process is killed.

    Callers send each request up to three times, at two processes, until the
    response says that it ran (the verdict ``ran``).  Guards against a second
    execution by a new owner that does not know the first one, and against
    wrong verdicts.
    """
    lost, entry, second_entry = fleet.start_three_vms()
    done = threading.Event()

    def send(number: int) -> dict[str, list[str]]:
        """Send new keys, each up to three times; return the verdicts."""
        verdicts: dict[str, list[str]] = {}
        while not done.is_set():
            key = callers.uuid7()
            key_verdicts = verdicts.setdefault(key, [])
            for vm in (entry, second_entry, entry):
                response = fleet.http.request(
                    "POST",
                    f"{vm.callers_url}/lots/k{number}?id={key}",
                    headers={
                        streaming_app.IDEMPOTENCY_KEY_HEADER: key,
                        streaming_app.DEADLINE_MS_HEADER: "1500",
                    },
                )
                key_verdicts.append(
                    response.headers[streaming_app.VERDICT_HEADER]
                )
                if key_verdicts[-1] == "ran":
                    break
        return verdicts

    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        futures = [threads.submit(send, number) for number in range(8)]
        time.sleep(1.0)
        assert lost.node is not None
        lost.node.send_signal(signal.SIGKILL)
        time.sleep(6.0)
        done.set()
        verdicts = {
            key: key_verdicts
            for future in futures
            for key, key_verdicts in future.result().items()
        }
    runs: dict[str, int] = {}
    for vm in fleet.vms.values():
        for request in fleet.executed_requests(vm):
            _, _, key = request["target"].partition("?id=")
            if key:
                runs[key] = runs.get(key, 0) + 1
    assert max(runs.values()) == 1
    for key, key_verdicts in verdicts.items():
        if set(key_verdicts) == {"not-run"}:
            assert key not in runs
        if "ran" in key_verdicts:
            assert runs[key] == 1
    assert len({uuid.UUID(key).version for key in runs}) == 1
