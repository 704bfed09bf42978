"""Checks that no two server runs own the same keys at the same time.

``History`` records what each run of a server held and which requests it began,
as its server saw it.  ``violations`` finds what broke exclusive ownership.  A
grant that was delayed outside of its sender doesn't count: its holds and
takes are left out.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import itertools
import typing

MAX_DOUBLE_HOLD_S: typing.Final = 0.5
"""Longest time for which two runs may hold the same keys without requests."""

MERGE_GAP_S: typing.Final = 0.5
"""Violations of the same runs that are this close are one violation."""

Run = typing.NewType("Run", str)
"""A run of a server; each start is another run."""


class Rule(enum.Enum):
    """A condition of exclusive ownership."""

    BOTH_BEGAN = "two holders began requests"
    STALE_TOKEN = "taken with a token that is not the highest"
    HELD_TWICE = "held by two servers"
    STILL_AT_WORK = "granted while another still worked"


@dataclasses.dataclass
class Hold:
    """Keys that a run held from ``since`` to ``until``.

    ``expires_at`` is the time at which the hold would have run out if it had
    not been released.
    """

    run: Run
    first: int
    last: int
    token: int
    since: float
    until: float
    expires_at: float


@dataclasses.dataclass(frozen=True)
class Take:
    """The first grant of keys with a token to a run."""

    run: Run
    first: int
    last: int
    token: int
    at: float


@dataclasses.dataclass
class Work:
    """A request that a run began under a hold."""

    key: int
    hold: Hold
    began_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violation by two runs, the earlier holder first."""

    rule: Rule
    at: float
    runs: tuple[Run, Run]
    first: int
    last: int
    tokens: tuple[int, int]
    duration_s: float = 0.0

    @property
    def line(self) -> str:
        """Return a line of text."""
        return (
            f"{self.at:.3f} s: {self.rule.value}: {self.runs[0]} and"
            f" {self.runs[1]}, keys {self.first} to {self.last}, tokens"
            f" {self.tokens[0]} and {self.tokens[1]},"
            f" {self.duration_s:.3f} s"
        )


class History:
    """What all server runs held and began."""

    def __init__(self) -> None:
        self.holds: list[Hold] = []
        self.takes: list[Take] = []
        self.work: list[Work] = []
        self.current: dict[Run, list[Hold]] = collections.defaultdict(list)

    def grant(
        self,
        run: Run,
        first: int,
        last: int,
        token: int,
        at: float,
        until: float,
        counts: bool = True,
    ) -> None:
        """Record a grant or a renewal that took effect at ``at``."""
        if not counts:
            self.cut(run, first, last, at, but_token=token)
            return
        covering = [
            hold
            for hold in self.current[run]
            if hold.first <= first and last <= hold.last and at < hold.until
        ]
        if not any(hold.token == token for hold in covering):
            self.takes.append(Take(run, first, last, token, at))
        for hold in covering:
            if (hold.first, hold.last, hold.token) == (first, last, token):
                hold.until = hold.expires_at = until
                return
        since = min((hold.since for hold in covering), default=at)
        self.cut(run, first, last, at)
        self._add(Hold(run, first, last, token, since, until, until))

    def _add(self, hold: Hold) -> None:
        self.holds.append(hold)
        self.current[hold.run].append(hold)

    def cut(
        self,
        run: Run,
        first: int,
        last: int,
        at: float,
        but_token: int | None = None,
    ) -> None:
        """Record that a run holds these keys no more.

        What it holds with ``but_token`` stays.
        """
        for hold in self.current.pop(run, []):
            if hold.until <= at:
                continue
            is_outside = hold.last < first or last < hold.first
            if is_outside or hold.token == but_token:
                self.current[run].append(hold)
                continue
            for part_first, part_last in (
                (hold.first, first - 1),
                (last + 1, hold.last),
            ):
                if part_first <= part_last:
                    self._add(
                        dataclasses.replace(
                            hold, first=part_first, last=part_last
                        )
                    )
            hold.until = at

    def begin(self, run: Run, key: int, at: float) -> Work | None:
        """Record a request; return None if its hold doesn't count."""
        for hold in self.current[run]:
            if hold.first <= key <= hold.last and at < hold.until:
                work = Work(key, hold, at)
                self.work.append(work)
                return work
        return None

    def end(self, run: Run, at: float) -> None:
        """Record that a run has ended, and its requests with it."""
        for hold in self.current.pop(run, []):
            hold.until = min(hold.until, at)
        for work in self.work:
            if work.hold.run == run:
                work.ended_at = min(work.ended_at, at)

    def held_keys(self, at: float) -> int:
        """Return the number of keys that some run holds, double ones twice."""
        return sum(
            hold.last - hold.first + 1
            for holds in self.current.values()
            for hold in holds
            if at < hold.until
        )


