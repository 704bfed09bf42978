"""Whole sidecars on loopback, between stand-ins in the platform's forms."""

import asyncio
import collections.abc
import contextlib
import pathlib
import socket
import threading
import time
import typing

import msgspec
import pytest
import returns.result
import urllib3
from bronzepaddle import sidecar_options
from bronzepaddle_node import sidecar

from integration import platform_standins

GIVE_UP_S: typing.Final = 60.0
"""Bound on every wait, to end a hung test; never what a test measures."""

ANNOUNCE_S: typing.Final = 0.2

PLACES: typing.Final = (
    ("one", "shop"),
    ("two", "shop"),
    ("three", "plain"),
    ("four", "plain"),
)


def route(
    prefix: str, service: str, kind: str = "idempotent"
) -> dict[str, typing.Any]:
    return {
        "name": prefix.strip("/"),
        "host": "one.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 20_000,
        "target_latency_ms": 10_000,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }


def config(version: int, *more: dict[str, typing.Any]) -> dict[str, object]:
    return {
        "version": f"{version:08x}",
        "routes": [
            route("/keyed/", "shop"),
            route("/plain/", "plain"),
            route("/once/", "plain", "non_idempotent"),
            *more,
        ],
        "services": [{"name": "shop", "sharded": True}, {"name": "plain"}],
        "limits": {"max_body_bytes": 1_000_000},
    }


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as found:
        return int(found.getsockname()[1])


class Fleet:
    """Sidecars on one event loop, each with its server."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = platform_standins.ObjectStore()
        self.store.put("config", "main", config(1))
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()
        self.sidecars: dict[str, sidecar.Sidecar] = {}
        self.servers: dict[str, platform_standins.AppServer] = {}
        self.ended = threading.Event()
        self.http = urllib3.PoolManager(
            retries=False, timeout=GIVE_UP_S, maxsize=32
        )
        for name, service in PLACES:
            self._start(name, service)
        threading.Thread(target=self._report, daemon=True).start()

    def _start(self, name: str, service: str) -> None:
        path = self.folder / f"{name}.ini"
        path.write_text(self._settings(name, service), encoding="utf-8")
        match sidecar_options.load(path):
            case returns.result.Success(settings):
                found = sidecar.Sidecar(settings)
            case failure:
                raise ValueError(str(failure))
        asyncio.run_coroutine_threadsafe(found.start(), self.loop).result()
        self.sidecars[name] = found
        self.servers[name] = platform_standins.AppServer(f"i-{name}", service)

    def _settings(self, name: str, service: str) -> str:
        return f"""
[process]
name = {name}
zone = a
service = {service}
first-start = true
[callers]
listen = 127.0.0.1:{free_port()}
threads = 16
[ready]
listen = 127.0.0.1:{free_port()}
[control]
listen = 127.0.0.1:{free_port()}
[peers]
listen = 127.0.0.1:{free_port()}
status-s = 0.1
[platform]
form = objects
address = {self.store.address}
[backend]
announce-ms = {ANNOUNCE_S * 1000}
[metrics]
listen = 127.0.0.1:{free_port()}
"""

    def _report(self) -> None:
        while not self.ended.wait(ANNOUNCE_S):
            for name, server in list(self.servers.items()):
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    server.report(self.control(name))

    def control(self, name: str) -> str:
        at = self.sidecars[name].settings.control
        return f"{at.host}:{at.port}"

    def send(
        self,
        name: str,
        path: str,
        key: int | None = None,
        method: str = "GET",
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a process, as a caller on its VM does."""
        at = self.sidecars[name].settings.callers
        headers = {
            "Host": "one.example",
            "Request-Id": "r-1",
            "Deadline-Ms": "15000",
            "Caller-Service": "forged",
            "X-Own": "kept",
        }
        if key is not None:
            headers["Shard-Key"] = str(key)
        return self.http.request(
            method,
            f"http://{at.host}:{at.port}{path}",
            headers=headers,
            body=body,
        )

    def until(
        self, met: collections.abc.Callable[[], bool], what: str
    ) -> None:
        """Wait until something holds."""
        give_up = time.monotonic() + GIVE_UP_S
        while not met():
            assert time.monotonic() < give_up, what
            time.sleep(0.02)

    def until_served(self) -> None:
        for name in self.sidecars:
            for path, key in (("/keyed/x", 5), ("/plain/x", None)):
                self.until(
                    lambda name=name, path=path, key=key: (  # type: ignore[misc]
                        self.send(name, path, key).status == 200
                    ),
                    f"{path} at {name}",
                )

    def stop(self) -> None:
        self.ended.set()
        for one in self.sidecars.values():
            asyncio.run_coroutine_threadsafe(one.close(), self.loop).result()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[Fleet]:
    found = Fleet(tmp_path_factory.mktemp("sidecars"))
    try:
        found.until_served()
        yield found
    finally:
        found.stop()


