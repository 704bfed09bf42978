"""Shares a backend server's slots among the priorities of work.

The owner's process asks ``Admission`` before it dispatches a request.  The
most urgent waiting request goes first, except that each lower priority is
owed its share of the slots' time while it has work, and that none holds more
slots at once than its ceiling.  Queues are bounded, and a request that can't
meet its deadline is turned away at once.

Within a priority the callers take turns, so that one caller's burst does
not hold up another's single request.
"""

import collections
import concurrent.futures
import dataclasses
import threading
import typing

from bronzepaddle import bundles, ids, verdicts

OWED_SPAN_S: typing.Final = 1.0
"""Time of its share that a priority may be owed, or be ahead, at most."""

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest service time in the running mean."""

SHED_FACTOR: typing.Final = 0.9
"""What a refusal by the backend server leaves of the limit."""

LEAST_RETRY_AFTER_S: typing.Final = 0.05


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request has a slot until it is released."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request is not run; worth another try after a while."""

    reason: verdicts.Reason
    retry_after_s: float


Decision: typing.TypeAlias = Admitted | Rejected


class Ticket:
    """One request's place in the queue, then in a slot."""

    def __init__(
        self, priority: ids.PriorityName, caller: str, deadline: float
    ) -> None:
        self.priority = priority
        self.caller = caller
        self.deadline = deadline
        self.started: float | None = None
        self.decision: concurrent.futures.Future[Decision] = (
            concurrent.futures.Future()
        )


