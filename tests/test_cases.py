"""Plays the cases of ``tests/cases``, on the sound build and broken ones."""

import pytest
from support import broken, scenarios, simulated_cell

CASES = scenarios.all_cases()


@pytest.mark.parametrize("case", CASES, ids=lambda one: one.name)
def test_case(case: scenarios.Case) -> None:
    scenarios.play(case)


@pytest.mark.parametrize(
    "case",
    [case for case in CASES if case.breaks],
    ids=lambda one: one.breaks,
)
def test_broken_build_is_caught(case: scenarios.Case) -> None:
    with broken.patched(case.breaks), pytest.raises(simulated_cell.Violation):
        scenarios.play(case)
