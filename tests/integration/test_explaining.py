"""From a request's id to the cause of its failure, on real processes.

Two processes with their servers between stand-ins; their log files are all
that ``bronzepaddle explain request`` is given.
"""

import collections.abc
import concurrent.futures
import pathlib
import subprocess
import sys
import time
import typing

import click.testing
import pytest
import urllib3
from bronzepaddle_operators import cli

from integration import platform_standins
from integration import test_sidecar as sidecars

GIVE_UP_S: typing.Final = 60.0
PLACES: typing.Final = ("three", "four")
PUT_EVERY_S: typing.Final = 0.1


def settings(name: str, store: str, ports: dict[str, int]) -> str:
    return f"""
[process]
name = {name}
zone = a
service = plain
first-start = true
[callers]
listen = 127.0.0.1:{ports["callers"]}
threads = 96
[ready]
listen = 127.0.0.1:{ports["ready"]}
[control]
listen = 127.0.0.1:{ports["control"]}
[peers]
listen = 127.0.0.1:{ports["peers"]}
status-s = 0.1
[platform]
form = objects
address = {store}
[backend]
announce-ms = 60000
"""


class Fleet:
    """Processes as operators run them, with logs in files."""

    def __init__(self, folder: pathlib.Path, unread: bool = False) -> None:
        self.folder = folder
        # Whether nobody reads what the processes write.
        self.unread = unread
        self.store = platform_standins.ObjectStore()
        quick = {
            **sidecars.route("/quick/", "plain"),
            "target_latency_ms": 400,
        }
        self.store.put("config", "main", sidecars.config(1, quick))
        self.http = urllib3.PoolManager(
            retries=False, timeout=GIVE_UP_S, maxsize=100
        )
        self.ports = {
            name: {
                port: sidecars.free_port()
                for port in ("callers", "ready", "control", "peers")
            }
            for name in PLACES
        }
        self.servers = {
            name: platform_standins.AppServer(f"i-{name}", "plain")
            for name in PLACES
        }
        self.processes = {name: self._start(name) for name in PLACES}

    def _start(self, name: str) -> subprocess.Popen[bytes]:
        path = self.folder / f"{name}.ini"
        path.write_text(
            settings(name, self.store.address, self.ports[name]),
            encoding="utf-8",
        )
        run = [sys.executable, "-m", "bronzepaddle_node.main"]
        command = [*run, "--config", str(path)]
        if self.unread:
            return subprocess.Popen(command, stdout=subprocess.PIPE)
        with self.log(name).open("wb") as log:
            return subprocess.Popen(command, stdout=log)

    def log(self, name: str) -> pathlib.Path:
        return self.folder / f"{name}.log"

    def until(
        self, met: collections.abc.Callable[[], bool], what: str
    ) -> None:
        give_up = time.monotonic() + GIVE_UP_S
        while not met():
            assert time.monotonic() < give_up, what
            time.sleep(PUT_EVERY_S)

    def begin(self) -> None:
        """Announce the servers, and wait until both are used."""
        for name, server in self.servers.items():
            control = f"127.0.0.1:{self.ports[name]['control']}"
            self.until(lambda c=control, s=server: reported(s, c), name)  # type: ignore[misc]
        used: set[str] = set()

        def both_used() -> bool:
            for name in PLACES:
                answer = self.send(name, "/plain/a", "r-begin")
                if answer.status == 200:
                    used.add(sidecars.said(answer)["server"])
            return len(used) == len(PLACES)

        self.until(both_used, "both servers in use")

    def send(
        self,
        name: str,
        path: str,
        request_id: str,
        deadline_ms: int = 15_000,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self.http.request(
                "GET",
                f"http://127.0.0.1:{self.ports[name]['callers']}{path}",
                headers={
                    "Host": "one.example",
                    "Request-Id": request_id,
                    "Deadline-Ms": str(deadline_ms),
                },
            )
        except urllib3.exceptions.HTTPError:
            return urllib3.HTTPResponse(status=503)

    def many(
        self, count: int, path: str, kind: str
    ) -> dict[str, "concurrent.futures.Future[urllib3.BaseHTTPResponse]"]:
        """Send requests at once; return their answers by id."""
        pool = concurrent.futures.ThreadPoolExecutor(count)
        return {
            f"{kind}-{number}": pool.submit(
                self.send, "three", path, f"{kind}-{number}"
            )
            for number in range(count)
        }

    def explained(self, request_id: str) -> str:
        """Return what is told of a request once its line is written."""
        runner = click.testing.CliRunner()
        logs = [str(self.log(name)) for name in PLACES]
        found: list[str] = []

        def told() -> bool:
            result = runner.invoke(
                cli.main, ["explain", "request", request_id, *logs]
            )
            found.append(result.output)
            return result.exit_code == 0 and "answered" in result.output

        self.until(told, f"a line on {request_id}")
        return found[-1]

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in self.servers.values():
            server.stop()
        self.store.stop()


def reported(server: platform_standins.AppServer, control: str) -> bool:
    try:
        return server.report(control) == 200
    except urllib3.exceptions.HTTPError:
        return False


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[Fleet]:
    found = Fleet(tmp_path_factory.mktemp("explained"))
    try:
        found.begin()
        yield found
    finally:
        found.stop()


def test_three_failures_are_explained_by_their_ids(fleet: Fleet) -> None:
    """Close the servers' gates, so that nothing rests on how fast all is."""
    servers = fleet.servers.values()

    def close_gates() -> None:
        for server in servers:
            server.gate.clear()

    def open_gates() -> None:
        for server in servers:
            server.gate.set()

    close_gates()
    late = fleet.send("three", "/plain/late", "r-late", deadline_ms=1500)
    assert late.status == 504
    story = fleet.explained("r-late")
    assert "answered 504" in story
    assert "deadline - The deadline passed" in story
    assert "sent to " in story
    open_gates()

    # Both servers are needed for these, so both processes learn from them
    # how long such requests take.
    for server in servers:
        server.slow.set()
    concurrent.futures.wait(fleet.many(24, "/quick/a", "first").values())
    close_gates()
    flood = fleet.many(60, "/quick/a", "flood")

    def refused_one() -> str:
        return next(
            (
                request_id
                for request_id, answer in flood.items()
                if answer.done() and answer.result().status == 503
            ),
            "",
        )

    fleet.until(lambda: bool(refused_one()), "a refusal")
    story = fleet.explained(refused_one())
    assert "answered 503" in story
    assert "too-late - The request can't be served in time" in story
    assert "9 of 9 slots in use" in story
    assert "to come back after" in story
    open_gates()
    concurrent.futures.wait(flood.values())

    close_gates()
    fleet.servers["four"].begun.clear()
    lost = fleet.many(12, "/once/a", "lost")
    fleet.until(fleet.servers["four"].begun.is_set, "one at the other server")
    fleet.processes["four"].kill()
    fleet.processes["four"].wait()
    open_gates()
    failed = next(
        request_id
        for request_id, answer in lost.items()
        if answer.result().status == 502
    )
    story = fleet.explained(failed)
    assert "answered 502" in story
    assert "sent to four" in story
    assert "peer-lost - The owner's process was lost meanwhile" in story


def test_id_that_no_line_tells_of() -> None:
    result = click.testing.CliRunner().invoke(
        cli.main, ["explain", "request", "r-unknown"], input="no line\n"
    )
    assert result.exit_code == 1
    assert "no log line mentions request r-unknown" in result.output


FULL_S: typing.Final = 10.0
PIPE_BYTES: typing.Final = 64 * 1024
LEAST_LINE_BYTES: typing.Final = 400


def test_log_that_nobody_reads_stops_no_request(
    tmp_path: pathlib.Path,
) -> None:
    """Keep the pipe full for a while under load."""
    fleet = Fleet(tmp_path, unread=True)
    try:
        fleet.begin()
        sent = 0
        full_since: float | None = None
        while full_since is None or time.monotonic() - full_since < FULL_S:
            answer = fleet.send("three", "/plain/a", f"r-{sent}")
            assert answer.status == 200
            sent += 1
            if full_since is None and sent * LEAST_LINE_BYTES > PIPE_BYTES:
                full_since = time.monotonic()
    finally:
        fleet.stop()
