"""Tests of retry decisions and retry budgets."""

import dataclasses

import pytest
from bronzepaddle import ids, verdicts
from bronzepaddle.load import retries

NOT_OWNER = retries.AttemptResult(
    verdicts.Verdict.NOT_RUN,
    verdicts.Reason.NOT_OWNER,
    idempotent=False,
    repeatable=True,
    time_left_s=5.0,
    attempts=1,
)
MAY_HAVE_RUN = dataclasses.replace(
    NOT_OWNER,
    verdict=verdicts.Verdict.MAY_HAVE_RUN,
    reason=verdicts.Reason.PEER_LOST,
)
SHED = dataclasses.replace(NOT_OWNER, reason=verdicts.Reason.SHED)

RETRIED = {
    "not run, not the owner": NOT_OWNER,
    "not run, many attempts": dataclasses.replace(NOT_OWNER, attempts=50),
    "shed once": SHED,
    "may have run, idempotent": dataclasses.replace(
        MAY_HAVE_RUN, idempotent=True
    ),
}
NOT_RETRIED = {
    "may have run": MAY_HAVE_RUN,
    "may have run, idempotent, second attempt": dataclasses.replace(
        MAY_HAVE_RUN, idempotent=True, attempts=2
    ),
    "ran": dataclasses.replace(NOT_OWNER, verdict=verdicts.Verdict.RAN),
    "shed twice": dataclasses.replace(SHED, attempts=2),
    "no time left": dataclasses.replace(NOT_OWNER, time_left_s=0.001),
    "body was streamed": dataclasses.replace(NOT_OWNER, repeatable=False),
    "rejected permanently": dataclasses.replace(
        NOT_OWNER, reason=verdicts.Reason.SUSPECT
    ),
}


@pytest.mark.parametrize("attempt", RETRIED.values(), ids=RETRIED.keys())
def test_retried(attempt: retries.AttemptResult) -> None:
    assert isinstance(retries.decide(attempt), retries.Retry)


@pytest.mark.parametrize(
    "attempt", NOT_RETRIED.values(), ids=NOT_RETRIED.keys()
)
def test_not_retried(attempt: retries.AttemptResult) -> None:
    assert retries.decide(attempt) == retries.GiveUp()


def test_budget_bounds_retries_to_a_share_of_the_traffic() -> None:
    budgets = retries.RetryBudgets()
    service = ids.ServiceName("lots")
    spent = 0
    for _ in range(10_000):
        budgets.earn(service)
        spent += budgets.spend(service)
    assert spent <= 10_000 * retries.BUDGET_SHARE + retries.MAX_BUDGET
