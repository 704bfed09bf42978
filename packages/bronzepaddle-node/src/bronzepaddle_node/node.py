"""The composition root of a process that is a member of a cell.

``Node`` builds all parts of the process from its options and passes each of
them what it depends on, including its clock and random numbers.  The processes
of a cell share the ownership of hash slots, which they record in one object in
the platform's object store, the cell object.  ``sidecar`` is the composition
root for deployments in which leases depend on reads of the store.
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

CLOSE_TIMEOUT_S: typing.Final = 0.2
"""Time that ``close`` gives each server for its running requests."""

FIRST_SEQUENCE_LIMIT: typing.Final = 1 << 40
"""Exclusive upper limit of the random first sequence number of a run."""

MAX_PORT_TRIES: typing.Final = 20
"""Maximum number of ports tried to find one that is free for UDP and TCP."""


class Node:
    """One process of the system, for use on a single event loop.

    It is a member of a cell, forwards callers' requests to the owners of
    their keys, and serves the requests for its own keys by its backend
    server.
    """

    def __init__(self, settings: options.Options) -> None:
        self.settings = settings
        self.clock: clocks.Clock = clocks.BootClock()
        self.channels = rpc_client.Channels()
        self.call_budget = http_calls.CallBudget(
            settings.platform_calls_per_minute
        )
        self.object_store = http_store.HttpStore(
            settings.platform_url,
            settings.platform_timeout_s,
            self.call_budget,
        )
        self.workers = concurrent.futures.ThreadPoolExecutor(
            settings.threads, thread_name_prefix="forwarded"
        )
        self.grpc_server: grpclib.server.Server | None = None

    async def start(self) -> None:
        """Listen on all ports and start to join the cell in the background.

        Raises ``OSError`` if a port can't be bound.
        """
        loop = asyncio.get_running_loop()
        bound = await self._listen_for_peers()
        advertised = self.settings.advertise or bound
        self.state = state.NodeState(
            state.Identity(
                name=self.settings.name,
                cell=self.settings.cell,
                zone=self.settings.zone,
                incarnation=ids.Incarnation(ids.new_id()),
                address=cells.Address(advertised.host, advertised.port),
                listens_at=f"{bound.host}:{bound.port}",
                first_sequence=secrets.randbelow(FIRST_SEQUENCE_LIMIT),
            ),
            self.settings.lease_times,
            self.clock,
        )
        self.metrics_recorder = metrics.NodeMetrics(self.state)
        self.peer_calls = rpc_client.GrpcPeerCalls(self.channels, self.udp)
        self.suspect_replicator = crash_isolation.SuspectReplicator(
            self.state, self.peer_calls, loop, self.clock
        )
        self.owner = owner.SlotOwner(self.state, self.suspect_replicator)
        self.membership = self._build_membership()
        await self._serve_peers()
        forwarder = forwarding.Forwarder(self.channels, loop, self.clock)
        self.state.cell_listeners.append(
            lambda cell: forwarder.cancel_requests_to(_suspended_members(cell))
        )
        self.router = cell_router.CellRouter(
            self.state,
            self.owner,
            forwarder,
            self.metrics_recorder,
            random.Random(),
        )
        self._serve_http(loop)
        self._load_bundle()
        self.membership.start()
        self.membership.background_tasks.start(self._send_grants(), "grants")

    # Ports.

    async def _listen_for_peers(self) -> options.Endpoint:
        """Bind the port for peers, for UDP and for TCP; return its address.

        For port 0, finds a port that is free for both.
        """
        endpoint = self.settings.peers
        tries_left = MAX_PORT_TRIES if endpoint.port == 0 else 1
        while True:
            tries_left -= 1
            udp = datagrams.DatagramSocket(
                self.settings.peer_key, messages.Heartbeat, self._on_heartbeat
            )
            port = await udp.listen(endpoint.host, endpoint.port)
            try:
                self.tcp_socket = listen_sockets.tcp_socket(
                    endpoint.host, port
                )
            except OSError:
                udp.close()
                if not tries_left:
                    raise
                continue
            self.udp = udp
            return options.Endpoint(endpoint.host, port)

    def _on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self.membership.heartbeats.receive(heartbeat)

    async def _serve_peers(self) -> None:
        """Start the gRPC server for the calls and requests of peers."""
        self.peer_service = rpc_service.PeerService(
            self.membership.peer_handlers,
            self.owner.serve,
            self.workers,
            self.clock,
            lambda: self.state.cell_version,
        )
        self.grpc_server = rpc_service.server(self.peer_service)
        await self.grpc_server.start(sock=self.tcp_socket)

    def _serve_http(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start the HTTP servers of the callers' and the control port."""
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
            self.metrics_recorder,
            lambda announcement: _schedule_in_loop(
                loop, self._on_announcement, announcement
            ),
            lambda: _schedule_in_loop(loop, self._set_leaving, True),
            lambda: _schedule_in_loop(loop, self._set_leaving, False),
            self.call_budget.used_last_minute,
            self.owner.slot_table.total_in_flight,
        )
        self.control_server = server.HttpServer(
            self.control_root,
            settings.control,
            server.Limits(
                CONTROL_THREADS, settings.max_header_bytes, settings.idle_s, 1
            ),
            parse_queries=True,
        )
        self.caller_server.start()
        self.control_server.start()

    def _on_announcement(
        self, announcement: announcements.Announcement
    ) -> None:
        """Record an announcement of the backend server."""
        self.state.backend_announcement = announcements.ReceivedAnnouncement(
            announcement, self.clock.now()
        )
        self.owner.on_announcement(announcement)

    def _set_leaving(self, leaving: bool) -> None:
        """Set whether this process hands over all of its slots."""
        self.state.leaving = leaving

    def ready_line(self) -> str:
        """Return the line that is printed once the process listens.

        It gives the addresses for callers, control and peers.
        """
        caller_address = self.caller_server.address
        control_address = self.control_server.address
        peer_address = self.state.identity.address
        return (
            f"{self.settings.name} "
            f"callers={caller_address.host}:{caller_address.port} "
            f"control={control_address.host}:{control_address.port} "
            f"peers={peer_address.host}:{peer_address.port}"
        )

    # Parts.

    def _build_membership(self) -> membership.Membership:
        return membership.Membership(
            self.state,
            self.object_store,
            self.peer_calls,
            self.owner,
            self.settings.backend,
            [
                cells.Address(endpoint.host, endpoint.port)
                for endpoint in self.settings.seed_addresses
            ],
            self.suspect_replicator,
        )

    def _load_bundle(self) -> None:
        """Load the bundle file named in the settings, if any.

        Raises ``OSError`` if it can't be read.
        """
        path = self.settings.bundle
        if path is not None:
            self.state.adopt_document(path.read_bytes())

    async def _send_grants(self) -> None:
        """Send the backend server its grants until cancelled.

        They are sent after each change of the state, and at least once per
        heartbeat interval, which extends the time for which they are valid.
        """
        loop = asyncio.get_running_loop()
        while True:
            backend = self.owner.server
            if backend is not None:
                await loop.run_in_executor(
                    self.workers,
                    backend.commands.send,
                    self.owner.slot_table.grants(),
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.state.changed.wait(),
                    self.settings.lease_times.heartbeat_s,
                )
            self.state.changed.clear()

    # Shutdown.

    async def stop(self) -> None:
        """Leave the cell, finish running requests, and close all ports.

        First hands over all slots and sends the backend server a drain
        command.  Each step has a time limit, after which the next one starts.
        """
        loop = asyncio.get_running_loop()
        self._set_leaving(True)
        await self.membership.self_maintenance.leave_cell(
            self.settings.drain_s
        )
        backend = self.owner.server
        if backend is not None:
            await loop.run_in_executor(
                self.workers, backend.commands.send, commands.Drain()
            )
        await loop.run_in_executor(None, self.caller_server.stop)
        await self.close()

    async def close(self) -> None:
        """Cancel all tasks and close all ports, as if the process were lost.

        Running requests of callers get only ``CLOSE_TIMEOUT_S`` to end.
        """
        await self.membership.stop()
        loop = asyncio.get_running_loop()
        for http_server in (self.caller_server, self.control_server):
            await loop.run_in_executor(None, http_server.stop, CLOSE_TIMEOUT_S)
        if self.grpc_server is not None:
            self.peer_service.closed = True
            self.grpc_server.close()
            with contextlib.suppress(TimeoutError):
                # Handlers that still run after that are abandoned.
                await asyncio.wait_for(
                    self.grpc_server.wait_closed(), CLOSE_TIMEOUT_S
                )
        self.udp.close()
        self.channels.close()
        self.object_store.close()
        self.workers.shutdown(wait=False, cancel_futures=True)
        self.metrics_recorder.close()


def _suspended_members(cell: cells.Cell) -> set[ids.MemberId]:
    """Return the suspended members; their replies are not waited for."""
    return {
        name
        for name, member in cell.members.items()
        if member.state is cells.MemberState.SUSPENDED
    }


def _schedule_in_loop(
    loop: asyncio.AbstractEventLoop,
    call: typing.Callable[..., None],
    *arguments: object,
) -> None:
    """Schedule a call on the event loop, from a thread of an HTTP server."""
    loop.call_soon_threadsafe(call, *arguments)
