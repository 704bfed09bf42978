"""The request queue of one backend server, with admission control.

This module only decides; ``local_backend`` carries the decisions out.  It is
built for these load patterns:

- *Overload.*  A request that is not expected to finish within its target
  time is rejected on arrival.  The queue stays short, and the requests that
  are admitted finish in time; a long queue would make all of them late at
  the same throughput.
- *A flood of low-priority requests.*  Ranks are strict priorities: a request
  waits only for requests of its own rank and of more urgent ranks.  The
  capacity that the more urgent ranks use is subtracted from what a request
  can expect.
- *A flood of high-priority requests*, including calls from one backend
  server to another.  Within a rank the shortest target time goes first, so
  that a short call does not queue behind long work; if it failed, the slot
  that its caller occupies would be wasted.
- *Retries of rejected requests.*  Within a rank, a request whose target time
  has already passed goes behind the requests that can still be in time.
  Otherwise the retries would make every request late.
- *Restarts.*  A cold server starts only as many requests in a second as it
  tolerates (``cold_servers``).  The wait for that is part of the wait for
  which a request is rejected.

A request that still waits shortly before its deadline is given up then, so
that its caller is told in time that it has not run.

- *Requests of one kind that differ in cost.*  The expected cost of a request
  is the mean of its kind times the factor that ``expected_cost`` has learned
  for its features.
- *A server that fails requests at once.*  Such a request does not count as a
  fast one, and the share of failures makes the server count as slower.

A request that must not be repeated may wait beyond its target time, because
losing it is worse than serving it late.
"""

import collections
import dataclasses
import enum
import math
import typing

from bronzepaddle import averages
from bronzepaddle.load import cold_servers, expected_cost, reported_speed

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest service time in the moving average of its kind."""

MAX_ESTIMATE_AGE_S: typing.Final = 1.0
"""Age from which a mean service time alone gives up no request."""

OVERALL_MEAN_WEIGHT: typing.Final = 0.03
"""Weight of the newest service time in the moving average of all requests."""

DEFAULT_SERVICE_S: typing.Final = 0.05
"""Assumed service time of a kind of request that has not been measured."""

SERVICE_TIME_FACTOR: typing.Final = 2.0
"""Multiple of the mean service time that is reserved for running a request.
Service times vary: a request that has only the mean is often late."""

MIN_WAIT_SHARE: typing.Final = 0.2
"""Share of its target time that a request may always wait.  Without it, a
kind that was once measured as slow might always be rejected and would then
never be measured again."""

MIN_SLOTS: typing.Final = 0.1
"""Slots assumed to be available to the least urgent requests, whatever the
more urgent ones use."""

NOT_IDEMPOTENT_WAIT_SHARE: typing.Final = 0.6
"""Share of its remaining time that a request which must not be repeated may
spend in the queue."""

MIN_RETRY_AFTER_S: typing.Final = 0.1
"""Minimum retry delay that a rejected request is given."""

REFUSAL_MARGIN_S: typing.Final = 0.1
"""Time before its deadline at which a waiting request is given up.

It is the time for a refusal to reach the process that forwarded the request,
which must otherwise assume at the deadline that the request may have run.
"""

DECAY_S: typing.Final = 1.0
"""Time constant of the exponential decay of the counters."""

OVERLOAD_RETRY_AFTER_S: typing.Final = 1.5
"""Retry delay that is added in proportion to the share of rejected requests,
in full if all are rejected: the more requests will be retried, the later there
will be capacity."""


MIN_REMAINING_S: typing.Final = 0.001
"""Minimum of the expected rest of a running request."""

FAILURE_WEIGHT: typing.Final = 0.05
"""Weight of the newest request in the moving average of failures."""

MAX_FAILURE_SHARE: typing.Final = 0.5
"""Limit on the share of failures by which a server counts as slower."""


class State(enum.Enum):
    """The state of a queue entry."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "over"