def said(answer: urllib3.BaseHTTPResponse) -> dict[str, typing.Any]:
    assert answer.status == 200, answer.data
    found: dict[str, typing.Any] = msgspec.json.decode(answer.data)
    return found


def test_a_key_has_one_server_whoever_is_asked(fleet: Fleet) -> None:
    for key in (0, 1500, 40_000, 65_535):
        found = {
            said(fleet.send(name, "/keyed/a", key))["server"]
            for name in fleet.sidecars
        }
        assert len(found) == 1


def test_request_reaches_its_server_unchanged(fleet: Fleet) -> None:
    answer = fleet.send(
        "one", "/once/a%20b?c=d&c=e", method="POST", body=b"whole"
    )
    found = said(answer)
    assert (found["method"], found["target"]) == (
        "POST",
        "/once/a%20b?c=d&c=e",
    )
    assert (found["body"], found["own"]) == ("whole", "kept")
    assert found["caller"] == "shop"
    assert found["expected"] == found["server"]
    assert 0 < int(found["deadline_ms"]) <= 15_000
    assert answer.headers["Request-Id"] == "r-1"
    assert answer.headers["Server-Signature"] == "signed"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/a", None, 404),
        ("/keyed/a", None, 400),
        ("/keyed/a", 70_000, 400),
    ],
)
def test_request_that_names_nothing(
    fleet: Fleet, path: str, key: int | None, status: int
) -> None:
    assert fleet.send("two", path, key).status == status


def test_body_beyond_the_limit(fleet: Fleet) -> None:
    body = b"x" * 1_000_001
    answer = fleet.send("two", "/plain/a", method="POST", body=body)
    assert answer.status == 413


def test_new_configuration_is_in_force_everywhere(fleet: Fleet) -> None:
    fleet.store.put("config", "main", {"version": "broken"})
    fleet.store.put("config", "main", config(2, route("/new/", "plain")))
    for name in fleet.sidecars:
        fleet.until(
            lambda name=name: fleet.send(name, "/new/a").status == 200,  # type: ignore[misc]
            f"the new route at {name}",
        )


def test_caller_that_hangs_up_ends_the_request(fleet: Fleet) -> None:
    servers = [fleet.servers["three"], fleet.servers["four"]]
    for server in servers:
        server.slow.set()
        server.begun.clear()
    at = fleet.sidecars["one"].settings.callers
    with socket.create_connection((at.host, at.port)) as caller:
        caller.sendall(
            b"GET /plain/left HTTP/1.1\r\nHost: one.example\r\n"
            b"Request-Id: r-2\r\n\r\n"
        )
        fleet.until(
            lambda: any(server.begun.is_set() for server in servers),
            "the request at a server",
        )
    fleet.until(
        lambda: all(
            not one.local_backend.in_flight for one in fleet.sidecars.values()
        ),
        "the end of the request",
    )
    for server in servers:
        server.slow.clear()


def test_metrics_are_served(fleet: Fleet) -> None:
    assert fleet.send("one", "/plain/a").status == 200
    at = fleet.sidecars["one"].settings.metrics
    assert at is not None
    page = fleet.http.request("GET", f"http://{at.host}:{at.port}/metrics")
    assert page.status == 200
    assert page.headers["Content-Type"].startswith("text/plain")
    assert b"bronzepaddle_requests_total{" in page.data


def test_process_about_to_end_begins_nothing(fleet: Fleet) -> None:
    """Nothing is sent to a server that this process could not wait for."""
    one, two = fleet.sidecars["one"], fleet.sidecars["two"]
    seen = {name: len(fleet.servers[name].seen) for name in ("one", "two")}
    for process in (one, two):
        process.local_backend.process_ends_at = process.time.now() + 0.001
    answer = fleet.send("three", "/keyed/a", 5)
    for process in (one, two):
        process.local_backend.process_ends_at = float("inf")
    assert answer.status == 503
    assert answer.headers["Retry-After"]
    assert seen == {
        name: len(fleet.servers[name].seen) for name in ("one", "two")
    }


def test_leaving_server_gets_no_more_and_hands_its_keys_over(
    fleet: Fleet,
) -> None:
    fleet.servers["one"].state = "draining"
    assert fleet.servers["one"].report(fleet.control("one")) == 200
    fleet.servers["three"].state = "draining"
    assert fleet.servers["three"].report(fleet.control("three")) == 200
    for name in fleet.sidecars:
        assert said(fleet.send(name, "/plain/a"))["server"] == "i-four"
    for key in (0, 1500, 40_000, 65_535):
        fleet.until(
            lambda key=key: (  # type: ignore[misc]
                (answer := fleet.send("four", "/keyed/a", key)).status == 200
                and said(answer)["server"] == "i-two"
            ),
            f"key {key} at the other server",
        )
