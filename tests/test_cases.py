"""Runs the cases in ``tests/cases``.

Each deliberately broken build must violate an invariant in its case.
"""

import pytest
from support import broken, scenarios, simulated_cell

CASES = scenarios.load_cases()


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_case(case: scenarios.Case) -> None:
    scenarios.run_case(case)


@pytest.mark.parametrize(
    "case",
    [case for case in CASES if case.breaks],
    ids=lambda case: case.breaks,
)
def test_broken_build_is_caught(case: scenarios.Case) -> None:
    with broken.patched(case.breaks), pytest.raises(simulated_cell.Violation):
        scenarios.run_case(case)
