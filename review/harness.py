"""Runs sidecars as separate processes between small stand-ins.

The stand-ins are the platform's object store, backend servers and requesters.
They speak what ``PROTOCOL.md`` says, on loopback addresses, and use only the
standard library.  A case script imports this module, builds a ``Fleet``, and
judges what its servers and requesters saw.  ``Record`` writes all of it to
``record.txt`` beside the script.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPS = ROOT / "target" / "deps"

MODULE = "bronzepaddle_node.main"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

HEARTBEAT_S = 0.87
START_TIMEOUT_S = 25.0
RUN_TIMEOUT_S = 110.0
"""A script may run for 120 s."""


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """The record of a run: one line for each event, with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        now = time.monotonic() - self.started_at
        self.file.write(f"{now:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)


def trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


# HTTP/1.1, as far as the stand-ins need it.


@dataclasses.dataclass
class Message:
    """A request or a response: its first line, headers and body."""

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Read one message; None if the connection ended before it."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    headers: dict[str, str] = {}
    while (header := await reader.readline()) != b"\r\n":
        if not header.endswith(b"\r\n"):
            return None
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunked(reader)
    elif has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(line.decode("latin-1").split(None, 2), headers, body)


async def _read_chunked(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return b"".join(pieces)


def response_bytes(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Listener:
    """Base class of the stand-ins that listen on a port."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host = host
        self.port = port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        """Start to listen; keeps its port over a restart."""
        self.server = await asyncio.start_server(
            self._connected, self.host, self.port, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def vanish(self) -> None:
        """Close the port and reset all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.handle(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Condition()

    async def write(self, kind: str, name: str, spec: object) -> dict:
        """Write an object as the operator does."""
        self.revision += 1
        old = self.objects.get((kind, name))
        metadata = {
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

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one call."""
        method, target = request.start[0], request.start[1]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path.removeprefix("/api/objects/").split("/")
        kind, name = path[0], urllib.parse.unquote("/".join(path[1:]))
        status, body = await self._call(method, kind, name, query, request)
        await asyncio.sleep(0.004)
        headers = {"Content-Type": "application/json"}
        writer.write(
            response_bytes(status, json.dumps(body).encode(), headers)
        )
        await writer.drain()
        return True

    async def _call(
        self,
        method: str,
        kind: str,
        name: str,
        query: dict[str, str],
        request: Message,
    ) -> tuple[int, object]:
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name:
            stored = self.objects.get((kind, name))
            return (404, {}) if stored is None else (200, stored)
        if method == "GET":
            items = [
                stored
                for (of_kind, of_name), stored in sorted(self.objects.items())
                if of_kind == kind and of_name > query.get("after", "")
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self.revision,
            }
        document = json.loads(request.body)
        metadata = document["metadata"]
        stored = self.objects.get((kind, metadata["name"]))
        if method == "POST":
            if stored is not None:
                return 409, stored
            created = await self.write(
                kind, metadata["name"], document["spec"]
            )
            return 200, created
        if stored is None:
            return 404, {}
        if metadata.get("revision") not in (
            None,
            stored["metadata"]["revision"],
        ):
            return 409, stored
        if stored["spec"] == document["spec"]:
            return 200, stored
        return 200, await self.write(kind, name, document["spec"])

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, object]:
        since = int(query["watch"])

        def newer() -> list[dict]:
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


@dataclasses.dataclass
class Held:
    """Keys that a server holds, with their generation number."""

    first: int
    last: int
    fence: int
    since: float
    until: float


@dataclasses.dataclass(frozen=True)
class Begun:
    """A request that a server began to run at ``at``, until ``until``."""

    request_id: str
    server_id: str
    key: int | None
    at: float
    until: float


class Server(Listener):
    """A backend server, which may hold keys.

    ``work_s`` returns how long a request runs and the body of its response.
    ``begun`` are all requests that it began to run in any of its lives.
    ``holds`` lists, for the current life, what is held; ``history`` has every
    hold of every life: server id, first, last, generation number, from, until.
    """

    def __init__(
        self, record: Record, host: str, name: str, service: str, slots: int
    ) -> None:
        super().__init__(host)
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.work = lambda _request: (0.05, b"ok")
        self.lives = 0
        self.up = False
        self.state = "ready"
        self.control = ""
        self.begun: list[Begun] = []
        self.holds: list[Held] = []
        self.history: list[tuple[str, Held]] = []
        self.highest_fence: list[tuple[int, int, int]] = []
        self.beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Start a life: a new id, no keys."""
        self.lives += 1
        self.server_id = f"i-{self.name}-{self.lives}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.holds = []
        self.highest_fence = []
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.running = 0
        self.up = True
        await self.listen()
        self.record.write(f"server {self.server_id} up at {self.address}")
        self.beats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End without a word."""
        self.record.write(f"server {self.server_id} crashes")
        self.up = False
        if self.beats is not None:
            self.beats.cancel()
        now = time.monotonic()
        for held in self.holds:
            held.until = min(held.until, now)
        self.holds = []
        self.vanish()

    async def _beat(self) -> None:
        while True:
            status = await self.report()
            if status != 200:
                self.record.write(f"report of {self.server_id}: {status}")
            await asyncio.sleep(HEARTBEAT_S)

    def report_document(self) -> dict:
        """Return the next status report."""
        self.sequence += 1
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            },
            "born": self.born,
        }

    async def report(self) -> int:
        """Send a status report to the control address of the machine."""
        return await call(
            self.control,
            "PUT",
            f"/api/instances/{self.server_id}",
            json.dumps(self.report_document()).encode(),
        )

    def holds_key(self, key: int) -> bool:
        """Return whether the server holds a key now."""
        now = time.monotonic()
        return any(
            held.first <= key <= held.last and now < held.until
            for held in self.holds
        )

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a command, a liveness check or a request."""
        path = request.start[1]
        if path == "/api/grant":
            writer.write(self._grant(json.loads(request.body)))
        elif path == "/api/release":
            writer.write(await self._release(json.loads(request.body)))
        elif path == "/health":
            headers = {"Instance-Id": self.server_id}
            writer.write(response_bytes(200, b"", headers))
        else:
            writer.write(await self._run(request))
        await writer.drain()
        return True

    def _grant(self, command: dict) -> bytes:
        first, last = command["from"], command["target"]
        fence = command["fence"]
        now = time.monotonic()
        until = now + command["hold_ms"] / 1000 * 1.02
        if any(
            seen > fence and first <= seen_last and seen_first <= last
            for seen_first, seen_last, seen in self.highest_fence
        ):
            self.record.write(
                f"{self.server_id} refuses grant {first}-{last} fence {fence}"
            )
            return response_bytes(409)
        self.highest_fence = [
            (seen_first, seen_last, seen)
            for seen_first, seen_last, seen in self.highest_fence
            if seen > fence or seen_first < first or last < seen_last
        ]
        self.highest_fence.append((first, last, fence))
        for held in self.holds:
            same = (held.first, held.last, held.fence) == (first, last, fence)
            if same and now < held.until:
                held.until = until
                self.record.write(
                    f"{self.server_id} renews {first}-{last} fence"
                    f" {fence} for {command['hold_ms']} ms"
                )
                return response_bytes(200)
        self._cut(first, last, now)
        held = Held(first, last, fence, now, until)
        self.holds.append(held)
        self.history.append((self.server_id, held))
        self.record.write(
            f"{self.server_id} takes {first}-{last} fence {fence}"
            f" for {command['hold_ms']} ms"
        )
        return response_bytes(200)

    def _cut(self, first: int, last: int, now: float) -> None:
        """End the holds of a range; keep what lies outside of it."""
        kept = []
        for held in self.holds:
            if held.last < first or last < held.first:
                kept.append(held)
                continue
            until = held.until
            held.until = min(held.until, now)
            for part_first, part_last in (
                (held.first, first - 1),
                (last + 1, held.last),
            ):
                if part_first <= part_last:
                    part = Held(part_first, part_last, held.fence, now, until)
                    kept.append(part)
                    self.history.append((self.server_id, part))
        self.holds = kept

    async def _release(self, command: dict) -> bytes:
        first, last = command["from"], command["target"]
        self._cut(first, last, time.monotonic())
        while self.running_keys(first, last):
            await asyncio.sleep(0.005)
        self.record.write(f"{self.server_id} releases {first}-{last}")
        handover = {"Handover": f"{self.server_id}x{first}"}
        return response_bytes(200, b"", handover)

    def running_keys(self, first: int, last: int) -> int:
        """Return how many requests run on keys of a range."""
        return sum(
            count
            for key, count in getattr(self, "busy", {}).items()
            if first <= key <= last
        )

    async def _run(self, request: Message) -> bytes:
        headers = request.headers
        request_id = headers.get("request-id")
        if request_id is None:
            return response_bytes(400, b"", {"Not-Executed": "1"})
        echo = {"Request-Id": request_id}
        refused = {**echo, "Not-Executed": "1"}
        expected = headers.get("expected-instance")
        if expected is not None and expected != self.server_id:
            return response_bytes(
                421, b"", {**echo, "Instance-Id": self.server_id}
            )
        key = int(headers["shard-key"]) if "shard-key" in headers else None
        if key is not None and not self.holds_key(key):
            return response_bytes(421, b"", refused)
        if self.waiting >= self.slots:
            return response_bytes(503, b"", refused)
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        life = self.server_id
        busy = self.__dict__.setdefault("busy", collections.Counter())
        busy[key if key is not None else -1] += 1
        try:
            now = time.monotonic()
            work_s, body = self.work(request)
            self.begun.append(Begun(request_id, life, key, now, now + work_s))
            self.record.write(
                f"{life} runs {request_id} {' '.join(request.start[:2])}"
                f" key {key} for {work_s:.3f} s"
            )
            await asyncio.sleep(work_s)
        finally:
            busy[key if key is not None else -1] -= 1
            self.free.release()
        signature = {"Server-Signature": f"{life}.{len(body)}"}
        return response_bytes(200, body, {**echo, **signature})


async def call(address: str, method: str, path: str, body: bytes = b"") -> int:
    """Make one call to a control or ready address; 0 if it got no answer."""
    host, _, port = address.partition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n"
                    f"Connection: close\r\n\r\n".encode()
                    + body
                )
                answer = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    return 0 if answer is None else int(answer.start[1])


@dataclasses.dataclass
class Answer:
    """What a requester got; status 0 if the answer was not complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float
    detail: str = ""


class Connection:
    """One connection of a requester to the outbound address of a machine."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, receive_buffer: int | None = None) -> None:
        """Connect; a requester allows one second for it."""
        host, _, port = self.address.partition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        async with asyncio.timeout(1.0):
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=receive_buffer or 2**16
        )

    @property
    def is_open(self) -> bool:
        """Return whether another request may be sent."""
        return self.writer is not None and not self.writer.is_closing()

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        chunked: bool = False,
    ) -> None:
        """Send one request."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if chunked:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.writer.write(head + body)

    async def receive(self, timeout_s: float) -> Answer:
        """Read the answer."""
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                message = await read_message(self.reader)
        except TimeoutError:
            return self._no_answer(started_at, "no answer in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            return self._no_answer(started_at, repr(error))
        if message is None:
            return self._no_answer(started_at, "connection closed")
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(
            int(message.start[1]),
            message.headers,
            message.body,
            time.monotonic() - started_at,
        )

    def _no_answer(self, started_at: float, detail: str) -> Answer:
        self.close()
        return Answer(0, {}, b"", time.monotonic() - started_at, detail)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


_IDS = itertools.count(1)
_TASKS: set[asyncio.Task] = set()


def in_background(work: collections.abc.Coroutine) -> None:
    """Run a coroutine as a task and keep a reference to it."""
    task = asyncio.get_running_loop().create_task(work)
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)


def request_headers(
    host: str, deadline_ms: int, key: int | None = None
) -> dict[str, str]:
    """Return the headers of a new request, with an id of its own."""
    headers = {
        "Host": host,
        "Request-Id": f"q{next(_IDS):06d}",
        "Deadline-Ms": str(deadline_ms),
    }
    if key is not None:
        headers["Shard-Key"] = str(key)
    return headers


class Machine:
    """A machine: the sidecar process and the server beside it."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, server: Server):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.server = server
        self.host = fleet.next_host()
        ports = itertools.count(fleet.first_port)
        self.outbound = f"{self.host}:{next(ports)}"
        self.ready_address = f"{self.host}:{next(ports)}"
        self.control = f"{self.host}:{next(ports)}"
        self.peers = f"{self.host}:{next(ports)}"
        self.metrics = f"{self.host}:{next(ports)}"
        server.control = self.control
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.ready_misses = 2

    def settings(self) -> str:
        """Return the settings file as the template of the deploy file."""
        template = (ROOT / "deploy" / "sidecar.ini").read_text("utf-8")
        values = {
            "node_id": self.name,
            "zone": self.zone,
            "service": self.server.service,
            "first_start": "true" if self.starts == 0 else "false",
            "bounds.grace_s": str(self.fleet.grace_s),
            "bind_addresses.outbound": self.outbound,
            "bind_addresses.ready": self.ready_address,
            "bind_addresses.control": self.control,
            "{ip}:internal": self.peers,
            "limits.link_mbps": str(self.fleet.link_mbps),
            "platform.address": self.fleet.store.address,
            "heartbeat_ms": str(round(HEARTBEAT_S * 1000)),
            "bounds.max_hold_ms": "10000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_slack": "60",
        }
        text = template.replace("{{ip}}:{{internal_ports.0}}", self.peers)
        text = text.replace("{{ip}}:9464", self.metrics)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise CannotRunError(f"unknown placeholder in: {text}")
        return text

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.fleet.folder / f"{self.name}.ini"
        path.write_text(self.settings(), "utf-8")
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.fleet.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(DEPS),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", MODULE, "--config", str(path)],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.starts += 1
        self.fleet.record.write(
            f"process {self.name} starts, pid {self.process.pid}"
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.fleet.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> bool:
        """Wait until the process has ended; False if it has not."""
        ends_at = time.monotonic() + timeout_s
        while self.process.poll() is None:
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.01)
        self.fleet.record.write(
            f"process {self.name} ended with {self.process.returncode}"
        )
        return True

    @property
    def in_service(self) -> bool:
        """Return whether the ready checks let requesters send new work."""
        return self.ready_misses < 2


class Fleet:
    """The store, the machines and the temporary folder of a case."""

    def __init__(
        self, record: Record, grace_s: int = 6, link_mbps: float = 1000.0
    ) -> None:
        if not (DEPS / "bronzepaddle_node").is_dir():
            raise CannotRunError("target/deps is missing: sh deploy/build")
        self.record = record
        self.grace_s = grace_s
        self.link_mbps = link_mbps
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = pathlib.Path(self.temporary.name)
        number = os.getpid()
        self.network = f"127.{64 + (number >> 8) % 64}.{number & 255}"
        self.hosts = itertools.count(2)
        self.first_port = 21_000
        self.store = Store(f"{self.network}.1")
        self.machines: list[Machine] = []
        self.ready_task: asyncio.Task | None = None

    def next_host(self) -> str:
        """Return an unused loopback address."""
        return f"{self.network}.{next(self.hosts)}"

    def add(self, name: str, zone: str, service: str, slots: int) -> Machine:
        """Add a machine with its server."""
        server = Server(self.record, self.next_host(), name, service, slots)
        machine = Machine(self, name, zone, server)
        self.machines.append(machine)
        return machine

    async def start(self, config: dict) -> None:
        """Start everything; returns once all machines are ready."""
        await self.store.listen()
        await self.store.write("config", "main", config)
        for machine in self.machines:
            machine.start()
            await machine.server.start()
        self.ready_task = asyncio.create_task(self._check_ready())
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not all(machine.in_service for machine in self.machines):
            if time.monotonic() > ends_at:
                raise CannotRunError("the machines did not become ready")
            await asyncio.sleep(0.1)

    async def _check_ready(self) -> None:
        """Ask each machine once a second whether it is ready."""
        while True:
            await asyncio.gather(*map(self._check_one, self.machines))
            await asyncio.sleep(1.0)

    async def _check_one(self, machine: Machine) -> None:
        status = await call(machine.ready_address, "GET", "/api/ready")
        misses = 0 if status == 200 else machine.ready_misses + 1
        if (misses >= 2) != (machine.ready_misses >= 2):
            self.record.write(
                f"{machine.name} {'out' if misses >= 2 else 'in'}: {status}"
            )
        machine.ready_misses = misses

    def may_send(self, machine: Machine) -> bool:
        """Return whether requesters of a machine send new work to it."""
        zone = [other for other in self.machines if other.zone == machine.zone]
        ready = sum(other.in_service for other in zone)
        return machine.in_service or 2 * ready < len(zone)

    async def stop(self) -> None:
        """End all processes that this case started."""
        if self.ready_task is not None:
            self.ready_task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                machine.process.wait()
            if machine.server.up:
                machine.server.crash()
        self.store.vanish()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                target = pathlib.Path(keep) / log.name
                target.write_bytes(log.read_bytes())
        self.temporary.cleanup()


def route(
    name: str,
    service: str,
    route_type: str = "idempotent",
    timeout_ms: int = 2000,
    target_ms: int = 250,
    priority: int = 0,
) -> dict:
    """Return a route of the desired state; its prefix is its name."""
    return {
        "name": name,
        "host": "hulo84.example",
        "path_prefix": f"/{name}/",
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": priority,
        "service": service,
        "max_attempts": 2,
    }


def desired_state(
    routes: list[dict], services: dict[str, bool], version: int = 7
) -> dict:
    """Return a desired state; ``services`` says which are divided by key."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 120,
                "sharded": sharded,
                **({"warm_s": 3.0} if sharded else {}),
            }
            for name, sharded in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def retry_until_served(
    machine: Machine, path: str, key: int | None = None
) -> None:
    """Wait until a request is served; raises ``CannotRunError``."""
    ends_at = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_at:
        connection = Connection(machine.outbound)
        with contextlib.suppress(OSError, TimeoutError):
            await connection.open()
            connection.send(
                "GET", path, request_headers("hulo84.example", 2000, key)
            )
            answer = await connection.receive(3.0)
            connection.close()
            if answer.status == 200:
                return
        await asyncio.sleep(0.2)
    raise CannotRunError(f"{path} is not served by {machine.name}")


def main(case, record_path: pathlib.Path) -> None:
    """Run a case and exit with its result."""
    record = Record(record_path)
    record.say(f"TROUBLE={1 if trouble() else 0}")

    async def run() -> int:
        running = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, running.cancel
            )
        async with asyncio.timeout(RUN_TIMEOUT_S):
            return await case(record)

    try:
        result = asyncio.run(run())
    except BaseException as error:  # An error of the script is no result.
        record.say(f"could not run: {error!r}")
        result = COULD_NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.say(words.get(result, "the case could not run"))
    sys.stdout.flush()
    os._exit(result)
