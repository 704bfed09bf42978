"""Tracks grants that reach the backend server in responses to its reports.

``ReportedGrants`` decides which of the released keys in a report may be
recorded as released, and which of the ordered keys the server has accepted.
``reconciler`` asks it at each report.

A released row has no token, so it is matched with a grant only if an earlier
report showed that grant as held and this report shows none of the keys: else
the row may refer to an earlier grant, while the order that renewed the keys
is still on its way to the server.
"""

import collections.abc
import dataclasses

from bronzepaddle import key_ranges
from bronzepaddle_backend import key_reports
from bronzepaddle_peers import statuses

from bronzepaddle_node import issued_grants


@dataclasses.dataclass(frozen=True)
class ReportedRelease:
    """A part of a grant that the server reports as released."""

    grant: issued_grants.IssuedGrant
    handover: str


class ReportedGrants:
    """The grants in the reports of one server run; event loop only."""

    def __init__(self, run: str = statuses.NO_SERVER_RUN) -> None:
        self.run = run
        # The grants that a report of this run has shown as held.
        self.shown: set[issued_grants.IssuedGrant] = set()
        # The grants of the last order.
        self.ordered: set[issued_grants.IssuedGrant] = set()
        # The grants to be released, with the time until which that matters.
        self.pending: dict[issued_grants.IssuedGrant, float] = {}

    def await_release(
        self, grant: issued_grants.IssuedGrant, until: float
    ) -> None:
        """Expect the release of a grant that orders no longer contain."""
        self.pending[grant] = until

    def record(
        self, report: key_reports.KeyReport, now: float
    ) -> list[ReportedRelease]:
        """Record a report; return the pending grants that it releases."""
        releases = [
            release
            for grant in self.pending
            for release in self._releases(grant, report)
        ]
        self.pending = {
            grant: until
            for grant, until in self.pending.items()
            if until > now
        }
        shown = {(row.first, row.last, row.token) for row in report.held}
        relevant = {token for _, _, token in (*self.pending, *self.ordered)}
        self.shown = shown | {
            grant for grant in self.shown if grant[2] in relevant
        }
        return releases

    def _releases(
        self,
        grant: issued_grants.IssuedGrant,
        report: key_reports.KeyReport,
    ) -> collections.abc.Iterator[ReportedRelease]:
        """Yield the parts of a grant that a report shows as released."""
        first, last, token = grant
        for shown_first, shown_last, shown_token in self.shown:
            held = key_ranges.overlap(first, last, shown_first, shown_last)
            if held is None or shown_token != token:
                continue
            for row in report.released:
                part = key_ranges.overlap(*held, row.first, row.last)
                if part is not None and not _shows(report, *part):
                    yield ReportedRelease((*part, token), row.handover)

    def accepted(
        self, grant: issued_grants.IssuedGrant, report: key_reports.KeyReport
    ) -> bool:
        """Return whether the server holds a grant, or may take it now.

        A grant of the last order that the report doesn't show was not
        accepted, or its order was lost.
        """
        if grant not in self.ordered:
            return True
        first, last, token = grant
        return any(
            row.token == token and row.first <= first and last <= row.last
            for row in report.held
        )


def _shows(report: key_reports.KeyReport, first: int, last: int) -> bool:
    """Return whether a report shows any key of a range as held."""
    return any(
        key_ranges.overlap(first, last, row.first, row.last) is not None
        for row in report.held
    )
