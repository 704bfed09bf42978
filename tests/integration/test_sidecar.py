"""Tests of whole sidecars between stand-ins for the platform.

The sidecars run in the test process.  All tests of this file use the same
fleet, in order; the last one leaves servers draining.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import socket
import threading
import time
import typing

import click.testing
import msgspec
import pytest
import returns.result
import urllib3
from bronzepaddle import sidecar_options
from bronzepaddle_node import process_end, sidecar
from bronzepaddle_operators import cli
from support import local_addresses, odd_json

from integration import platform_standins

WAIT_TIMEOUT_S: typing.Final = 60.0
"""Ends a hung test; no test depends on how long a wait takes."""

ANNOUNCE_INTERVAL_S: typing.Final = 0.2

SIDECARS: typing.Final = (
    ("one", "shop"),
    ("two", "shop"),
    ("three", "plain"),
    ("four", "plain"),
)
"""The names of the sidecars and the services of their backend servers."""


def route(
    prefix: str, service: str, route_type: str = "idempotent"
) -> dict[str, typing.Any]:
    """Return the configuration of a route named after its prefix."""
    return {
        "name": prefix.strip("/"),
        "host": "one.example",
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout_ms": 20_000,
        "target_latency_ms": 10_000,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }


def config(version: int, *routes: dict[str, typing.Any]) -> dict[str, object]:
    """Return a configuration with three routes and additional ones."""
    return {
        "version": f"{version:08x}",
        "routes": [
            route("/keyed/", "shop"),
            route("/plain/", "plain"),
            route("/once/", "plain", "non_idempotent"),
            *routes,
        ],
        "services": [{"name": "shop", "sharded": True}, {"name": "plain"}],
        "limits": {"max_body_bytes": 1_000_000},
    }


class Fleet:
    """Sidecars on one event loop, each with its backend server."""

    def __init__(
        self,
        folder: pathlib.Path,
        server_type: type[
            platform_standins.AppServer
        ] = platform_standins.AppServer,
    ) -> None:
        self.folder = folder
        self.server_type = server_type
        self.store = platform_standins.ObjectStore()
        self.store.put("config", "main", config(1))
        for name, registration in odd_json.REGISTRATIONS.items():
            self.store.put("members", name, msgspec.Raw(registration))
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()
        self.sidecars: dict[str, sidecar.Sidecar] = {}
        self.servers: dict[str, platform_standins.AppServer] = {}
        self.stopped = threading.Event()
        self.http = urllib3.PoolManager(
            retries=False, timeout=WAIT_TIMEOUT_S, maxsize=32
        )
        for name, service in SIDECARS:
            self._start(name, service)
        threading.Thread(target=self._announce_servers, daemon=True).start()

    def _start(self, name: str, service: str) -> None:
        path = self.folder / f"{name}.ini"
        path.write_text(self._settings(name, service), encoding="utf-8")
        match sidecar_options.load(path):
            case returns.result.Success(settings):
                new_sidecar = sidecar.Sidecar(settings)
            case failure:
                raise ValueError(str(failure))
        asyncio.run_coroutine_threadsafe(
            new_sidecar.start(), self.loop
        ).result()
        self.sidecars[name] = new_sidecar
        self.servers[name] = self.server_type(f"i-{name}", service)

    def _settings(self, name: str, service: str) -> str:
        return f"""
