"""How long a server is granted its keys, for the work that runs under them.

Work that outlasts what was left of the grant of its key when it began fails,
also if the grant has been renewed since.  Goes in: the service times of keyed
requests, and how much of a grant is left.  Comes out: how long a grant should
last, below what rest it is renewed, and whether a request may be sent under
what is left.  This module only decides; ``server_grants`` and ``keyed_work``
carry the decisions out.

It is built for these load patterns:

- *Long-tailed work.*  Some requests take several times the mean.  A grant that
  is renewed only once little of it is left fails those that began just before.
- *Short work.*  A grant that is longer than any work needs only prolongs the
  wait for its keys after a crash of the server.
- *Renewals that stop*, when the lease of the process ends.  Work that is
  likely to end in time still runs; other work is rejected, as it has not run.
"""

import bisect
import collections.abc
import dataclasses
import enum
import typing

NEEDED_SHARE: typing.Final = 0.99
"""Share of the runs of a kind that end within the time it is said to need."""

TYPICAL_SHARE: typing.Final = 0.5
"""Share of the runs of a kind that end within its typical time."""

MIN_RUNS: typing.Final = 10.0
"""Number of runs from which the times of a kind count as known."""

REMEMBERED_RUNS: typing.Final = 200.0
"""Number of runs after which an earlier one has lost most of its weight."""

CUT_OFF_FACTOR: typing.Final = 2.0
"""Multiple of its time as which a run counts that its grant has cut off: it
would have taken longer, but it is not known by how much."""

BUCKET_BOUNDS_S: typing.Final = tuple(0.02 * 1.2**power for power in range(42))
"""Upper bounds of the buckets of service times, up to half a minute."""

RENEW_BELOW_SHARE: typing.Final = 0.45
"""A grant is renewed at the latest once its remaining time is less than this
share of the time for which it would be granted again."""

RENEWAL_INTERVAL_S: typing.Final = 0.8
"""Time between two renewals of a grant that no request asks for."""

MIN_GAIN_S: typing.Final = 0.4
"""Time by which a renewal must prolong a grant to be worth a command."""

RENEWAL_AHEAD_S: typing.Final = 0.15
"""Time by which a renewal is due before work needs it: one interval of the
checks, and the command."""


class WorkTimes:
    """The service times of keyed requests by kind; recent ones weigh more."""

    def __init__(self) -> None:
        self.weights: dict[str, list[float]] = {}

    def record(self, kind: str, took_s: float, cut_off: bool = False) -> None:
        """Record a run; ``cut_off`` if it failed since its grant ended."""
        weights = self.weights.setdefault(
            kind, [0.0] * (len(BUCKET_BOUNDS_S) + 1)
        )
        for bucket, weight in enumerate(weights):
            weights[bucket] = weight * (1 - 1 / REMEMBERED_RUNS)
        counted_s = took_s * CUT_OFF_FACTOR if cut_off else took_s
        weights[bisect.bisect_left(BUCKET_BOUNDS_S, counted_s)] += 1.0

    def within_s(self, kind: str, share: float) -> float:
        """Return the time in which a share of a kind's runs end.

        0 if too few runs are known.
        """
        weights = self.weights.get(kind, [])
        total = sum(weights)
        if total < MIN_RUNS:
            return 0.0
        seen = 0.0
        for bound_s, weight in zip(BUCKET_BOUNDS_S, weights, strict=False):
            seen += weight
            if seen >= share * total:
                return bound_s
        return BUCKET_BOUNDS_S[-1]

    def needed_s(self, kind: str, target_s: float = 0.0) -> float:
        """Return the time that almost all runs of a kind need at most.

        It is ``target_s``, the target time of the kind, while too few runs are
        known.
        """
        return self.within_s(kind, NEEDED_SHARE) or target_s

    def typical_s(self, kind: str) -> float:
        """Return the time that half the runs of a kind need at most."""
        return self.within_s(kind, TYPICAL_SHARE)

    def longest_needed_s(self) -> float:
        """Return the time that the work of any kind needs."""
        return max(map(self.needed_s, self.weights), default=0.0)


@dataclasses.dataclass(frozen=True)
class HoldBounds:
    """The shortest and the longest time of a grant by command, in seconds.

    A grant is as long as ``shortest_s`` where the work is short, and no longer
    than ``longest_s`` whatever the work needs.
    """

    shortest_s: float
    longest_s: float


def hold_s(bounds: HoldBounds, work_s: float) -> float:
    """Return for how long to grant keys whose work needs ``work_s``."""
    needed_s = max(bounds.shortest_s, work_s + RENEWAL_INTERVAL_S)
    return min(bounds.longest_s, needed_s)


def renew_below_s(granted_s: float, work_s: float) -> float:
    """Return the rest below which a grant of ``granted_s`` is renewed."""
    return max(
        RENEW_BELOW_SHARE * granted_s,
        min(work_s + RENEWAL_AHEAD_S, granted_s - RENEWAL_INTERVAL_S),
    )


class Fit(enum.Enum):
    """Whether a request fits into what is left of the grant of its key."""

    FITS = "fits"
    RENEW_FIRST = "renew-first"
    TOO_LONG = "too-long"


@dataclasses.dataclass(frozen=True)
class GrantRest:
    """What is left of a grant, and what a renewal would make of it.

    ``left_s`` is the time until the grant ends, ``renewed_s`` the time until
    it would end if it were renewed now, and ``fresh_s`` the time until it
    would end if it were renewed while the lease of the process has not begun
    to run out.
    """

    left_s: float
    renewed_s: float
    fresh_s: float


def fit(
    rest: GrantRest, needed_s: float, typical_s: float, may_wait: bool
) -> Fit:
    """Decide whether to send a request under what is left of its grant.

    A request that needs longer than any renewal lasts waits only if the
    renewal prolongs the grant by ``MIN_GAIN_S``.  It is not rejected under
    what is left of a grant between two renewals: no later grant would be any
    longer.  ``may_wait`` is false once the request has waited for its renewal.
    """
    worth_waiting = rest.left_s < min(needed_s, rest.renewed_s - MIN_GAIN_S)
    if may_wait and worth_waiting:
        return Fit.RENEW_FIRST
    usual_s = rest.fresh_s - RENEWAL_INTERVAL_S
    if rest.left_s < min(typical_s, needed_s, usual_s):
        return Fit.TOO_LONG
    return Fit.FITS


@dataclasses.dataclass(frozen=True)
class WantedRenewal:
    """A request that waits for the renewal of its key's grant.

    ``rank`` 0 is the most urgent; ``deadline`` is that of the request.
    """

    key: int
    rank: int
    deadline: float


def most_urgent(
    wanted: collections.abc.Iterable[WantedRenewal], first: int, last: int
) -> tuple[float, float]:
    """Return the sort key by which a range is renewed; the lowest goes first.

    Ranges that no request waits for go last.
    """
    return min(
        (
            (renewal.rank, renewal.deadline)
            for renewal in wanted
            if first <= renewal.key <= last
        ),
        default=(float("inf"), float("inf")),
    )
