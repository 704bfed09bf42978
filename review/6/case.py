"""A request pipelined behind another costs that one its answer at a stop.

Requesters keep a connection each.  The process beside them gets SIGTERM.  On
its kept connection each requester then asks for a large answer, and, before
that has come, sends another idempotent request.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as rigging  # noqa: E402

REQUESTERS = 6

ANSWER_BYTES = 500_000
"""Within the largest answer of a download in the site file."""

FIRST_BYTES = 100

READ_BYTES = 32 * 1024
READ_PAUSE_S = 0.01
"""A requester reads at some 3 MB/s, so an answer takes 0.2 s."""

RECEIVE_BUFFER_BYTES = 64 * 1024


async def read_slowly(
    rig: rigging.Rig, caller: "Caller", request_id: str, size: int
) -> bool:
    """Read an answer; return whether it came whole."""
    received = b""
    try:
        while b"\r\n\r\n" not in received:
            received += await caller.receive()
        head, _, body = received.partition(b"\r\n\r\n")
        while len(body) < size:
            body += await caller.receive()
            await asyncio.sleep(READ_PAUSE_S)
    except (OSError, EOFError) as error:
        rig.record(f"{request_id}: {len(received)} bytes, then {error!r}")
        return False
    whole = body[:size] == rigging.body_of(request_id, size)
    rig.record(f"{request_id}: {head[:15]!r}, whole: {whole}")
    return whole


class Caller:
    """A connection whose bytes are read before its reset is noticed."""

    def __init__(self, sock: rigging.socket.socket) -> None:
        self.socket = sock

    async def send(self, request_id: str, target: str) -> None:
        """Send an idempotent request."""
        headers = {"Request-Id": request_id, "Deadline-Ms": "5000"}
        await asyncio.get_running_loop().sock_sendall(
            self.socket, rigging.encode_request("GET", target, headers)
        )

    async def receive(self) -> bytes:
        """Return the next bytes; raises ``EOFError`` at the end."""
        piece = await asyncio.get_running_loop().sock_recv(
            self.socket, READ_BYTES
        )
        if not piece:
            raise EOFError("closed")
        return piece


async def requester(
    rig: rigging.Rig, node: rigging.Node, number: int, stop: asyncio.Event
) -> bool:
    """Play one requester; return whether its large answer was lost."""
    sock = rigging.open_socket(RECEIVE_BUFFER_BYTES)
    host, _, port = node.callers.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    caller = Caller(sock)
    first = f"{number}-first"
    await caller.send(first, f"/files/a?size={FIRST_BYTES}")
    if not await read_slowly(rig, caller, first, FIRST_BYTES):
        raise rigging.CouldNotRunError(first)
    await stop.wait()
    await asyncio.sleep(0.3)
    large = f"{number}-large"
    await caller.send(large, f"/files/b?work_ms=300&size={ANSWER_BYTES}")
    rig.record(f"{large} sent")
    await asyncio.sleep(0.1)
    await caller.send(f"{number}-behind", "/files/c")
    rig.record(f"{number}-behind sent")
    try:
        return not await read_slowly(rig, caller, large, ANSWER_BYTES)
    finally:
        sock.close()


async def case(rig: rigging.Rig) -> bool:
    """Return whether answers to requests that were passed on are lost."""
    routes = [rigging.route("/files/", "library", "download")]
    await rig.store.put("config", "main", rigging.desired_state(1, routes))
    servers = [rigging.AppServer(f"i-{n}", "library") for n in (1, 2, 3)]
    nodes = [
        await rig.add(f"n{index}", server)
        for index, server in enumerate(servers)
    ]
    for node, server in zip(nodes, servers, strict=True):
        rig.background(server.keep_reporting(node.control))
    for node in nodes:
        await rig.wait_served(node, "/files/a")
    stop = asyncio.Event()
    playing = asyncio.gather(
        *(
            requester(rig, nodes[0], number, stop)
            for number in range(REQUESTERS)
        )
    )
    await asyncio.sleep(2)
    if rigging.trouble():
        nodes[0].send_signal(signal.SIGTERM)
    stop.set()
    lost = await playing
    for number, is_lost in enumerate(lost):
        ran = any(f"{number}-large" in server.ended for server in servers)
        if is_lost:
            rig.record(f"LOST {number}-large, ran to its end: {ran}")
        elif not ran:
            raise rigging.CouldNotRunError(f"{number}-large did not run")
    return any(lost)


rigging.main(case, FOLDER)
