"""Tests of the decisions on how long grants last, under replayed load."""

import dataclasses
import itertools
import math
import random
import typing

import pytest
from bronzepaddle.load import grant_times

BOUNDS: typing.Final = grant_times.HoldBounds(1.5, 2.0)
KIND: typing.Final = "order"

CHECK_INTERVAL_S: typing.Final = 0.1
"""Interval at which it is checked whether the grant is to be renewed."""

COMMAND_S: typing.Final = 0.02
"""Time until a renewal has taken effect."""

REPLAYED_S: typing.Final = 600.0
RATE_PER_S: typing.Final = 5.0

MEDIAN_S: typing.Final = 0.25
SPREAD: typing.Final = 0.7
"""Median and shape of the log-normal service times: long-tailed work, of which
2 % takes 4.2 times the median."""

TARGET_S: typing.Final = 1.0
"""Target time of the work."""

LONGEST_CUT_OFF_SHARE: typing.Final = 0.02
"""Share of the runs that may outlast their grant: those that take longer than
almost all others."""


@dataclasses.dataclass
class Outcomes:
    """The outcomes of a replay."""

    served: int = 0
    cut_off: int = 0
    renewals: int = 0
    waits: int = 0
    longest_left_s: float = 0.0

    @property
    def cut_off_share(self) -> float:
        """Return the share of the runs that outlasted their grant."""
        return self.cut_off / (self.served + self.cut_off)


def replay(considers_work: bool, median_s: float, seed: int) -> Outcomes:
    """Replay work under one grant, which bounds each run from its start.

    Without ``considers_work`` grants are of one duration, and requests are
    sent whatever is left.
    """
    rng = random.Random(seed)
    work_times = grant_times.WorkTimes()
    outcomes = Outcomes()
    until = now = 0.0
    next_check = 0.0

    def needed_s() -> float:
        return work_times.longest_needed_s() if considers_work else 0.0

    while (now := now + rng.expovariate(RATE_PER_S)) < REPLAYED_S:
        while next_check <= now:
            granted_s = grant_times.hold_s(BOUNDS, needed_s())
            left_s = until - next_check
            if left_s < grant_times.renew_below_s(granted_s, needed_s()):
                until = next_check + granted_s
                outcomes.renewals += 1
            next_check += CHECK_INTERVAL_S
        begun_at = now
        granted_s = grant_times.hold_s(BOUNDS, needed_s())
        rest = grant_times.GrantRest(until - now, granted_s, granted_s)
        decision = grant_times.fit(
            rest,
            work_times.needed_s(KIND, TARGET_S) if considers_work else 0.0,
            work_times.typical_s(KIND) if considers_work else 0.0,
            True,
        )
        if decision is grant_times.Fit.RENEW_FIRST:
            outcomes.waits += 1
            until, begun_at = now + granted_s, now + COMMAND_S
        outcomes.longest_left_s = max(
            outcomes.longest_left_s, until - begun_at
        )
        took_s = rng.lognormvariate(math.log(median_s), SPREAD)
        left_s = until - begun_at
        if took_s > left_s:
            outcomes.cut_off += 1
        else:
            outcomes.served += 1
        work_times.record(KIND, min(took_s, left_s), took_s > left_s)
    return outcomes


@pytest.mark.parametrize("seed", range(1, 6))
def test_long_tailed_work_is_not_cut_off(seed: int) -> None:
    before = replay(False, MEDIAN_S, seed)
    after = replay(True, MEDIAN_S, seed)
    assert after.cut_off_share < LONGEST_CUT_OFF_SHARE
    assert after.cut_off * 2 < before.cut_off
    commands_per_s = (after.renewals + after.waits) / REPLAYED_S
    assert commands_per_s < 2 / grant_times.RENEWAL_INTERVAL_S


