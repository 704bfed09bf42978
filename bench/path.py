"""Cost of the path: latency and CPU of a request, direct, local, forwarded.

Real processes on this machine; a closed loop of callers at each level of
concurrency.  ``bench/path.py`` prints medians over the rounds and writes
them to ``bench/results/path.json``.  CPU is that of the processes on the
path, by /proc, per request.
"""

import concurrent.futures
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing

import click
import urllib3

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from integration import processes  # noqa: E402

RESULTS: typing.Final = ROOT / "bench" / "results" / "path.json"
TICKS_PER_S: typing.Final = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def load(
    url: str, callers: int, requests: int, http: urllib3.PoolManager
) -> list[float]:
    """Send requests and return the latency of each in seconds."""

    def one(_: int) -> float:
        began = time.perf_counter()
        status = http.request("GET", url).status
        if status != 200:
            raise ValueError(f"{url}: {status}")
        return time.perf_counter() - began

    with concurrent.futures.ThreadPoolExecutor(callers) as threads:
        return list(threads.map(one, range(requests)))


def measure(
    url: str, pids: dict[str, int], callers: int, requests: int
) -> dict[str, float]:
    """Return median, p99 and CPU by process, in milliseconds a request."""
    http = urllib3.PoolManager(maxsize=callers, retries=False)
    load(url, callers, callers * 2, http)
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    began = time.perf_counter()
    latencies = sorted(load(url, callers, requests, http))
    took = time.perf_counter() - began
    found = {
        "p50_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
        "per_s": requests / took,
    }
    for name, pid in pids.items():
        used = cpu_s(pid) - before[name]
        found[f"cpu_{name}_ms"] = used * 1000 / requests
    return found


@click.command()
@click.option("--rounds", default=5)
@click.option("--requests", default=400)
def main(rounds: int, requests: int) -> None:
    """Measure each way at each level of concurrency."""
    results: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(pathlib.Path(folder))
        try:
            owner, entry, _ = fleet.start_three_vms()
            key = fleet.key_owned_by(owner)
            assert owner.node and entry.node
            ways = {
                "direct": (f"{owner.backend_url}/lots/{key}", {}),
                "local": (
                    f"{owner.callers}/lots/{key}",
                    {"owner": owner.node.pid},
                ),
                "forwarded": (
                    f"{entry.callers}/lots/{key}",
                    {"owner": owner.node.pid, "entry": entry.node.pid},
                ),
            }
            for callers in (1, 16, 64):
                for name, figures in _rounds(
                    ways, callers, rounds, requests
                ).items():
                    results[f"{name}-{callers}"] = figures
                    click.echo(f"{name}-{callers}: {_shown(figures)}")
        finally:
            fleet.stop()
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


def _rounds(
    ways: dict[str, tuple[str, dict[str, int]]],
    callers: int,
    rounds: int,
    requests: int,
) -> dict[str, dict[str, float]]:
    """Measure the ways in turn, so that drift hits them alike."""
    found: dict[str, list[dict[str, float]]] = {name: [] for name in ways}
    for _ in range(rounds):
        for name, (url, pids) in ways.items():
            found[name].append(measure(url, pids, callers, requests))
    return {
        name: {
            key: round(statistics.median(one[key] for one in figures), 4)
            for key in figures[0]
        }
        for name, figures in found.items()
    }


def _shown(figures: dict[str, float]) -> str:
    return "  ".join(f"{key} {value:.2f}" for key, value in figures.items())


if __name__ == "__main__":
    main()
