"""Stand-in for the platform's object store that can simulate outages.

Implements the protocol of ``bronzepaddle_store.http_store``.  A ``POST``
to ``/faults`` with a ``Faults`` document sets the simulated faults;
``/counts`` returns the number of calls and of writes.
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
MAX_OBJECT_BYTES: typing.Final = 1 << 20


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults that the platform simulates.

    ``down`` closes the connection of every call, ``slow_s`` delays each
    response by so many seconds, and ``lose_answers`` performs writes, but
    closes their connection without a response.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: bool = False


@dataclasses.dataclass
class _Object:
    version: int
    body: bytes


class Objects:
    """Versioned objects in memory; thread-safe.

    ``calls`` counts the calls to the platform, ``writes`` the writes that
    were performed.
    """

    def __init__(self) -> None:
        self.objects: dict[str, _Object] = {}
        self.changed = threading.Condition()
        self.calls = 0
        self.writes = 0
        self.faults = Faults()

    def get(self, name: str) -> _Object | None:
        """Return an object, or None if it does not exist."""
        with self.changed:
            return self.objects.get(name)

    def list_folder(self, prefix: str) -> dict[str, http_store.ListedObject]:
        """Return the objects whose names start with a prefix, by name."""
        with self.changed:
            return {
                name: http_store.ListedObject(stored.version, stored.body)
                for name, stored in self.objects.items()
                if name.startswith(prefix)
            }

    def put(self, name: str, body: bytes, replaces: int | None) -> int | None:
        """Write an object and return its new version.

        ``replaces`` is the version that the write replaces, 0 if the object
        is new, None if any version may be replaced.  Returns None, and writes
        nothing, if the object has another version.
        """
        with self.changed:
            stored = self.objects.get(name)
            version = 0 if stored is None else stored.version
            if replaces is not None and version != replaces:
                return None
            self.objects[name] = _Object(version + 1, body)
            self.writes += 1
            self.changed.notify_all()
            return version + 1

    def watch(
        self, name: str, newer_than: int, timeout_s: float
    ) -> _Object | None:
        """Wait for a version of an object newer than ``newer_than``.

        Returns None if there is none after ``timeout_s`` seconds or when the
        platform goes down.
        """

        def is_newer_or_down() -> bool:
            stored = self.objects.get(name)
            return self.faults.down or (
                stored is not None and stored.version > newer_than
            )

        with self.changed:
            self.changed.wait_for(is_newer_or_down, timeout_s)
            stored = self.objects.get(name)
            if stored is None or stored.version <= newer_than:
                return None
            return stored

    def set_faults(self, faults: Faults) -> None:
        """Replace the simulated faults; ``down`` ends the watches."""
        with self.changed:
            self.faults = faults
            self.changed.notify_all()


class Platform:
    """The HTTP server of the platform; ``objects`` is its data."""

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
        """Return the base URL of the platform."""
        host, port = self.server.bind_addr[:2]
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Start to listen."""
        self.server.start_threads()

    def stop(self) -> None:
        """End the watches that are waiting and stop listening."""
        self.objects.set_faults(Faults(down=True))
        self.server.stop_threads()

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Handle one call; a WSGI application."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        objects = self.objects
        if path == "/faults":
            objects.set_faults(msgspec.json.decode(body, type=Faults))
            return _respond(start_response, "200 OK")
        if path == "/counts":
            counts = {"calls": objects.calls, "writes": objects.writes}
            return _respond(
                start_response, "200 OK", msgspec.json.encode(counts)
            )
        objects.calls += 1
        if objects.faults.down:
            abort_connection()
        if objects.faults.slow_s:
            time.sleep(objects.faults.slow_s)
        name = urllib.parse.unquote(path.removeprefix("/objects/"))
        if method == "PUT":
            return self._put(environ, start_response, name, body)
        return self._get(environ, start_response, name)

    def _put(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Any,
        name: str,
        body: bytes,
    ) -> list[bytes]:
        """Write an object if ``If-Match`` gives its current version.

        ``*`` matches any version.  Without the header, only a new object is
        written.
        """
        if len(body) > MAX_OBJECT_BYTES:
            return _respond(start_response, "413 Content Too Large")
        condition = environ.get("HTTP_IF_MATCH", "").strip('"')
        replaces: int | None = int(condition) if condition.isdecimal() else 0
        if condition == "*":
            replaces = None
        version = self.objects.put(name, body, replaces)
        if self.objects.faults.lose_answers:
            abort_connection()
        if version is None:
            return _respond(start_response, "412 Precondition Failed")
        return _respond(start_response, "200 OK", version=version)

    def _get(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Any,
        name: str,
    ) -> list[bytes]:
        """Read or watch an object, or list those of a folder."""
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if "newer-than" in query:
            stored = self.objects.watch(
                name,
                int(query["newer-than"][0]),
                float(query["timeout-s"][0]),
            )
            if stored is None:
                return _respond(start_response, "304 Not Modified")
        elif name.endswith("/"):
            listing = msgspec.json.encode(self.objects.list_folder(name))
            return _respond(start_response, "200 OK", listing)
        else:
            stored = self.objects.get(name)
            if stored is None:
                return _respond(start_response, "404 Not Found")
        return _respond(start_response, "200 OK", stored.body, stored.version)


def _respond(
    start_response: typing.Any,
    status: str,
    body: bytes = b"",
    version: int | None = None,
) -> list[bytes]:
    headers = [("Content-Length", str(len(body)))]
    if version is not None:
        headers.append(("ETag", f'"{version}"'))
    start_response(status, headers)
    return [body]


def abort_connection() -> typing.NoReturn:
    """Close the connection of the current call without a response.

    Raises the error of a connection that the client reset; the HTTP server
    then closes the connection and logs nothing.
    """
    raise ConnectionResetError(errno.ECONNRESET, "simulated connection reset")


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
