"""Tests of the HTTP statuses of error responses."""

import pytest
from bronzepaddle import problems, verdicts


@pytest.mark.parametrize("reason", verdicts.Reason)
@pytest.mark.parametrize(
    "ran", [verdicts.Verdict.MAY_HAVE_RUN, verdicts.Verdict.RAN]
)
def test_no_promise_where_it_may_have_run(
    reason: verdicts.Reason, ran: verdicts.Verdict
) -> None:
    assert problems.status_of(reason, ran) not in problems.NOT_RUN_STATUSES
