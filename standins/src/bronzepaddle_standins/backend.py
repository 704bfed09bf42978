"""Stand-in for a backend server, which can misbehave on request.

Announces itself to the process beside it, takes grants, drain and cancel
orders, and serves any path.  What a request does is in its query:
``sleep-ms``, ``bytes`` (size of a made-up body), ``cut`` (bytes after which
the answer breaks off), ``shed``, ``crash`` (the server stops as if killed).
Without those it echoes the request's body, or its target when it has none.
``/standin/ran`` lists what it ran, for the checks of tests.
"""

import collections.abc
import dataclasses
import os
import threading
import time
import typing
import urllib.parse

import click
import msgspec
import urllib3
from bronzepaddle import http_messages, ids
from bronzepaddle_backend import announcements, commands, dispatch
from bronzepaddle_callers import server

from bronzepaddle_standins import platform

PATTERN: typing.Final = bytes(range(256)) * 256


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How a server is set up; times in seconds."""

    service: str
    slots: int = 9
    connections: int = 120
    checks_tokens: bool = False
    announce_s: float = 0.2
    cold_s: float = 0.0
    cold_delay_s: float = 0.0
    service_s: float = 0.0
    sheds_above: int | None = None
    lags_s: float = 0.0
    says_outstanding: int | None = None


class Ran(msgspec.Struct, frozen=True):
    """One request that the server ran."""

    request_id: str
    target: str
    key: str
    slot: int
    token: int
    at: float


class Backend:
    """One backend server."""

    def __init__(
        self,
        behaviour: Behaviour,
        announce_to: str,
        host: str = "127.0.0.1",
        port: int = 0,
        on_crash: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        self.behaviour = behaviour
        self.announce_to = announce_to
        self.on_crash = on_crash or self.stop
        self.run = ids.new_id()
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.ran: list[Ran] = []
        self.outstanding = 0
        self.highest: dict[int, int] = {}
        self.granted: dict[int, int] = {}
        self.granted_until = float("-inf")
        self.draining = False
        self.stopped = threading.Event()
        self.load = collections.deque([(0.0, 0)], maxlen=1000)
        self.http = urllib3.PoolManager(retries=False, timeout=1.0)
        self.server = server.BackgroundServer(
            (host, port),
            self.serve,
            numthreads=min(behaviour.connections + 4, 64),
            request_queue_size=256,
            timeout=60,
            shutdown_timeout=1,
        )

    def start(self) -> None:
        """Listen and begin to announce."""
        self.server.start_threads()
        threading.Thread(target=self._announce, daemon=True).start()

    def stop(self) -> None:
        """Stop as if the VM was lost."""
        self.stopped.set()
        threading.Thread(target=self.server.stop, daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        """Return where the server listens."""
        host, port = self.server.bind_addr[:2]
        return str(host), int(port)

    def _announce(self) -> None:
        while not self.stopped.wait(self.behaviour.announce_s):
            host, port = self.address
            announcement = announcements.Announcement(
                run=self.run,
                service=ids.ServiceName(self.behaviour.service),
                host=host,
                port=port,
                slots=self.behaviour.slots,
                connections=self.behaviour.connections,
                outstanding=self._claimed_load(),
                draining=self.draining,
            )
            try:
                self.http.request(
                    "POST",
                    self.announce_to + announcements.PATH,
                    body=msgspec.json.encode(announcement),
                )
            except urllib3.exceptions.HTTPError:
                continue

    def _claimed_load(self) -> int:
        """Return the load it reports: late, or plainly wrong."""
        now = time.monotonic()
        self.load.append((now, self.outstanding))
        if self.behaviour.says_outstanding is not None:
            return self.behaviour.says_outstanding
        old = [n for at, n in self.load if at <= now - self.behaviour.lags_s]
        return old[-1] if old else 0

    def serve(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Serve one request (WSGI)."""
        path = environ["PATH_INFO"]
        if path.startswith("/bronzepaddle/"):
            return self._take_order(environ, start, path)
        if path == "/standin/ran":
            return _answer(start, msgspec.json.encode(self.ran))
        refused = self._refused(environ)
        if refused is not None:
            headers = [
                (dispatch.REFUSED, refused),
                ("Retry-After", "1"),
                ("Content-Length", "0"),
            ]
            start("503 Service Unavailable", headers)
            return []
        with self.lock:
            self.outstanding += 1
        try:
            return self._run(environ, start)
        finally:
            with self.lock:
                self.outstanding -= 1

    def _take_order(
        self, environ: dict[str, typing.Any], start: typing.Any, path: str
    ) -> list[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == commands.GRANTS_PATH:
            grants = msgspec.json.decode(body, type=commands.Grants)
            with self.lock:
                self.granted = {one.slot: one.token for one in grants.slots}
                self.granted_until = time.monotonic() + grants.remaining_s
        elif path == commands.DRAIN_PATH:
            self.draining = True
        return _answer(start, b"")

    def _refused(self, environ: dict[str, typing.Any]) -> str | None:
        """Say why a request is not run, or None if it is."""
        query = _query(environ)
        above = self.behaviour.sheds_above
        if "shed" in query or (
            above is not None and self.outstanding >= above
        ):
            return "shed"
        token = environ.get("HTTP_BRONZEPADDLE_TOKEN")
        if not self.behaviour.checks_tokens or token is None:
            return None
        slot = int(environ["HTTP_BRONZEPADDLE_SLOT"])
        with self.lock:
            if int(token) < self.highest.get(slot, 0):
                return dispatch.REFUSED_GRANT
            self.highest[slot] = int(token)
            if self.granted.get(slot) != int(token):
                return dispatch.REFUSED_GRANT
            if time.monotonic() >= self.granted_until:
                return dispatch.REFUSED_GRANT
        return None

    def _run(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        query = _query(environ)
        body = _read(environ)
        self._note(environ)
        if "crash" in query:
            self.on_crash()
            platform.hang_up()
        delay = self.behaviour.service_s
        delay += float(query.get("sleep-ms", 0)) / 1000
        if time.monotonic() - self.started < self.behaviour.cold_s:
            delay += self.behaviour.cold_delay_s
        if delay:
            time.sleep(delay)
        if "bytes" in query:
            return _made_up(start, environ, query)
        answer = body or environ["REQUEST_URI"].encode()
        if "cut" in query:
            return _cut(start, answer, int(query["cut"]))
        return _answer(start, answer)

    def _note(self, environ: dict[str, typing.Any]) -> None:
        note = Ran(
            request_id=environ.get("HTTP_BRONZEPADDLE_REQUEST_ID", ""),
            target=environ["REQUEST_URI"],
            key=environ.get("HTTP_X_KEY", ""),
            slot=int(environ.get("HTTP_BRONZEPADDLE_SLOT", -1)),
            token=int(environ.get("HTTP_BRONZEPADDLE_TOKEN", -1)),
            at=time.time(),
        )
        with self.lock:
            self.ran.append(note)


def _query(environ: dict[str, typing.Any]) -> dict[str, str]:
    return dict(
        urllib.parse.parse_qsl(
            environ.get("QUERY_STRING", ""), keep_blank_values=True
        )
    )


def _read(environ: dict[str, typing.Any]) -> bytes:
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", ""):
        pieces = iter(
            lambda: environ["wsgi.input"].read(http_messages.CHUNK_BYTES), b""
        )
        return b"".join(pieces)
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body


def _answer(start: typing.Any, body: bytes) -> list[bytes]:
    start("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def _made_up(
    start: typing.Any, environ: dict[str, typing.Any], query: dict[str, str]
) -> collections.abc.Iterator[bytes]:
    """Answer a body of a given size, from a given place on."""
    size = int(query["bytes"])
    first = 0
    asked = environ.get("HTTP_RANGE", "")
    if asked.startswith("bytes=") and asked.endswith("-"):
        first = int(asked[len("bytes=") : -1])
    status = "206 Partial Content" if first else "200 OK"
    headers = [("Content-Length", str(size - first)), ("ETag", '"made-up"')]
    if first:
        headers.append(("Content-Range", f"bytes {first}-{size - 1}/{size}"))
    start(status, headers)
    cut = int(query.get("cut", size))
    return _pattern(first, min(cut, size))


def _pattern(first: int, last: int) -> collections.abc.Iterator[bytes]:
    at = first
    while at < last:
        offset = at % len(PATTERN)
        piece = PATTERN[offset : offset + last - at]
        at += len(piece)
        yield piece


def _cut(
    start: typing.Any, body: bytes, after: int
) -> collections.abc.Iterator[bytes]:
    """Announce a whole body and break off in it."""
    start("200 OK", [("Content-Length", str(len(body)))])
    yield body[:after]
    platform.hang_up()


@click.command()
@click.option("--service", required=True)
@click.option("--announce-to", required=True, help="URL of a control port.")
@click.option("--listen", default="127.0.0.1:0")
@click.option("--slots", default=9)
@click.option("--connections", default=120)
@click.option("--checks-tokens/--trusts", default=False)
@click.option("--service-ms", default=0.0)
def main(
    service: str,
    announce_to: str,
    listen: str,
    slots: int,
    connections: int,
    checks_tokens: bool,
    service_ms: float,
) -> None:
    """Run one backend server until it is killed."""
    host, _, port = listen.rpartition(":")
    behaviour = Behaviour(
        service=service,
        slots=slots,
        connections=connections,
        checks_tokens=checks_tokens,
        service_s=service_ms / 1000,
    )
    backend = Backend(
        behaviour,
        announce_to,
        host,
        int(port),
        on_crash=lambda: os._exit(1),
    )
    backend.start()
    click.echo(f"listening at {backend.address[0]}:{backend.address[1]}")
    threading.Event().wait()


if __name__ == "__main__":
    main()
