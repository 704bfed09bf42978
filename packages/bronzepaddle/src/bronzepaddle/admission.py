"""Admission control and fair queueing for the slots of one backend server.

A slot lets the server run one request.  The process that owns a key asks
``Admission`` before it dispatches a request.  The most urgent waiting request
runs first, with two exceptions: each priority is guaranteed its share of the
slot time while it has requests, and none uses more slots than its ceiling.
Queues are bounded, and a request that can't meet its deadline is rejected
immediately.

Within a priority the callers are served round robin, so that a burst of one
caller does not delay a single request of another.
"""

import collections
import concurrent.futures
import dataclasses
import math
import threading
import typing

from bronzepaddle import bundles, ids, verdicts

MAX_DEFICIT_S: typing.Final = 1.0
"""Maximum deficit or surplus of a priority, in seconds of its share."""

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest service time in a priority's moving average."""

MAX_ESTIMATE_AGE_S: typing.Final = 1.0
"""Age from which a mean service time alone rejects no request.

Only a request that runs can correct a mean that has become too high, for
instance after the whole process was frozen."""

SHED_FACTOR: typing.Final = 0.9
"""Factor applied to the slot limit when the server sheds a request."""

MIN_RETRY_AFTER_S: typing.Final = 0.05
"""Minimum retry delay that a rejected request is given."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request holds a slot until it is released."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request does not run; it may be retried after a while."""

    reason: verdicts.Reason
    retry_after_s: float


Decision: typing.TypeAlias = Admitted | Rejected


class Ticket:
    """One request that waits for a slot or holds one.

    ``started`` is the time at which it got its slot, None while it waits.
    ``corrects_mean`` is set if it was admitted against an outdated mean
    service time: its own one then replaces the mean.
    """

    def __init__(
        self, priority: ids.PriorityName, caller: str, deadline: float
    ) -> None:
        self.priority = priority
        self.caller = caller
        self.deadline = deadline
        self.started: float | None = None
        self.corrects_mean = False
        self.decision: concurrent.futures.Future[Decision] = (
            concurrent.futures.Future()
        )


class _Queue:
    """The waiting and running requests of one priority.

    ``tickets_by_caller`` holds the waiting requests; the first caller in it
    is served next.  ``deficit_s`` is the slot time that the priority got less
    than its share, negative for a surplus.  ``estimated_at`` is when the mean
    service time was last measured, or a request admitted to do so.
    """

    def __init__(self, rules: bundles.Priority) -> None:
        self.rules = rules
        self.tickets_by_caller: collections.OrderedDict[
            str, collections.deque[Ticket]
        ] = collections.OrderedDict()
        self.waiting = 0
        self.running = 0
        self.deficit_s = 0.0
        self.mean_service_s = 0.0
        self.measured = False
        self.estimated_at = -math.inf

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to the queue of its caller."""
        tickets = self.tickets_by_caller.setdefault(
            ticket.caller, collections.deque()
        )
        tickets.append(ticket)
        self.waiting += 1

    def pop(self) -> Ticket:
        """Remove the next ticket and move its caller to the end."""
        caller, tickets = self.tickets_by_caller.popitem(last=False)
        ticket = tickets.popleft()
        if tickets:
            self.tickets_by_caller[caller] = tickets
        self.waiting -= 1
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket if it still waits; return whether it did."""
        tickets = self.tickets_by_caller.get(ticket.caller)
        if tickets is None or ticket not in tickets:
            return False
        tickets.remove(ticket)
        if not tickets:
            del self.tickets_by_caller[ticket.caller]
        self.waiting -= 1
        return True

    def update_deficit(self, elapsed_s: float, slots: float) -> None:
        """Account for the slots used since the last update.

        ``slots`` is the number of slots that all priorities share.  A priority
        without waiting requests is entitled to no more slots than it uses; an
        idle one has no deficit.
        """
        fair_slots = self.rules.share * slots
        if not self.waiting and not self.running:
            self.deficit_s = 0.0
            return
        entitled_slots = (
            fair_slots if self.waiting else min(fair_slots, self.running)
        )
        self.deficit_s += (entitled_slots - self.running) * elapsed_s
        bound = fair_slots * MAX_DEFICIT_S
        self.deficit_s = max(-bound, min(bound, self.deficit_s))

    def record_service_time(
        self, took_s: float, now: float, replaces_mean: bool
    ) -> None:
        """Update or replace the mean service time."""
        weight = MEAN_WEIGHT if self.measured and not replaces_mean else 1.0
        self.mean_service_s += weight * (took_s - self.mean_service_s)
        self.measured = True
        self.estimated_at = now

    def is_estimate_outdated(self, now: float) -> bool:
        """Return whether the mean is old and no request will renew it."""
        is_idle = not self.waiting and not self.running
        return is_idle and now - self.estimated_at > MAX_ESTIMATE_AGE_S


