"""Rig of the scripts of the second review: stand-ins, processes, record.

It uses the standard library only.  Each stand-in follows the users' pages and
behaves like a sound one unless a script tells it otherwise.  The programs of
the project are started with the command of ``deploy/system.toml`` and with
``deploy/sidecar.ini``, filled in as for a small deployment.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent

HELD: typing.Final = 0
BROKEN: typing.Final = 1
COULD_NOT_RUN: typing.Final = 2

SCRIPT_LIMIT_S: typing.Final = 115.0
"""A script that runs longer could not run."""

HOST: typing.Final = "127." + ".".join(
    str(random.randrange(1, 255)) for _ in range(3)
)
"""Address of the loopback interface, another one in each run, so that scripts
that run beside each other don't take each other's ports."""

PORTS: typing.Final = (20_000, 32_000)

HEARTBEAT_S: typing.Final = 0.87
KEY_COUNT: typing.Final = 65_536

BOUNDS: typing.Final = {
    "grace_s": 6,
    "max_hold_ms": 10_000,
    "retry_budget_ratio": 0.2,
    "budget_slack": 60,
}

Headers: typing.TypeAlias = dict[str, str]

_used_ports: set[int] = set()


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case can't be judged."""


class Record:
    """The file ``record.txt`` of a case, with a time in each line."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        at_s = time.monotonic() - self.started_at
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()


@dataclasses.dataclass
class Request:
    """A request as a stand-in received it; header names in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes
    at: float

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass
class Answer:
    """A response of a stand-in."""

    status: int
    body: bytes = b""
    headers: Headers = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read a start line and headers; raises an error at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body by its length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


class HttpStandIn:
    """A server on a free port of the loopback interface."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "") -> None:
        """Listen, at an address that another one had if one is given."""
        self.address = address or f"{HOST}:{free_port()}"
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._on_connection, host, int(port), limit=1 << 20
        )

    def crash(self) -> None:
        """Close the port and reset all connections."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                request = Request(
                    method, target, headers, body, time.monotonic()
                )
                answer = await self.until_gone(reader, self.serve(request))
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
        self.connections.discard(writer)
        writer.close()

    async def until_gone(
        self,
        reader: asyncio.StreamReader,
        serving: collections.abc.Coroutine[typing.Any, typing.Any, Answer],
    ) -> Answer | None:
        """Serve until done, or until the caller closes its connection."""
        task = asyncio.ensure_future(serving)
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                task.cancel()
                await asyncio.wait([task])
                return None
        return task.result()

    async def serve(self, request: Request) -> Answer:
        """Return the response to a request."""
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's object store, without faults of its own."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.objects: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self.events: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator does; return the revision."""
        async with self.changed:
            return self._put(kind, name, spec)

    def _put(self, kind: str, name: str, spec: object) -> int:
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": self.revision,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self.events.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return self.revision

    async def serve(self, request: Request) -> Answer:
        """Carry out one call."""
        parts = request.path.removeprefix("/api/objects/").split("/", 1)
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ""
        query = request.query
        if request.method == "GET":
            if "watch" in query:
                return await self._watch(kind, query)
            if name:
                found = self.objects.get(kind, {}).get(name)
                return _json(200, found) if found else _json(404, {})
            items = list(self.objects.get(kind, {}).values())
            return _json(
                200,
                {
                    "items": items,
                    "has_more": False,
                    "current_rev": self.revision,
                },
            )
        return await self._write(request, kind, name)

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query["watch"])

        def newer() -> list[dict[str, typing.Any]]:
            return [
                {"tombstone": gone, "object": stored}
                for revision, of_kind, stored, gone in self.events
                if of_kind == kind and revision > since
            ]

        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self.changed.wait_for(newer)
            return _json(
                200, {"events": newer(), "current_rev": self.revision}
            )

    async def _write(self, request: Request, kind: str, name: str) -> Answer:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("metadata", {})
        expected = metadata.get("revision")
        async with self.changed:
            name = name or metadata["name"]
            stored = self.objects.get(kind, {}).get(name)
            if request.method == "POST":
                if stored is not None:
                    return _json(409, stored)
            elif stored is None:
                return _json(404, {})
            elif expected not in (None, stored["metadata"]["revision"]):
                return _json(409, stored)
            self._put(kind, name, document["spec"])
            return _json(200, self.objects[kind][name])


