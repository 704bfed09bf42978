"""Runs requests on the backend server on the same VM.

Each request is admitted and queued by its rank (rank 0 is the most urgent)
until it gets one of the server's slots, then sent on a worker thread.  The
server has as many slots as it processes requests at once.  If a request is
cancelled, its connection to the server is closed, so that the server stops
working on it too.  For the event loop only.
"""

import asyncio
import collections.abc
import concurrent.futures
import typing

from bronzepaddle import clocks, http_messages, ids, logs, suspects, verdicts
from bronzepaddle.load import (
    body_budget,
    cold_servers,
    expected_cost,
    key_load,
    response_room,
    server_queue,
)
from bronzepaddle_backend import connections, server_load, server_tracker
from bronzepaddle_peers import pacing, stream_client, stream_messages

from bronzepaddle_node import crash_detector, held_keys, process_end
from bronzepaddle_node.keys import keyed_work
from bronzepaddle_node.requests import server_runs

DRAIN_GRACE_S: typing.Final = 1.0
"""Time for which a draining server is still sent requests.

These are the requests admitted before, and those for the keys that it holds.
"""

MOVING_RETRY_AFTER_S: typing.Final = 0.1
"""Retry-After of rejections while the server or the key is being moved."""


class LocalBackend:
    """Runs requests on the backend server on the same VM."""

    def __init__(
        self,
        name: ids.MemberId,
        header_names: connections.HeaderNames,
        tracker: server_tracker.Tracker,
        granted_keys: held_keys.HeldKeys,
        workers: concurrent.futures.Executor,
        detector: crash_detector.CrashDetector,
        pacer: pacing.Pacer,
        start_limit: cold_servers.StartLimit,
        clock: clocks.Clock,
        on_server_lost: collections.abc.Callable[[], None],
        costs: expected_cost.CostModel,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self.name = name
        # Kept from one run of the server to the next: the costs of requests
        # in relation to each other stay the same.
        self.costs = costs
        self.body_budget = budget or body_budget.BodyBudget()
        self.response_room = response_room.ResponseRoom(self.body_budget)
        self.crash_detector = detector
        self.on_server_lost = on_server_lost
        self.header_names = header_names
        self.tracker = tracker
        self.held_keys = granted_keys
        self.workers = workers
        self.pacer = pacer
        self.start_limit = start_limit
        # The run of the server that was last logged as cold, empty if it was
        # logged as warm.
        self.cold_run = ""
        self.clock = clock
        self.server_run: server_runs.ServerRun | None = None
        self.in_flight = 0
        self.process_end = process_end.NEVER
        self.key_load = key_load.KeyLoadCounter(clock.now())
        self.keyed_work = keyed_work.KeyedWork(granted_keys, clock)

    def on_announcement(
        self, announcement: server_tracker.Announcement
    ) -> None:
        """Apply the newest announcement.

        A new run of the server gets new connections and a new queue.
        """
        self._record_coldness(announcement)
        current = self.server_run
        if (
            current is not None
            and current.announcement.run == announcement.run
        ):
            current.announcement = announcement
            current.leaving |= (
                announcement.state is server_tracker.AnnouncedState.DRAINING
            )
            # A server that is warm again may be sent more at once.
            current.wake_waiters(self.clock.now())
            return
        if current is not None:
            current.close()
            if not current.leaving:
                self.crash_detector.on_run_crashed()
        self.crash_detector.on_new_run()
        connection_pool = connections.Connections(
            self.name,
            announcement.host,
            announcement.port,
            self.header_names,
            self.clock.now,
            self.body_budget,
        )
        self.server_run = server_runs.ServerRun(
            announcement,
            connection_pool,
            server_queue.ServerQueue(
                announcement.slots,
                self.clock.now(),
                self.start_limit,
                self.costs,
            ),
            self.clock,
        )
        self.held_keys.set_run(announcement.run)
        if current is not None:
            # What waited for the run before this one is rejected by now.
            current.give_up_waiting()

    def _record_coldness(
        self, announcement: server_tracker.Announcement
    ) -> None:
        """Record how long the server is cold; log it if that has changed."""
        now = self.clock.now()
        self.start_limit.set_cold(announcement.warmup_left_s, now)
        starts_per_s = self.start_limit.starts_per_s(now)
        cold_run = announcement.run if starts_per_s else ""
        if cold_run == self.cold_run:
            return
        self.cold_run = cold_run
        if cold_run:
            logs.server(
                "cold",
                cold_run,
                f"{starts_per_s:.0f} requests per second at most for "
                f"{announcement.warmup_left_s:.3f} s",
            )
        else:
            logs.server("warm", announcement.run, "")

    def on_server_leaving(self, server_id: str) -> None:
        """Record that a server leaves: its end is then not a crash."""
        current = self.server_run
        if current is not None and current.announcement.server_id == server_id:
            current.leaving = True

    def queue_state(self) -> logs.Queue:
        """Return the current state of the server's queue."""
        server_run = self.server_run
        if server_run is None:
            return logs.Queue(0, 0, 0)
        queue = server_run.queue
        return logs.Queue(queue.running, len(queue.waiting), queue.slots)

    def outstanding(self) -> int:
        """Return the number of requests that wait or run."""
        return 0 if self.server_run is None else self.in_flight

    def mean_service_s(self) -> float:
        """Return the server's mean time per request, 0 if unknown."""
        return (
            0.0
            if self.server_run is None
            # A request with a key can't be sent to another server.
            else self.server_run.queue.overall_mean_s(
                counts_failures=not self.held_keys.ranges
            )
        )

    def backlog_s(self) -> float:
        """Return the expected time until a request that arrives now starts."""
        return (
            0.0
            if self.server_run is None
            else self.server_run.queue.backlog_s(self.clock.now())
        )

    def failure_share(self) -> float:
        """Return the share of requests that the server lately failed."""
        server_run = self.server_run
        return 0.0 if server_run is None else server_run.queue.failure_share

    async def handle_from_peer(
        self, request: stream_messages.ForwardedRequest
    ) -> stream_client.Reply:
        """Return the reply to a request from a peer.

        The request is rejected at once if there is no room for its response,
        or if the VM's link is too busy to send it back in time.
        """
        if not self.response_room.has_room(request.route):
            return self._reply(
                request,
                self._reject(
                    verdicts.Reason.MEMORY_FULL, body_budget.RETRY_AFTER_S
                ),
            )
        reply = await self._handle_if_link_is_free(request)
        self.response_room.record_response(request.route, reply.response)
        return reply

    async def _handle_if_link_is_free(
        self, request: stream_messages.ForwardedRequest
    ) -> stream_client.Reply:
        """Reject a request whose response would be late, or handle it."""
        server_run = self.server_run
        link_delay_s = self.pacer.queueing_delay_s(request.route)
        if link_delay_s == 0.0:
            return await self.handle(request)
        profile = _request_profile(request)
        expected_s = (
            0.0
            if server_run is None
            else server_run.queue.expected_s(profile, self.clock.now())
        )
        bound_s = server_queue.latency_bound_s(profile)
        if link_delay_s + expected_s <= bound_s:
            return await self.handle(request)
        response = http_messages.rejection(
            verdicts.Reason.TOO_LATE,
            self.name,
            retry_after_s=link_delay_s,
            detail=f"the VM's link is busy for {link_delay_s:.3f} s",
        )
        return self._reply(request, response)

    async def handle(
        self,
        request: stream_messages.ForwardedRequest,
        timeout_s: float | None = None,
    ) -> stream_client.Reply:
        """Return the reply to a request from a peer or from this process.

        After ``timeout_s``, if given, the request is cancelled.  The reply
        then says that it has not run only if it was not handed to the server.
        """
        server_run = self.server_run
        if server_run is None:
            return self._reply(
                request,
                self._reject(verdicts.Reason.NO_BACKEND, MOVING_RETRY_AFTER_S),
            )
        admitted = self._admit(server_run, request)
        match admitted:
            case http_messages.Response():
                return self._reply(request, admitted)
            case server_queue.QueueEntry():
                try:
                    async with asyncio.timeout(timeout_s):
                        response = await self._wait_and_send(
                            server_run, admitted, request
                        )
                except TimeoutError:
                    response = self._reject_at_deadline(server_run, admitted)
                return self._reply(request, response, admitted.run_s)
            case _:
                typing.assert_never(admitted)

    def _reject_at_deadline(
        self,
        server_run: server_runs.ServerRun,
        entry: server_queue.QueueEntry,
    ) -> http_messages.Response:
        """Return the rejection of a request whose time is over."""
        if entry.handed_over:
            return http_messages.rejection(
                verdicts.Reason.DEADLINE,
                self.name,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        return self._reject(
            verdicts.Reason.TOO_LATE,
            server_run.queue.retry_after_s(self.clock.now()),
        )

    def _reply(
        self,
        request: stream_messages.ForwardedRequest,
        response: http_messages.Response,
        run_s: float = 0.0,
    ) -> stream_client.Reply:
        """Add the load of this process to a response; log a rejection."""
        if response.verdict is verdicts.Verdict.NOT_RUN:
            logs.turned_away(
                request.request_id,
                request.route,
                request.rank,
                response,
                self.queue_state(),
            )
        return self.add_load(response, run_s)

    def add_load(
        self, response: http_messages.Response, run_s: float = 0.0
    ) -> stream_client.Reply:
        """Return a reply with the load of this process."""
        return stream_client.Reply(
            response,
            outstanding=self.outstanding(),
            service_s=self.mean_service_s(),
            has_load=True,
            backlog_s=self.backlog_s(),
            run_s=run_s,
            starts_per_s=self.start_limit.starts_per_s(self.clock.now()),
        )

    def _admit(
        self,
        server_run: server_runs.ServerRun,
        request: stream_messages.ForwardedRequest,
    ) -> server_queue.QueueEntry | http_messages.Response:
        """Queue a request, or reject it on arrival."""
        reason = self._rejection_reason(server_run, request)
        if reason is not None:
            return self._reject(reason, MOVING_RETRY_AFTER_S)
        if self.crash_detector.rejects(
            request.service, request.method, request.target, request.body
        ):
            return self._reject(
                verdicts.Reason.SUSPECT, crash_detector.REJECTION_S
            )
        if request.key >= 0:
            self.key_load.count(request.key, request.relative_cost)
        now = self.clock.now()
        profile = _request_profile(request)
        expected_s = server_run.queue.expected_s(profile, now)
        if not self.process_end.may_begin(
            now, expected_s, request.time_left_s
        ):
            return self._reject(verdicts.Reason.DRAINING, MOVING_RETRY_AFTER_S)
        decision = server_run.queue.submit(profile, now)
        match decision:
            case server_queue.Rejected():
                return http_messages.rejection(
                    verdicts.Reason.TOO_LATE,
                    self.name,
                    retry_after_s=decision.retry_after_s,
                    detail=str(decision),
                )
            case server_queue.QueueEntry():
                return decision
            case _:
                typing.assert_never(decision)

    async def _wait_and_send(
        self,
        server_run: server_runs.ServerRun,
        entry: server_queue.QueueEntry,
        request: stream_messages.ForwardedRequest,
    ) -> http_messages.Response:
        """Wait for a slot, then send; a request not sent leaves the queue."""
        self.in_flight += 1
        waiter = asyncio.get_running_loop().create_future()
        server_run.slot_waiters[entry] = waiter
        server_run.wake_waiters(self.clock.now())
        try:
            if not await waiter:
                return self._refuse_waiting(server_run, request)
            if not await self.keyed_work.fits_grant(request, entry.deadline):
                return self._reject(
                    verdicts.Reason.NOT_OWNER, MOVING_RETRY_AFTER_S
                )
            entry.started = self.clock.now()
            reason = self._rejection_reason(server_run, request, DRAIN_GRACE_S)
            if reason is not None:
                return self._reject(reason, MOVING_RETRY_AFTER_S)
            return await self._send(server_run, entry, request)
        finally:
            self.in_flight -= 1
            server_run.slot_waiters.pop(entry, None)
            # A sent request keeps its slot until its worker thread is done.
            if not entry.handed_over:
                server_run.queue.remove_not_sent(entry, self.clock.now())
                server_run.wake_waiters(self.clock.now())

    def _refuse_waiting(
        self,
        server_run: server_runs.ServerRun,
        request: stream_messages.ForwardedRequest,
    ) -> http_messages.Response:
        """Return the rejection of a request that is given up while it waits.

        If its server has ended, another one may still run it.
        """
        reason = self._rejection_reason(server_run, request, DRAIN_GRACE_S)
        if reason is None and self.tracker.unreachable:
            reason = verdicts.Reason.SERVER_ENDED
        if reason is not None:
            return self._reject(reason, MOVING_RETRY_AFTER_S)
        return http_messages.rejection(
            verdicts.Reason.TOO_LATE,
            self.name,
            retry_after_s=server_run.queue.retry_after_s(self.clock.now()),
            detail="did not get a slot in time",
        )

    async def _send(
        self,
        server_run: server_runs.ServerRun,
        entry: server_queue.QueueEntry,
        request: stream_messages.ForwardedRequest,
    ) -> http_messages.Response:
        """Send a request to the server on a worker thread.

        If this is cancelled, the connection of the request is closed.
        """
        backend_request = connections.BackendRequest(
            request_id=request.request_id,
            caller_service=request.caller_service,
            server_id=server_run.announcement.server_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline=entry.deadline,
            idempotent=request.idempotent,
        )
        cancellation = connections.Cancellation()
        server_run.sent_entries.add(entry)
        entry.handed_over = True
        left_s = self.held_keys.left_s(request.key, self.clock.now())
        sending = asyncio.get_running_loop().run_in_executor(
            self.workers,
            server_run.connections.send,
            backend_request,
            cancellation,
        )
        sending.add_done_callback(
            lambda future: self._on_worker_done(
                server_run, entry, request, left_s, cancellation, future
            )
        )
        try:
            return await asyncio.shield(sending)
        except asyncio.CancelledError:
            cancellation.cancel()
            raise

    def _on_worker_done(
        self,
        server_run: server_runs.ServerRun,
        entry: server_queue.QueueEntry,
        request: stream_messages.ForwardedRequest,
        left_s: float,
        cancellation: connections.Cancellation,
        future: "asyncio.Future[http_messages.Response]",
    ) -> None:
        """Release the slot once the worker thread is done.

        ``left_s`` is what was left of the grant of its key when the request
        was sent.  Reports the outcome to the crash detector, and that the
        server refuses connections, if it does.
        """
        now = self.clock.now()
        response = None if future.cancelled() else future.result()
        ran = response is not None and response.verdict is verdicts.Verdict.RAN
        server_run.sent_entries.discard(entry)
        failed = response is not None and response.status >= 500
        if response is not None:
            self._record_reported_speed(server_run, response, now)
        server_run.queue.remove(entry, now, ran, failed)
        server_run.wake_waiters(now)
        if response is None:
            return
        if ran and request.key >= 0:
            self.keyed_work.record_run(
                request, response, left_s, now - entry.started
            )
        if response.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            logs.lost_at_server(
                request.request_id,
                server_run.announcement.run,
                response,
                cancellation.cancelled,
            )
        if server_run is not self.server_run:
            return
        self.crash_detector.record_outcome(
            suspects.fingerprint(
                request.service, request.method, request.target, request.body
            ),
            response.reason,
        )
        server_ended = response.reason is verdicts.Reason.SERVER_ENDED
        if server_ended and not self.tracker.unreachable:
            if not server_run.leaving:
                self.crash_detector.on_run_crashed()
            self.tracker.unreachable = True
            server_run.give_up_waiting()
            self.on_server_lost()

    def _record_reported_speed(
        self,
        server_run: server_runs.ServerRun,
        response: http_messages.Response,
        now: float,
    ) -> None:
        """Record the speed that the server reports in a response, if any."""
        slowness = server_load.slowness(
            response.headers, self.header_names.server_load
        )
        if slowness is not None:
            server_run.queue.speed.report(slowness, now)

    def _rejection_reason(
        self,
        server_run: server_runs.ServerRun | None,
        request: stream_messages.ForwardedRequest,
        drain_grace_s: float = 0.0,
    ) -> verdicts.Reason | None:
        """Return why the server may not be sent a request, or None.

        A request may still be sent until ``drain_grace_s`` after the server
        started to drain.
        """
        now = self.clock.now()
        if server_run is None or server_run is not self.server_run:
            return verdicts.Reason.NO_BACKEND
        if not self.tracker.is_checked():
            return verdicts.Reason.NO_BACKEND
        if self.start_limit.is_unknown(now):
            return verdicts.Reason.NO_BUNDLE
        announcement = server_run.announcement
        if (
            announcement.service != request.service
            or announcement.run != request.run
        ):
            return verdicts.Reason.NO_BACKEND
        draining_since = self.tracker.draining_since()
        if request.key >= 0:
            # No other server has the key until it has been moved.
            drain_grace_s = DRAIN_GRACE_S
        if (
            draining_since is not None
            and now >= draining_since + drain_grace_s
        ):
            return verdicts.Reason.DRAINING
        if request.key >= 0 and not self.held_keys.holds(request.key, now):
            return verdicts.Reason.NOT_OWNER
        return None

    def _reject(
        self, reason: verdicts.Reason, retry_after_s: float | None = None
    ) -> http_messages.Response:
        """Return a rejection by this process."""
        return http_messages.rejection(
            reason, self.name, retry_after_s=retry_after_s
        )


def _request_profile(
    request: stream_messages.ForwardedRequest,
) -> server_queue.RequestProfile:
    """Return the properties by which the queue orders and admits a request."""
    return server_queue.RequestProfile(
        rank=request.rank,
        kind=request.route,
        target_s=request.target_s,
        time_left_s=request.time_left_s,
        idempotent=request.idempotent,
        late=request.late,
        features=expected_cost.request_features(
            request.method,
            request.target,
            len(request.body),
            request.key,
            request.caller_service,
        ),
        relative_cost=request.relative_cost,
    )
