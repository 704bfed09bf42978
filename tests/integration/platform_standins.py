"""Stand-ins that speak the platform's published forms: store and server."""

import collections.abc
import threading
import time
import typing

import msgspec
import urllib3
from bronzepaddle_callers import server

THREADS: typing.Final = 24

GATE_S: typing.Final = 120.0
"""Bound on the wait at a closed gate, to end a hung test."""


class _Served:
    """An HTTP server on a free port."""

    def __init__(self) -> None:
        self.http = server.BackgroundServer(
            ("127.0.0.1", 0), self.serve, numthreads=THREADS
        )
        self.http.start_threads()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return "{}:{}".format(*self.http.bind_addr[:2])

    def stop(self) -> None:
        """Stop listening."""
        threading.Thread(target=self.http.stop, daemon=True).start()

    def serve(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        raise NotImplementedError


def _answer(
    start: typing.Any,
    status: int,
    body: bytes,
    headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    length = ("Content-Length", str(len(body)))
    start(f"{status} Said", [length, *headers])
    return [body]


def _body(environ: dict[str, typing.Any]) -> bytes:
    found: bytes = environ["wsgi.input"].read(
        int(environ.get("CONTENT_LENGTH") or 0)
    )
    return found


class ObjectStore(_Served):
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 10
        self.kinds: dict[str, dict[str, tuple[int, typing.Any]]] = {}
        super().__init__()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as the operator does."""
        with self.changed:
            self.revision += 1
            self.kinds.setdefault(kind, {})[name] = (self.revision, spec)
            self.changed.notify_all()

    def serve(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        parts = environ["PATH_INFO"].removeprefix("/api/objects/").split("/")
        query = dict(
            pair.split("=")
            for pair in environ["QUERY_STRING"].split("&")
            if pair
        )
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        match environ["REQUEST_METHOD"]:
            case "GET" if "watch" in query:
                found = self._watch(kind, query)
            case "GET" if name:
                found = self._one(kind, name)
            case "GET":
                found = self._list(kind)
            case _:
                document = msgspec.json.decode(_body(environ))
                found = self._write(kind, name, document)
        return _answer(start, found[0], msgspec.json.encode(found[1]))

    def _object(self, kind: str, name: str) -> dict[str, typing.Any]:
        revision, spec = self.kinds[kind][name]
        metadata = {"name": name, "revision": revision}
        return {"metadata": metadata, "spec": spec, "status": None}

    def _one(self, kind: str, name: str) -> tuple[int, object]:
        if name not in self.kinds.get(kind, {}):
            return 404, {}
        return 200, self._object(kind, name)

    def _list(self, kind: str) -> tuple[int, object]:
        with self.changed:
            items = [
                self._object(kind, one) for one in self.kinds.get(kind, {})
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self.revision,
            }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        since = int(query["watch"])

        def newer() -> list[str]:
            found = self.kinds.get(kind, {})
            return [name for name, (at, _) in found.items() if at > since]

        with self.changed:
            self.changed.wait_for(newer, int(query["wait_ms"]) / 1000)
            events = [
                {"tombstone": False, "object": self._object(kind, name)}
                for name in newer()
            ]
            return 200, {"events": events, "current_rev": self.revision}

    def _write(
        self, kind: str, name: str, document: dict[str, typing.Any]
    ) -> tuple[int, object]:
        metadata = document["metadata"]
        with self.changed:
            known = self.kinds.get(kind, {}).get(metadata["name"])
            if name and known is None:
                return 404, {}
            wanted = metadata.get("revision")
            if known is not None and (
                not name or wanted not in (None, known[0])
            ):
                return 409, self._object(kind, metadata["name"])
            self.put(kind, metadata["name"], document["spec"])
            return 200, self._object(kind, metadata["name"])


class AppServer(_Served):
    """A backend server that holds keys and tells what it was sent."""

    def __init__(self, server_id: str, service: str) -> None:
        self.server_id = server_id
        self.service = service
        self.sequence = 0
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.keys: dict[tuple[int, int], float] = {}
        self.seen: list[dict[str, typing.Any]] = []
        self.slow = threading.Event()
        self.begun = threading.Event()
        # Requests that have begun go on only while this is set.
        self.gate = threading.Event()
        self.gate.set()
        self.http_out = urllib3.PoolManager(retries=False, timeout=5.0)
        super().__init__()

    def report(self, control: str) -> int:
        """Announce itself to a process; return the status of its answer."""
        self.sequence += 1
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
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            },
            "born": self.born,
        }
        answer = self.http_out.request(
            "PUT",
            f"http://{control}/api/instances/{self.server_id}",
            body=msgspec.json.encode(document),
        )
        return int(answer.status)

    def holds(self, key: int) -> bool:
        """Tell whether a key is granted now."""
        now = time.monotonic()
        return any(
            first <= key <= last and now < until
            for (first, last), until in self.keys.items()
        )

    def serve(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer an order or a request."""
        body = _body(environ)
        match environ["PATH_INFO"]:
            case "/api/grant":
                order = msgspec.json.decode(body)
                place = (order["from"], order["target"])
                until = time.monotonic() + order["hold_ms"] / 1000
                self.keys[place] = until
                return _answer(start, 200, b"")
            case "/api/release":
                order = msgspec.json.decode(body)
                self.keys.pop((order["from"], order["target"]), None)
                handover = [("Handover", f"of {self.server_id}")]
                return _answer(start, 200, b"", handover)
            case _:
                return self._run(environ, start, body)

    def _run(
        self, environ: dict[str, typing.Any], start: typing.Any, body: bytes
    ) -> collections.abc.Iterable[bytes]:
        key = environ.get("HTTP_SHARD_KEY")
        if key is not None and not self.holds(int(key)):
            return _answer(start, 421, b"", [("Not-Executed", "1")])
        self.begun.set()
        self.gate.wait(GATE_S)
        if self.slow.is_set():
            time.sleep(1.0)
        said = {
            "server": self.server_id,
            "method": environ["REQUEST_METHOD"],
            "target": environ["REQUEST_URI"],
            "caller": environ.get("HTTP_CALLER_SERVICE"),
            "expected": environ.get("HTTP_EXPECTED_INSTANCE"),
            "deadline_ms": environ.get("HTTP_DEADLINE_MS"),
            "own": environ.get("HTTP_X_OWN"),
            "body": body.decode(),
        }
        self.seen.append(said)
        return _answer(
            start,
            200,
            msgspec.json.encode(said),
            [
                ("Request-Id", environ["HTTP_REQUEST_ID"]),
                ("Server-Signature", "signed"),
            ],
        )
