"""The composition root of a process whose leases depend on the store.

``Sidecar`` builds all parts of the process from its options and connects
them.  The process may grant keys to its backend server only while it has a
lease.  It extends the lease by reading, in the platform's object store ("the
store"), the object that records the owners of the keys.  ``node`` is the
composition root for deployments in which a lease is extended by the
acknowledgements of other members instead.
"""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import functools
import random
import resource
import sys
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
    route_table,
    sidecar_options,
    status,
)
from bronzepaddle.load import (
    body_budget,
    cold_servers,
    connection_limit,
    expected_cost,
    retries,
)
from bronzepaddle_backend import (
    connections,
    key_grants,
    key_reports,
    server_tracker,
)
from bronzepaddle_callers import buffered_app, server
from bronzepaddle_peers import (
    datagrams,
    pacing,
    peer_server,
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
    graceful_shutdown,
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
from bronzepaddle_node.fleet import (
    crash_records,
    evacuations,
    health_checks,
)
from bronzepaddle_node.keys import member_settings
from bronzepaddle_node.requests import explanation_app, relative_costs

CONTROL_THREADS: typing.Final = 3
READY_THREADS: typing.Final = 2
METRICS_THREADS: typing.Final = 2

INTERNAL_CONNECTIONS: typing.Final = 32
"""Connections of the platform, the operators or the backend server."""

LOOP_CALL_TIMEOUT_S: typing.Final = 0.9
"""Timeout of a call on the event loop for a request of the backend server.

The backend server itself waits for at most one second.
"""

DIVIDED_RETRY_SHARE: typing.Final = 0.5
"""Share of the fleet's retry budget that is divided among the processes.

The rest is a margin: each process counts only its own retries, and the
counting windows of the processes don't start at the same time.
"""

MIN_RETRY_BUDGET_LIMIT: typing.Final = 1.0
"""Minimum of the limit on the retries in the budget of a process.

A process may thus always save up one retry; in a large fleet, its share of
the fleet's budget may be smaller.
"""

_T = typing.TypeVar("_T")


class Sidecar:
    """One process of the system, for use on a single event loop.

    It forwards callers' requests to backend servers and grants its own
    backend server the keys that it may serve.
    """

    def __init__(
        self,
        settings: sidecar_options.SidecarOptions,
        log: log_writer.Writer | None = None,
    ) -> None:
        self.settings = settings
        self.log = log
        self.clock: clocks.Clock = clocks.BootClock()
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
        self.tracker = server_tracker.Tracker(
            settings.announce_s, asks_health=True
        )
        self.held_keys = held_keys.HeldKeys()
        self.workers = concurrent.futures.ThreadPoolExecutor(
            settings.backend_threads, thread_name_prefix="backend"
        )
        self.crash_detector = crash_detector.CrashDetector(
            self.clock, lambda: self.broadcaster.broadcast_soon()
        )
        self.pacer = pacing.Pacer(settings.link_mbps, self.clock)
        self.body_budget = body_budget.BodyBudget(
            body_budget.budget_bytes(settings.memory_mb)
        )
        self.local_backend = local_backend.LocalBackend(
            settings.name,
            header_names.SERVER_HEADERS,
            self.tracker,
            self.held_keys,
            self.workers,
            self.crash_detector,
            self.pacer,
            cold_servers.StartLimit(self.clock.now(), random.Random()),
            self.clock,
            self._on_server_lost,
            expected_cost.CostModel(settings.cost_classes),
            self.body_budget,
        )
        self.command_threads = grant_commands.CommandThreads()
        self.peer_streams = stream_client.Client(self.body_budget)
        self.retry_budgets = retries.RetryBudgets(
            settings.retry_share * DIVIDED_RETRY_SHARE, MIN_RETRY_BUDGET_LIMIT
        )
        self.metrics_recorder = sidecar_metrics.SidecarMetrics(
            self._metrics_readings
        )
        self.router = router.Router(
            settings.name,
            settings.service,
            self.peer_table,
            self.local_backend,
            self.peer_streams,
            self.retry_budgets,
            self.metrics_recorder,
            self.clock,
            random.Random(),
            relative_costs.RelativeCosts(settings.cost_classes),
            self.local_backend.response_room,
        )
        self.grpc_server: grpclib.server.Server | None = None

    async def start(self) -> None:
        """Listen on all ports and start the background tasks.

        Raises ``OSError`` if a port can't be bound.
        """
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
            self._build_status,
            settings.status_s,
            self.clock,
            self.peer_streams.request_status,
        )
        self.peer_streams.on_status = self.broadcaster.receive
        self.configuration = configuration.Configuration(
            config.OBJECT_NAME,
            self.store,
            config.decode,
            (
                self.router.update_table,
                self._on_table,
            ),
            self.peer_streams,
            self.clock,
            lambda: self.peer_table.alive_count(self.clock.now()),
            random.Random(),
            self.broadcaster.broadcast_soon,
        )
        self.reconciler = self._build_reconciler()
        self.evacuations = self._build_evacuations()
        self.crash_records = crash_records.CrashRecords(
            self.crash_detector, self.store, self.clock
        )
        self.health_checks = health_checks.HealthChecks(
            self.tracker, self._health_check, self._on_health, self.clock
        )
        self.broadcaster.listeners.extend(
            (
                self.configuration.on_status,
                self.crash_records.on_status,
                self._on_status,
            )
        )
        if self.evacuations is not None:
            self.broadcaster.listeners.append(self.evacuations.on_status)
        self.runtime_stats = runtime_stats.RuntimeStats(
            self._runtime_snapshot, self.clock
        )
        await self._serve_peers()
        self._serve_http()
        start = self.background_tasks.start
        start(self.broadcaster.keep_registered(), "register")
        start(self.broadcaster.run(), "statuses")
        start(self.configuration.run(), "configuration")
        start(self.configuration.run_checks(), "configuration checks")
        start(
            self.reconciler.run(lambda: self.configuration.route_table), "keys"
        )
        if self.evacuations is not None:
            start(self.evacuations.run(), "evacuations")
            start(self.evacuations.run_checks(), "evacuation checks")
        start(self.health_checks.run(), "health checks")
        start(self.crash_records.run(), "crash records")
        start(self.runtime_stats.run(), "runtime stats")
        logs.process("started", settings.name)

    def _build_reconciler(self) -> reconciler.OwnershipReconciler:
        settings = self.settings
        return reconciler.OwnershipReconciler(
            member_settings.MemberSettings(
                settings.name,
                self.incarnation,
                settings.service,
                settings.lease_times,
                settings.max_hold_s,
                settings.first_start,
                settings.ownership_readers,
            ),
            self.store,
            self.tracker,
            self.held_keys,
            self.peer_table,
            self._grant_commands,
            self.broadcaster.broadcast_soon,
            self.broadcaster.broadcast_to_members_soon,
            self.peer_streams.pull_ownership,
            self.clock,
        )

    def _build_evacuations(self) -> evacuations.Evacuations | None:
        """Return the evacuated zones, None if the operator evacuates none."""
        settings = self.settings
        if settings.evacuate_within_s is None:
            return None
        return evacuations.Evacuations(
            settings.zone,
            self.store,
            self.peer_table,
            self.tracker,
            self._on_evacuation,
            self.broadcaster.broadcast_soon,
            settings.evacuate_within_s,
            self.clock,
            random.Random(),
        )

    def _grant_commands(self) -> key_grants.KeyGrantCommands | None:
        """Return the commands to the current run of the backend server.

        Returns None as long as no server has announced itself, or while its
        service is not configured.
        """
        run = self.local_backend.server_run
        health_path = self._health_path()
        if run is None or health_path is None:
            return None
        return grant_commands.GrantCommands(
            run.connections,
            self.command_threads,
            connections.Recipient(run.announcement.server_id, health_path),
        )

    def _health_path(self) -> str | None:
        """Return the path of the server's health check, if configured."""
        table = self.configuration.route_table
        rules = table and table.services.get(self.settings.service)
        return rules.health_path if rules else None

    def _health_check(self) -> health_checks.Check | None:
        """Return the health check of the announced run, if configured."""
        run = self.local_backend.server_run
        path = self._health_path()
        if run is None or path is None:
            return None
        return functools.partial(run.connections.check_health, path)

    # Ports.

    def _address(self) -> cells.Address:
        """Return the address at which this process listens for peers."""
        return cells.Address(
            self.settings.peers.host, self.settings.peers.port
        )

    async def _serve_peers(self) -> None:
        """Start the gRPC server for the requests of peers."""
        self.peer_service = stream_service.Service(
            stream_service.RequestHandlers(
                self.local_backend.handle_from_peer,
                self.configuration.on_pull,
                self.reconciler.view.on_pull,
                self.broadcaster.current_status,
                self.local_backend.add_load,
            ),
            self.pacer,
            self.body_budget,
        )
        self.grpc_server = stream_service.server(
            self.peer_service,
            connection_limit.limit_for(
                peer_server.MAX_CONNECTIONS,
                _max_descriptors(),
                peer_server.DESCRIPTOR_SHARE,
            ),
        )
        endpoint = self.settings.peers
        await self.grpc_server.start(
            sock=listen_sockets.tcp_socket(endpoint.host, endpoint.port)
        )

    def _serve_http(self) -> None:
        """Start the HTTP servers.

        They serve callers, the backend server, readiness checks and, if
        configured, metrics.
        """
        settings = self.settings
        self.caller_server = self._http_server(
            buffered_app.BufferedApp(
                self._serve,
                header_names.CALLER_HEADERS,
                self._max_body_bytes,
                self.body_budget,
            ),
            settings.callers,
            settings.threads,
            connection_limit.limit_for(
                settings.max_connections,
                _max_descriptors(),
            ),
        )
        self.body_budget.on_shortage = self.caller_server.close_stalled_callers
        self.control_server = self._http_server(
            registry.Registry(self._on_announcement, self._on_leave),
            settings.control,
            CONTROL_THREADS,
        )
        self.readiness_server = self._http_server(
            registry.Readiness(
                self._readiness,
                explanation_app.ExplanationApp(
                    lambda question: self._call_in_loop(
                        lambda: self.router.explain(question)
                    )
                ),
            ),
            settings.ready,
            READY_THREADS,
        )
        self.http_servers = [
            self.control_server,
            self.readiness_server,
            self.caller_server,
        ]
        if settings.metrics is not None:
            metrics_app = sidecar_metrics.MetricsApp(self.metrics_recorder)
            self.http_servers.append(
                self._http_server(
                    metrics_app, settings.metrics, METRICS_THREADS
                )
            )
        for http_server in self.http_servers:
            http_server.start()

    def _http_server(
        self,
        root: object,
        listen: options.Endpoint,
        threads: int,
        max_connections: int = INTERNAL_CONNECTIONS,
    ) -> server.HttpServer:
        """Return an HTTP server that doesn't listen yet."""
        limits = route_table.Limits()
        drain_s = (
            self.settings.grace_s
            * (1 - graceful_shutdown.USED_GRACE_SHARE)
            / 2
        )
        return server.HttpServer(
            root,
            listen,
            server.Limits(
                threads,
                limits.max_header_bytes,
                limits.idle_timeout_s,
                drain_s,
                max_connections,
            ),
        )

    def _serve(
        self, request: buffered_app.BufferedRequest
    ) -> http_messages.Response:
        """Return the response to a caller's request.

        Runs on a worker thread of the HTTP server, which waits for the
        router on the event loop.
        """
        return asyncio.run_coroutine_threadsafe(
            self.router.serve(request), self.loop
        ).result()

    def _max_body_bytes(self) -> int:
        """Return the limit in effect on the body of a caller's request."""
        table = self.configuration.route_table
        limits = route_table.Limits() if table is None else table.limits
        return limits.max_body_bytes

    def _readiness(self) -> status.Readiness:
        """Return whether the process accepts callers' requests."""
        configured = self.configuration.route_table is not None
        refused = self.configuration.refused
        return status.Readiness(
            configured and not self.leaving,
            self.configuration.version,
            None
            if refused is None
            else status.RefusedConfig(
                refused.version, refused.problem.place, refused.problem.reason
            ),
        )

    # Events.

    def _call_in_loop(self, call: collections.abc.Callable[[], _T]) -> _T:
        """Call a function on the event loop and return its result.

        For worker threads.  Raises ``TimeoutError`` if the event loop does
        not get to it in time.
        """

        async def run() -> _T:
            return call()

        future = asyncio.run_coroutine_threadsafe(run(), self.loop)
        return future.result(timeout=LOOP_CALL_TIMEOUT_S)

    def _on_announcement(
        self, announcement: server_tracker.Announcement
    ) -> key_reports.Reply:
        """Record an announcement; runs on a thread of the control server."""
        return self._call_in_loop(
            lambda: self._record_announcement(announcement)
        )

    def _record_announcement(
        self, announcement: server_tracker.Announcement
    ) -> key_reports.Reply:
        """Record an announcement; broadcast a status if the state changed.

        An announcement for another service can't come from the server on this
        VM, so it is not accepted.  An outdated announcement is ignored: its
        reply contains no order, which would count from an earlier time than
        those of newer ones.
        """
        if announcement.service != self.settings.service:
            logs.bad_document(
                f"report from {announcement.server_id}",
                f"of service {announcement.service}",
            )
            return key_reports.Reply(accepted=False)
        now = self.clock.now()
        previous = self.tracker.latest
        was_ready = self.tracker.ready(now)
        if not self.tracker.record(announcement, now):
            return key_reports.Reply(accepted=True)
        self.local_backend.on_announcement(announcement)
        self.health_checks.announced.set()
        changed = previous is None or (
            previous.announcement.run,
            previous.announcement.state,
        ) != (
            announcement.run,
            announcement.state,
        )
        if changed:
            logs.server(
                "announced", announcement.run, announcement.state.value
            )
        if changed or was_ready != self.tracker.ready(now):
            self.broadcaster.broadcast_soon()
            self.reconciler.wakeup.set()
        if announcement.keys is None:
            return key_reports.Reply(accepted=True)
        order = self.reconciler.on_report(announcement.keys)
        return key_reports.Reply(accepted=True, order=order)

    def _on_health(self) -> None:
        """Act on the answer of a server that may be used, or may not."""
        self.broadcaster.broadcast_soon()
        self.reconciler.wakeup.set()

    def _on_leave(self, server_id: str) -> None:
        """Record that a server leaves; runs on a control server thread."""
        self._call_in_loop(lambda: self._record_leave(server_id))

    def _record_leave(self, server_id: str) -> None:
        """Record that a backend server leaves, and broadcast a status."""
        self.tracker.record_leaving(server_id, self.clock.now())
        self.local_backend.on_server_leaving(server_id)
        logs.server("leaves", server_id, "")
        self.broadcaster.broadcast_soon()

    def _on_server_lost(self) -> None:
        """Log that the server refuses connections, and broadcast a status."""
        latest = self.tracker.latest
        logs.server(
            "unreachable",
            "" if latest is None else latest.announcement.run,
            "refused",
        )
        self.broadcaster.broadcast_soon()

    def _on_status(self, status: statuses.Status) -> None:
        """Process the suspects and the ownership in a peer's status."""
        self.crash_detector.on_status(status)
        if status.service == self.settings.service:
            self.reconciler.on_status(status)

    def _on_evacuation(self) -> None:
        """Tell the peers of the zones, and act on that of this VM."""
        self.broadcaster.broadcast_soon()
        self.reconciler.wakeup.set()

    def _on_table(self, table: route_table.Table) -> None:
        """Apply a new table's limits and broadcast its version."""
        self.caller_server.set_idle_timeout(table.limits.idle_timeout_s)
        self.caller_server.set_max_header_bytes(table.limits.max_header_bytes)
        rules = table.services.get(self.settings.service)
        self.local_backend.start_limit.rate = (
            0.0 if rules is None else rules.cold_per_s
        )
        if self.local_backend.server_run is not None:
            self.local_backend.server_run.wake_waiters(self.clock.now())
        self.broadcaster.broadcast_soon()

    def _build_status(self, sequence: int) -> statuses.Status:
        """Return the status with a sequence number, to be sent to peers.

        Called for each status that is sent: also records the time of
        sending, decays the key load, and adapts the retry budget of this
        process to the size of the fleet.
        """
        now = self.clock.now()
        self.local_backend.key_load.decay(now)
        self.reconciler.view.record_status_sent(sequence)
        slack = self.settings.retry_slack * DIVIDED_RETRY_SHARE
        processes = max(1, len(self.peer_table.peers))
        self.retry_budgets.max_budget = max(
            MIN_RETRY_BUDGET_LIMIT, slack / processes
        )
        # A run that has not answered yet is as good as unknown to peers.
        latest = self.tracker.latest if self.tracker.is_checked() else None
        announcement = None if latest is None else latest.announcement
        state = statuses.ServerState.ABSENT
        if self.tracker.ready(now):
            state = statuses.ServerState.READY
        elif latest is not None and self.tracker.present(now):
            state = statuses.ServerState.DRAINING
        warmup_left_s = 0.0
        if announcement is not None and latest is not None:
            warmup_left_s = max(
                0.0, announcement.warmup_left_s - (now - latest.received_at)
            )
        return statuses.Status(
            sender=self.settings.name,
            incarnation=self.incarnation,
            started_ms=self.started_ms,
            sequence=sequence,
            address=self._address(),
            zone=self.settings.zone,
            leaving=self.leaving,
            service=(
                self.settings.service
                if announcement is None
                else announcement.service
            ),
            run=(
                statuses.NO_SERVER_RUN
                if announcement is None
                else announcement.run
            ),
            state=state,
            slots=0 if announcement is None else announcement.slots,
            outstanding=self.local_backend.outstanding(),
            service_s=self.local_backend.mean_service_s(),
            warmup_left_s=warmup_left_s,
            table_version=self.configuration.version,
            ownership_version=self.reconciler.view.version.revision,
            held=self.held_keys.status_ranges(now),
            request_rate=self.local_backend.key_load.rate(),
            hot_keys=self.local_backend.key_load.hottest(),
            read=self.reconciler.view.reported_read(),
            suspects=self.crash_detector.recent_changes(),
            affected_members=self.reconciler.view.affected_members(),
            store_era=self.reconciler.view.version.era,
            store_reached=not self.reconciler.view.store_unreachable,
            evacuations=(
                None
                if self.evacuations is None
                else self.evacuations.reported()
            ),
            evacuations_age_s=(
                None
                if self.evacuations is None
                else self.evacuations.reported_age_s()
            ),
            starts_per_s=self.local_backend.start_limit.starts_per_s(now),
            backlog_s=self.local_backend.backlog_s(),
            takes_parts=True,
            config_age_s=self.configuration.reported_age_s(),
        )

    def _runtime_snapshot(self) -> runtime_stats.Snapshot:
        """Return the counts for the periodic log line and the metrics."""
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
            self.caller_server.waiting_connections(),
            self.configuration.checks.age_s(self.clock.now()),
            self.store.calls.longest_wait_s,
        )

    def _metrics_readings(self) -> sidecar_metrics.Readings:
        """Return the values of other components for the metrics page."""
        now = self.clock.now()
        queue = self.local_backend.queue_state()
        status_ages_s = [
            now - peer.status_received_at
            for peer in list(self.peer_table.peers.values())
            if peer.status.sender != self.settings.name
            and self.peer_table.is_alive(peer, now)
        ]
        dropped = {} if self.log is None else dict(self.log.dropped_total)
        return sidecar_metrics.Readings(
            waiting=queue.waiting,
            running=queue.running,
            backlog_s=self.local_backend.backlog_s(),
            failure_share=self.local_backend.failure_share(),
            cost_classes=len(self.local_backend.costs.values),
            retries_left=dict(self.retry_budgets.remaining),
            lease_left_s=self.reconciler.view.lease.remaining_s(now),
            keys_held=self.held_keys.size(now),
            unheld_s=self.reconciler.unheld_s,
            work_needed_s=self.held_keys.work_times.longest_needed_s(),
            grant_waits=self.held_keys.renewals.waits,
            grant_rejections=self.held_keys.renewals.rejected,
            runs_cut_off=self.held_keys.renewals.cut_off,
            ranges_moved=self.reconciler.planner.ranges_moved,
            config_version=self.configuration.version,
            config_refused=self.configuration.refused is not None,
            zones_evacuated=self._zones_evacuated(),
            ownership_version=self.reconciler.view.version.revision,
            store_era=self.store.eras.era,
            peers_alive=len(status_ages_s),
            oldest_status_s=max(status_ages_s, default=0.0),
            lines_dropped=dropped,
            body_bytes_held=self.body_budget.held_bytes,
            body_bytes_limit=self.body_budget.limit_bytes,
            bodies_refused=self.body_budget.refusals,
            slow_callers_closed=self.caller_server.closed_callers(),
            connections=len(self.caller_server.connections.open),
            connections_evicted=self.caller_server.connections.evicted,
            connections_refused=self.caller_server.connections.refused,
            loop_lag_s=self.runtime_stats.lag_s,
            snapshot=self._runtime_snapshot(),
            starts_per_s=self.local_backend.start_limit.starts_per_s(now),
            start_rejections=self.local_backend.start_limit.rejected,
        )

    def _zones_evacuated(self) -> int:
        """Return the number of zones that are known to be evacuated."""
        known = self.evacuations and self.evacuations.known
        return len(known.zones) if known else 0

    def reconfigure(self, settings: sidecar_options.SidecarOptions) -> None:
        """Apply the settings that can change at run time.

        These are the grace time and the retry budget; all others take
        effect at the next start.
        """
        self.settings = dataclasses.replace(
            self.settings,
            grace_s=settings.grace_s,
            retry_share=settings.retry_share,
            retry_slack=settings.retry_slack,
        )
        self.retry_budgets.share = settings.retry_share * DIVIDED_RETRY_SHARE

    # Shutdown.

    async def stop(self) -> None:
        """Report not ready, serve remaining requests, and then return.

        Returns within the grace time, even if requests are still running.
        The port for callers is closed, unless a request is still running.
        """
        shutdown = graceful_shutdown.GracefulShutdown(
            self.caller_server,
            self.peer_service,
            self.router,
            self.local_backend,
            self.clock,
            self.settings.grace_s,
        )
        self.leaving = True
        logs.process("stopping", self.settings.name)
        self.broadcaster.broadcast_soon()
        await shutdown.drain()
        logs.process("stopped", self.settings.name)

    async def close(self) -> None:
        """Cancel all tasks and close all ports, as if the process were lost.

        Running requests of callers get only
        ``graceful_shutdown.CLOSE_TIMEOUT_S`` to end.
        """
        await self.background_tasks.stop()
        await self.reconciler.stop()
        await self.configuration.stop()
        for http_server in self.http_servers:
            await self.loop.run_in_executor(
                None, http_server.stop, graceful_shutdown.CLOSE_TIMEOUT_S
            )
        if self.grpc_server is not None:
            self.grpc_server.close()
        await self.peer_streams.close()
        self.udp.close()
        self.store.close()
        self.command_threads.close()
        self.health_checks.close()
        self.metrics_recorder.close()
        self.workers.shutdown(wait=False, cancel_futures=True)


def _max_descriptors() -> int:
    """Return the number of descriptors that this process may have open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
