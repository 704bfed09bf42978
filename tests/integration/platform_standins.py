"""Stand-ins for the object store and the backend servers of the platform.

They implement the interfaces that the platform publishes, for tests of
sidecars.  ``bronzepaddle_standins`` has stand-ins with this repository's own
protocols.
"""

import collections.abc
import copy
import threading
import time
import typing

import msgspec
import urllib3
from bronzepaddle_callers import server

THREADS: typing.Final = 24

MAX_BLOCK_S: typing.Final = 120.0
"""Longest time that a request is blocked, to end a hung test."""


StoreCopy: typing.TypeAlias = tuple[
    int, dict[str, dict[str, tuple[int, typing.Any]]]
]
"""The revision and the objects of a store at one moment."""


class _HttpServer:
    """Base class of HTTP servers; listens on a free port."""

    def __init__(self) -> None:
        self.http_server = server.BackgroundServer(
            ("127.0.0.1", 0), self.serve, numthreads=THREADS
        )
        self.http_server.start_threads()

    @property
    def address(self) -> str:
        """Return the address at which it listens, as ``HOST:PORT``."""
        return "{}:{}".format(*self.http_server.bind_addr[:2])

    def stop(self) -> None:
        """Stop listening."""
        threading.Thread(target=self.http_server.stop, daemon=True).start()

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Handle one call; a WSGI application."""
        raise NotImplementedError


def _respond(
    start_response: typing.Any,
    status: int,
    body: bytes,
    headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    length = ("Content-Length", str(len(body)))
    start_response(f"{status} Status", [length, *headers])
    return [body]


def _read_body(environ: dict[str, typing.Any]) -> bytes:
    body: bytes = environ["wsgi.input"].read(
        int(environ.get("CONTENT_LENGTH") or 0)
    )
    return body


class ObjectStore(_HttpServer):
    """The platform's object store.

    ``objects_by_kind`` holds, by kind and name, the revision and the spec of
    each object.  ``revision`` is the last revision that the store assigned;
    every write gets the next one.  ``era`` is sent with each response unless
    it is 0.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 10
        self.era = 0
        self.objects_by_kind: dict[str, dict[str, tuple[int, typing.Any]]] = {}
        # By kind: the revision and the name of each object that was removed.
        self.removals: dict[str, list[tuple[int, str]]] = {}
        super().__init__()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object unconditionally and wake the watches."""
        with self.changed:
            self.revision += 1
            self.objects_by_kind.setdefault(kind, {})[name] = (
                self.revision,
                spec,
            )
            self.changed.notify_all()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object and wake the watches."""
        with self.changed:
            self.revision += 1
            del self.objects_by_kind[kind][name]
            self.removals.setdefault(kind, []).append((self.revision, name))
            self.changed.notify_all()

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Handle one call; a WSGI application."""
        parts = environ["PATH_INFO"].removeprefix("/api/objects/").split("/")
        query = dict(
            pair.split("=")
            for pair in environ["QUERY_STRING"].split("&")
            if pair
        )
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        match environ["REQUEST_METHOD"]:
            case "GET" if "watch" in query:
                result = self._watch(kind, query)
            case "GET" if name:
                result = self._get(kind, name)
            case "GET":
                result = self._list(kind)
            case _:
                document = msgspec.json.decode(_read_body(environ))
                result = self._write(kind, name, document)
        era = [("Store-Era", str(self.era))] if self.era else []
        return _respond(
            start_response, result[0], msgspec.json.encode(result[1]), era
        )

    def copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        with self.changed:
            return self.revision, copy.deepcopy(self.objects_by_kind)

    def restore(self, copied: StoreCopy) -> None:
        """Come back from a copy, in the next era."""
        with self.changed:
            self.revision, self.objects_by_kind = copied
            self.era += 1
            self.changed.notify_all()

    def _object(self, kind: str, name: str) -> dict[str, typing.Any]:
        revision, spec = self.objects_by_kind[kind][name]
        metadata = {"name": name, "revision": revision}
        return {"metadata": metadata, "spec": spec, "status": None}

    def _get(self, kind: str, name: str) -> tuple[int, object]:
        if name not in self.objects_by_kind.get(kind, {}):
            return 404, {}
        return 200, self._object(kind, name)

    def _list(self, kind: str) -> tuple[int, object]:
        """Return status and document of a listing of all objects of a kind."""
        with self.changed:
            items = [
                self._object(kind, name)
                for name in self.objects_by_kind.get(kind, {})
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self.revision,
            }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        """Wait for writes after a revision and return them as events."""
        since = int(query["watch"])

        def newer_names() -> list[str]:
            objects = self.objects_by_kind.get(kind, {})
            return [
                name
                for name, (revision, _) in objects.items()
                if revision > since
            ]

        def removed_names() -> list[str]:
            return [
                name
                for revision, name in self.removals.get(kind, [])
                if revision > since
            ]

        with self.changed:
            self.changed.wait_for(
                lambda: (
                    newer_names() or removed_names() or since > self.revision
                ),
                int(query["wait_ms"]) / 1000,
            )
            events = [
                {"tombstone": False, "object": self._object(kind, name)}
                for name in newer_names()
            ]
            if since > self.revision:
                return 410, {}
            events += [
                {
                    "tombstone": True,
                    "object": {
                        "metadata": {"name": name, "revision": self.revision},
                        "spec": None,
                    },
                }
                for name in removed_names()
            ]
            return 200, {"events": events, "current_rev": self.revision}

    def _write(
        self, kind: str, name: str, document: dict[str, typing.Any]
    ) -> tuple[int, object]:
        """Write an object and return the status and document of the response.

        A write without a name in the path creates an object; one with a name
        replaces it, if its revision is still the one given in the document.
        """
        metadata = document["metadata"]
        with self.changed:
            stored = self.objects_by_kind.get(kind, {}).get(metadata["name"])
            if name and stored is None:
                return 404, {}
            expected_revision = metadata.get("revision")
            if stored is not None and (
                not name or expected_revision not in (None, stored[0])
            ):
                return 409, self._object(kind, metadata["name"])
            self.put(kind, metadata["name"], document["spec"])
            return 200, self._object(kind, metadata["name"])


class AppServer(_HttpServer):
    """A backend server that holds granted key ranges.

    Each response describes the request as the server received it; ``received``
    keeps these descriptions.  ``key_ranges`` maps the first and last key of a
    granted range to the time at which the grant expires.  Requests take one
    second while ``slow`` is set, and are blocked while ``unblocked`` is clear.
    ``started_ms`` is the wall-clock time of the server's start.  A server
    that is ``leaving`` announces nothing, and its health check fails.
    """

    def __init__(self, server_id: str, service: str) -> None:
        self.server_id = server_id
        self.service = service
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.started_ms = time.time_ns() // 1_000_000
        self.key_ranges: dict[tuple[int, int], float] = {}
        self.received: list[dict[str, typing.Any]] = []
        self.slow = threading.Event()
        self.request_started = threading.Event()
        self.unblocked = threading.Event()
        self.unblocked.set()
        self.http_client = urllib3.PoolManager(retries=False, timeout=5.0)
        super().__init__()

    def announce(self, control: str) -> int:
        """Announce the server to a process; return the response's status.

        ``control`` is the address of the process's control port.
        """
        if self.leaving:
            return 0
        self.sequence += 1
        return int(self.report(control, {}, self.sequence).status)

    def report(
        self, control: str, keys: dict[str, typing.Any], sequence: int
    ) -> urllib3.BaseHTTPResponse:
        """Send a report with the given keys; return the response."""
        document = {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": 9,
            },
            "status": {
                "state": self.state,
                "sequence": sequence,
                "cold_remaining_ms": 0,
            },
            "born": self.started_ms,
            **keys,
        }
        return self.http_client.request(
            "PUT",
            f"http://{control}/api/instances/{self.server_id}",
            body=msgspec.json.encode(document),
        )

    def holds(self, key: int) -> bool:
        """Return whether the server holds an unexpired grant of a key."""
        now = time.monotonic()
        return any(
            first <= key <= last and now < expires_at
            for (first, last), expires_at in self.key_ranges.items()
        )

    def serve(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Handle a command or a request; a WSGI application."""
        body = _read_body(environ)
        match environ["PATH_INFO"]:
            case "/api/grant":
                command = msgspec.json.decode(body)
                key_range = (command["from"], command["target"])
                expires_at = time.monotonic() + command["hold_ms"] / 1000
                self.key_ranges[key_range] = expires_at
                return _respond(start_response, 200, b"")
            case "/api/release":
                command = msgspec.json.decode(body)
                self.key_ranges.pop((command["from"], command["target"]), None)
                handover = [("Handover", f"of {self.server_id}")]
                return _respond(start_response, 200, b"", handover)
            case "/health":
                named = [("Instance-Id", self.server_id)]
                healthy = self.state == "ready" and not self.leaving
                status = 200 if healthy else 503
                return _respond(start_response, status, b"", named)
            case _:
                return self._execute(environ, start_response, body)

    def _execute(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Any,
        body: bytes,
    ) -> collections.abc.Iterable[bytes]:
        """Describe a request in a response, or refuse it for its key."""
        key = environ.get("HTTP_SHARD_KEY")
        if key is not None and not self.holds(int(key)):
            return _respond(start_response, 421, b"", [("Not-Executed", "1")])
        self.request_started.set()
        self.unblocked.wait(MAX_BLOCK_S)
        if self.slow.is_set():
            time.sleep(1.0)
        description = {
            "server": self.server_id,
            "method": environ["REQUEST_METHOD"],
            "target": environ["REQUEST_URI"],
            "caller": environ.get("HTTP_CALLER_SERVICE"),
            "expected": environ.get("HTTP_EXPECTED_INSTANCE"),
            "deadline_ms": environ.get("HTTP_DEADLINE_MS"),
            "own": environ.get("HTTP_X_OWN"),
            "body": body.decode(),
        }
        self.received.append(description)
        return _respond(
            start_response,
            200,
            msgspec.json.encode(description),
            [
                ("Request-Id", environ["HTTP_REQUEST_ID"]),
                ("Server-Signature", "signed"),
            ],
        )


