"""The composition root of a process whose leases rest on the store.

Builds the parts from the options and wires them; nothing else constructs
them.  ``node`` is the other root, for deployments in which processes vouch
for each other's leases.
"""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import random
import time
import typing

import grpclib.server
from bronzepaddle import (
    cells,
    clocks,
    http_messages,
    ids,
    log_writer,
    logs,
    options,
    retries,
    route_table,
    sidecar_options,
)
from bronzepaddle_backend import key_grants, server_tracker
from bronzepaddle_callers import buffered_app, server
from bronzepaddle_peers import (
    datagrams,
    pacing,
    statuses,
    stream_client,
    stream_service,
)
from bronzepaddle_platform import (
    config,
    grant_commands,
    header_names,
    object_store,
    registry,
)
from bronzepaddle_store import http_calls

from bronzepaddle_node import (
    configuration,
    crash_detector,
    held_keys,
    listen_sockets,
    local_backend,
    peer_table,
    reconciler,
    router,
    runtime_stats,
    sidecar_metrics,
    status_broadcast,
    tasks,
)

CONTROL_THREADS: typing.Final = 3
READY_THREADS: typing.Final = 2
METRICS_THREADS: typing.Final = 1

CALL_IN_LOOP_S: typing.Final = 0.9
"""Bound on a server's wait for the event loop; it allows a second."""

LEAST_STAY_S: typing.Final = 2.5
"""Time after the request to stop in which callers are still taken: they
learn of the stop from two health checks, a second apart."""

LAST_SHARE: typing.Final = 5 / 6
"""Share of the grace time after which the process ends in any case."""

CLOSE_S: typing.Final = 0.2
"""Time that each port has to end when the process closes at once."""

STOP_TICK_S: typing.Final = 0.05

RETRY_SHARE_USED: typing.Final = 0.5
"""Part of the budget of second sends that is given out to processes: each
counts for itself, and their windows do not begin together."""

LEAST_RETRIES: typing.Final = 1.0
"""Second sends that a process may save up, however many share the budget."""

_T = typing.TypeVar("_T")