@pytest.mark.parametrize("seed", range(1, 6))
def test_grants_for_short_work_stay_short(seed: int) -> None:
    before = replay(False, MEDIAN_S / 10, seed)
    after = replay(True, MEDIAN_S / 10, seed)
    assert after.cut_off == 0
    # Requests wait only while their times are not known.
    assert after.waits <= grant_times.MIN_RUNS
    assert after.renewals <= before.renewals
    assert after.longest_left_s <= BOUNDS.shortest_s


def test_time_of_cut_off_runs_is_learned() -> None:
    work_times = grant_times.WorkTimes()
    for _ in range(200):
        work_times.record(KIND, 0.5, True)
    assert work_times.needed_s(KIND) > 0.9


def test_few_runs_show_nothing() -> None:
    work_times = grant_times.WorkTimes()
    for _ in range(9):
        work_times.record(KIND, 5.0)
    assert work_times.needed_s(KIND) == work_times.longest_needed_s() == 0.0
    # The target time of the kind is assumed.
    assert work_times.needed_s(KIND, 0.7) == 0.7


def test_earlier_times_are_forgotten() -> None:
    work_times = grant_times.WorkTimes()
    for _ in range(300):
        work_times.record(KIND, 2.0)
    for _ in range(1500):
        work_times.record(KIND, 0.1)
    assert work_times.needed_s(KIND) < 0.2


@pytest.mark.parametrize("work_s", [0.0, 0.1, 0.6, 1.2, 1.5, 30.0])
def test_grants_stay_within_their_bounds(work_s: float) -> None:
    granted_s = grant_times.hold_s(BOUNDS, work_s)
    assert BOUNDS.shortest_s <= granted_s <= BOUNDS.longest_s
    assert 0 < grant_times.renew_below_s(granted_s, work_s) < granted_s


@pytest.mark.parametrize(
    ("left_s", "renewed_s", "may_wait", "expected"),
    [
        (1.3, 2.0, True, grant_times.Fit.FITS),
        (1.0, 2.0, True, grant_times.Fit.RENEW_FIRST),
        (1.0, 1.2, True, grant_times.Fit.FITS),
        (1.0, 2.0, False, grant_times.Fit.FITS),
        (0.2, 2.0, False, grant_times.Fit.TOO_LONG),
        # No renewal would make more of it.
        (1.0, 1.0, True, grant_times.Fit.FITS),
        (0.2, 0.2, True, grant_times.Fit.TOO_LONG),
    ],
)
def test_fit(
    left_s: float, renewed_s: float, may_wait: bool, expected: grant_times.Fit
) -> None:
    rest = grant_times.GrantRest(left_s, renewed_s, 2.0)
    assert grant_times.fit(rest, 1.2, 0.3, may_wait) is expected


@pytest.mark.parametrize("typical_s", [1.9, 2.5, 9.0])
def test_work_that_no_grant_is_long_enough_for_is_still_sent(
    typical_s: float,
) -> None:
    """Otherwise a server that becomes fast again would get nothing."""
    usual = grant_times.GrantRest(1.3, 2.0, 2.0)
    assert (
        grant_times.fit(usual, 10.0, typical_s, may_wait=False)
        is grant_times.Fit.FITS
    )
    lease_ends = grant_times.GrantRest(0.9, 0.9, 2.0)
    assert (
        grant_times.fit(lease_ends, 10.0, typical_s, may_wait=True)
        is grant_times.Fit.TOO_LONG
    )


def test_most_urgent_request_is_renewed_first() -> None:
    wanted = [
        grant_times.WantedRenewal(10, 2, 1.0),
        grant_times.WantedRenewal(30, 0, 9.0),
        grant_times.WantedRenewal(50, 0, 2.0),
    ]
    ranges = list(itertools.pairwise(range(0, 80, 20)))
    ordered = sorted(
        ranges,
        key=lambda bounds: grant_times.most_urgent(
            wanted, bounds[0], bounds[1] - 1
        ),
    )
    assert ordered == [(40, 60), (20, 40), (0, 20)]