class ReportingAppServer(AppServer):
    """A backend server that takes its keys from the responses to its reports.

    ``rows`` maps the first and last key of each row to its token, and to the
    time at which it expires; ``handovers`` are those that came with rows.
    It refuses commands.
    """

    def __init__(self, server_id: str, service: str) -> None:
        self.rows: dict[tuple[int, int], tuple[int, float]] = {}
        self.released: list[tuple[int, int, str]] = []
        self.handovers: set[str] = set()
        super().__init__(server_id, service)

    def announce(self, control: str) -> int:
        """Send a report and do what the response orders."""
        self.sequence += 1
        sent_at = time.monotonic()
        reported = list(self.released)
        holds = [
            (first, last, token)
            for (first, last), (token, until) in self.rows.items()
            if sent_at < until
        ]
        response = self.report(
            control,
            {"holds": holds, "released": reported},
            self.sequence,
        )
        if response.status == 200:
            self.released = [
                row for row in self.released if row not in reported
            ]
            self._apply(msgspec.json.decode(response.data), sent_at)
        return int(response.status)

    def _apply(self, reply: dict[str, typing.Any], sent_at: float) -> None:
        if "holds" not in reply:
            return
        until = sent_at + reply["hold_ms"] / 1000
        ordered = {
            (first, last): (token, until)
            for first, last, token, _ in reply["holds"]
        }
        self.handovers |= {row[3] for row in reply["holds"] if row[3]}
        self.released += [
            (*row, f"of {self.server_id}")
            for row in self.rows
            if row not in ordered
        ]
        self.rows = ordered

    def holds(self, key: int) -> bool:
        """Return whether the server holds an unexpired row with a key."""
        now = time.monotonic()
        return any(
            first <= key <= last and now < until
            for (first, last), (_, until) in self.rows.items()
        )
