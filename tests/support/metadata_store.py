"""A store of versioned objects, reached by each process at its own port.

The ports share the objects; each has faults of its own.
"""

import asyncio
import contextlib
import dataclasses
import enum
import json
import typing
import urllib.parse

from support import small_http

API_PATH: typing.Final = "/api/objects/"
CALL_S: typing.Final = 0.004
"""Time that a call takes without a fault."""

Document: typing.TypeAlias = dict[str, typing.Any]


class FaultKind(enum.Enum):
    """What happens to the calls of one process."""

    SLOW = "slow"
    UNAVAILABLE = "unavailable"
    TOO_MANY = "too many"
    RESET = "reset"
    NO_RESPONSE = "no response"
    EXECUTED_LATE = "executed late, no response"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of all calls of one process; ``delay_s`` if it delays them."""

    kind: FaultKind
    delay_s: float = 0.0


class Store:
    """The objects, their revisions and the events of watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], Document] = {}
        self.events: list[tuple[int, str, Document]] = []
        self.changed = asyncio.Condition()

    async def write(self, kind: str, name: str, spec: object) -> Document:
        """Create or replace an object."""
        self.revision += 1
        old = self.objects.get((kind, name))
        metadata: Document = {
            "name": name,
            "revision": self.revision,
            "created": old["metadata"]["created"] if old else self.revision,
            "finalizers": [],
            "deletion_pending": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = stored
        event = {"tombstone": False, "object": stored}
        self.events.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()
        return stored

    async def call(self, request: small_http.Message) -> tuple[int, Document]:
        """Execute a call; return the status and body of its response."""
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path.removeprefix(API_PATH)
        kind, _, name = urllib.parse.unquote(path).partition("/")
        match request.start[0]:
            case "GET" if "watch" in query:
                return await self._watch(kind, query)
            case "GET" if name:
                stored = self.objects.get((kind, name))
                return (404, {}) if stored is None else (200, stored)
            case "GET":
                return 200, self._list(kind, query.get("after", ""))
            case "POST":
                return await self._create(kind, json.loads(request.body))
            case "PUT":
                return await self._replace(kind, json.loads(request.body))
            case method:
                return 405, {"error": method}

    def _list(self, kind: str, after: str) -> Document:
        items = [
            stored
            for (of_kind, name), stored in sorted(self.objects.items())
            if of_kind == kind and name > after
        ]
        return {
            "items": items,
            "has_more": False,
            "current_rev": self.revision,
        }

    async def _create(
        self, kind: str, document: Document
    ) -> tuple[int, Document]:
        name = document["metadata"]["name"]
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 200, await self.write(kind, name, document["spec"])

    async def _replace(
        self, kind: str, document: Document
    ) -> tuple[int, Document]:
        metadata = document["metadata"]
        stored = self.objects.get((kind, metadata["name"]))
        if stored is None:
            return 404, {}
        expected = metadata.get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return 409, stored
        if stored["spec"] == document["spec"]:
            return 200, stored
        return 200, await self.write(kind, metadata["name"], document["spec"])

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Document]:
        since = int(query["watch"])

        def newer() -> list[Document]:
            return [
                event
                for revision, of_kind, event in self.events
                if of_kind == kind and revision > since
            ]

        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self.changed.wait_for(newer)
        return 200, {"events": newer(), "current_rev": self.revision}


class StorePort:
    """The port at which one process reaches the store."""

    def __init__(self, store: Store, address: str) -> None:
        self.store = store
        self.fault: Fault | None = None
        self.listener = small_http.Listener(address, self._handle)
        self.late_calls: set[asyncio.Task[tuple[int, Document]]] = set()

    async def _handle(
        self, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        fault = self.fault
        await asyncio.sleep(CALL_S)
        match fault and fault.kind:
            case FaultKind.UNAVAILABLE:
                return small_http.response(503, b"{}")
            case FaultKind.TOO_MANY:
                return small_http.response(429, b"{}")
            case FaultKind.RESET:
                return small_http.NoResponse.RESET
            case FaultKind.NO_RESPONSE:
                await self.store.call(request)
                return small_http.NoResponse.SILENT
            case FaultKind.EXECUTED_LATE:
                assert fault is not None
                self._execute_late(request, fault.delay_s)
                return small_http.NoResponse.SILENT
            case FaultKind.SLOW:
                assert fault is not None
                await asyncio.sleep(fault.delay_s)
        status, body = await self.store.call(request)
        return small_http.response(
            status,
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )

    def _execute_late(
        self, request: small_http.Message, delay_s: float
    ) -> None:
        """Execute a call after its sender has given up."""

        async def execute() -> tuple[int, Document]:
            await asyncio.sleep(delay_s)
            return await self.store.call(request)

        task = asyncio.get_running_loop().create_task(execute())
        self.late_calls.add(task)
        task.add_done_callback(self.late_calls.discard)
