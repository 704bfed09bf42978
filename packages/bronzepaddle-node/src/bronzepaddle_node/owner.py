"""Serves requests for keys that this process owns, on the calling thread.

A request enters only while the cell object names this process as the owner
of its slot and the lease holds; then it is matched with the idempotency
window, waits for a slot of the backend server by its priority, and is
dispatched.  All of it is given back when the answer's body has ended.
"""

import collections
import collections.abc
import concurrent.futures
import itertools
import threading
import typing

from bronzepaddle import (
    admission,
    answers,
    bundles,
    cells,
    idempotency,
    ids,
    suspects,
    verdicts,
)
from bronzepaddle_backend import announcements, dispatch, orders
from bronzepaddle_peers import messages

from bronzepaddle_node import bodies, crashes, state, windows

Place: typing.TypeAlias = tuple[ids.ServiceName, ids.SlotId]
"""A hash slot of a service."""

MOVING_RETRY_S: typing.Final = 0.05


class Server:
    """The backend server as last announced, with what leads to it."""

    def __init__(
        self,
        announced: announcements.Announcement,
        dispatcher: dispatch.Dispatcher,
        slots: admission.Admission,
    ) -> None:
        self.announced = announced
        self.dispatcher = dispatcher
        self.orders = orders.Orders(dispatcher.pool)
        self.guard = crashes.Guard()
        self.crashed = False
        self.slots = slots