[process]
name = {name}
zone = a
service = {service}
first-start = true
[callers]
listen = {local_addresses.unused_address()}
threads = 16
[ready]
listen = {local_addresses.unused_address()}
[control]
listen = {local_addresses.unused_address()}
[peers]
listen = {local_addresses.unused_address()}
status-s = 0.1
[platform]
form = objects
address = {self.store.address}
[backend]
announce-ms = {ANNOUNCE_INTERVAL_S * 1000}
[metrics]
listen = {local_addresses.unused_address()}
[evacuations]
within-ms = 5000
"""

    def _announce_servers(self) -> None:
        """Announce all servers periodically, as they do themselves."""
        while not self.stopped.wait(ANNOUNCE_INTERVAL_S):
            for name, server in list(self.servers.items()):
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    server.announce(self.control(name))

    def control(self, name: str) -> str:
        """Return the address of a sidecar's control port."""
        address = self.sidecars[name].settings.control
        return f"{address.host}:{address.port}"

    def send(
        self,
        name: str,
        path: str,
        key: int | None = None,
        method: str = "GET",
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a sidecar, as a caller on its VM does."""
        address = self.sidecars[name].settings.callers
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
            f"http://{address.host}:{address.port}{path}",
            headers=headers,
            body=body,
        )

    def wait_until(
        self, condition: collections.abc.Callable[[], bool], description: str
    ) -> None:
        """Wait until a condition holds; fail after ``WAIT_TIMEOUT_S``."""
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < give_up_at, description
            time.sleep(0.02)

    def wait_until_served(self) -> None:
        """Wait until every sidecar reaches both services."""
        for name in self.sidecars:
            for path, key in (("/keyed/x", 5), ("/plain/x", None)):
                self.wait_until(
                    lambda name=name, path=path, key=key: (  # type: ignore[misc]
                        self.send(name, path, key).status == 200
                    ),
                    f"{path} is served by {name}",
                )

    def stop(self) -> None:
        """Stop the announcements, the sidecars and the stand-ins."""
        self.stopped.set()
        for running in self.sidecars.values():
            asyncio.run_coroutine_threadsafe(
                running.close(), self.loop
            ).result()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[Fleet]:
    running = Fleet(tmp_path_factory.mktemp("sidecars"))
    try:
        running.wait_until_served()
        yield running
    finally:
        running.stop()


def readiness(fleet: Fleet, name: str) -> str:
    """Return what the operators' command says of a sidecar."""
    address = fleet.sidecars[name].settings.ready
    result = click.testing.CliRunner().invoke(
        cli.main, ["readiness", f"{address.host}:{address.port}"]
    )
    assert result.exit_code == 0, result.output
    return result.output


def request_description(
    response: urllib3.BaseHTTPResponse,
) -> dict[str, typing.Any]:
    """Return the request as the backend server received and described it."""
    assert response.status == 200, response.data
    description: dict[str, typing.Any] = msgspec.json.decode(response.data)
    return description


def test_all_sidecars_send_a_key_to_one_server(fleet: Fleet) -> None:
    """A key is served by the same server at whichever sidecar it enters.

    Guards against sidecars that disagree on the owner of a key, among others
    at both ends of the key space.
    """
    for key in (0, 1500, 40_000, 65_535):
        servers = {
            request_description(fleet.send(name, "/keyed/a", key))["server"]
            for name in fleet.sidecars
        }
        assert len(servers) == 1


def test_request_reaches_its_server_unchanged(fleet: Fleet) -> None:
    """Request and response are unchanged except for the router's headers.

    Guards against a target that is decoded or normalized on the way, lost
    headers, a caller that forges its service name, and a deadline longer than
    the caller's.
    """
    response = fleet.send(
        "one", "/once/a%20b?c=d&c=e", method="POST", body=b"whole"
    )
    received = request_description(response)
    assert (received["method"], received["target"]) == (
        "POST",
        "/once/a%20b?c=d&c=e",
    )
    assert (received["body"], received["own"]) == ("whole", "kept")
    assert received["caller"] == "shop"
    assert received["expected"] == received["server"]
    assert 0 < int(received["deadline_ms"]) <= 15_000
    assert response.headers["Request-Id"] == "r-1"
    assert response.headers["Server-Signature"] == "signed"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/a", None, 404),
        ("/keyed/a", None, 400),
        ("/keyed/a", 70_000, 400),
    ],
)
def test_request_without_route_or_valid_key_is_rejected(
    fleet: Fleet, path: str, key: int | None, status: int
) -> None:
    """An unknown path, a missing key and a key out of range are refused.

    Guards against such a request being sent to any server or ending in 500.
    """
    assert fleet.send("two", path, key).status == status


def test_too_large_body_is_rejected(fleet: Fleet) -> None:
    """A body one byte above the configured limit is refused with 413."""
    body = b"x" * 1_000_001
    response = fleet.send("two", "/plain/a", method="POST", body=body)
    assert response.status == 413


