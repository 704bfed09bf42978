"""Runs the cases in ``tests/cases``.

Each deliberately broken build must violate an invariant in its case.
"""

import pytest
from support import broken, case_runner, simulated_cell

CASES = case_runner.load_cases()


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_case(case: case_runner.Case) -> None:
    case_runner.run_case(case)


@pytest.mark.parametrize(
    "case",
    [case for case in CASES if case.breaks],
    ids=lambda case: case.breaks,
)
def test_broken_build_is_caught(case: case_runner.Case) -> None:
    with broken.patched(case.breaks), pytest.raises(simulated_cell.Violation):
        case_runner.run_case(case)
