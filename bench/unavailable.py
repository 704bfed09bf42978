"""Time for which a key is unavailable: loss, freeze, zone loss, planned move.

Real processes on this machine, behind the proxies of the tests.  Each kind
is run several times; ``bench/results/unavailable.json`` keeps medians and
the worst.  A key counts as served when an answer 200 comes from another than
the lost server; for a planned move, the longest pause between two answers.
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
MEMBERS: typing.Final = 6

Run: typing.TypeAlias = collections.abc.Callable[
    [processes.Fleet, list[processes.Vm]], float
]


def until_another_serves(
    fleet: processes.Fleet, asked: processes.Vm, key: str, lost: set[str]
) -> float:
    """Return the seconds until another server answers for a key."""
    began = time.monotonic()
    while True:
        headers = {streaming_app.DEADLINE_MS: "150"}
        answer = fleet.get(asked, f"/lots/{key}", **headers)
        by = answer.headers.get(streaming_app.SERVED_BY)
        if answer.status == 200 and by not in lost:
            return time.monotonic() - began
        if time.monotonic() - began > processes.WAIT_TIMEOUT_S:
            raise TimeoutError(key)
        time.sleep(POLL_S)


def revive(fleet: processes.Fleet, vm: processes.Vm) -> None:
    """Start a lost VM again, at its address."""
    fleet.start_node(vm)
    fleet.start_backend(vm)


def loss(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Lose one VM."""
    key = fleet.key_owned_by(vms[0])
    fleet.lose(vms[0])
    took = until_another_serves(fleet, vms[1], key, {vms[0].name})
    revive(fleet, vms[0])
    return took


def freeze(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Freeze one process, then let it go on."""
    key = fleet.key_owned_by(vms[0])
    assert vms[0].node is not None
    vms[0].node.send_signal(signal.SIGSTOP)
    took = until_another_serves(fleet, vms[1], key, {vms[0].name})
    vms[0].node.send_signal(signal.SIGCONT)
    return took


def zone(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Lose both VMs of a zone; the later key counts."""
    lost = vms[:2]
    keys = [fleet.key_owned_by(vm) for vm in lost]
    names = {vm.name for vm in lost}
    began = time.monotonic()
    for vm in lost:
        fleet.lose(vm)
    for key in keys:
        until_another_serves(fleet, vms[2], key, names)
    took = time.monotonic() - began
    for vm in lost:
        revive(fleet, vm)
    return took


def planned(fleet: processes.Fleet, vms: list[processes.Vm]) -> float:
    """Drain one process; the longest pause between two answers counts."""
    key = fleet.key_owned_by(vms[0])
    ended = threading.Event()
    answered: list[float] = []

    def ask() -> None:
        http = urllib3.PoolManager(retries=False)
        url = f"{vms[1].callers}/lots/{key}"
        while not ended.is_set():
            if http.request("GET", url).status == 200:
                answered.append(time.monotonic())

    asking = threading.Thread(target=ask)
    asking.start()
    time.sleep(1.0)
    url = f"{vms[0].control}/bronzepaddle"
    fleet.http.request("POST", f"{url}/drain")
    time.sleep(2.0)
    ended.set()
    asking.join()
    fleet.http.request("POST", f"{url}/undrain")
    return max(
        later - earlier for earlier, later in itertools.pairwise(answered)
    )


KINDS: typing.Final[dict[str, Run]] = {
    "planned": planned,
    "freeze": freeze,
    "loss": loss,
    "zone": zone,
}


@click.command()
@click.option("--runs", default=20)
@click.option("--kind", default="", help="Only this kind.")
def main(runs: int, kind: str) -> None:
    """Measure each kind and write the results."""
    results = {}
    for name, run in KINDS.items():
        if kind and name != kind:
            continue
        took = list(_runs(run, runs))
        results[name] = {
            "runs": len(took),
            "median_s": round(statistics.median(took), 3),
            "least_s": round(min(took), 3),
            "worst_s": round(max(took), 3),
        }
        click.echo(f"{name}: {results[name]}")
    if not kind:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


def _runs(run: Run, runs: int) -> collections.abc.Iterator[float]:
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
                yield run(fleet, vms[first:] + vms[:first])
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