def test_new_configuration_is_in_force_everywhere(fleet: Fleet) -> None:
    """A new configuration takes effect even after an invalid one.

    Guards against sidecars that no longer follow the store's configuration
    once they have read one that they can't decode.
    """
    fleet.store.put("config", "main", {"version": "broken"})
    document = msgspec.json.encode(config(9))
    for text, odd in (
        (b'"shop"', odd_json.DEEP),
        (b"20000", b"1e400"),
        (b"20000", b"%d" % 10**40),
    ):
        fleet.store.put(
            "config", "main", msgspec.Raw(document.replace(text, odd))
        )
        time.sleep(ANNOUNCE_INTERVAL_S)
    fleet.store.put("config", "main", config(2, route("/new/", "plain")))
    for name in fleet.sidecars:
        fleet.wait_until(
            lambda name=name: fleet.send(name, "/new/a").status == 200,  # type: ignore[misc]
            f"{name} serves the new route",
        )


def test_refused_configuration_is_named_to_operators(fleet: Fleet) -> None:
    """A version with an unknown kind of route changes nothing, and is named.

    Guards against a fleet that keeps an outdated configuration, or stays not
    ready, while only a line in a log tells why.
    """
    odd_route = route("/odd/", "plain", "batch")
    fleet.store.put("config", "main", config(5, odd_route))
    refused = (
        "ready, configuration 00000002\n"
        "configuration 00000005 was refused: "
        "route odd: unknown route_type batch\n"
    )
    for name in fleet.sidecars:
        fleet.wait_until(
            lambda name=name: readiness(fleet, name) == refused,  # type: ignore[misc]
            f"{name} names the refused configuration",
        )
    assert fleet.send("one", "/new/a").status == 200
    fleet.store.put("config", "main", config(6, route("/new/", "plain")))
    for name in fleet.sidecars:
        fleet.wait_until(
            lambda name=name: (  # type: ignore[misc]
                readiness(fleet, name) == "ready, configuration 00000006\n"
            ),
            f"{name} has the next configuration",
        )


@pytest.mark.parametrize("port", ["0", "65536", "-1", "9" * 40])
def test_odd_announcement_changes_nothing(fleet: Fleet, port: str) -> None:
    """Another writer announces the server with an unusable address.

    Guards against requests that fail until the server's next announcement.
    """
    name = "three"
    server = fleet.servers[name]
    document = {
        "address": f"127.0.0.1:{port}",
        "info": {"service": "plain", "version": "v", "zone": "a", "slots": 9},
        "status": {
            "state": "ready",
            "sequence": server.sequence + 1000,
            "cold_remaining_ms": 0,
        },
        "born": server.started_ms + 1000,
    }
    odd = fleet.http.request(
        "PUT",
        f"http://{fleet.control(name)}/api/instances/i-odd",
        body=msgspec.json.encode(document),
    )
    assert odd.status == 400
    for _ in range(4):
        assert fleet.send(name, "/plain/a").status == 200


@pytest.mark.parametrize("same_run", [False, True])
def test_announcement_of_another_service_ends_no_run(
    fleet: Fleet, same_run: bool
) -> None:
    """Another writer reports a server of a service that doesn't exist.

    With ``same_run``, the report has the id and start of the real server.

    Guards against the report being taken for a new run of the server: its
    grants were then recorded as released while it still held the keys, or its
    own next report counted as outdated.
    """
    name = "two"
    server, process = fleet.servers[name], fleet.sidecars[name]
    # The run of the real server and the tokens of its grants, before.
    run = process.held_keys.run
    tokens = {held.token for held in process.held_keys.ranges}
    assert tokens
    document = {
        "address": local_addresses.unused_address(),
        "info": {"service": "nosuch", "version": "v", "zone": "a", "slots": 9},
        "status": {
            "state": "ready",
            "sequence": server.sequence + 1000,
            "cold_remaining_ms": 0,
        },
        "born": server.started_ms + (0 if same_run else 1000),
    }
    server_id = server.server_id if same_run else "i-odd"
    odd = fleet.http.request(
        "PUT",
        f"http://{fleet.control(name)}/api/instances/{server_id}",
        body=msgspec.json.encode(document),
    )
    assert odd.status == 400
    assert process.held_keys.run == run
    assert tokens == {held.token for held in process.held_keys.ranges}
    assert not any(
        released.token in tokens
        for released in process.reconciler.grants.released_grants
    )
    sequence = server.sequence
    # The odd report had a sequence number 1000 above that of the server then.
    fleet.wait_until(
        lambda: (
            (latest := process.tracker.latest) is not None
            and latest.announcement.sequence in range(sequence, sequence + 999)
            and latest.announcement.run == run
        ),
        "the next report of the server is recorded",
    )


