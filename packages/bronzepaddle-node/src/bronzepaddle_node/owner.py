"""Serves requests for keys that this process owns, on the calling thread.

A request enters only while the cell object names this process as the owner
of its slot and the lease holds; then it is matched with the idempotency
window, waits for a slot of the backend server by its priority, and is
dispatched.  All of it is given back when the answer's body has ended.
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

MOVING_RETRY_S: typing.Final = 0.05


class BackendServer:
    """The backend server as last announced, with what leads to it."""

    def __init__(
        self,
        announced: announcements.Announcement,
        dispatcher: dispatch.Dispatcher,
        admitting: admission.Admission,
    ) -> None:
        self.announced = announced
        self.dispatcher = dispatcher
        self.commands = commands.CommandClient(dispatcher.pool)
        self.guard = crash_isolation.ExclusiveGate()
        self.crashed = False
        # In flight when a connection broke off, the server being reachable
        # still; suspects if it turns out to have been started anew.
        self.doubtful: set[suspects.Fingerprint] = set()
        self.slots = admitting


class Owner:
    """The keys that this process owns."""

    def __init__(
        self,
        node_state: state.NodeState,
        suspect_replicator: crash_isolation.SuspectReplicator,
    ) -> None:
        self.state = node_state
        self.suspect_replicator = suspect_replicator
        self.server: BackendServer | None = None
        self.table = slots.SlotTable(node_state)
        self.workers = concurrent.futures.ThreadPoolExecutor(
            2, thread_name_prefix="orders"
        )
        node_state.bundle_listeners.append(self.learn_bundle)

    # The backend server.

    def on_announcement(self, found: announcements.Announcement) -> None:
        """Take an announcement in; a new run gets connections of its own."""
        priorities = self._priorities()
        if not priorities:
            # Announcements repeat; by then a bundle may be in force.
            return
        known = self.server
        same = known is not None and (
            known.announced.run,
            known.announced.host,
            known.announced.port,
            known.announced.slots,
        ) == (found.run, found.host, found.port, found.slots)
        if same:
            return
        if known is not None and known.announced.run != found.run:
            for doubtful in known.doubtful:
                self.workers.submit(
                    self.suspect_replicator.record_crash, doubtful
                )
        now = self.state.time.now()
        dispatcher = dispatch.Dispatcher(
            self.state.name,
            found.host,
            found.port,
            found.connections,
            self.state.time,
        )
        self.server = BackendServer(
            found,
            dispatcher,
            admission.Admission(priorities, found.slots, now),
        )

    def _priorities(self) -> list[bundles.Priority]:
        in_force = self.state.bundle
        if in_force is None:
            return []
        return in_force.rules.most_urgent_first()

    def learn_bundle(self, _in_force: state.ActiveBundle) -> None:
        """Take in the priorities of a new bundle."""
        if self.server is not None:
            self.server.slots.configure(self._priorities())

    # Requests.

    def serve(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Serve a request whose key this process should own."""
        keyed = self._keyed(request)
        if keyed is None:
            return self._refuse(verdicts.Reason.NO_BUNDLE)
        server = self.server
        if server is None or server.announced.service != request.service:
            return self._refuse(verdicts.Reason.NO_BACKEND)
        why = self.table.begin_request(request, keyed)
        if why is not None:
            return self._refuse(why, MOVING_RETRY_S)
        leave = bodies.Once(lambda: self.table.end_request(request))
        try:
            answer = self._once_only(request, body, keyed)
        except BaseException:
            leave()
            raise
        return bodies.with_end(answer, leave)

    def _keyed(self, request: http_messages.Request) -> bool | None:
        in_force = self.state.bundle
        if in_force is None:
            return None
        service = in_force.rules.services.get(request.service)
        return None if service is None else service.keyed

    def _once_only(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
        keyed: bool,
    ) -> http_messages.Response:
        """Run a request, unless its idempotency key says that it ran."""
        key = request.idempotency_key
        window = self.table.window(request)
        if key is None or window is None or not keyed:
            return self._run(request, body)
        decision = window.begin(
            key, self.state.time.wall_ms(), request.first_attempt
        )
        match decision:
            case idempotency.Run():
                return self._run_and_keep(request, body, window, key)
            case idempotency.Replay(result):
                return self._replay(result)
            case idempotency.Running(result):
                return self._await(request, result)
            case idempotency.Refuse(reason, ran):
                return self._refuse(reason, ran=ran)
            case _:
                typing.assert_never(decision)

    def _run_and_keep(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
        window: idempotency.Window,
        key: ids.IdempotencyKey,
    ) -> http_messages.Response:
        try:
            answer = self._run(request, body)
        except BaseException:
            window.finish(key, window_codec.UNKNOWN_OUTCOME)
            raise
        match answer.verdict:
            case verdicts.Verdict.NOT_RUN:
                window.finish(key, None)
                return answer
            case verdicts.Verdict.MAY_HAVE_RUN:
                window.finish(key, window_codec.UNKNOWN_OUTCOME)
                return answer
            case verdicts.Verdict.RAN:
                return bodies.with_keeping(answer, window, key)
            case _:
                typing.assert_never(answer.verdict)

    def _replay(self, result: idempotency.Result) -> http_messages.Response:
        if result.verdict is not verdicts.Verdict.RAN:
            return self._refuse(verdicts.Reason.OLD_ID, ran=result.verdict)
        if result.body is None:
            return self._refuse(
                verdicts.Reason.RESULT_NOT_KEPT, ran=verdicts.Verdict.RAN
            )
        return http_messages.Response(
            status=result.status,
            headers=result.headers,
            body=iter((result.body,) if result.body else ()),
            verdict=verdicts.Verdict.RAN,
            reason=verdicts.Reason.REPLAYED,
            server=self.state.name,
        )

    def _await(
        self,
        request: http_messages.Request,
        running: concurrent.futures.Future[idempotency.Result | None],
    ) -> http_messages.Response:
        """Wait for what comes of the first request with the same key."""
        left = max(0.0, request.deadline - self.state.time.now())
        try:
            result = running.result(timeout=left)
        except TimeoutError:
            return self._refuse(
                verdicts.Reason.STILL_RUNNING,
                ran=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if result is None:
            return self._refuse(verdicts.Reason.SHED)
        return self._replay(result)

    def _run(
        self,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Wait for a slot of the backend server and dispatch."""
        server = self.server
        if server is None:
            return self._refuse(verdicts.Reason.NO_BACKEND)
        time = self.state.time
        ticket = server.slots.submit(
            request.priority, request.caller, request.deadline, time.now()
        )
        try:
            left = max(0.0, request.deadline - time.now())
            decision = ticket.decision.result(timeout=left)
        except TimeoutError:
            server.slots.withdraw(ticket, time.now())
            return self._refuse(verdicts.Reason.TOO_LATE)
        match decision:
            case admission.Rejected(reason, retry_after_s):
                return self._refuse(reason, retry_after_s)
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
        if self._keyed(request) and not self.table.may_continue(request):
            # The wait for a slot outlasted the ownership.
            server.slots.withdraw(ticket, self.state.time.now())
            return self._refuse(verdicts.Reason.NO_LEASE)
        shed = False

        def free() -> None:
            server.slots.release(ticket, self.state.time.now(), shed)

        release = bodies.Once(free)
        try:
            answer = self._guarded(server, request, body)
        except BaseException:
            release()
            raise
        shed = answer.reason is verdicts.Reason.SHED
        return bodies.with_end(answer, release)

    def _guarded(
        self,
        server: BackendServer,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Dispatch: side by side with others, or alone if a suspect.

        The guard is left when the answer's body has ended.
        """
        first = next(body, b"")
        whole = itertools.chain((first,) if first else (), body)
        fingerprint = suspects.fingerprint(
            request.service, request.method, request.target, first
        )
        crashes_before = self.suspect_replicator.crashes(fingerprint)
        if crashes_before >= suspects.CRASHES_BEFORE_REFUSAL:
            return self._refuse(verdicts.Reason.SUSPECT)
        alone = crashes_before > 0
        if not server.guard.enter(alone):
            return self._refuse(verdicts.Reason.SUSPECT_WAITS, 1.0)
        leave = bodies.Once(lambda: server.guard.leave(alone))
        token = self.table.token(request)
        try:
            answer = server.dispatcher.send(request, whole, token)
            self._judge(server, answer, fingerprint, crashes_before)
        except BaseException:
            leave()
            raise
        return bodies.with_end(answer, leave)

    def _judge(
        self,
        server: BackendServer,
        answer: http_messages.Response,
        fingerprint: suspects.Fingerprint,
        crashes_before: int,
    ) -> None:
        """Report a request whose server died, clear one that came through.

        Told to the others before the answer goes back, since the answer is
        what brings the request to another server.
        """
        if answer.verdict is verdicts.Verdict.RAN:
            if crashes_before:
                self.suspect_replicator.clear(fingerprint)
            return
        if answer.reason is not verdicts.Reason.BACKEND_LOST:
            return
        if not server.crashed and not server.dispatcher.stays_reachable():
            server.crashed = True
        if server.crashed:
            self.suspect_replicator.record_crash(fingerprint)
        else:
            server.doubtful.add(fingerprint)

    def cancel_unleased_requests(self) -> None:
        """Have the backend server end what would outlive the lease."""
        if self.state.lease.holds(self.state.time.now()):
            return
        server = self.server
        if server is None:
            return
        for request_id in self.table.keyed_in_flight():
            self.workers.submit(
                server.commands.send, commands.Cancel(request_id)
            )

    def _refuse(
        self,
        why: verdicts.Reason,
        retry_after_s: float | None = None,
        ran: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    ) -> http_messages.Response:
        return http_messages.refusal(why, self.state.name, ran, retry_after_s)