def violations(history: History) -> list[Violation]:
    """Return all violations by time; close ones of the same runs as one."""
    found = itertools.chain(
        _double_holds(history),
        _stale_tokens(history.takes),
        _still_at_work(history),
    )
    return sorted(_merged(found), key=lambda violation: violation.at)


def _merged(
    found: collections.abc.Iterable[Violation],
) -> collections.abc.Iterator[Violation]:
    """Merge violations of a rule by the same runs that follow closely."""
    by_time = sorted(found, key=lambda violation: violation.at)
    open_ones: dict[tuple[Rule, frozenset[Run]], Violation] = {}
    for violation in by_time:
        key = (violation.rule, frozenset(violation.runs))
        previous = open_ones.get(key)
        if previous is None:
            open_ones[key] = violation
            continue
        ends_at = previous.at + previous.duration_s
        if violation.at > ends_at + MERGE_GAP_S:
            yield previous
            open_ones[key] = violation
            continue
        ends_at = max(ends_at, violation.at + violation.duration_s)
        open_ones[key] = dataclasses.replace(
            previous,
            first=min(previous.first, violation.first),
            last=max(previous.last, violation.last),
            duration_s=ends_at - previous.at,
        )
    yield from open_ones.values()


def _overlaps(
    holds: list[Hold],
) -> collections.abc.Iterator[tuple[Hold, Hold]]:
    """Return the pairs of holds of two runs that share keys and time."""
    active: list[Hold] = []
    for hold in sorted(holds, key=lambda hold: hold.since):
        active = [other for other in active if hold.since < other.until]
        for other in active:
            if (
                other.run != hold.run
                and other.first <= hold.last
                and hold.first <= other.last
                and hold.since < hold.until
            ):
                yield other, hold
        active.append(hold)


def _double_holds(
    history: History,
) -> collections.abc.Iterator[Violation]:
    """Find keys held twice for too long, or with requests at both holders."""
    work_by_run: dict[Run, list[Work]] = collections.defaultdict(list)
    for work in history.work:
        work_by_run[work.hold.run].append(work)
    for earlier, later in _overlaps(history.holds):
        first = max(earlier.first, later.first)
        last = min(earlier.last, later.last)
        ends_at = min(earlier.until, later.until)
        violation = Violation(
            Rule.HELD_TWICE,
            later.since,
            (earlier.run, later.run),
            first,
            last,
            (earlier.token, later.token),
            ends_at - later.since,
        )
        if violation.duration_s > MAX_DOUBLE_HOLD_S:
            yield violation
        both_began = all(
            any(
                later.since <= work.began_at < ends_at
                and first <= work.key <= last
                for work in work_by_run[run]
            )
            for run in violation.runs
        )
        if both_began:
            yield dataclasses.replace(violation, rule=Rule.BOTH_BEGAN)


def _stale_tokens(
    takes: list[Take],
) -> collections.abc.Iterator[Violation]:
    """Find takes with a token not above those that other runs had."""
    by_token: list[Take] = []
    for take in sorted(takes, key=lambda take: take.at):
        position = bisect.bisect_left(
            by_token, take.token, key=lambda other: other.token
        )
        for other in by_token[position:]:
            if (
                other.run != take.run
                and other.first <= take.last
                and take.first <= other.last
            ):
                yield Violation(
                    Rule.STALE_TOKEN,
                    take.at,
                    (other.run, take.run),
                    max(other.first, take.first),
                    min(other.last, take.last),
                    (other.token, take.token),
                )
        by_token.insert(position, take)


def _still_at_work(
    history: History,
) -> collections.abc.Iterator[Violation]:
    """Find takes of keys at which another run works within its hold."""
    takes = sorted(history.takes, key=lambda take: take.at)
    times = [take.at for take in takes]
    for work in history.work:
        ends_at = min(work.ended_at, work.hold.expires_at)
        start = bisect.bisect_left(times, work.began_at)
        end = bisect.bisect_left(times, ends_at)
        for take in takes[start:end]:
            is_other = take.run != work.hold.run
            if is_other and take.first <= work.key <= take.last:
                yield Violation(
                    Rule.STILL_AT_WORK,
                    take.at,
                    (work.hold.run, take.run),
                    work.key,
                    work.key,
                    (work.hold.token, take.token),
                    ends_at - take.at,
                )
