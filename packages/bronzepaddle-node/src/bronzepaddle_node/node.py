"""The composition root: builds one process of the system from its options.

Nothing else constructs the parts; each gets what it needs from here, its
clock and its random numbers included.
"""

import asyncio
import concurrent.futures
import contextlib
import random
import secrets
import typing

import grpclib.server
from bronzepaddle import cells, clocks, ids, options
from bronzepaddle_backend import announcements, commands
from bronzepaddle_callers import server, streaming_app
from bronzepaddle_peers import (
    datagrams,
    forwarding,
    messages,
    rpc_client,
    rpc_service,
)
from bronzepaddle_store import http_calls, http_store

from bronzepaddle_node import (
    cell_router,
    control,
    crash_isolation,
    listen_sockets,
    membership,
    metrics,
    owner,
    state,
)

CONTROL_THREADS: typing.Final = 4

CLOSE_S: typing.Final = 0.2
"""Time that each part has to end when the process closes at once."""
FIRST_SEQUENCE_BELOW: typing.Final = 1 << 40

ANY_PORT_TRIES: typing.Final = 20
"""Ports tried until one is free for UDP and TCP alike."""


class Node:
    """One process of the system; lives on one event loop."""

    def __init__(self, settings: options.Options) -> None:
        self.settings = settings
        self.time: clocks.Clock = clocks.BootClock()
        self.channels = rpc_client.Channels()
        self.budget = http_calls.CallBudget(settings.platform_calls_per_minute)
        self.objects = http_store.HttpStore(
            settings.platform_url, settings.platform_timeout_s, self.budget
        )
        self.workers = concurrent.futures.ThreadPoolExecutor(
            settings.threads, thread_name_prefix="forwarded"
        )
        self.grpc: grpclib.server.Server | None = None

    async def start(self) -> None:
        """Listen on every port, then join the cell in the background.

        Raises ``OSError`` when a port is taken.
        """
        loop = asyncio.get_running_loop()
        at = await self._listen_for_peers()
        advertised = self.settings.advertise or at
        self.state = state.NodeState(
            state.Identity(
                name=self.settings.name,
                cell=self.settings.cell,
                zone=self.settings.zone,
                incarnation=ids.Incarnation(ids.new_id()),
                address=cells.Address(advertised.host, advertised.port),
                listens_at=f"{at.host}:{at.port}",
                first_sequence=secrets.randbelow(FIRST_SEQUENCE_BELOW),
            ),
            self.settings.times,
            self.time,
        )
        self.meters = metrics.Metrics(self.state)
        self.link = rpc_client.GrpcPeerCalls(self.channels, self.udp)
        self.suspect_replicator = crash_isolation.SuspectReplicator(
            self.state, self.link, loop, self.time
        )
        self.owner = owner.Owner(self.state, self.suspect_replicator)
        self.membership = self._build_membership()
        await self._serve_peers()
        forwarder = forwarding.Forwarder(self.channels, loop, self.time)
        self.state.listeners.append(
            lambda view: forwarder.cancel_requests_to(_suspended(view))
        )
        self.router = cell_router.CellRouter(
            self.state, self.owner, forwarder, self.meters, random.Random()
        )
        self._serve_http(loop)
        self._load_bundle()
        self.membership.start()
        self.membership.background_tasks.start(self._give_grants(), "grants")

    # Ports.

    async def _listen_for_peers(self) -> options.Endpoint:
        """Bind the peers' port for UDP and TCP; port 0 finds one for both."""
        wanted = self.settings.peers
        tries = ANY_PORT_TRIES if wanted.port == 0 else 1
        while True:
            tries -= 1
            udp = datagrams.DatagramSocket(
                self.settings.peer_key, messages.Heartbeat, self._heard
            )
            port = await udp.listen(wanted.host, wanted.port)
            try:
                self.tcp = listen_sockets.tcp_socket(wanted.host, port)
            except OSError:
                udp.close()
                if not tries:
                    raise
                continue
            self.udp = udp
            return options.Endpoint(wanted.host, port)

    def _heard(self, heartbeat: messages.Heartbeat) -> None:
        self.membership.heartbeats.receive(heartbeat)

    async def _serve_peers(self) -> None:
        self.peer_service = rpc_service.PeerService(
            self.membership.peer_handlers,
            self.owner.serve,
            self.workers,
            self.time,
            lambda: self.state.version,
        )
        self.grpc = rpc_service.server(self.peer_service)
        await self.grpc.start(sock=self.tcp)

    def _serve_http(self, loop: asyncio.AbstractEventLoop) -> None:
        settings = self.settings
        limits = server.Limits(
            settings.threads,
            settings.max_header_bytes,
            settings.idle_s,
            settings.drain_s,
        )
        self.caller_server = server.HttpServer(
            streaming_app.StreamingApp(self.router.serve),
            settings.callers,
            limits,
        )
        self.control_root = control.Control(
            self.state,
            self.meters,
            lambda found: _in_loop(loop, self._announced, found),
            lambda: _in_loop(loop, self._set_leaving, True),
            lambda: _in_loop(loop, self._set_leaving, False),
            self.budget.used_last_minute,
            self.owner.table.total_in_flight,
        )
        self.control = server.HttpServer(
            self.control_root,
            settings.control,
            server.Limits(
                CONTROL_THREADS, settings.max_header_bytes, settings.idle_s, 1
            ),
        )
        self.caller_server.start()
        self.control.start()

    def _announced(self, found: announcements.Announcement) -> None:
        self.state.backend = announcements.ReceivedAnnouncement(
            found, self.time.now()
        )
        self.owner.on_announcement(found)

    def _set_leaving(self, leaving: bool) -> None:
        self.state.leaving = leaving

    def ready_line(self) -> str:
        """Return the line that tells where the process listens."""
        callers = self.caller_server.address
        control = self.control.address
        peers = self.state.identity.address
        return (
            f"{self.settings.name} callers={callers.host}:{callers.port} "
            f"control={control.host}:{control.port} "
            f"peers={peers.host}:{peers.port}"
        )

    # Parts.

    def _build_membership(self) -> membership.Membership:
        return membership.Membership(
            self.state,
            self.objects,
            self.link,
            self.owner,
            self.settings.backend,
            [
                cells.Address(one.host, one.port)
                for one in self.settings.seed_addresses
            ],
            self.suspect_replicator,
        )

    def _load_bundle(self) -> None:
        """Start from the bundle file of the settings, where one is named."""
        path = self.settings.bundle
        if path is not None:
            self.state.adopt_document(path.read_bytes())

    async def _give_grants(self) -> None:
        """Tell the backend server what it owns, and for how long."""
        loop = asyncio.get_running_loop()
        while True:
            known = self.owner.server
            if known is not None:
                await loop.run_in_executor(
                    self.workers,
                    known.commands.send,
                    self.owner.table.grants(),
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.state.changed.wait(),
                    self.settings.times.heartbeat_s,
                )
            self.state.changed.clear()

    # The end.

    async def stop(self) -> None:
        """Leave the cell, cutting off no request, and close every port."""
        loop = asyncio.get_running_loop()
        self._set_leaving(True)
        await self.membership.self_maintenance.leave_cell(
            self.settings.drain_s
        )
        known = self.owner.server
        if known is not None:
            await loop.run_in_executor(
                self.workers, known.commands.send, commands.Drain()
            )
        await loop.run_in_executor(None, self.caller_server.stop)
        await self.close()

    async def close(self) -> None:
        """Close every port at once, as when the process is lost."""
        await self.membership.stop()
        loop = asyncio.get_running_loop()
        for one in (self.caller_server, self.control):
            await loop.run_in_executor(None, one.stop, CLOSE_S)
        if self.grpc is not None:
            self.peer_service.closed = True
            self.grpc.close()
            with contextlib.suppress(TimeoutError):
                # A handler that does not end is left behind.
                await asyncio.wait_for(self.grpc.wait_closed(), CLOSE_S)
        self.udp.close()
        self.channels.close()
        self.objects.close()
        self.workers.shutdown(wait=False, cancel_futures=True)
        self.meters.close()


def _suspended(view: cells.Cell) -> set[ids.MemberId]:
    """Return the members that no answer is to be awaited from."""
    return {
        name
        for name, member in view.members.items()
        if member.state is cells.MemberState.SUSPENDED
    }


def _in_loop(
    loop: asyncio.AbstractEventLoop,
    call: typing.Callable[..., None],
    *arguments: object,
) -> None:
    """Run a call on the event loop, from a thread of an HTTP server."""
    loop.call_soon_threadsafe(call, *arguments)
