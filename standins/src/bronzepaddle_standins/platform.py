"""Stand-in for the platform's object API, with outages on request.

Speaks the wire form of ``bronzepaddle_store.http_store``.  Faults are set
by ``POST /faults`` with a ``Faults`` document: down, slow, or answering
writes never after they took effect.
"""

import dataclasses
import errno
import threading
import time
import typing
import urllib.parse

import click
import msgspec
from bronzepaddle_callers import server
from bronzepaddle_store import http_store

THREADS: typing.Final = 64
MOST_BYTES: typing.Final = 1 << 20


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is wrong with the platform now."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: bool = False


@dataclasses.dataclass
class _Object:
    version: int
    body: bytes


class Objects:
    """Versioned objects in memory, with waiting watches."""

    def __init__(self) -> None:
        self.objects: dict[str, _Object] = {}
        self.changed = threading.Condition()
        self.calls = 0
        self.writes = 0
        self.faults = Faults()

    def get(self, name: str) -> _Object | None:
        """Return an object."""
        with self.changed:
            return self.objects.get(name)

    def folder(self, prefix: str) -> dict[str, http_store.ListedObject]:
        """Return the objects whose names begin with a prefix."""
        with self.changed:
            return {
                name: http_store.ListedObject(found.version, found.body)
                for name, found in self.objects.items()
                if name.startswith(prefix)
            }

    def put(self, name: str, body: bytes, replaces: int | None) -> int | None:
        """Write an object; None if ``replaces`` is not its version.

        With ``replaces`` None the version does not matter.
        """
        with self.changed:
            found = self.objects.get(name)
            version = 0 if found is None else found.version
            if replaces is not None and version != replaces:
                return None
            self.objects[name] = _Object(version + 1, body)
            self.writes += 1
            self.changed.notify_all()
            return version + 1

    def watch(
        self, name: str, newer_than: int, timeout_s: float
    ) -> _Object | None:
        """Wait for a version newer than ``newer_than``."""

        def newer() -> bool:
            found = self.objects.get(name)
            return self.faults.down or (
                found is not None and found.version > newer_than
            )

        with self.changed:
            self.changed.wait_for(newer, timeout_s)
            found = self.objects.get(name)
            if found is None or found.version <= newer_than:
                return None
            return found

    def set_faults(self, faults: Faults) -> None:
        """Break or mend the platform."""
        with self.changed:
            self.faults = faults
            self.changed.notify_all()


class Platform:
    """The HTTP server around ``Objects``."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.objects = Objects()
        self.server = server.BackgroundServer(
            (host, port),
            self.serve,
            numthreads=THREADS,
            request_queue_size=512,
            shutdown_timeout=1,
        )

    @property
    def url(self) -> str:
        """Return where the platform is."""
        host, port = self.server.bind_addr[:2]
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Listen."""
        self.server.start_threads()

    def stop(self) -> None:
        """Stop listening and end the watches that wait."""
        self.objects.set_faults(Faults(down=True))
        self.server.stop_threads()

    def serve(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> list[bytes]:
        """Serve one call (WSGI)."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        objects = self.objects
        if path == "/faults":
            objects.set_faults(msgspec.json.decode(body, type=Faults))
            return _answer(start, "200 OK")
        if path == "/counts":
            counts = {"calls": objects.calls, "writes": objects.writes}
            return _answer(start, "200 OK", msgspec.json.encode(counts))
        objects.calls += 1
        if objects.faults.down:
            hang_up()
        if objects.faults.slow_s:
            time.sleep(objects.faults.slow_s)
        name = urllib.parse.unquote(path.removeprefix("/objects/"))
        if method == "PUT":
            return self._put(environ, start, name, body)
        return self._get(environ, start, name)

    def _put(
        self,
        environ: dict[str, typing.Any],
        start: typing.Any,
        name: str,
        body: bytes,
    ) -> list[bytes]:
        if len(body) > MOST_BYTES:
            return _answer(start, "413 Content Too Large")
        match = environ.get("HTTP_IF_MATCH", "").strip('"')
        replaces: int | None = int(match) if match.isdecimal() else 0
        if match == "*":
            replaces = None
        version = self.objects.put(name, body, replaces)
        if self.objects.faults.lose_answers:
            hang_up()
        if version is None:
            return _answer(start, "412 Precondition Failed")
        return _answer(start, "200 OK", version=version)

    def _get(
        self, environ: dict[str, typing.Any], start: typing.Any, name: str
    ) -> list[bytes]:
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if "newer-than" in query:
            found = self.objects.watch(
                name,
                int(query["newer-than"][0]),
                float(query["timeout-s"][0]),
            )
            if found is None:
                return _answer(start, "304 Not Modified")
        elif name.endswith("/"):
            listed = msgspec.json.encode(self.objects.folder(name))
            return _answer(start, "200 OK", listed)
        else:
            found = self.objects.get(name)
            if found is None:
                return _answer(start, "404 Not Found")
        return _answer(start, "200 OK", found.body, found.version)


def _answer(
    start: typing.Any,
    status: str,
    body: bytes = b"",
    version: int | None = None,
) -> list[bytes]:
    headers = [("Content-Length", str(len(body)))]
    if version is not None:
        headers.append(("ETag", f'"{version}"'))
    start(status, headers)
    return [body]


def hang_up() -> typing.NoReturn:
    """Close the connection without an answer.

    The server takes this error for the other end's and closes quietly.
    """
    raise ConnectionResetError(errno.ECONNRESET, "hung up on purpose")


@click.command()
@click.option("--listen", default="127.0.0.1:0")
def main(listen: str) -> None:
    """Run the platform stand-in until it is killed."""
    host, _, port = listen.rpartition(":")
    platform = Platform(host, int(port))
    platform.start()
    click.echo(f"listening at {platform.url}")
    threading.Event().wait()


if __name__ == "__main__":
    main()