def _json(status: int, document: object) -> Answer:
    return Answer(
        status,
        json.dumps(document).encode(),
        {"Content-Type": "application/json"},
    )


class AppServer(HttpStandIn):
    """A sound application server beside a process of the system.

    The query of a request says what it does: ``work_ms`` is the time that it
    runs, ``size`` that of its response.  ``runs`` lists the ids of requests
    with the time at which each began to run, ``ended`` maps those that ran to
    their end to the time.
    """

    def __init__(
        self, server_id: str, service: str, slots: int = 9, zone: str = "a"
    ) -> None:
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.zone = zone
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.grants: list[tuple[int, int, int, float]] = []
        self.runs: list[tuple[str, float]] = []
        self.ended: dict[str, float] = {}
        self.running = 0

    async def report(self, control: str) -> int:
        """Send one status report; return the status of the response."""
        self.sequence += 1
        return await put_report(control, self.server_id, self.document())

    def document(self) -> dict[str, typing.Any]:
        """Return the status report as of now."""
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            },
            "born": self.born,
        }

    async def keep_reporting(self, control: str) -> None:
        """Report once in each interval until cancelled."""
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await self.report(control)
            await asyncio.sleep(HEARTBEAT_S)

    def holds(self, key: int) -> bool:
        """Return whether the server holds a key now."""
        now = time.monotonic()
        return any(
            first <= key <= last and now < until
            for first, last, _, until in self.grants
        )

    async def serve(self, request: Request) -> Answer:
        """Carry out a command or run a request."""
        match request.path:
            case "/api/grant":
                return self.grant(json.loads(request.body), request.at)
            case "/api/release":
                return self._release(json.loads(request.body))
            case "/health":
                headers = {"Instance-Id": self.server_id}
                status = 200 if self.state == "ready" else 503
                return Answer(status, b"", headers)
            case _:
                return await self._run(request)

    def grant(self, grant: dict[str, typing.Any], at: float) -> Answer:
        """Take keys, or refuse them for a higher token seen before."""
        first, last, fence = grant["from"], grant["target"], grant["fence"]
        for held_first, held_last, token, _ in self.grants:
            if held_first <= last and first <= held_last and token > fence:
                return Answer(409)
        self._drop(first, last)
        until = at + grant["hold_ms"] / 1000
        self.grants.append((first, last, fence, until))
        return Answer(200)

    def _drop(self, first: int, last: int) -> None:
        kept = []
        for held_first, held_last, token, until in self.grants:
            if held_first < first:
                end = min(held_last, first - 1)
                kept.append((held_first, end, token, until))
            if held_last > last:
                begin = max(held_first, last + 1)
                kept.append((begin, held_last, token, until))
        self.grants = kept

    def _release(self, release: dict[str, typing.Any]) -> Answer:
        self._drop(release["from"], release["target"])
        return Answer(200, b"", {"Handover": "of-" + self.server_id})

    async def _run(self, request: Request) -> Answer:
        """Run a request for its time and return its response."""
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id}
        if request.headers.get("expected-instance") != self.server_id:
            headers["Instance-Id"] = self.server_id
            return Answer(421, b"", headers)
        key = request.headers.get("shard-key")
        if key is not None and not self.holds(int(key)):
            return Answer(421, b"", {**headers, "Not-Executed": "1"})
        if self.running >= self.slots + 4 * self.slots:
            return Answer(503, b"", {**headers, "Not-Executed": "1"})
        self.running += 1
        try:
            self.runs.append((request_id, time.monotonic()))
            await asyncio.sleep(int(request.query.get("work_ms", 20)) / 1000)
            self.ended[request_id] = time.monotonic()
        finally:
            self.running -= 1
        headers["Server-Signature"] = f"sig.{self.server_id}"
        size = int(request.query.get("size", 16))
        return Answer(200, body_of(request_id, size), headers)