class _Queue:
    """The waiting and running requests of one priority."""

    def __init__(self, rules: bundles.Priority) -> None:
        self.rules = rules
        self.callers: collections.OrderedDict[
            str, collections.deque[Ticket]
        ] = collections.OrderedDict()
        self.waiting = 0
        self.running = 0
        self.owed_s = 0.0
        self.mean_s = 0.0
        self.measured = False

    def push(self, ticket: Ticket) -> None:
        """Queue a ticket behind others of its caller."""
        line = self.callers.setdefault(ticket.caller, collections.deque())
        line.append(ticket)
        self.waiting += 1

    def pop(self) -> Ticket:
        """Take the next ticket; its caller goes to the end of the turn."""
        caller, line = self.callers.popitem(last=False)
        ticket = line.popleft()
        if line:
            self.callers[caller] = line
        self.waiting -= 1
        return ticket

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a given ticket out, if it still waits."""
        line = self.callers.get(ticket.caller)
        if line is None or ticket not in line:
            return False
        line.remove(ticket)
        if not line:
            del self.callers[ticket.caller]
        self.waiting -= 1
        return True

    def account(self, elapsed_s: float, slots: float) -> None:
        """Bring what the priority is owed up to date, in slot seconds."""
        fair = self.rules.share * slots
        if not self.waiting and not self.running:
            self.owed_s = 0.0
            return
        entitled = fair if self.waiting else min(fair, self.running)
        self.owed_s += (entitled - self.running) * elapsed_s
        bound = fair * OWED_SPAN_S
        self.owed_s = max(-bound, min(bound, self.owed_s))

    def measure(self, ran_s: float) -> None:
        """Take one service time into the mean."""
        weight = MEAN_WEIGHT if self.measured else 1.0
        self.mean_s += weight * (ran_s - self.mean_s)
        self.measured = True


class Admission:
    """The slots of one backend server; safe to use from any thread."""

    def __init__(
        self, priorities: list[bundles.Priority], slots: int, now: float
    ) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.lock = threading.Lock()
        self.accounted = now
        self.queues: dict[ids.PriorityName, _Queue] = {}
        self.configure(priorities)

    def configure(self, priorities: list[bundles.Priority]) -> None:
        """Take new rules; a priority that is gone stays until it is idle."""
        with self.lock:
            known = self.queues
            rules = {one.name: one for one in priorities}
            for name, queue in known.items():
                if queue.waiting or queue.running:
                    rules.setdefault(name, queue.rules)
            self.queues = {}
            for one in sorted(rules.values(), key=lambda one: one.rank):
                queue = known.get(one.name) or _Queue(one)
                queue.rules = one
                self.queues[one.name] = queue

    def ask(
        self,
        priority: ids.PriorityName,
        caller: str,
        deadline: float,
        now: float,
    ) -> Ticket:
        """Queue a request; its ticket's decision comes at once or later."""
        with self.lock:
            if priority not in self.queues:
                # The asker's bundle is another version: least urgent here.
                priority = list(self.queues)[-1]
            ticket = Ticket(priority, caller, deadline)
            self._account(now)
            refusal = self._refusal(ticket, now)
            if refusal is not None:
                ticket.decision.set_result(refusal)
                return ticket
            self.queues[priority].push(ticket)
            self._fill(now)
        return ticket

    def withdraw(self, ticket: Ticket, now: float) -> None:
        """Give a place up, waiting or running."""
        with self.lock:
            self._account(now)
            if not self.queues[ticket.priority].withdraw(ticket):
                self._leave(ticket, now)
            self._fill(now)

    def release(self, ticket: Ticket, now: float, shed: bool) -> None:
        """Free a slot; ``shed`` if the backend server refused the work."""
        with self.lock:
            self._account(now)
            self._leave(ticket, now, measure=not shed)
            if shed:
                self.limit = max(1.0, self.limit * SHED_FACTOR)
            else:
                grown = self.limit + 1.0 / self.limit
                self.limit = min(float(self.slots), grown)
            self._fill(now)

    def outstanding(self) -> int:
        """Return how many requests wait or run."""
        with self.lock:
            return sum(
                one.waiting + one.running for one in self.queues.values()
            )

    def _account(self, now: float) -> None:
        elapsed = now - self.accounted
        self.accounted = now
        for queue in self.queues.values():
            queue.account(elapsed, self.limit)

    def _refusal(self, ticket: Ticket, now: float) -> Rejected | None:
        queue = self.queues[ticket.priority]
        wait_s = self._expected_wait(queue)
        retry_after_s = max(wait_s, LEAST_RETRY_AFTER_S)
        if queue.waiting >= queue.rules.queue and not self._room(queue):
            return Rejected(verdicts.Reason.QUEUE_FULL, retry_after_s)
        if now + wait_s + queue.mean_s > ticket.deadline:
            return Rejected(verdicts.Reason.TOO_LATE, retry_after_s)
        return None

    def _expected_wait(self, queue: _Queue) -> float:
        """Return the time until a new request of a queue gets a slot."""
        if self._room(queue):
            return 0.0
        ahead = sum(
            other.waiting * other.mean_s
            for other in self.queues.values()
            if other.rules.rank <= queue.rules.rank
        )
        slots = min(self.limit, self._ceiling(queue))
        return ahead / slots

    def _room(self, queue: _Queue) -> bool:
        """Tell whether a request of a queue would start at once."""
        if queue.waiting or queue.running >= self._ceiling(queue):
            return False
        return self._running() < int(self.limit)

    def _ceiling(self, queue: _Queue) -> float:
        return max(1.0, queue.rules.ceiling * self.limit)

    def _running(self) -> int:
        return sum(one.running for one in self.queues.values())

    def _fill(self, now: float) -> None:
        """Start waiting requests while there are slots for them."""
        while self._running() < int(self.limit):
            queue = self._next()
            if queue is None:
                return
            ticket = queue.pop()
            if ticket.deadline <= now:
                late = Rejected(verdicts.Reason.TOO_LATE, LEAST_RETRY_AFTER_S)
                ticket.decision.set_result(late)
                continue
            queue.running += 1
            ticket.started = now
            ticket.decision.set_result(Admitted())

    def _next(self) -> _Queue | None:
        """Return the queue to start from: what is owed, then by rank."""
        able = [
            one
            for one in self.queues.values()
            if one.waiting and one.running < int(self._ceiling(one))
        ]
        if not able:
            return None
        owed = max(able, key=lambda one: one.owed_s)
        return owed if owed.owed_s > 0 else able[0]

    def _leave(
        self, ticket: Ticket, now: float, measure: bool = False
    ) -> None:
        if ticket.started is None:
            return
        queue = self.queues[ticket.priority]
        queue.running -= 1
        if measure:
            queue.measure(now - ticket.started)
        ticket.started = None
