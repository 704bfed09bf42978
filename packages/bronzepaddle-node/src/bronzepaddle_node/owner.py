"""Serves requests for keys that this process owns, on the calling thread.

A request is accepted only while the cell object names this process as the
owner of its hash slot and the lease is valid.  It is looked up in the
idempotency window, waits for a slot of the backend server according to its
priority, and is dispatched.  Its slot and all other resources that it holds
are released when the body of its response has ended.
"""

import collections.abc
import concurrent.futures
import itertools
import typing

from bronzepaddle import (
    admission,
    bundles,
    http_messages,
    idempotency,
    ids,
    suspects,
    verdicts,
)
from bronzepaddle_backend import announcements, commands, dispatch

from bronzepaddle_node import (
    bodies,
    crash_isolation,
    slots,
    state,
    window_codec,
)

MOVING_RETRY_AFTER_S: typing.Final = 0.05
"""Retry-After of rejections because this process may not act for the key."""


class BackendServer:
    """The backend server as last announced, with its connections and slots."""

    def __init__(
        self,
        announcement: announcements.Announcement,
        dispatcher: dispatch.Dispatcher,
        slot_admission: admission.Admission,
    ) -> None:
        self.announcement = announcement
        self.dispatcher = dispatcher
        self.commands = commands.CommandClient(dispatcher.pool)
        self.gate = crash_isolation.ExclusiveGate()
        self.crashed = False
        # Requests in flight when a connection broke while the server stayed
        # reachable; suspects if the server turns out to have restarted.
        self.unconfirmed_suspects: set[suspects.Fingerprint] = set()
        self.admission = slot_admission


