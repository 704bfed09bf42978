"""The speed that a backend server reports, as far as it proves true.

Some servers report with their responses how long work takes at that moment.
The figure changes many times per second, so it counts only while it is fresh.
It counts only if the run times that follow are predicted better with it: a
server that reports nonsense is judged by its run times alone.  The load that
this answers: a server whose VM is slowed down by others.
"""

import dataclasses
import math
import typing

from bronzepaddle import averages
from bronzepaddle.load import expected_cost

FRESH_S: typing.Final = 0.25
"""Age up to which a report is used."""

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest value in a moving average."""

MAX_FACTOR: typing.Final = 4.0
"""Limit on the factor by which a report changes an expected run time."""


@dataclasses.dataclass(frozen=True)
class Report:
    """The slowness that a server reported, and when it did."""

    slowness: float
    received_at: float


class ReportedSpeed:
    """The reports of one run of a server."""

    def __init__(self) -> None:
        self.latest: Report | None = None
        self.mean_slowness: float | None = None
        self.mean_residual: float | None = None
        self.usefulness = expected_cost.Usefulness()

    def report(self, slowness: float, now: float) -> None:
        """Record a report; higher values of ``slowness`` mean slower."""
        self.latest = Report(slowness, now)
        self.mean_slowness = averages.update_ewma(
            self.mean_slowness, slowness, MEAN_WEIGHT
        )

    def reported_factor(self, now: float) -> float | None:
        """Return the slowness relative to the mean, None if not fresh."""
        latest, mean = self.latest, self.mean_slowness
        if latest is None or not mean or now - latest.received_at > FRESH_S:
            return None
        return max(1 / MAX_FACTOR, min(MAX_FACTOR, latest.slowness / mean))

    def factor(self, now: float) -> float:
        """Return the factor by which run times differ from their mean now."""
        if not self.usefulness.counts:
            return 1.0
        return self.reported_factor(now) or 1.0

    def record_run(self, ratio: float, reported_factor: float | None) -> None:
        """Compare the report at the start of a run with its run time.

        ``ratio`` is that of the run time to the one that was expected without
        the report.
        """
        if reported_factor is None or ratio <= 0:
            return
        limit = expected_cost.MAX_LOG_RATIO
        log_ratio = max(-limit, min(limit, math.log(ratio)))
        self.mean_residual = averages.update_ewma(
            self.mean_residual, log_ratio, expected_cost.ERROR_WEIGHT
        )
        self.usefulness.record(
            log_ratio - self.mean_residual, math.log(reported_factor)
        )
