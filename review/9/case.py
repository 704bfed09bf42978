"""A request that crashes its servers is forgotten when processes restart.

The same request, which crashes each server that begins to run it, comes again
every few seconds at any machine.  In between, all processes of the system are
killed at the same moment and start again, three times.
"""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as rigging  # noqa: E402

POISON_PATH = "/once/poison"

POISON_PAUSE_S = 4.6

CONTACT_S = 3.0
"""``contact_ms`` of the site: later, a restarted process is in touch."""

KILLS_AT_S = (14.0, 28.0, 42.0)
RESTART_AFTER_S = 0.5
LENGTH_S = 56.0
SERVER_DOWN_S = 2.0

MOST_RETRIES = 3


class FrailServer(rigging.AppServer):
    """A server that the poisonous request crashes; it is back after 2 s."""

    def __init__(self, rig: rigging.Rig, name: str) -> None:
        super().__init__(f"i-{name}-1", "registrar")
        self.rig = rig
        self.name = name
        self.up = True
        self.crashes: list[tuple[str, float]] = []

    async def serve(self, request: rigging.Request) -> rigging.Answer:
        """Crash if the request is the poisonous one and meant for this."""
        expected = request.headers.get("expected-instance")
        if request.path != POISON_PATH or expected != self.server_id:
            return await super().serve(request)
        request_id = request.headers["request-id"]
        self.crashes.append((request_id, time.monotonic()))
        self.rig.record(f"{self.server_id} begins {request_id} and crashes")
        self.rig.background(self.come_back())
        self.up = False
        self.crash()
        return await asyncio.Future()

    async def come_back(self) -> None:
        """Start again after a while, under another id."""
        await asyncio.sleep(SERVER_DOWN_S)
        life = int(self.server_id.rpartition("-")[2]) + 1
        self.server_id = f"i-{self.name}-{life}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running = 0
        await self.start(self.address)
        self.up = True

    async def report(self, control: str) -> int:
        """Report if the server is up."""
        return await super().report(control) if self.up else 0


async def kill_all(
    rig: rigging.Rig, nodes: list[rigging.Node], started_at: float
) -> None:
    """Kill all processes at set times, and start them again."""
    for at_s in KILLS_AT_S:
        await asyncio.sleep(started_at + at_s - time.monotonic())
        for node in nodes:
            node.send_signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_AFTER_S)
        for node in nodes:
            node.start()


async def case(rig: rigging.Rig) -> bool:
    """Return whether the request reaches servers too often."""
    routes = [
        rigging.route("/plain/", "registrar"),
        rigging.route("/once/", "registrar", "non_idempotent"),
    ]
    await rig.store.put("config", "main", rigging.desired_state(1, routes))
    servers = [FrailServer(rig, name) for name in ("n1", "n2", "n3")]
    nodes = [await rig.add(server.name, server) for server in servers]
    for node, server in zip(nodes, servers, strict=True):
        rig.background(server.keep_reporting(node.control))
    for node in nodes:
        await rig.wait_served(node, "/plain/w")
    await asyncio.sleep(3)
    started_at = time.monotonic()
    if rigging.trouble():
        rig.background(kill_all(rig, nodes, started_at))
    number = 0
    while time.monotonic() < started_at + LENGTH_S:
        node = nodes[number % len(nodes)]
        request_id = f"p{number}"
        headers = {"Request-Id": request_id, "Deadline-Ms": "3000"}
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await rigging.exchange(
                node.callers, "POST", POISON_PATH, headers, b"the same"
            )
            rig.record(f"{request_id} at {node.name}: {answer.status}")
        number += 1
        due_at = started_at + number * POISON_PAUSE_S
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    crashes = sorted(
        (at, request_id)
        for server in servers
        for request_id, at in server.crashes
    )
    rig.record(f"{len(crashes)} crashes")
    if len(crashes) < 2:
        raise rigging.CouldNotRunError("the request crashed no servers")
    later = [
        request_id
        for at, request_id in crashes[3:]
        if at > crashes[2][0] + CONTACT_S
    ]
    rig.record(f"in touch, long after the third: {later}")
    return len(set(later)) > MOST_RETRIES


rigging.main(case, FOLDER)
