"""What a window does with each kind of idempotency key."""

import uuid

import pytest
from bronzepaddle import idempotency, ids, verdicts

NOW_MS = 1_800_000_000_000


def key(made_ms: int, tail: int = 1) -> ids.IdempotencyKey:
    """Return a UUIDv7 made at a given moment."""
    value = (made_ms << 80) | (7 << 76) | (2 << 62) | tail
    return ids.IdempotencyKey(str(uuid.UUID(int=value)))


def _result(body: bytes | None = b"done") -> idempotency.Result:
    return idempotency.Result(200, (), body, verdicts.Verdict.RAN)


def _ran(window: idempotency.Window, one: ids.IdempotencyKey) -> None:
    assert window.begin(one, NOW_MS, False) == idempotency.Run()
    window.finish(one, _result())


def test_second_sending_is_answered_from_the_window() -> None:
    window = idempotency.Window(0)
    one = key(NOW_MS)
    _ran(window, one)
    again = window.begin(one, NOW_MS, False)
    assert again == idempotency.Replay(_result())
    assert window.begin(one, NOW_MS, True) == again


def test_sending_beside_the_first_waits_for_it() -> None:
    window = idempotency.Window(0)
    one = key(NOW_MS)
    window.begin(one, NOW_MS, False)
    beside = window.begin(one, NOW_MS, False)
    assert isinstance(beside, idempotency.Running)
    window.finish(one, _result())
    assert beside.result.result(timeout=0) == _result()


def test_key_older_than_the_grant_is_never_run() -> None:
    window = idempotency.Window(idempotency.fresh_horizon_ms(NOW_MS))
    decision = window.begin(key(NOW_MS - 5000), NOW_MS + 1000, False)
    assert decision == idempotency.Refuse(
        verdicts.Reason.OLD_ID, verdicts.Verdict.MAY_HAVE_RUN
    )


def test_first_attempt_runs_however_old_its_key() -> None:
    window = idempotency.Window(idempotency.fresh_horizon_ms(NOW_MS))
    one = key(NOW_MS - 5000)
    assert window.begin(one, NOW_MS, True) == idempotency.Run()


def test_key_of_a_caller_whose_clock_is_ahead_by_the_skew() -> None:
    """Made before the takeover, with a time that lies after it."""
    window = idempotency.Window(idempotency.fresh_horizon_ms(NOW_MS))
    ahead = key(NOW_MS + idempotency.CLOCK_SKEW_MS - 1)
    decision = window.begin(ahead, NOW_MS, False)
    assert isinstance(decision, idempotency.Refuse)
    assert decision.verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "bad",
    ["", "nonsense", str(uuid.UUID(int=4 << 76)), key(NOW_MS + 60_000)],
)
def test_key_that_is_none_or_of_the_future_is_refused(bad: str) -> None:
    window = idempotency.Window(0)
    decision = window.begin(ids.IdempotencyKey(bad), NOW_MS, False)
    assert decision == idempotency.Refuse(
        verdicts.Reason.BAD_REQUEST, verdicts.Verdict.NOT_RUN
    )


def test_full_window_forgets_but_never_runs_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idempotency, "KEYS_KEPT", 3)
    window = idempotency.Window(0)
    keys = [key(NOW_MS + number) for number in range(6)]
    for one in keys:
        _ran(window, one)
    for one in keys:
        assert window.begin(one, NOW_MS, False) != idempotency.Run()


def test_handed_over_window_answers_as_before() -> None:
    window = idempotency.Window(0)
    one = key(NOW_MS)
    _ran(window, one)
    heir = idempotency.restored(window.snapshot())
    assert heir.begin(one, NOW_MS, False) == idempotency.Replay(_result())
    assert heir.begin(key(NOW_MS, 2), NOW_MS, False) == idempotency.Run()


def test_request_that_was_not_run_may_run_again() -> None:
    window = idempotency.Window(0)
    one = key(NOW_MS)
    window.begin(one, NOW_MS, False)
    window.finish(one, None)
    assert window.begin(one, NOW_MS, False) == idempotency.Run()
