"""Who waits for a slot of a backend server, who starts, who is turned away.

Pure decisions of one server's line; ``local_backend`` acts on them.  They
answer these load patterns:

- *More arrives than the server can do.*  Whoever could not be done by its
  target time is turned away at once, so that the line stays short and those
  that are served are served in time; a long line would make all of them
  late at the same throughput.
- *A flood of the least urgent.*  Ranks are strict: a request waits only for
  those of its own rank and of more urgent ones, and what these take of the
  slots is counted out of what it can expect.
- *A flood of the most urgent*, with calls between servers.  Within a rank
  the shortest target time goes first, so that a short call, whose failure
  would waste its caller's slot, does not wait behind longer work.

- *Those turned away come back.*  What is past its target time already goes
  behind what can still be in time, rank by rank: otherwise those who return
  make everybody late.

A request that must not be repeated may wait beyond its target time: losing
it is worse than having it late.
"""

import dataclasses
import enum
import math
import typing

from bronzepaddle import averages

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest service time in the running mean."""

ALL_WEIGHT: typing.Final = 0.03
"""The same for the mean over all kinds of work."""

FIRST_GUESS_S: typing.Final = 0.05
"""Service time of a kind of work before one was measured."""

SPREAD: typing.Final = 2.0
"""Multiple of its mean service time that a request is given to be done:
service times spread, and one that is only done by its mean is often late."""

LEAST_WAIT_SHARE: typing.Final = 0.2
"""Share of the target time that a request may wait in any case: work that
was measured to be slow must not be shut out for good."""

LEAST_SLOTS: typing.Final = 0.1
"""Slots that the least urgent can expect, however much goes before it."""

LATE_SHARE: typing.Final = 0.6
"""Share of its time left that a request which must not be repeated may
spend in the line."""

LEAST_RETRY_AFTER_S: typing.Final = 0.1

SPAN_S: typing.Final = 1.0
"""Time over which arrivals and the work they bring are counted."""

PRESSURE_RETRY_S: typing.Final = 1.5
"""Time added to a Retry-After while all requests are turned away: room is
the further off, the more are waiting to come back."""


class State(enum.Enum):
    """Where a request is."""

    WAITING = "waiting"
    RUNNING = "running"
    OVER = "over"


Level: typing.TypeAlias = tuple[int, bool, float]
"""Rank, lateness and target time: what decides who goes first."""


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """What is known of a request when it arrives.

    ``kind`` tells apart work that takes differently long.  ``target_s`` is
    the time in which its answer should be there, ``left_s`` the time in
    which it must be.  ``late`` tells that the target has passed already.
    """

    rank: int
    kind: str
    target_s: float
    left_s: float
    idempotent: bool
    late: bool = False

    @property
    def level(self) -> "Level":
        """Return what goes before everything of a higher level."""
        return (self.rank, self.late, self.target_s)


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request is not run; worth another try after a while."""

    wait_s: float
    retry_after_s: float


class QueueEntry:
    """One request in the line or in a slot."""

    def __init__(self, work: RequestProfile, now: float) -> None:
        self.work = work
        self.due = now + work.target_s
        self.deadline = now + work.left_s
        self.state = State.WAITING
        self.started = now

    @property
    def order(self) -> tuple[Level, float]:
        """Return what decides who goes first: the least does."""
        return (self.work.level, self.due)