class Sidecar:
    """One process of the system; lives on one event loop."""

    def __init__(
        self,
        settings: sidecar_options.SidecarOptions,
        log: log_writer.Writer | None = None,
    ) -> None:
        self.settings = settings
        self.log = log
        self.time: clocks.Clock = clocks.BootClock()
        self.started_ms = time.time_ns() // 1_000_000
        self.incarnation = ids.Incarnation(ids.new_id())
        self.leaving = False
        self.background_tasks = tasks.Tasks()
        self.store = object_store.ObjectStore(
            f"{settings.store.host}:{settings.store.port}",
            settings.store_timeout_s,
            http_calls.CallBudget(settings.store_calls_per_minute),
        )
        self.peer_table = peer_table.PeerTable(settings.name, settings.zone)
        self.tracker = server_tracker.Tracker(settings.announce_s)
        self.held = held_keys.HeldKeys()
        self.workers = concurrent.futures.ThreadPoolExecutor(
            settings.backend_threads, thread_name_prefix="backend"
        )
        self.crashes = crash_detector.CrashDetector(
            self.time, lambda: self.broadcaster.broadcast_soon()
        )
        self.pacer = pacing.Pacer(settings.link_mbps, self.time)
        self.local_backend = local_backend.LocalBackend(
            settings.name,
            header_names.SERVER_HEADERS,
            self.tracker,
            self.held,
            self.workers,
            self.crashes,
            self.pacer,
            self.time,
            self._server_lost,
        )
        self.sender = grant_commands.CommandThreads()
        self.peers = stream_client.Client()
        self.budgets = retries.RetryBudgets(
            settings.retry_share * RETRY_SHARE_USED, LEAST_RETRIES
        )
        self.meters = sidecar_metrics.SidecarMetrics(self._readings)
        self.router = router.Router(
            settings.name,
            settings.service,
            self.peer_table,
            self.local_backend,
            self.peers,
            self.budgets,
            self.meters,
            self.time,
            random.Random(),
        )
        self.grpc: grpclib.server.Server | None = None

    async def start(self) -> None:
        """Listen on every port and start the tasks; raises ``OSError``."""
        self.loop = asyncio.get_running_loop()
        settings = self.settings
        self.udp = datagrams.DatagramSocket(
            b"",
            statuses.Status,
            lambda status: self.broadcaster.receive(status),
        )
        await self.udp.listen(settings.peers.host, settings.peers.port)
        self.broadcaster = status_broadcast.StatusBroadcaster(
            status_broadcast.RegisteredProcess(
                self._address(), self.started_ms
            ),
            self.peer_table,
            self.store,
            self.udp,
            self._status,
            settings.status_s,
            self.time,
            self.peers.request_status,
        )
        self.peers.on_status = self.broadcaster.receive
        self.configuration = configuration.Configuration(
            config.OBJECT,
            self.store,
            config.decode,
            (
                self.router.update_table,
                self._learn_table,
            ),
            self.peers,
            self.time,
            lambda: len(self.peer_table.peers),
            random.Random(),
        )
        self.reconciler = self._build_keeper()
        self.broadcaster.listeners.extend(
            (self.configuration.on_status, self._heard)
        )
        self.runtime_stats = runtime_stats.RuntimeStats(
            self._snapshot, self.time
        )
        await self._serve_peers()
        self._serve_http()
        start = self.background_tasks.start
        start(self.broadcaster.register(), "register")
        start(self.broadcaster.run(), "statuses")
        start(self.configuration.run(), "configuration")
        start(self.reconciler.run(lambda: self.configuration.table), "keys")
        start(self.runtime_stats.run(), "runtime stats")
        logs.process("started", settings.name)

    def _build_keeper(self) -> reconciler.OwnershipReconciler:
        settings = self.settings
        return reconciler.OwnershipReconciler(
            reconciler.Settings(
                settings.name,
                self.incarnation,
                settings.service,
                settings.lease,
                settings.max_hold_s,
                settings.first_start,
            ),
            self.store,
            self.tracker,
            self.held,
            self.peer_table,
            self._orders,
            self.broadcaster.broadcast_soon,
            self.broadcaster.broadcast_to_members_soon,
            self.peers.pull_ownership,
            self.time,
        )

    def _orders(self) -> key_grants.KeyGrantCommands | None:
        known = self.local_backend.server
        if known is None:
            return None
        return grant_commands.GrantCommands(known.connections, self.sender)

    # Ports.

    def _address(self) -> cells.Address:
        return cells.Address(
            self.settings.peers.host, self.settings.peers.port
        )

    async def _serve_peers(self) -> None:
        service = stream_service.Service(
            stream_service.RequestHandlers(
                self.local_backend.handle_from_peer,
                self.configuration.on_pull,
                self.reconciler.on_pull,
                self.broadcaster.current_status,
            ),
            self.pacer,
        )
        self.grpc = stream_service.server(service)
        where = self.settings.peers
        await self.grpc.start(
            sock=listen_sockets.tcp_socket(where.host, where.port)
        )

    def _serve_http(self) -> None:
        settings = self.settings
        self.callers = self._http(
            buffered_app.BufferedApp(
                self._serve, header_names.CALLER_HEADERS, self._max_body_bytes
            ),
            settings.callers,
            settings.threads,
        )
        self.control = self._http(
            registry.Registry(self._announced, self._left),
            settings.control,
            CONTROL_THREADS,
        )
        self.readiness = self._http(
            registry.Readiness(self._ready), settings.ready, READY_THREADS
        )
        self.ports = [self.control, self.readiness, self.callers]
        if settings.metrics is not None:
            page = sidecar_metrics.Page(self.meters)
            self.ports.append(
                self._http(page, settings.metrics, METRICS_THREADS)
            )
        for one in self.ports:
            one.start()

    def _http(
        self, root: object, listen: options.Endpoint, threads: int
    ) -> server.HttpServer:
        """Return a server on one port, not yet listening."""
        limits = route_table.Limits()
        drain_s = self.settings.grace_s * (1 - LAST_SHARE) / 2
        return server.HttpServer(
            root,
            listen,
            server.Limits(
                threads, limits.max_header_bytes, limits.idle_s, drain_s
            ),
        )

    def _serve(
        self, arrival: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Serve a caller's request; runs on a thread of its server."""
        return asyncio.run_coroutine_threadsafe(
            self.router.serve(arrival), self.loop
        ).result()

    def _max_body_bytes(self) -> int:
        table = self.configuration.table
        limits = route_table.Limits() if table is None else table.limits
        return limits.max_body_bytes

    def _ready(self) -> bool:
        return self.configuration.table is not None and not self.leaving

    # News.

    def _in_loop(self, call: collections.abc.Callable[[], _T]) -> _T:
        """Run a call on the event loop, from a thread; return its result."""

        async def run() -> _T:
            return call()

        running = asyncio.run_coroutine_threadsafe(run(), self.loop)
        return running.result(timeout=CALL_IN_LOOP_S)

    def _announced(self, said: server_tracker.Announcement) -> bool:
        return self._in_loop(lambda: self._hear(said))

    def _hear(self, said: server_tracker.Announcement) -> bool:
        """Take in what the server said of itself."""
        known = self.tracker.latest
        if not self.tracker.record(said, self.time.now()):
            return True
        self.local_backend.on_announcement(said)
        if known is None or (
            known.announcement.run,
            known.announcement.state,
        ) != (
            said.run,
            said.state,
        ):
            logs.server("announced", said.run, said.state.value)
            self.broadcaster.broadcast_soon()
            self.reconciler.wakeup.set()
        return True

    def _left(self, server_id: str) -> None:
        self._in_loop(lambda: self._hear_leave(server_id))

    def _hear_leave(self, server_id: str) -> None:
        self.tracker.leave(server_id, self.time.now())
        self.local_backend.on_server_leaving(server_id)
        logs.server("leaves", server_id, "")
        self.broadcaster.broadcast_soon()

    def _server_lost(self) -> None:
        """Tell the others at once that the server has ended."""
        seen = self.tracker.latest
        logs.server(
            "ended", "" if seen is None else seen.announcement.run, "refused"
        )
        self.broadcaster.broadcast_soon()

    def _heard(self, status: statuses.Status) -> None:
        """Take in what a peer knows of suspects, and of its keys."""
        self.crashes.on_status(status)
        if status.service == self.settings.service:
            self.reconciler.on_status(status)

    def _learn_table(self, table: route_table.Table) -> None:
        self.callers.server.timeout = table.limits.idle_s
        self.broadcaster.broadcast_soon()

    def _status(self, sequence: int) -> statuses.Status:
        """Return what the others are told of this process."""
        now = self.time.now()
        self.local_backend.key_load.decay(now)
        self.reconciler.record_status_sent(sequence)
        slack = self.settings.retry_slack * RETRY_SHARE_USED
        processes = max(1, len(self.peer_table.peers))
        self.budgets.max_budget = max(LEAST_RETRIES, slack / processes)
        seen = self.tracker.latest
        said = None if seen is None else seen.announcement
        state = statuses.ServerState.ABSENT
        if self.tracker.ready(now):
            state = statuses.ServerState.READY
        elif self.tracker.present(now):
            state = statuses.ServerState.DRAINING
        cold_s = 0.0
        if said is not None and seen is not None:
            cold_s = max(0.0, said.warmup_left_s - (now - seen.at))
        return statuses.Status(
            sender=self.settings.name,
            incarnation=self.incarnation,
            started_ms=self.started_ms,
            sequence=sequence,
            address=self._address(),
            zone=self.settings.zone,
            leaving=self.leaving,
            service=self.settings.service if said is None else said.service,
            run=statuses.NO_SERVER_RUN if said is None else said.run,
            state=state,
            slots=0 if said is None else said.slots,
            outstanding=self.local_backend.outstanding(),
            service_s=self.local_backend.service_s(),
            warmup_left_s=cold_s,
            table_version=self.configuration.version,
            ownership_version=self.reconciler.version,
            held=self.held.status_ranges(now),
            request_rate=self.local_backend.key_load.rate(),
            hot_keys=self.local_backend.key_load.hottest(),
            read=self.reconciler.last_read,
            suspects=self.crashes.recent_changes(),
            affected_members=self.reconciler.affected_members(),
        )

    def _snapshot(self) -> runtime_stats.Snapshot:
        """Return what the log tells of this process's own work."""
        peers = self.peer_table.peers.values()
        return runtime_stats.Snapshot(
            runtime_stats.DatagramStats(
                self.udp.sent,
                self.udp.sent_bytes,
                self.udp.received,
                self.udp.received_bytes,
                sum(peer.missed_statuses for peer in peers),
            ),
            dict(self.store.calls.counts),
            self.callers.unassigned(),
            self.time.now() - self.configuration.confirmed_at,
        )

    def _readings(self) -> sidecar_metrics.Readings:
        """Return what the metrics show of this moment."""
        now = self.time.now()
        queue = self.local_backend.queue()
        ages = [
            now - peer.status_received_at
            for peer in list(self.peer_table.peers.values())
            if peer.status.sender != self.settings.name
            and self.peer_table.is_alive(peer, now)
        ]
        dropped = {} if self.log is None else dict(self.log.dropped_total)
        return sidecar_metrics.Readings(
            waiting=queue.waiting,
            running=queue.running,
            retries_left=dict(self.budgets.remaining),
            lease_left_s=self.reconciler.lease.remaining_s(now),
            keys_held=self.held.size(now),
            unheld_s=self.reconciler.unheld_s,
            ranges_moved=self.reconciler.planner.ranges_moved,
            config_version=self.configuration.version,
            ownership_version=self.reconciler.version,
            peers_alive=len(ages),
            oldest_status_s=max(ages, default=0.0),
            lines_dropped=dropped,
            loop_lag_s=self.runtime_stats.lag_s,
            snapshot=self._snapshot(),
        )

    def reconfigure(self, settings: sidecar_options.SidecarOptions) -> None:
        """Take changed settings; addresses stay until the next start."""
        self.settings = dataclasses.replace(
            self.settings,
            grace_s=settings.grace_s,
            retry_share=settings.retry_share,
            retry_slack=settings.retry_slack,
        )
        self.budgets.share = settings.retry_share * RETRY_SHARE_USED

    # The end.

    async def stop(self) -> None:
        """Serve what callers still send, then end within the grace time."""
        began = self.time.now()
        self.leaving = True
        logs.process("stopping", self.settings.name)
        self.callers.disable_keep_alive()
        self.broadcaster.broadcast_soon()
        last = began + self.settings.grace_s * LAST_SHARE
        self.local_backend.process_ends_at = self.router.process_ends_at = last
        while self.time.now() < last:
            waited_s = self.time.now() - began
            if waited_s >= LEAST_STAY_S and not self._busy():
                break
            await self.time.sleep(STOP_TICK_S)
        logs.process("stopped", self.settings.name)

    async def close(self) -> None:
        """Close every port at once, as when the process is lost."""
        await self.background_tasks.stop()
        await self.reconciler.stop()
        await self.configuration.stop()
        for one in self.ports:
            await self.loop.run_in_executor(None, one.stop, CLOSE_S)
        if self.grpc is not None:
            self.grpc.close()
        await self.peers.close()
        self.udp.close()
        self.store.close()
        self.sender.close()
        self.meters.close()
        self.workers.shutdown(wait=False, cancel_futures=True)

    def _busy(self) -> bool:
        return bool(self.router.in_flight or self.local_backend.in_flight)
