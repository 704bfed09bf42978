"""Tests that the observer of soak tests finds violations and only these."""

import pytest
from support import owner_observer

A = owner_observer.Run("a")
B = owner_observer.Run("b")


def rules(history: owner_observer.History) -> set[owner_observer.Rule]:
    return {found.rule for found in owner_observer.violations(history)}


def work(
    history: owner_observer.History,
    run: owner_observer.Run,
    began_at: float,
    ended_at: float,
) -> None:
    begun = history.begin(run, 5, began_at)
    assert begun is not None
    begun.ended_at = ended_at


def test_keys_held_twice_for_long_are_found() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 1, at=0.0, until=3.0)
    history.grant(B, 5, 20, 2, at=2.4, until=6.0)
    (found,) = owner_observer.violations(history)
    assert found.rule is owner_observer.Rule.HELD_TWICE
    assert (found.runs, found.first, found.last) == ((A, B), 5, 9)
    assert found.tokens == (1, 2)
    assert found.duration_s == pytest.approx(0.6)


def test_renewals_and_split_ranges_make_one_long_hold() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 1, at=0.0, until=0.3)
    history.grant(B, 0, 9, 2, at=0.1, until=6.0)
    history.grant(A, 0, 9, 1, at=0.2, until=0.5)
    history.grant(A, 0, 4, 1, at=0.4, until=0.7)
    found = owner_observer.violations(history)
    assert [violation.duration_s for violation in found] == [
        pytest.approx(0.6)
    ]


@pytest.mark.parametrize("ends", ["expires", "released", "run ended"])
def test_keys_held_one_after_the_other_are_allowed(ends: str) -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 1, at=0.0, until=2.0 if ends == "expires" else 9.0)
    work(history, A, 1.0, 1.9)
    if ends == "released":
        history.cut(A, 0, 9, at=2.0)
    if ends == "run ended":
        history.end(A, at=2.0)
    history.grant(B, 0, 9, 2, at=2.4, until=9.0)
    work(history, B, 2.5, 2.6)
    assert not rules(history)


def test_short_double_hold_is_a_violation_if_both_began_requests() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 1, at=0.0, until=3.0)
    work(history, A, 2.7, 2.75)
    history.grant(B, 0, 9, 2, at=2.8, until=6.0)
    work(history, B, 2.9, 2.95)
    assert not rules(history)
    work(history, A, 2.95, 2.99)
    assert rules(history) == {owner_observer.Rule.BOTH_BEGAN}


@pytest.mark.parametrize("token", [1, 2])
def test_token_that_is_not_the_highest_is_found(token: int) -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 2, at=0.0, until=1.0)
    history.grant(B, 9, 20, token, at=2.0, until=3.0)
    assert rules(history) == {owner_observer.Rule.STALE_TOKEN}


def test_tokens_of_other_keys_and_of_the_run_itself_are_allowed() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 5, at=0.0, until=1.0)
    history.grant(B, 10, 20, 4, at=0.0, until=1.0)
    history.grant(A, 0, 9, 5, at=2.0, until=3.0)
    assert not rules(history)


def test_grant_while_another_works_after_its_release_is_found() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 1, at=0.0, until=3.0)
    work(history, A, 0.5, 2.0)
    history.cut(A, 0, 9, at=1.0)
    history.grant(B, 0, 9, 2, at=1.5, until=4.0)
    assert rules(history) == {owner_observer.Rule.STILL_AT_WORK}


def test_delayed_grants_do_not_count() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 9, 1, at=0.0, until=2.0)
    history.grant(A, 0, 9, 1, at=1.9, until=9.0, counts=False)
    history.grant(B, 0, 9, 2, at=2.0, until=9.0)
    history.grant(A, 0, 9, 1, at=3.0, until=9.0, counts=False)
    assert history.begin(A, 5, 3.5) is None
    assert not rules(history)


def test_delayed_renewal_does_not_shorten_what_counts() -> None:
    history = owner_observer.History()
    history.grant(A, 0, 4, 1, at=0.0, until=2.0)
    history.grant(A, 5, 9, 1, at=0.0, until=2.0)
    history.grant(A, 0, 9, 1, at=0.5, until=3.0, counts=False)
    history.grant(B, 0, 9, 2, at=1.0, until=9.0)
    assert rules(history) == {owner_observer.Rule.HELD_TWICE}