def body_of(request_id: str, size: int) -> bytes:
    """Return the body of the response to a request."""
    pattern = (request_id + ".").encode()
    return (pattern * (size // len(pattern) + 1))[:size]


async def put_report(
    control: str, server_id: str, document: dict[str, typing.Any]
) -> int:
    """Send a status report; return the status of the response."""
    answer = await exchange(
        control,
        "PUT",
        f"/api/instances/{server_id}",
        {"Content-Type": "application/json"},
        json.dumps(document).encode(),
    )
    return answer.status


def open_socket(receive_bytes: int) -> socket.socket:
    """Return a socket with a receive buffer of a size."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    return sock


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def encode_request(
    method: str, target: str, headers: Headers, body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    if not any(name.lower() == "host" for name in headers):
        lines.append("Host: one.example")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole response; raises an error if it ends early."""
    first, headers = await read_head(reader)
    body = await read_body(reader, headers)
    return Answer(int(first.split(" ")[1]), body, headers)


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a connection of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await connect(address)
        try:
            writer.write(encode_request(method, target, headers or {}, body))
            return await read_answer(reader)
        finally:
            writer.close()


def route(
    prefix: str, service: str, route_type: str = "idempotent"
) -> dict[str, typing.Any]:
    """Return a route of the desired state."""
    return {
        "name": "r" + prefix.strip("/"),
        "host": "one.example",
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout_ms": 20_000,
        "target_latency_ms": 5_000,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }


def desired_state(
    version: int,
    routes: list[dict[str, typing.Any]],
    sharded: collections.abc.Collection[str] = (),
    limits: dict[str, int] | None = None,
) -> dict[str, typing.Any]:
    """Return a desired state with the services that its routes name."""
    names = sorted({one["service"] for one in routes} | set(sharded))
    services = [
        {
            "name": name,
            "health_path": "/health",
            "max_connections": 500,
            "sharded": name in sharded,
            "warm_s": 2.0,
        }
        for name in names
    ]
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
            **(limits or {}),
        },
    }


def free_port() -> int:
    """Return a port that is free now.

    It is below the ports that the kernel gives to outgoing connections, so
    that it is still free when a process is started again.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in _used_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _used_ports.add(port)
            return port


class Node:
    """One process of the system, as the deploy file starts it."""

    def __init__(
        self,
        rig: "Rig",
        name: str,
        service: str,
        zone: str = "a",
        evacuate_ms: int | None = None,
    ) -> None:
        self.rig = rig
        self.name = name
        ports = [f"{HOST}:{free_port()}" for _ in range(5)]
        self.callers, self.ready, self.control, peers, metrics = ports
        self.path = rig.folder / f"{name}.ini"
        self.process: subprocess.Popen[bytes] | None = None
        self.evacuate_ms = evacuate_ms
        self.values = {
            "node_id": name,
            "zone": zone,
            "service": service,
            "bounds.grace_s": BOUNDS["grace_s"],
            "bind_addresses.outbound": self.callers,
            "bind_addresses.ready": self.ready,
            "bind_addresses.control": self.control,
            "ip:peers": peers,
            "ip:metrics": metrics,
            "limits.link_mbps": 1000.0,
            "platform.address": rig.store.address,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds.max_hold_ms": BOUNDS["max_hold_ms"],
            "bounds.retry_budget_ratio": BOUNDS["retry_budget_ratio"],
            "bounds.budget_slack": BOUNDS["budget_slack"],
        }

    def write_settings(self, first_start: bool) -> None:
        """Fill in the template of the settings file."""
        template = (ROOT / "deploy/sidecar.ini").read_text(encoding="utf-8")
        # One host has all machines here, so the ports differ.
        template = template.replace("{{ip}}:{{internal_ports.0}}", "{{ip:p}}")
        template = template.replace("{{ip}}:9464", "{{ip:m}}")
        values = {
            **self.values,
            "ip:p": self.values["ip:peers"],
            "ip:m": self.values["ip:metrics"],
            "first_start": "true" if first_start else "false",
        }
        filled = re.sub(
            r"\{\{([^}]*)\}\}", lambda match: str(values[match[1]]), template
        )
        self.path.write_text(filled, encoding="utf-8")

    def start(self, first_start: bool = False) -> None:
        """Start the process."""
        self.write_settings(first_start)
        evacuate = "" if self.evacuate_ms is None else self.evacuate_ms
        log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [
                *("python3", "-m", "bronzepaddle_node.main"),
                *("--config", str(self.path)),
                *("--set", "process.memory-mb=300"),
                *("--set", f"evacuations.within-ms={evacuate}"),
            ],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "target/deps")},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.rig.processes.append(self.process)
        self.rig.record(f"start {self.name}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.rig.record(f"{number.name} {self.name}")

    async def wait_ended(self, timeout_s: float = 10.0) -> int:
        """Wait until the process has ended; return its status."""
        process = self.process
        assert process is not None
        await self.rig.wait_for(
            lambda: process.poll() is not None, f"{self.name} ends", timeout_s
        )
        return int(process.returncode)

    async def is_ready(self) -> bool:
        """Return whether the platform's readiness check passes."""
        try:
            answer = await exchange(self.ready, "GET", "/api/ready")
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200


