"""Plays the cases of ``tests/cases``, on the sound build and broken ones."""

import pytest
from support import broken, scenarios, world

CASES = scenarios.load_cases()


@pytest.mark.parametrize("case", CASES, ids=lambda one: one.name)
def test_case(case: scenarios.Case) -> None:
    scenarios.run_case(case)


@pytest.mark.parametrize(
    "case",
    [case for case in CASES if case.breaks],
    ids=lambda one: one.breaks,
)
def test_broken_build_is_caught(case: scenarios.Case) -> None:
    with broken.applied(case.breaks), pytest.raises(world.Violation):
        scenarios.run_case(case)