class SlotOwner:
    """Serves the requests for the keys that this process owns."""

    def __init__(
        self,
        node_state: state.NodeState,
        suspect_replicator: crash_isolation.SuspectReplicator,
    ) -> None:
        self.state = node_state
        self.suspect_replicator = suspect_replicator
        self.server: BackendServer | None = None
        self.slot_table = slots.SlotTable(node_state)
        self.workers = concurrent.futures.ThreadPoolExecutor(
            2, thread_name_prefix="orders"
        )
        node_state.bundle_listeners.append(self.on_bundle)

    # The backend server.

    def on_announcement(
        self, announcement: announcements.Announcement
    ) -> None:
        """Apply an announcement; a new run gets connections of its own."""
        priorities = self._priorities()
        if not priorities:
            # Announcements are repeated: a later one will find a bundle.
            return
        current = self.server
        unchanged = current is not None and (
            current.announcement.run,
            current.announcement.host,
            current.announcement.port,
            current.announcement.slots,
        ) == (
            announcement.run,
            announcement.host,
            announcement.port,
            announcement.slots,
        )
        if unchanged:
            return
        if (
            current is not None
            and current.announcement.run != announcement.run
        ):
            for fingerprint in current.unconfirmed_suspects:
                self.workers.submit(
                    self.suspect_replicator.record_crash, fingerprint
                )
        now = self.state.clock.now()
        dispatcher = dispatch.Dispatcher(
            self.state.name,
            announcement.host,
            announcement.port,
            announcement.connections,
            self.state.clock,
        )
        self.server = BackendServer(
            announcement,
            dispatcher,
            admission.Admission(priorities, announcement.slots, now),
        )

    def _priorities(self) -> list[bundles.Priority]:
        """Return the priorities of the bundle in effect; empty without one."""
        active = self.state.bundle
        if active is None:
            return []
        return active.rules.most_urgent_first()

    def on_bundle(self, _active: state.ActiveBundle) -> None:
        """Apply the priorities of a new bundle."""
        if self.server is not None:
            self.server.admission.configure(self._priorities())

    # Requests.

    def serve(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Serve a request that was routed to this process as the owner."""
        keyed = self._is_keyed(request)
        if keyed is None:
            return self._reject(verdicts.Reason.NO_BUNDLE)
        server = self.server
        if server is None or server.announcement.service != request.service:
            return self._reject(verdicts.Reason.NO_BACKEND)
        reason = self.slot_table.begin_request(request, keyed)
        if reason is not None:
            return self._reject(reason, MOVING_RETRY_AFTER_S)
        end_request = bodies.Once(lambda: self.slot_table.end_request(request))
        try:
            response = self._deduplicate(request, body, keyed)
        except BaseException:
            end_request()
            raise
        return bodies.with_end_callback(response, end_request)

    def _is_keyed(self, request: http_messages.Request) -> bool | None:
        """Return whether the service is keyed; None if it is unknown."""
        active = self.state.bundle
        if active is None:
            return None
        service = active.rules.services.get(request.service)
        return None if service is None else service.keyed

    def _deduplicate(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
        keyed: bool,
    ) -> http_messages.Response:
        """Run a request unless one with its idempotency key ran or may have.

        Requests without such a key, or for a service that is not keyed, are
        always run.
        """
        key = request.idempotency_key
        window = self.slot_table.window(request)
        if key is None or window is None or not keyed:
            return self._run(request, body)
        decision = window.begin(
            key, self.state.clock.wall_ms(), request.first_attempt
        )
        match decision:
            case idempotency.Run():
                return self._run_and_record(request, body, window, key)
            case idempotency.Replay(result):
                return self._replay(result)
            case idempotency.Running(future):
                return self._await_first(request, future)
            case idempotency.Reject(reason, verdict):
                return self._reject(reason, verdict=verdict)
            case _:
                typing.assert_never(decision)

    def _run_and_record(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
        window: idempotency.Window,
        key: ids.IdempotencyKey,
    ) -> http_messages.Response:
        """Run a request and record its outcome in the window."""
        try:
            response = self._run(request, body)
        except BaseException:
            window.finish(key, window_codec.UNKNOWN_OUTCOME)
            raise
        match response.verdict:
            case verdicts.Verdict.NOT_RUN:
                window.finish(key, None)
                return response
            case verdicts.Verdict.MAY_HAVE_RUN:
                window.finish(key, window_codec.UNKNOWN_OUTCOME)
                return response
            case verdicts.Verdict.RAN:
                return bodies.with_recording(response, window, key)
            case _:
                typing.assert_never(response.verdict)

    def _replay(self, result: idempotency.Result) -> http_messages.Response:
        """Return the recorded response, or a rejection if it is not kept."""
        if result.verdict is not verdicts.Verdict.RAN:
            return self._reject(verdicts.Reason.OLD_ID, verdict=result.verdict)
        if result.body is None:
            return self._reject(
                verdicts.Reason.RESULT_NOT_KEPT, verdict=verdicts.Verdict.RAN
            )
        return http_messages.Response(
            status=result.status,
            headers=result.headers,
            body=iter((result.body,) if result.body else ()),
            verdict=verdicts.Verdict.RAN,
            reason=verdicts.Reason.REPLAYED,
            server=self.state.name,
        )

    def _await_first(
        self,
        request: http_messages.Request,
        running: concurrent.futures.Future[idempotency.Result | None],
    ) -> http_messages.Response:
        """Wait for the result of a running request with the same key."""
        time_left_s = max(0.0, request.deadline - self.state.clock.now())
        try:
            result = running.result(timeout=time_left_s)
        except TimeoutError:
            return self._reject(
                verdicts.Reason.STILL_RUNNING,
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if result is None:
            return self._reject(verdicts.Reason.SHED)
        return self._replay(result)

    def _run(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Wait for a slot of the backend server and dispatch the request."""
        server = self.server
        if server is None:
            return self._reject(verdicts.Reason.NO_BACKEND)
        clock = self.state.clock
        ticket = server.admission.submit(
            request.priority, request.caller, request.deadline, clock.now()
        )
        try:
            time_left_s = max(0.0, request.deadline - clock.now())
            decision = ticket.decision.result(timeout=time_left_s)
        except TimeoutError:
            server.admission.withdraw(ticket, clock.now())
            return self._reject(verdicts.Reason.TOO_LATE)
        match decision:
            case admission.Rejected(reason, retry_after_s):
                return self._reject(reason, retry_after_s)
            case admission.Admitted():
                return self._dispatch(server, ticket, request, body)
            case _:
                typing.assert_never(decision)

    def _dispatch(
        self,
        server: BackendServer,
        ticket: admission.Ticket,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Dispatch a request; hold its slot until the response has ended."""
        if self._is_keyed(request) and not self.slot_table.may_continue(
            request
        ):
            # The ownership ended during the wait for a slot.
            server.admission.withdraw(ticket, self.state.clock.now())
            return self._reject(verdicts.Reason.NO_LEASE)
        shed = False

        def release_slot() -> None:
            server.admission.release(ticket, self.state.clock.now(), shed)

        release = bodies.Once(release_slot)
        try:
            response = self._dispatch_gated(server, request, body)
        except BaseException:
            release()
            raise
        shed = response.reason is verdicts.Reason.SHED
        return bodies.with_end_callback(response, release)

    def _dispatch_gated(
        self,
        server: BackendServer,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Dispatch a request; reject or isolate it if it is a suspect.

        A suspect of one crash runs exclusively.  The gate is left when the
        body of the response has ended.
        """
        first_chunk = next(body, b"")
        full_body = itertools.chain(
            (first_chunk,) if first_chunk else (), body
        )
        fingerprint = suspects.fingerprint(
            request.service, request.method, request.target, first_chunk
        )
        crashes_before = self.suspect_replicator.crashes(fingerprint)
        if crashes_before >= suspects.CRASHES_BEFORE_REJECTION:
            return self._reject(verdicts.Reason.SUSPECT)
        exclusive = crashes_before > 0
        if not server.gate.enter(exclusive):
            return self._reject(verdicts.Reason.SUSPECT_WAITS, 1.0)
        leave_gate = bodies.Once(lambda: server.gate.leave(exclusive))
        token = self.slot_table.token(request)
        try:
            response = server.dispatcher.send(request, full_body, token)
            self._update_suspects(
                server, response, fingerprint, crashes_before
            )
        except BaseException:
            leave_gate()
            raise
        return bodies.with_end_callback(response, leave_gate)

    def _update_suspects(
        self,
        server: BackendServer,
        response: http_messages.Response,
        fingerprint: suspects.Fingerprint,
        crashes_before: int,
    ) -> None:
        """Count a crash if a request's server crashed; clear a served suspect.

        The other processes learn of it before the response is returned,
        because the caller may then retry the request at another server.
        """
        if response.verdict is verdicts.Verdict.RAN:
            if crashes_before:
                self.suspect_replicator.clear(fingerprint)
            return
        if response.reason is not verdicts.Reason.BACKEND_LOST:
            return
        if not server.crashed and not server.dispatcher.stays_reachable():
            server.crashed = True
        if server.crashed:
            self.suspect_replicator.record_crash(fingerprint)
        else:
            server.unconfirmed_suspects.add(fingerprint)

    def cancel_unleased_requests(self) -> None:
        """Cancel requests in flight for owned keys once the lease has expired.

        The backend server is sent a command for each of them.
        """
        if self.state.lease.holds(self.state.clock.now()):
            return
        server = self.server
        if server is None:
            return
        for request_id in self.slot_table.keyed_in_flight():
            self.workers.submit(
                server.commands.send, commands.Cancel(request_id)
            )

    def _reject(
        self,
        reason: verdicts.Reason,
        retry_after_s: float | None = None,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    ) -> http_messages.Response:
        """Return a rejection by this process."""
        return http_messages.rejection(
            reason, self.state.name, verdict, retry_after_s
        )