Level: typing.TypeAlias = tuple[int, bool, float]
"""Rank, lateness and target time; lower levels run first."""


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """What is known of a request when it arrives.

    ``kind`` groups requests with similar service times.  ``target_s`` is the
    time in which the request should finish, ``time_left_s`` the time until
    its deadline.  ``late`` is set when the target time has already passed.
    ``features`` may tell the costs of requests of one kind apart.
    ``relative_cost`` is the cost that the process which sent the request
    expects, as a multiple of the mean of the service.
    """

    rank: int
    kind: str
    target_s: float
    time_left_s: float
    idempotent: bool
    late: bool = False
    features: expected_cost.Features = ()
    relative_cost: float = 1.0

    @property
    def level(self) -> "Level":
        """Return the scheduling level; lower levels run first."""
        return (self.rank, self.late, self.target_s)


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request does not run; it may be retried after a while.

    ``wait_s`` is the time that it was expected to wait for a slot.
    ``starts_per_s`` is the rate of the cold server, if that is what it was
    expected to wait for, otherwise 0.
    """

    wait_s: float
    retry_after_s: float
    starts_per_s: float = 0.0

    def __str__(self) -> str:
        expected = f"expected to start in {self.wait_s:.3f} s"
        if not self.starts_per_s:
            return expected
        return (
            f"{expected}: the server is cold and gets {self.starts_per_s:.0f} "
            f"requests per second, room in {self.retry_after_s:.3f} s"
        )


class QueueEntry:
    """One request that is waiting or running.

    ``target_time`` is the time at which it should have finished, ``deadline``
    the time at which it must have.  ``started`` is the time at which it got a
    slot or, while it waits, its arrival time.  ``corrects_mean`` is set if it
    may run against an outdated mean service time, which its own one replaces,
    ``corrects_factor`` if it may against an outdated ``cost_factor``, the
    expected cost relative to the mean of its kind.  ``reported_factor`` is the
    speed that the server reported before it started.  ``run_s`` is the time
    that it took, 0 until it has been served.  ``handed_over`` is set by the
    user of the queue once any part of it may have reached the server.
    """

    def __init__(self, profile: RequestProfile, now: float) -> None:
        self.profile = profile
        self.target_time = now + profile.target_s
        self.deadline = now + profile.time_left_s
        self.state = State.WAITING
        self.started = now
        self.corrects_mean = False
        self.corrects_factor = False
        self.cost_factor = 1.0
        self.reported_factor: float | None = None
        self.run_s = 0.0
        self.handed_over = False
        # When its start was counted by the limit of a cold server.
        self.start_counted_at = now

    @property
    def sort_key(self) -> tuple[Level, float]:
        """Return the sort key; the lowest runs first."""
        return (self.profile.level, self.target_time)


class ServerQueue:
    """The queue of one server that runs ``slots`` requests at a time.

    ``start_limit`` limits how many it starts in a second; None if it doesn't.
    ``costs`` tells requests of one kind apart by their features.
    """

    def __init__(
        self,
        slots: int,
        now: float,
        start_limit: cold_servers.StartLimit | None = None,
        costs: expected_cost.CostModel | None = None,
    ) -> None:
        self.slots = slots
        self.start_limit = start_limit or cold_servers.unlimited(now)
        self.costs = costs or expected_cost.CostModel()
        self.speed = reported_speed.ReportedSpeed()
        self.waiting: list[QueueEntry] = []
        self.running = 0
        self.running_entries: set[QueueEntry] = set()
        self.running_by_kind: collections.Counter[str] = collections.Counter()
        self.mean_service_s_by_kind: dict[str, float] = {}
        # By kind: when the mean was last measured or a request let through to
        # do so.
        self.estimated_at: dict[str, float] = {}
        self.overall_mean_service_s = 0.0
        self.failure_share = 0.0
        # Expected service time of the admitted requests, decaying over time.
        self.admitted_s: dict[Level, float] = {}
        # Their number, decaying likewise.
        self.admitted: dict[Level, float] = {}
        self.rejected_at: dict[Level, float] = {}
        self.arrivals = 0.0
        self.rejections = 0.0
        self.decayed_at = now

    def submit(
        self, profile: RequestProfile, now: float
    ) -> QueueEntry | Rejected:
        """Queue a request, or reject it."""
        self._decay_counters(now)
        self.arrivals += 1
        entry = QueueEntry(profile, now)
        entry.cost_factor = self.costs.factor(
            profile.kind, profile.features, now
        )
        slot_wait_s = self.expected_wait_s(entry, now)
        start_wait_s = self.expected_start_wait_s(entry, now)
        expected_s = self._entry_s(entry)
        allowed_s = allowed_wait_s(profile, expected_s)
        if max(slot_wait_s, start_wait_s) > allowed_s:
            self.rejections += 1
            self.rejected_at[profile.level] = now
            if slot_wait_s < start_wait_s:
                return self._reject_for_rate(start_wait_s, now)
            return Rejected(slot_wait_s, self._retry_after_s(slot_wait_s))
        level = profile.level
        self.admitted_s[level] = self.admitted_s.get(level, 0.0) + expected_s
        self.admitted[level] = self.admitted.get(level, 0.0) + 1
        self.waiting.append(entry)
        return entry

    def expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Return the expected time until a request starts."""
        if self.running < self.slots and not self.waiting:
            return 0.0
        ahead_s = sum(
            self._entry_s(earlier)
            for earlier in self.waiting
            if earlier is not entry and earlier.sort_key <= entry.sort_key
        )
        # One service time is added for the wait until a slot becomes free.  It
        # is divided by the slots too: the next one to become free is one of
        # many in use.
        next_free_s = self.mean_s(entry.profile.kind)
        if any(running.cost_factor != 1 for running in self.running_entries):
            next_free_s = max(
                next_free_s, self._next_free_s(now) * max(1, self.slots)
            )
        slots = self._available_slots(entry.profile.level)
        wait_s = (ahead_s + next_free_s) / slots
        return wait_s * self.speed.factor(now)

    def backlog_s(self, now: float) -> float:
        """Return the expected time until all requests here have started.

        It does not include the speed that the server reports, which changes
        before others learn of it.
        """
        if self.running < self.slots and not self.waiting:
            return 0.0
        waiting_s = sum(self._entry_s(entry) for entry in self.waiting)
        return waiting_s / max(1, self.slots) + self._next_free_s(now)

    def _next_free_s(self, now: float) -> float:
        """Return the expected time until the first running request ends."""
        ends_per_s = sum(
            1
            / max(
                MIN_REMAINING_S,
                self.costs.remaining_s(
                    entry.profile.kind,
                    self._entry_s(entry),
                    now - entry.started,
                ),
            )
            for entry in self.running_entries
        )
        return 1 / ends_per_s if ends_per_s else 0.0

    def expected_s(self, profile: RequestProfile, now: float) -> float:
        """Return the expected service time of a request."""
        factor = self.costs.factor(profile.kind, profile.features, now)
        return self.mean_s(profile.kind) * factor

    def _entry_s(self, entry: QueueEntry) -> float:
        """Return the expected service time of a queued request."""
        return self.mean_s(entry.profile.kind) * entry.cost_factor

    def expected_start_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Return the expected wait for the rate of a cold server."""
        if not self.start_limit.starts_per_s(now):
            return 0.0
        ahead = sum(
            earlier is not entry and earlier.sort_key <= entry.sort_key
            for earlier in self.waiting
        )
        level = entry.profile.level
        used_per_s = sum(
            count / DECAY_S
            for other_level, count in self.admitted.items()
            if other_level < level
        )
        return self.start_limit.expected_wait_s(now, ahead, used_per_s)

    def _reject_for_rate(self, wait_s: float, now: float) -> Rejected:
        """Reject a request that the rate of a cold server leaves no room."""
        limit = self.start_limit
        limit.rejected += 1
        room_at = limit.earliest_start(now, len(self.waiting))
        return Rejected(
            wait_s,
            limit.room_in_s(now, room_at, self.rejections),
            limit.starts_per_s(now),
        )

    def _available_slots(self, level: Level) -> float:
        """Return the slots that more urgent levels leave to a level.

        If a more urgent request was rejected recently, none are left.  The
        result is never below ``MIN_SLOTS``.
        """
        rejected_at = max(
            (
                rejection_time
                for other_level, rejection_time in self.rejected_at.items()
                if other_level < level
            ),
            default=-math.inf,
        )
        if self.decayed_at - rejected_at < DECAY_S:
            return MIN_SLOTS
        used = sum(
            admitted_s / DECAY_S
            for other_level, admitted_s in self.admitted_s.items()
            if other_level < level
        )
        return max(MIN_SLOTS, self.slots - used)

    def start_next(self, now: float) -> list[QueueEntry]:
        """Start waiting requests on the free slots; return them."""
        started: list[QueueEntry] = []
        while (
            self.waiting
            and self.running < self.slots
            and self.start_limit.earliest_start(now) <= now
        ):
            self.start_limit.record_start(now)
            entry = min(self.waiting, key=lambda entry: entry.sort_key)
            entry.start_counted_at = now
            self.waiting.remove(entry)
            entry.state = State.RUNNING
            entry.started = now
            entry.reported_factor = self.speed.reported_factor(now)
            self.running += 1
            self.running_entries.add(entry)
            self.running_by_kind[entry.profile.kind] += 1
            started.append(entry)
        return started

    def remove_expired(self, now: float) -> list[QueueEntry]:
        """Remove and return requests that would miss their deadline.

        A request is given up when less than half its expected service time is
        left.
        """
        expired = [
            entry
            for entry in self.waiting
            if self._misses_deadline(entry, now)
            and not self._is_let_through(entry, now)
        ]
        for entry in expired:
            self.waiting.remove(entry)
            entry.state = State.DONE
        return expired

    def remove_unstarted(self, now: float) -> list[QueueEntry]:
        """Remove and return requests that are given up unless started now.

        To be called after ``start_next``: what could start has started.
        """
        unstarted = [
            entry
            for entry in self.waiting
            if now + REFUSAL_MARGIN_S >= entry.deadline
        ]
        for entry in unstarted:
            self.waiting.remove(entry)
            entry.state = State.DONE
        return unstarted

    def remove_all(self) -> list[QueueEntry]:
        """Remove and return all requests that wait."""
        removed, self.waiting = self.waiting, []
        for entry in removed:
            entry.state = State.DONE
        return removed

    def remove_not_sent(self, entry: QueueEntry, now: float) -> None:
        """Remove a request that was not sent, whether it has a slot or not."""
        if entry.state is State.RUNNING:
            self.start_limit.take_back(entry.start_counted_at)
        self.remove(entry, now, False)

    def next_change_at(self, now: float) -> float | None:
        """Return when a waiting request starts or is given up by itself.

        Returns None if none is waiting.  Until then, only an event can change
        what waits.
        """
        if not self.waiting:
            return None
        given_up_at = min(self._given_up_at(entry) for entry in self.waiting)
        if self.running < self.slots:
            return min(given_up_at, self.start_limit.earliest_start(now))
        return given_up_at

    def _given_up_at(self, entry: QueueEntry) -> float:
        """Return the time at which a request is given up if it still waits."""
        margin_s = REFUSAL_MARGIN_S
        if not (entry.corrects_mean or entry.corrects_factor):
            margin_s = max(margin_s, self._entry_s(entry) / 2)
        return entry.deadline - margin_s

    def retry_after_s(self, now: float) -> float:
        """Return the retry delay of a request that was given up."""
        self._decay_counters(now)
        if self.start_limit.starts_per_s(now):
            room_at = self.start_limit.earliest_start(now, len(self.waiting))
            return self.start_limit.room_in_s(now, room_at, self.rejections)
        return self._retry_after_s(0.0)

    def _misses_deadline(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a waiting request would miss its deadline."""
        return now + self._entry_s(entry) / 2 > entry.deadline

    def _is_let_through(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request may run although its kind takes too long.

        One request may if the mean of its kind is outdated: that may have
        become too high, for instance after the whole process was frozen, and
        only a request that runs corrects it.  The same holds for what is
        known of its features.
        """
        return now < entry.deadline and (
            entry.corrects_mean
            or entry.corrects_factor
            or self._corrects_mean(entry, now)
            or self._corrects_factor(entry, now)
        )

    def _corrects_mean(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request may run to correct the mean of its kind."""
        kind = entry.profile.kind
        estimate_age_s = now - self.estimated_at.get(kind, now)
        is_outdated = (
            estimate_age_s > MAX_ESTIMATE_AGE_S
            and not self.running_by_kind[kind]
        )
        if not is_outdated:
            return False
        self.estimated_at[kind] = now
        entry.corrects_mean = True
        return True

    def _corrects_factor(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request may run to correct its cost factor."""
        profile = entry.profile
        updated_at = self.costs.updated_at(profile.kind, profile.features)
        if (
            entry.cost_factor <= 1
            or updated_at is None
            or now - updated_at <= MAX_ESTIMATE_AGE_S
            or any(
                running.corrects_factor
                and running.profile.kind == profile.kind
                for running in (*self.running_entries, *self.waiting)
            )
        ):
            return False
        entry.corrects_factor = True
        return True

    def remove(
        self,
        entry: QueueEntry,
        now: float,
        served: bool,
        failed: bool = False,
    ) -> None:
        """Remove a waiting or running request.

        If it was ``served``, its service time is included in the means, unless
        the server ``failed`` it sooner than expected.
        """
        if entry.state is State.WAITING:
            self.waiting.remove(entry)
        elif entry.state is State.RUNNING:
            self.running -= 1
            self.running_entries.discard(entry)
            self.running_by_kind[entry.profile.kind] -= 1
            if served:
                self._record_outcome(entry, now, failed)
        entry.state = State.DONE

    def outstanding(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self.waiting) + self.running

    def mean_s(self, kind: str) -> float:
        """Return the mean service time of a kind of request."""
        return self.mean_service_s_by_kind.get(kind, DEFAULT_SERVICE_S)

    def overall_mean_s(self, counts_failures: bool = True) -> float:
        """Return the mean service time of all requests; 0 if unknown.

        The mean is taken over requests, not over kinds, because some kinds
        are rare.  It is that of requests of usual cost.  If failures count, it
        is longer where requests fail: they may have to be sent again.
        """
        if not counts_failures or not self.failure_share:
            return self.overall_mean_service_s
        failure_share = min(self.failure_share, MAX_FAILURE_SHARE)
        mean_s = self.overall_mean_service_s or DEFAULT_SERVICE_S
        return mean_s / (1 - failure_share)

    def _record_outcome(
        self, entry: QueueEntry, now: float, failed: bool
    ) -> None:
        """Record that a request was served or failed by the server."""
        self.failure_share = averages.update_ewma(
            self.failure_share, 1.0 if failed else 0.0, FAILURE_WEIGHT
        )
        if not failed or now - entry.started >= self._entry_s(entry):
            self._record_service_time(entry, now)

    def _record_service_time(self, entry: QueueEntry, now: float) -> None:
        profile = entry.profile
        kind, took_s = profile.kind, now - entry.started
        entry.run_s = took_s
        expected_s = self._entry_s(entry)
        mean_s = self.mean_service_s_by_kind.get(kind, 0.0)
        if mean_s and not entry.corrects_mean:
            self.speed.record_run(took_s / expected_s, entry.reported_factor)
            self.costs.record(
                kind,
                profile.features,
                took_s / mean_s,
                now,
                entry.corrects_factor,
            )
        self.estimated_at[kind] = now
        if entry.corrects_mean:
            self.mean_service_s_by_kind.pop(kind, None)
        self.overall_mean_service_s = averages.update_ewma(
            self.overall_mean_service_s or None,
            took_s / profile.relative_cost,
            OVERALL_MEAN_WEIGHT,
        )
        self.mean_service_s_by_kind[kind] = averages.update_ewma(
            self.mean_service_s_by_kind.get(kind),
            took_s / entry.cost_factor,
            MEAN_WEIGHT,
        )

    def _decay_counters(self, now: float) -> None:
        """Apply the decay of the counters since it was last applied."""
        factor = math.exp((self.decayed_at - now) / DECAY_S)
        self.arrivals *= factor
        self.rejections *= factor
        for level in self.admitted_s:
            self.admitted_s[level] *= factor
            self.admitted[level] *= factor
        self.decayed_at = now

    def _retry_after_s(self, wait_s: float) -> float:
        rejected_share = self.rejections / max(1.0, self.arrivals)
        return (
            max(MIN_RETRY_AFTER_S, wait_s)
            + OVERLOAD_RETRY_AFTER_S * rejected_share
        )


def allowed_wait_s(profile: RequestProfile, expected_s: float) -> float:
    """Return the longest expected wait with which a request is admitted."""
    bound_s = latency_bound_s(profile)
    return max(
        bound_s - SERVICE_TIME_FACTOR * expected_s, MIN_WAIT_SHARE * bound_s
    )


def latency_bound_s(profile: RequestProfile) -> float:
    """Return the time in which a request must be expected to finish.

    It is the target time, or more for a request that must not be repeated, but
    not more than the time until the deadline.
    """
    if profile.idempotent:
        return min(profile.target_s, profile.time_left_s)
    return min(
        max(profile.target_s, NOT_IDEMPOTENT_WAIT_SHARE * profile.time_left_s),
        profile.time_left_s,
    )