class Owner:
    """The keys that this process owns."""

    def __init__(
        self, knowledge: state.State, sharing: crashes.Sharing
    ) -> None:
        self.state = knowledge
        self.sharing = sharing
        self.server: Server | None = None
        # Guards the tables below; never held while a request waits.
        self.lock = threading.Lock()
        self.held: set[Place] = set()
        self.flying: collections.Counter[Place] = collections.Counter()
        self.requests: dict[ids.RequestId, Place] = {}
        self.kept: dict[Place, idempotency.Window] = {}
        self.received: dict[tuple[Place, ids.MoveId], idempotency.Window] = {}
        self.owned: dict[Place, ids.Token] = {}
        self.workers = concurrent.futures.ThreadPoolExecutor(
            2, thread_name_prefix="orders"
        )
        knowledge.learners.append(self.learn)
        knowledge.bundle_learners.append(self.learn_bundle)

    # The backend server.

    def announced(self, found: announcements.Announcement) -> None:
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
        now = self.state.time.now()
        dispatcher = dispatch.Dispatcher(
            self.state.name,
            found.host,
            found.port,
            found.connections,
            self.state.time,
        )
        self.server = Server(
            found,
            dispatcher,
            admission.Admission(priorities, found.slots, now),
        )

    def _priorities(self) -> list[bundles.Priority]:
        in_force = self.state.bundle
        if in_force is None:
            return []
        return in_force.rules.most_urgent_first()

    def learn_bundle(self, _in_force: state.InForce) -> None:
        """Take in the priorities of a new bundle."""
        if self.server is not None:
            self.server.slots.configure(self._priorities())

    # Slots that come and go.

    def learn(self, view: cells.Cell) -> None:
        """Take in which slots this process owns now.

        A slot that is new here starts with the window that was handed over
        for it, or with one that refuses every older id; one that nobody
        owned before has no older id.
        """
        fresh = idempotency.fresh_horizon_ms(self.state.time.wall_ms())
        grants = _grants(view, self.state.name)
        with self.lock:
            for place, grant in grants.items():
                if self.owned.get(place) == grant.token:
                    continue
                received = self.received.pop((place, grant.move), None)
                horizon = 0 if grant.move == ids.FIRST_GRANT else fresh
                self.kept[place] = received or idempotency.Window(horizon)
            for place in set(self.kept) - set(grants):
                del self.kept[place]
            self.owned = {
                place: grant.token for place, grant in grants.items()
            }

    def hold(self, given: cells.Assignment) -> None:
        """Take no new request for slots."""
        with self.lock:
            self.held.update(_places(given))

    def resume(self, given: cells.Assignment) -> None:
        """Take requests again."""
        with self.lock:
            self.held.difference_update(_places(given))

    def in_flight(self, given: cells.Assignment) -> int:
        """Return how many requests of slots are in flight."""
        with self.lock:
            return sum(self.flying[place] for place in _places(given))

    def total_in_flight(self) -> int:
        """Return how many requests are in flight."""
        with self.lock:
            return len(self.requests)

    def windows(
        self, given: cells.Assignment, move: ids.MoveId
    ) -> dict[ids.MemberId, messages.WindowRequest]:
        """Return the idempotency windows of slots, by next owner."""
        by_heir: dict[ids.MemberId, list[messages.WindowTransfer]] = {}
        for service, slots in given.items():
            for slot, heir in slots.items():
                window = self.kept.get((service, slot))
                if window is not None:
                    by_heir.setdefault(heir, []).append(
                        windows.transfer(service, slot, window)
                    )
        return {
            heir: messages.WindowRequest(move, tuple(transfers))
            for heir, transfers in by_heir.items()
        }

    def take_windows(self, request: messages.WindowRequest) -> None:
        """Keep windows until this process owns their slots.

        Windows of an earlier move that came to nothing are dropped: their
        owner has run more since.
        """
        places = {(one.service, one.slot) for one in request.windows}
        with self.lock:
            for stale in [one for one in self.received if one[0] in places]:
                del self.received[stale]
            for one in request.windows:
                place = (one.service, one.slot)
                self.received[(place, request.move)] = windows.restored(one)

    # Requests.

    def serve(
        self,
        request: answers.Request,
        body: collections.abc.Iterator[bytes],
    ) -> answers.Answer:
        """Serve a request whose key this process should own."""
        keyed = self._keyed(request)
        if keyed is None:
            return self._refuse(verdicts.Reason.NO_BUNDLE)
        refusal = self._enter(request, keyed)
        if refusal is not None:
            return refusal
        leave = bodies.Once(lambda: self._leave(request))
        try:
            answer = self._once_only(request, body, keyed)
        except BaseException:
            leave()
            raise
        return bodies.with_end(answer, leave)

    def _keyed(self, request: answers.Request) -> bool | None:
        in_force = self.state.bundle
        if in_force is None:
            return None
        service = in_force.rules.services.get(request.service)
        return None if service is None else service.keyed

    def _enter(
        self, request: answers.Request, keyed: bool
    ) -> answers.Answer | None:
        """Count a request in, or say why it may not be served here."""
        place = (request.service, request.slot)
        server = self.server
        if server is None or server.announced.service != request.service:
            return self._refuse(verdicts.Reason.NO_BACKEND)
        with self.lock:
            why = self._not_mine(place) if keyed else None
            if why is not None:
                return self._refuse(why, MOVING_RETRY_S)
            self.flying[place] += 1
            self.requests[request.request_id] = place
        return None

    def _leave(self, request: answers.Request) -> None:
        with self.lock:
            place = self.requests.pop(request.request_id)
            self.flying[place] -= 1
            if not self.flying[place]:
                del self.flying[place]

    def _once_only(
        self,
        request: answers.Request,
        body: collections.abc.Iterator[bytes],
        keyed: bool,
    ) -> answers.Answer:
        """Run a request, unless its idempotency key says that it ran."""
        key = request.idempotency_key
        window = self.kept.get((request.service, request.slot))
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
        request: answers.Request,
        body: collections.abc.Iterator[bytes],
        window: idempotency.Window,
        key: ids.IdempotencyKey,
    ) -> answers.Answer:
        try:
            answer = self._run(request, body)
        except BaseException:
            window.finish(key, windows.UNKNOWN)
            raise
        match answer.verdict:
            case verdicts.Verdict.NOT_RUN:
                window.finish(key, None)
                return answer
            case verdicts.Verdict.MAY_HAVE_RUN:
                window.finish(key, windows.UNKNOWN)
                return answer
            case verdicts.Verdict.RAN:
                return bodies.with_keeping(answer, window, key)
            case _:
                typing.assert_never(answer.verdict)

    def _replay(self, result: idempotency.Result) -> answers.Answer:
        if result.verdict is not verdicts.Verdict.RAN:
            return self._refuse(verdicts.Reason.OLD_ID, ran=result.verdict)
        if result.body is None:
            return self._refuse(
                verdicts.Reason.RESULT_NOT_KEPT, ran=verdicts.Verdict.RAN
            )
        return answers.Answer(
            status=result.status,
            headers=result.headers,
            body=iter((result.body,) if result.body else ()),
            verdict=verdicts.Verdict.RAN,
            reason=verdicts.Reason.REPLAYED,
            server=self.state.name,
        )

    def _await(
        self,
        request: answers.Request,
        running: concurrent.futures.Future[idempotency.Result | None],
    ) -> answers.Answer:
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
        request: answers.Request,
        body: collections.abc.Iterator[bytes],
    ) -> answers.Answer:
        """Wait for a slot of the backend server and dispatch."""
        server = self.server
        if server is None:
            return self._refuse(verdicts.Reason.NO_BACKEND)
        time = self.state.time
        ticket = server.slots.ask(
            request.priority, request.caller, request.deadline, time.now()
        )
        try:
            left = max(0.0, request.deadline - time.now())
            decision = ticket.decision.result(timeout=left)
        except TimeoutError:
            server.slots.withdraw(ticket, time.now())
            return self._refuse(verdicts.Reason.TOO_LATE)
        match decision:
            case admission.TurnedAway(reason, retry_after_s):
                return self._refuse(reason, retry_after_s)
            case admission.Admitted():
                return self._dispatch(server, ticket, request, body)
            case _:
                typing.assert_never(decision)

    def _dispatch(
        self,
        server: Server,
        ticket: admission.Ticket,
        request: answers.Request,
        body: collections.abc.Iterator[bytes],
    ) -> answers.Answer:
        place = (request.service, request.slot)
        if self._keyed(request) and not self._still_mine(place):
            # The wait for a slot outlasted the ownership.
            server.slots.withdraw(ticket, self.state.time.now())
            return self._refuse(verdicts.Reason.NO_LEASE)
        try:
            answer = self._guarded(server, request, body)
        except BaseException:
            server.slots.release(ticket, self.state.time.now(), False)
            raise
        shed = answer.reason is verdicts.Reason.SHED
        release = bodies.Once(
            lambda: server.slots.release(ticket, self.state.time.now(), shed)
        )
        return bodies.with_end(answer, release)

    def may_act(self, place: Place) -> bool:
        """Tell whether this process may act as the owner of a slot now."""
        with self.lock:
            return self._not_mine(place) is None

    def _not_mine(self, place: Place) -> verdicts.Reason | None:
        """Return why this process may not act for a slot, or None."""
        if place not in self.owned:
            return verdicts.Reason.NOT_OWNER
        if place in self.held:
            return verdicts.Reason.MOVING
        if not self.state.lease.holds(self.state.time.now()):
            return verdicts.Reason.NO_LEASE
        return None

    def _guarded(
        self,
        server: Server,
        request: answers.Request,
        body: collections.abc.Iterator[bytes],
    ) -> answers.Answer:
        """Dispatch: side by side with others, or alone if a suspect."""
        first = next(body, b"")
        whole = itertools.chain((first,) if first else (), body)
        fingerprint = suspects.fingerprint(request, first)
        crashes_before = self.sharing.crashes(fingerprint)
        if crashes_before >= suspects.CRASHES_BEFORE_REFUSAL:
            return self._refuse(verdicts.Reason.SUSPECT)
        token = self.owned.get((request.service, request.slot))
        send = server.dispatcher.send
        if not crashes_before:
            with server.guard.beside_others():
                answer = send(request, whole, token)
        else:
            try:
                with server.guard.by_itself():
                    answer = send(request, whole, token)
            except crashes.NotAloneError:
                return self._refuse(verdicts.Reason.SUSPECT_WAITS, 1.0)
        self._judge(server, answer, fingerprint, crashes_before)
        return answer

    def _judge(
        self,
        server: Server,
        answer: answers.Answer,
        fingerprint: suspects.Fingerprint,
        crashes_before: int,
    ) -> None:
        """Report a request whose server died, clear one that came through.

        Told to the others before the answer goes back, since the answer is
        what brings the request to another server.
        """
        if answer.verdict is verdicts.Verdict.RAN:
            if crashes_before:
                self.sharing.clear(fingerprint)
            return
        if answer.reason is not verdicts.Reason.BACKEND_LOST:
            return
        if not server.crashed and not server.dispatcher.reachable():
            server.crashed = True
        if server.crashed:
            self.sharing.report(fingerprint)

    def _still_mine(self, place: Place) -> bool:
        """Tell whether a request that entered may go on; a move waits."""
        with self.lock:
            why = self._not_mine(place)
        return why in (None, verdicts.Reason.MOVING)

    def end_without_lease(self) -> None:
        """Have the backend server end what would outlive the lease."""
        if self.state.lease.holds(self.state.time.now()):
            return
        server = self.server
        if server is None:
            return
        with self.lock:
            ending = [
                one
                for one, place in self.requests.items()
                if place in self.owned
            ]
        for request_id in ending:
            self.workers.submit(server.orders.give, orders.Cancel(request_id))

    def grants(self) -> orders.Grants:
        """Return the grants to give the backend server now."""
        now = self.state.time.now()
        until = self.state.lease.valid_until
        remaining = until - self.state.times.stop_before_s - now
        with self.lock:
            slots = tuple(
                orders.SlotGrant(place[1], token)
                for place, token in self.owned.items()
                if place not in self.held
            )
        return orders.Grants(self.state.name, max(0.0, remaining), slots)

    def _refuse(
        self,
        why: verdicts.Reason,
        retry_after_s: float | None = None,
        ran: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    ) -> answers.Answer:
        return answers.refusal(why, self.state.name, ran, retry_after_s)


def _grants(
    view: cells.Cell, member: ids.MemberId
) -> dict[Place, cells.Grant]:
    """Return the grants of one member by service and slot."""
    return {
        (service, ids.SlotId(slot)): grant
        for service, grants in view.services.items()
        for slot, grant in enumerate(grants)
        if grant is not None and grant.owner == member
    }


def _places(given: cells.Assignment) -> collections.abc.Iterator[Place]:
    for service, slots in given.items():
        for slot in slots:
            yield (service, slot)