class ServerQueue:
    """The line of one server with ``slots`` slots."""

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.waiting: list[QueueEntry] = []
        self.running = 0
        self.means: dict[str, float] = {}
        self.mean_of_all = 0.0
        # Slot seconds taken in lately, by level; fades with time.
        self.taken: dict[Level, float] = {}
        self.refused_at: dict[Level, float] = {}
        self.arrived = 0.0
        self.turned_away = 0.0
        self.counted_at = now

    def ask(self, work: RequestProfile, now: float) -> QueueEntry | Rejected:
        """Take a request into the line, or turn it away."""
        self._decay_counters(now)
        self.arrived += 1
        place = QueueEntry(work, now)
        wait_s = self.expected_wait_s(place)
        mean_s = self.mean_s(work.kind)
        if wait_s > allowed_wait_s(work, mean_s):
            self.turned_away += 1
            self.refused_at[work.level] = now
            return Rejected(wait_s, self._retry_after_s(wait_s))
        self.taken[work.level] = self.taken.get(work.level, 0.0) + mean_s
        self.waiting.append(place)
        return place

    def expected_wait_s(self, place: QueueEntry) -> float:
        """Return the time until a request of the line would start."""
        if self.running < self.slots and not self.waiting:
            return 0.0
        ahead_s = sum(
            self.mean_s(one.work.kind)
            for one in self.waiting
            if one is not place and one.order <= place.order
        )
        # The slot that becomes free next is one of many in use.
        slots = self._slots_for(place.work.level)
        return (ahead_s + self.mean_s(place.work.kind)) / slots

    def _slots_for(self, level: Level) -> float:
        """Return the slots that are left by what is more urgent."""
        refused_at = max(
            (at for one, at in self.refused_at.items() if one < level),
            default=-math.inf,
        )
        if self.counted_at - refused_at < SPAN_S:
            return LEAST_SLOTS
        before = sum(
            taken_s / SPAN_S
            for one, taken_s in self.taken.items()
            if one < level
        )
        return max(LEAST_SLOTS, self.slots - before)

    def start_next(self, now: float) -> list[QueueEntry]:
        """Return what starts now, taken out of the line."""
        found: list[QueueEntry] = []
        while self.waiting and self.running < self.slots:
            place = min(self.waiting, key=lambda one: one.order)
            self.waiting.remove(place)
            place.state = State.RUNNING
            place.started = now
            self.running += 1
            found.append(place)
        return found

    def remove_expired(self, now: float) -> list[QueueEntry]:
        """Return what can't be done in time any more, taken out."""
        found = [
            one
            for one in self.waiting
            if now + self.mean_s(one.work.kind) / 2 > one.deadline
        ]
        for one in found:
            self.waiting.remove(one)
            one.state = State.OVER
        return found

    def leave(self, place: QueueEntry, now: float, served: bool) -> None:
        """Take a request out, wherever it is; ``served`` measures it."""
        if place.state is State.WAITING:
            self.waiting.remove(place)
        elif place.state is State.RUNNING:
            self.running -= 1
            if served:
                self._measure(place.work.kind, now - place.started)
        place.state = State.OVER

    def outstanding(self) -> int:
        """Return how many requests wait or run."""
        return len(self.waiting) + self.running

    def mean_s(self, kind: str) -> float:
        """Return how long work of a kind takes."""
        return self.means.get(kind, FIRST_GUESS_S)

    def mean_of_all_s(self) -> float:
        """Return how long a request takes, whatever its kind; 0 if unknown.

        Each request counts, not each kind: some kinds come seldom.
        """
        return self.mean_of_all

    def _measure(self, kind: str, took_s: float) -> None:
        self.mean_of_all = averages.update_ewma(
            self.mean_of_all or None, took_s, ALL_WEIGHT
        )
        self.means[kind] = averages.update_ewma(
            self.means.get(kind), took_s, MEAN_WEIGHT
        )

    def _decay_counters(self, now: float) -> None:
        """Let what was counted fade with time."""
        kept = math.exp((self.counted_at - now) / SPAN_S)
        self.arrived *= kept
        self.turned_away *= kept
        for level in self.taken:
            self.taken[level] *= kept
        self.counted_at = now

    def _retry_after_s(self, wait_s: float) -> float:
        pressure = self.turned_away / max(1.0, self.arrived)
        return max(LEAST_RETRY_AFTER_S, wait_s) + PRESSURE_RETRY_S * pressure


def allowed_wait_s(work: RequestProfile, mean_s: float) -> float:
    """Return the wait with which a request still is worth taking in."""
    longest_s = latency_bound_s(work)
    return max(longest_s - SPREAD * mean_s, LEAST_WAIT_SHARE * longest_s)


def latency_bound_s(work: RequestProfile) -> float:
    """Return the time in which a request must be expected to be done."""
    if work.idempotent:
        return min(work.target_s, work.left_s)
    return min(max(work.target_s, LATE_SHARE * work.left_s), work.left_s)
