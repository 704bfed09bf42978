"""Which answers lead to another try."""

import dataclasses

import pytest
from bronzepaddle import ids, retries, verdicts

KNOWN = retries.AttemptResult(
    verdicts.Verdict.NOT_RUN,
    verdicts.Reason.NOT_OWNER,
    idempotent=False,
    repeatable=True,
    left_s=5.0,
    tries=1,
)
MAY_HAVE_RUN = dataclasses.replace(
    KNOWN,
    verdict=verdicts.Verdict.MAY_HAVE_RUN,
    reason=verdicts.Reason.PEER_LOST,
)
SHED = dataclasses.replace(KNOWN, reason=verdicts.Reason.SHED)

AGAIN = {
    "not run, owner moved": KNOWN,
    "not run, many tries": dataclasses.replace(KNOWN, tries=50),
    "shed once": SHED,
    "may have run, idempotent": dataclasses.replace(
        MAY_HAVE_RUN, idempotent=True
    ),
}
ENOUGH = {
    "may have run": MAY_HAVE_RUN,
    "may have run, idempotent, second try": dataclasses.replace(
        MAY_HAVE_RUN, idempotent=True, tries=2
    ),
    "ran": dataclasses.replace(KNOWN, verdict=verdicts.Verdict.RAN),
    "shed twice": dataclasses.replace(SHED, tries=2),
    "no time left": dataclasses.replace(KNOWN, left_s=0.001),
    "body is gone": dataclasses.replace(KNOWN, repeatable=False),
    "refused for good": dataclasses.replace(
        KNOWN, reason=verdicts.Reason.SUSPECT
    ),
}


@pytest.mark.parametrize("known", AGAIN.values(), ids=AGAIN.keys())
def test_tried_again(known: retries.AttemptResult) -> None:
    assert isinstance(retries.decide(known), retries.Retry)


@pytest.mark.parametrize("known", ENOUGH.values(), ids=ENOUGH.keys())
def test_not_tried_again(known: retries.AttemptResult) -> None:
    assert retries.decide(known) == retries.GiveUp()


def test_budget_bounds_retries_to_a_share_of_the_traffic() -> None:
    budgets = retries.RetryBudgets()
    service = ids.ServiceName("lots")
    spent = 0
    for _ in range(10_000):
        budgets.earn(service)
        spent += budgets.spend(service)
    assert spent <= 10_000 * retries.BUDGET_SHARE + retries.BUDGET_MOST
