"""Measures for how long a key is unavailable when its owner changes.

Separate processes run on this machine, with the proxies of the integration
tests.  For a lost VM, a frozen process and a lost availability zone, this is
the time until a member that was not lost responds with status 200; for a
planned move, the longest time between two successful responses.  Each kind
of change is repeated; prints the figures and writes them to
``bench/results/unavailable.json``.
"""

import collections.abc
import itertools
import json
import pathlib
import signal
import statistics
import sys
import tempfile
import threading
import time
import typing

import click
import urllib3

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from bronzepaddle_callers import streaming_app  # noqa: E402
from integration import processes  # noqa: E402

RESULTS: typing.Final = ROOT / "bench" / "results" / "unavailable.json"
POLL_S: typing.Final = 0.01
SETTLE_S: typing.Final = 2.0
"""Wait before each measurement, once the slots are evenly assigned."""

MEMBERS: typing.Final = 6

Measurement: typing.TypeAlias = collections.abc.Callable[
    [processes.Fleet, list[processes.Vm]], float
]
"""Changes the owner of a key of the first VM; returns the unavailable time.

The time is in seconds.
"""


def wait_until_another_serves(
    fleet: processes.Fleet, entry: processes.Vm, key: str, lost: set[str]
) -> float:
    """Return the seconds until a member not in ``lost`` serves a key.

    The requests are sent to the VM ``entry``.  Raises ``TimeoutError``.
    """
    started = time.monotonic()
    while True:
        headers = {streaming_app.DEADLINE_MS_HEADER: "150"}
        response = fleet.get(entry, f"/lots/{key}", **headers)
        server = response.headers.get(streaming_app.SERVED_BY_HEADER)
        if response.status == 200 and server not in lost:
            return time.monotonic() - started
        if time.monotonic() - started > processes.WAIT_TIMEOUT_S:
            raise TimeoutError(key)
        time.sleep(POLL_S)


def restart(fleet: processes.Fleet, vm: processes.Vm) -> None:
    """Start a lost VM again; peers reach it at the same address."""
    fleet.start_node(vm)
    fleet.start_backend(vm)


def lose_vm(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Kill one VM; measure until another member serves its key."""
    key = fleet.key_owned_by(vms[0])
    fleet.lose(vms[0])
    took_s = wait_until_another_serves(fleet, vms[1], key, {vms[0].name})
    restart(fleet, vms[0])
    return took_s


def freeze_process(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Freeze one process; measure until another member serves its key."""
    key = fleet.key_owned_by(vms[0])
    assert vms[0].node is not None
    vms[0].node.send_signal(signal.SIGSTOP)
    took_s = wait_until_another_serves(fleet, vms[1], key, {vms[0].name})
    vms[0].node.send_signal(signal.SIGCONT)
    return took_s


def lose_zone(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Kill both VMs of a zone; measure until a key of each is served."""
    lost = vms[:2]
    keys = [fleet.key_owned_by(vm) for vm in lost]
    names = {vm.name for vm in lost}
    started = time.monotonic()
    for vm in lost:
        fleet.lose(vm)
    for key in keys:
        wait_until_another_serves(fleet, vms[2], key, names)
    took_s = time.monotonic() - started
    for vm in lost:
        restart(fleet, vm)
    return took_s


def drain_process(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Drain one process; measure the longest time between two successes."""
    key = fleet.key_owned_by(vms[0])
    done = threading.Event()
    responded_at: list[float] = []

    def send_requests() -> None:
        http = urllib3.PoolManager(retries=False)
        url = f"{vms[1].callers_url}/lots/{key}"
        while not done.is_set():
            if http.request("GET", url).status == 200:
                responded_at.append(time.monotonic())

    sender = threading.Thread(target=send_requests)
    sender.start()
    time.sleep(1.0)
    url = f"{vms[0].control_url}/bronzepaddle"
    fleet.http.request("POST", f"{url}/drain")
    time.sleep(2.0)
    done.set()
    sender.join()
    fleet.http.request("POST", f"{url}/undrain")
    return max(
        later - earlier for earlier, later in itertools.pairwise(responded_at)
    )


KINDS: typing.Final[dict[str, Measurement]] = {
    "planned": drain_process,
    "freeze": freeze_process,
    "loss": lose_vm,
    "zone": lose_zone,
}


@click.command()
@click.option("--runs", default=20)
@click.option("--kind", default="", help="Only this kind.")
def main(runs: int, kind: str) -> None:
    """Measure each kind of change and write the results."""
    results = {}
    for name, measure in KINDS.items():
        if kind and name != kind:
            continue
        seconds = list(_measure_repeatedly(measure, runs))
        results[name] = {
            "runs": len(seconds),
            "median_s": round(statistics.median(seconds), 3),
            "least_s": round(min(seconds), 3),
            "worst_s": round(max(seconds), 3),
        }
        click.echo(f"{name}: {results[name]}")
    if not kind:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


def _measure_repeatedly(
    measure: Measurement, runs: int
) -> collections.abc.Iterator[float]:
    """Yield the results of several measurements on one fleet.

    The measurements change the VMs of each zone in turn: the list that they
    get begins with the VMs of another zone each time.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(pathlib.Path(folder))
        try:
            for number in range(MEMBERS):
                fleet.add(f"n{number}", "lots", zone="abc"[number // 2])
            for number in range(runs):
                fleet.wait_until_balanced()
                time.sleep(SETTLE_S)
                vms = list(fleet.vms.values())
                first = 2 * (number % 3)
                yield measure(fleet, vms[first:] + vms[:first])
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