class Rig:
    """The store, the processes and the record of one case."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def add(
        self, name: str, server: "AppServer", **settings: typing.Any
    ) -> Node:
        """Start a server and the process beside it; return the process."""
        await server.start()
        node = Node(self, name, server.service, server.zone, **settings)
        node.start(first_start=True)
        return node

    def background(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine until the end of the case."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def wait_for(
        self,
        condition: collections.abc.Callable[[], typing.Any],
        what: str,
        timeout_s: float = 30.0,
    ) -> None:
        """Wait until a condition holds, which may be a coroutine."""
        ends_at = time.monotonic() + timeout_s
        while True:
            holds = condition()
            if asyncio.iscoroutine(holds):
                holds = await holds
            if holds:
                return
            if time.monotonic() > ends_at:
                raise CouldNotRunError(f"not in time: {what}")
            await asyncio.sleep(0.05)

    async def wait_served(
        self, node: Node, target: str, headers: Headers | None = None
    ) -> None:
        """Wait until a process serves a request."""
        count = 0

        async def is_served() -> bool:
            nonlocal count
            count += 1
            try:
                answer = await exchange(
                    node.callers,
                    "GET",
                    target,
                    {
                        "Request-Id": f"warm-{node.name}-{count}",
                        "Deadline-Ms": "3000",
                        **(headers or {}),
                    },
                )
            except (OSError, EOFError, TimeoutError):
                return False
            return answer.status == 200

        await self.wait_for(is_served, f"{target} is served by {node.name}")

    def end(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                # A stopped process ends on SIGKILL too.
                process.kill()
        for process in self.processes:
            process.wait()


Case: typing.TypeAlias = collections.abc.Callable[
    [Rig], collections.abc.Awaitable[bool]
]
"""Plays a case; returns whether the rule was broken."""


def main(case: Case, folder: pathlib.Path) -> typing.NoReturn:
    """Play a case and exit with its result."""
    # The processes are ended before the exit.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    record(f"TROUBLE={int(trouble())}")
    with tempfile.TemporaryDirectory() as temporary:
        rig = Rig(pathlib.Path(temporary), record)
        try:
            broken = asyncio.run(_play(case, rig))
            status = BROKEN if broken else HELD
        except Exception as error:
            record(f"could not run: {error!r}")
            status = COULD_NOT_RUN
        finally:
            rig.end()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            for log in pathlib.Path(temporary).glob("*.log"):
                (target / log.name).write_bytes(log.read_bytes())
    record(f"exit {status}")
    print(("held", "broken", "could not run")[status])
    sys.stdout.flush()
    os._exit(status)


async def _play(case: Case, rig: Rig) -> bool:
    async with asyncio.timeout(SCRIPT_LIMIT_S):
        await rig.store.start()
        try:
            return await case(rig)
        finally:
            for task in rig.tasks:
                task.cancel()
