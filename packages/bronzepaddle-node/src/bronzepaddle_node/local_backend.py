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
from bronzepaddle.load import body_budget, key_load, server_queue
from bronzepaddle_backend import connections, server_tracker
from bronzepaddle_peers import pacing, stream_client, stream_messages

from bronzepaddle_node import crash_detector, held_keys, process_end

DRAIN_GRACE_S: typing.Final = 1.0
"""Time for which a draining server is still sent requests.

These are the requests admitted before, and those for the keys that it holds.
"""

MOVING_RETRY_AFTER_S: typing.Final = 0.1
"""Retry-After of rejections while the server or the key is being moved."""


class ServerRun:
    """One run of the backend server, with its connections and its queue.

    A run lasts from a start of the server until it stops or crashes.
    """

    def __init__(
        self,
        announcement: server_tracker.Announcement,
        connection_pool: connections.Connections,
        queue: server_queue.ServerQueue,
    ) -> None:
        self.announcement = announcement
        self.connections = connection_pool
        self.queue = queue
        # Whether the server has announced that it drains or leaves; its end is
        # then no crash.
        self.leaving = (
            announcement.state is server_tracker.AnnouncedState.DRAINING
        )
        # The requests that wait for a slot, each with a future whose result
        # is whether it got one.
        self.slot_waiters: dict[
            server_queue.QueueEntry, asyncio.Future[bool]
        ] = {}
        # The requests that were sent to the server and still hold a slot.
        self.sent_entries: set[server_queue.QueueEntry] = set()

    def wake_waiters(self, now: float) -> None:
        """Wake the requests that get a slot and those that have expired."""
        for entry in self.queue.remove_expired(now):
            self._wake(entry, False)
        for entry in self.queue.start_next(now):
            self._wake(entry, True)

    def _wake(self, entry: server_queue.QueueEntry, got_slot: bool) -> None:
        """Give a waiting request the result of its wait."""
        waiter = self.slot_waiters.pop(entry, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(got_slot)


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
        clock: clocks.Clock,
        on_server_lost: collections.abc.Callable[[], None],
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self.name = name
        self.body_budget = budget or body_budget.BodyBudget()
        self.crash_detector = detector
        self.on_server_lost = on_server_lost
        self.header_names = header_names
        self.tracker = tracker
        self.held_keys = granted_keys
        self.workers = workers
        self.pacer = pacer
        self.clock = clock
        self.server_run: ServerRun | None = None
        self.in_flight = 0
        self.process_end = process_end.NEVER
        self.key_load = key_load.KeyLoadCounter(clock.now())

    def on_announcement(
        self, announcement: server_tracker.Announcement
    ) -> None:
        """Apply the newest announcement.

        A new run of the server gets new connections and a new queue.
        """
        current = self.server_run
        if (
            current is not None
            and current.announcement.run == announcement.run
        ):
            current.announcement = announcement
            current.leaving |= (
                announcement.state is server_tracker.AnnouncedState.DRAINING
            )
            return
        if current is not None:
            current.connections.close()
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
        self.server_run = ServerRun(
            announcement,
            connection_pool,
            server_queue.ServerQueue(announcement.slots, self.clock.now()),
        )
        self.held_keys.set_run(announcement.run)

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
            else self.server_run.queue.overall_mean_s()
        )

    async def handle_from_peer(
        self, request: stream_messages.ForwardedRequest
    ) -> stream_client.Reply:
        """Return the reply to a request from a peer.

        The request is rejected at once if the VM's link is too busy to send
        its response back in time.
        """
        server_run = self.server_run
        link_delay_s = self.pacer.queueing_delay_s(request.route)
        mean_s = (
            0.0
            if server_run is None
            else server_run.queue.mean_s(request.route)
        )
        bound_s = server_queue.latency_bound_s(_request_profile(request))
        if link_delay_s == 0.0 or link_delay_s + mean_s <= bound_s:
            return await self.handle(request)
        response = http_messages.rejection(
            verdicts.Reason.TOO_LATE,
            self.name,
            retry_after_s=link_delay_s,
            detail=f"the VM's link is busy for {link_delay_s:.3f} s",
        )
        return self._reply(request, response)

    async def handle(
        self, request: stream_messages.ForwardedRequest
    ) -> stream_client.Reply:
        """Return the reply to a request from a peer or from this process."""
        return self._reply(request, await self._respond(request))

    def _reply(
        self,
        request: stream_messages.ForwardedRequest,
        response: http_messages.Response,
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
        return self.add_load(response)

    def add_load(
        self, response: http_messages.Response
    ) -> stream_client.Reply:
        """Return a reply with the load of this process."""
        return stream_client.Reply(
            response, self.outstanding(), self.mean_service_s(), True
        )

    async def _respond(
        self, request: stream_messages.ForwardedRequest
    ) -> http_messages.Response:
        """Queue and run a request, or reject it on arrival."""
        server_run = self.server_run
        reason = self._rejection_reason(server_run, request)
        if reason is not None or server_run is None:
            return self._reject(
                reason or verdicts.Reason.NO_BACKEND, MOVING_RETRY_AFTER_S
            )
        if self.crash_detector.rejects(
            request.service, request.method, request.target, request.body
        ):
            return self._reject(
                verdicts.Reason.SUSPECT, crash_detector.REJECTION_S
            )
        if request.key >= 0:
            self.key_load.count(request.key)
        now = self.clock.now()
        mean_s = server_run.queue.mean_s(request.route)
        if not self.process_end.may_begin(now, mean_s, request.time_left_s):
            return self._reject(verdicts.Reason.DRAINING, MOVING_RETRY_AFTER_S)
        deadline = now + request.time_left_s
        decision = server_run.queue.submit(_request_profile(request), now)
        match decision:
            case server_queue.Rejected(wait_s, retry_after_s):
                return http_messages.rejection(
                    verdicts.Reason.TOO_LATE,
                    self.name,
                    retry_after_s=retry_after_s,
                    detail=f"expected to start in {wait_s:.3f} s",
                )
            case server_queue.QueueEntry():
                return await self._wait_and_send(
                    server_run, decision, request, deadline
                )
            case _:
                typing.assert_never(decision)

    async def _wait_and_send(
        self,
        server_run: ServerRun,
        entry: server_queue.QueueEntry,
        request: stream_messages.ForwardedRequest,
        deadline: float,
    ) -> http_messages.Response:
        """Wait for a slot, then send; a request not sent leaves the queue."""
        self.in_flight += 1
        waiter = asyncio.get_running_loop().create_future()
        server_run.slot_waiters[entry] = waiter
        server_run.wake_waiters(self.clock.now())
        try:
            if not await waiter:
                return self._reject(verdicts.Reason.TOO_LATE)
            reason = self._rejection_reason(server_run, request, DRAIN_GRACE_S)
            if reason is not None:
                return self._reject(reason, MOVING_RETRY_AFTER_S)
            return await self._send(server_run, entry, request, deadline)
        finally:
            self.in_flight -= 1
            server_run.slot_waiters.pop(entry, None)
            # A sent request keeps its slot until its worker thread is done.
            if entry not in server_run.sent_entries:
                server_run.queue.remove(entry, self.clock.now(), False)
                server_run.wake_waiters(self.clock.now())

    async def _send(
        self,
        server_run: ServerRun,
        entry: server_queue.QueueEntry,
        request: stream_messages.ForwardedRequest,
        deadline: float,
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
            deadline=deadline,
            idempotent=request.idempotent,
        )
        cancellation = connections.Cancellation()
        server_run.sent_entries.add(entry)
        sending = asyncio.get_running_loop().run_in_executor(
            self.workers,
            server_run.connections.send,
            backend_request,
            cancellation,
        )
        sending.add_done_callback(
            lambda future: self._on_worker_done(
                server_run, entry, request, cancellation, future
            )
        )
        try:
            return await asyncio.shield(sending)
        except asyncio.CancelledError:
            cancellation.cancel()
            raise

    def _on_worker_done(
        self,
        server_run: ServerRun,
        entry: server_queue.QueueEntry,
        request: stream_messages.ForwardedRequest,
        cancellation: connections.Cancellation,
        future: "asyncio.Future[http_messages.Response]",
    ) -> None:
        """Release the slot once the worker thread is done.

        Reports the outcome to the crash detector, and that the server refuses
        connections, if it does.
        """
        now = self.clock.now()
        response = None if future.cancelled() else future.result()
        ran = response is not None and response.verdict is verdicts.Verdict.RAN
        server_run.sent_entries.discard(entry)
        server_run.queue.remove(entry, now, ran)
        server_run.wake_waiters(now)
        if response is None:
            return
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
            self.on_server_lost()

    def _rejection_reason(
        self,
        server_run: ServerRun | None,
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
        announcement = server_run.announcement
        if (
            announcement.service != request.service
            or announcement.run != request.run
        ):
            return verdicts.Reason.NO_BACKEND
        latest = self.tracker.latest
        draining_since = None if latest is None else latest.draining_since
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
    )
