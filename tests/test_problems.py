"""Tests of the HTTP statuses of error responses."""

import pytest
from bronzepaddle import problems, verdicts


@pytest.mark.parametrize("reason", verdicts.Reason)
@pytest.mark.parametrize(
    "verdict", [verdicts.Verdict.MAY_HAVE_RUN, verdicts.Verdict.RAN]
)
def test_status_never_says_not_run_where_it_may_have_run(
    reason: verdicts.Reason, verdict: verdicts.Verdict
) -> None:
    assert problems.status_of(reason, verdict) not in problems.NOT_RUN_STATUSES