def test_evacuated_zone_gets_no_requests_until_it_is_taken_back(
    fleet: Fleet,
) -> None:
    """All servers are in the evacuated zone, so nothing can be served.

    Guards against requests to servers that the operator has emptied, and
    against a zone that is never used again.
    """
    zone = "a"
    fleet.store.put("evacuations", zone, {})
    for path, key in (("/plain/x", None), ("/keyed/x", 5)):
        fleet.wait_until(
            lambda path=path, key=key: (  # type: ignore[misc]
                fleet.send("one", path, key).status == 503
            ),
            f"{path} is not served",
        )
    for server in fleet.servers.values():
        server.received.clear()
    for name in fleet.sidecars:
        assert fleet.send(name, "/plain/x").status == 503
        assert fleet.send(name, "/keyed/x", 5).status == 503
    assert not any(server.received for server in fleet.servers.values())
    fleet.store.remove("evacuations", zone)
    fleet.wait_until_served()


def test_caller_that_hangs_up_ends_the_request(fleet: Fleet) -> None:
    """A request ends when its caller disconnects while it runs.

    It is forwarded to a slow server, then the caller closes its connection.
    Guards against requests that keep a slot of the server for a caller that
    is gone.
    """
    servers = [fleet.servers["three"], fleet.servers["four"]]
    for server in servers:
        server.slow.set()
        server.request_started.clear()
    address = fleet.sidecars["one"].settings.callers
    with socket.create_connection((address.host, address.port)) as caller:
        caller.sendall(
            b"GET /plain/left HTTP/1.1\r\nHost: one.example\r\n"
            b"Request-Id: r-2\r\n\r\n"
        )
        fleet.wait_until(
            lambda: any(server.request_started.is_set() for server in servers),
            "the request reaches a server",
        )
    fleet.wait_until(
        lambda: all(
            not running.local_backend.in_flight
            for running in fleet.sidecars.values()
        ),
        "the request ends",
    )
    for server in servers:
        server.slow.clear()


def test_metrics_are_served(fleet: Fleet) -> None:
    """The metrics port serves the Prometheus format with request counts."""
    assert fleet.send("one", "/plain/a").status == 200
    address = fleet.sidecars["one"].settings.metrics
    assert address is not None
    page = fleet.http.request(
        "GET", f"http://{address.host}:{address.port}/metrics"
    )
    assert page.status == 200
    assert page.headers["Content-Type"].startswith("text/plain")
    assert b"bronzepaddle_requests_total{" in page.data


def test_process_about_to_end_begins_nothing(fleet: Fleet) -> None:
    """No request is sent to a server whose sidecar is about to end.

    Both owners of keys are about to end.  Guards against requests that are
    sent and then cut off, so that nobody knows whether they ran; the caller
    must get 503 with Retry-After instead.
    """
    one, two = fleet.sidecars["one"], fleet.sidecars["two"]
    received = {
        name: len(fleet.servers[name].received) for name in ("one", "two")
    }
    for process in (one, two):
        ends_at = process.clock.now() + 0.001
        process.local_backend.process_end = process_end.ProcessEnd(
            ends_at=ends_at
        )
    response = fleet.send("three", "/keyed/a", 5)
    for process in (one, two):
        process.local_backend.process_end = process_end.NEVER
    assert response.status == 503
    assert response.headers["Retry-After"]
    assert received == {
        name: len(fleet.servers[name].received) for name in ("one", "two")
    }


def test_leaving_server_gets_no_more_and_hands_its_keys_over(
    fleet: Fleet,
) -> None:
    """A draining server gets no new requests and its keys get a new owner.

    Guards against requests for any server of a service going to one that is
    about to stop, and against keys that stay with it.
    """
    fleet.servers["one"].state = "draining"
    assert fleet.servers["one"].announce(fleet.control("one")) == 200
    fleet.servers["three"].state = "draining"
    assert fleet.servers["three"].announce(fleet.control("three")) == 200
    for name in fleet.sidecars:
        assert (
            request_description(fleet.send(name, "/plain/a"))["server"]
            == "i-four"
        )
    for key in (0, 1500, 40_000, 65_535):
        fleet.wait_until(
            lambda key=key: (  # type: ignore[misc]
                (response := fleet.send("four", "/keyed/a", key)).status == 200
                and request_description(response)["server"] == "i-two"
            ),
            f"key {key} is served by the other server",
        )
