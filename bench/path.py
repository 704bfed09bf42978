"""Measures latency and CPU time of requests: direct, local and forwarded.

``direct`` requests go straight to the backend server, ``local`` ones to the
process of the key's owner, ``forwarded`` ones to another process, the entry,
which forwards them to the owner.  Separate processes run on this machine.  At
each level of concurrency, that many callers send one request after the other.
Prints medians over the rounds and writes them to ``bench/results/path.json``.
CPU time is that of the router processes on the path, read from /proc, per
request.
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
    user_ticks, system_ticks = fields.split()[11:13]
    return (int(user_ticks) + int(system_ticks)) / TICKS_PER_S


def send_requests(
    url: str, callers: int, requests: int, http: urllib3.PoolManager
) -> list[float]:
    """Send requests from concurrent callers; return latencies in seconds.

    Raises ``ValueError`` if a response is not 200.
    """

    def send_one(_: int) -> float:
        started = time.perf_counter()
        status = http.request("GET", url).status
        if status != 200:
            raise ValueError(f"{url}: {status}")
        return time.perf_counter() - started

    with concurrent.futures.ThreadPoolExecutor(callers) as threads:
        return list(threads.map(send_one, range(requests)))


def measure(
    url: str, pids: dict[str, int], callers: int, requests: int
) -> dict[str, float]:
    """Return latency percentiles, throughput and CPU time by process.

    Times are in milliseconds per request.  ``pids`` are the processes whose
    CPU time is measured, by the name under which it is returned.
    """
    http = urllib3.PoolManager(maxsize=callers, retries=False)
    send_requests(url, callers, callers * 2, http)  # opens the connections
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    started = time.perf_counter()
    latencies = sorted(send_requests(url, callers, requests, http))
    took_s = time.perf_counter() - started
    figures = {
        "p50_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
        "per_s": requests / took_s,
    }
    for name, pid in pids.items():
        used_s = cpu_s(pid) - before[name]
        figures[f"cpu_{name}_ms"] = used_s * 1000 / requests
    return figures


@click.command()
@click.option("--rounds", default=5)
@click.option("--requests", default=400)
def main(rounds: int, requests: int) -> None:
    """Measure each way to send requests at each level of concurrency."""
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
                    f"{owner.callers_url}/lots/{key}",
                    {"owner": owner.node.pid},
                ),
                "forwarded": (
                    f"{entry.callers_url}/lots/{key}",
                    {"owner": owner.node.pid, "entry": entry.node.pid},
                ),
            }
            for callers in (1, 16, 64):
                for name, figures in _measure_rounds(
                    ways, callers, rounds, requests
                ).items():
                    results[f"{name}-{callers}"] = figures
                    click.echo(f"{name}-{callers}: {_format(figures)}")
        finally:
            fleet.stop()
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


def _measure_rounds(
    ways: dict[str, tuple[str, dict[str, int]]],
    callers: int,
    rounds: int,
    requests: int,
) -> dict[str, dict[str, float]]:
    """Return the medians over the rounds, by way and figure.

    The ways take turns in each round, so that a machine that becomes faster
    or slower affects them all equally.
    """
    rounds_by_way: dict[str, list[dict[str, float]]] = {
        name: [] for name in ways
    }
    for _ in range(rounds):
        for name, (url, pids) in ways.items():
            rounds_by_way[name].append(measure(url, pids, callers, requests))
    return {
        name: {
            figure: round(
                statistics.median(
                    round_figures[figure] for round_figures in way_rounds
                ),
                4,
            )
            for figure in way_rounds[0]
        }
        for name, way_rounds in rounds_by_way.items()
    }


def _format(figures: dict[str, float]) -> str:
    return "  ".join(f"{name} {value:.2f}" for name, value in figures.items())


if __name__ == "__main__":
    main()