class Admission:
    """The slots of one backend server.

    ``limit`` bounds the number of slots that are used at a time.  It falls
    when the server sheds requests and rises again, at most to ``slots``, as
    requests complete.  Thread-safe.
    """

    def __init__(
        self, priorities: list[bundles.Priority], slots: int, now: float
    ) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.lock = threading.Lock()
        self.updated_at = now
        self.queues: dict[ids.PriorityName, _Queue] = {}
        self.configure(priorities)

    def configure(self, priorities: list[bundles.Priority]) -> None:
        """Apply new rules; a removed priority stays until it is idle."""
        with self.lock:
            current_queues = self.queues
            rules = {priority.name: priority for priority in priorities}
            for name, queue in current_queues.items():
                if queue.waiting or queue.running:
                    rules.setdefault(name, queue.rules)
            self.queues = {}
            for rule in sorted(rules.values(), key=lambda rule: rule.rank):
                queue = current_queues.get(rule.name) or _Queue(rule)
                queue.rules = rule
                self.queues[rule.name] = queue

    def submit(
        self,
        priority: ids.PriorityName,
        caller: str,
        deadline: float,
        now: float,
    ) -> Ticket:
        """Queue a request and return its ticket.

        ``Ticket.decision`` is set at once or when a slot becomes free.
        """
        with self.lock:
            if priority not in self.queues:
                # The sender has another version of the bundle: treat the
                # request as least urgent.
                priority = list(self.queues)[-1]
            ticket = Ticket(priority, caller, deadline)
            self._update_deficits(now)
            rejection = self._rejection(ticket, now)
            if rejection is not None:
                ticket.decision.set_result(rejection)
                return ticket
            self.queues[priority].push(ticket)
            self._fill_slots(now)
        return ticket

    def withdraw(self, ticket: Ticket, now: float) -> None:
        """Remove a waiting request, or release the slot of a running one."""
        with self.lock:
            self._update_deficits(now)
            if not self.queues[ticket.priority].remove(ticket):
                self._release_slot(ticket, now)
            self._fill_slots(now)

    def release(self, ticket: Ticket, now: float, shed: bool) -> None:
        """Release a slot; ``shed`` if the backend server shed the request."""
        with self.lock:
            self._update_deficits(now)
            self._release_slot(ticket, now, measure=not shed)
            if shed:
                self.limit = max(1.0, self.limit * SHED_FACTOR)
            else:
                increased_limit = self.limit + 1.0 / self.limit
                self.limit = min(float(self.slots), increased_limit)
            self._fill_slots(now)

    def outstanding(self) -> int:
        """Return the number of requests that wait or run."""
        with self.lock:
            return sum(
                queue.waiting + queue.running for queue in self.queues.values()
            )

    def _update_deficits(self, now: float) -> None:
        elapsed_s = now - self.updated_at
        self.updated_at = now
        for queue in self.queues.values():
            queue.update_deficit(elapsed_s, self.limit)

    def _rejection(self, ticket: Ticket, now: float) -> Rejected | None:
        """Return why a request can't be queued, or None if it can."""
        queue = self.queues[ticket.priority]
        wait_s = self._expected_wait_s(queue)
        retry_after_s = max(wait_s, MIN_RETRY_AFTER_S)
        if (
            queue.waiting >= queue.rules.max_waiting
            and not self._has_free_slot(queue)
        ):
            return Rejected(verdicts.Reason.QUEUE_FULL, retry_after_s)
        if now + wait_s + queue.mean_service_s <= ticket.deadline:
            return None
        if queue.is_estimate_outdated(now) and now + wait_s < ticket.deadline:
            ticket.corrects_mean = True
            queue.estimated_at = now
            return None
        return Rejected(verdicts.Reason.TOO_LATE, retry_after_s)

    def _expected_wait_s(self, queue: _Queue) -> float:
        """Return the expected time until a new request gets a slot.

        Waiting requests of the same and of more urgent ranks run first.
        """
        if self._has_free_slot(queue):
            return 0.0
        ahead_s = sum(
            earlier.waiting * earlier.mean_service_s
            for earlier in self.queues.values()
            if earlier.rules.rank <= queue.rules.rank
        )
        slots = min(self.limit, self._ceiling(queue))
        return ahead_s / slots

    def _has_free_slot(self, queue: _Queue) -> bool:
        """Return whether a request of a queue would start immediately."""
        if queue.waiting or queue.running >= self._ceiling(queue):
            return False
        return self._running() < int(self.limit)

    def _ceiling(self, queue: _Queue) -> float:
        """Return the maximum number of slots that a priority may use."""
        return max(1.0, queue.rules.ceiling * self.limit)

    def _running(self) -> int:
        return sum(queue.running for queue in self.queues.values())

    def _fill_slots(self, now: float) -> None:
        """Start waiting requests while slots are free."""
        while self._running() < int(self.limit):
            queue = self._next_queue()
            if queue is None:
                return
            ticket = queue.pop()
            if ticket.deadline <= now:
                expired = Rejected(verdicts.Reason.TOO_LATE, MIN_RETRY_AFTER_S)
                ticket.decision.set_result(expired)
                continue
            queue.running += 1
            ticket.started = now
            ticket.decision.set_result(Admitted())

    def _next_queue(self) -> _Queue | None:
        """Return the queue whose request starts next.

        It is the one with the largest deficit or, if none has a deficit, the
        most urgent one.
        """
        eligible = [
            queue
            for queue in self.queues.values()
            if queue.waiting and queue.running < int(self._ceiling(queue))
        ]
        if not eligible:
            return None
        most_underserved = max(eligible, key=lambda queue: queue.deficit_s)
        return (
            most_underserved if most_underserved.deficit_s > 0 else eligible[0]
        )

    def _release_slot(
        self, ticket: Ticket, now: float, measure: bool = False
    ) -> None:
        """Release the slot of a ticket, if it holds one.

        With ``measure``, its service time is included in the mean.
        """
        if ticket.started is None:
            return
        queue = self.queues[ticket.priority]
        queue.running -= 1
        if measure:
            queue.record_service_time(
                now - ticket.started, now, ticket.corrects_mean
            )
        ticket.started = None
