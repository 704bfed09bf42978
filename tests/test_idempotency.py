"""Tests of the window of idempotency keys."""

import uuid

import pytest
from bronzepaddle import idempotency, ids, verdicts

NOW_MS = 1_800_000_000_000


def key(created_ms: int, low_bits: int = 1) -> ids.IdempotencyKey:
    """Return a UUIDv7 with a given creation time."""
    value = (created_ms << 80) | (7 << 76) | (2 << 62) | low_bits
    return ids.IdempotencyKey(str(uuid.UUID(int=value)))


def _result(body: bytes | None = b"done") -> idempotency.Result:
    return idempotency.Result(200, (), body, verdicts.Verdict.RAN)


def _run_request(
    window: idempotency.Window, request_key: ids.IdempotencyKey
) -> None:
    assert window.begin(request_key, NOW_MS, False) == idempotency.Run()
    window.finish(request_key, _result())


def test_repeated_request_gets_the_result_in_the_window() -> None:
    window = idempotency.Window(0)
    request_key = key(NOW_MS)
    _run_request(window, request_key)
    repeated = window.begin(request_key, NOW_MS, False)
    assert repeated == idempotency.Replay(_result())
    assert window.begin(request_key, NOW_MS, True) == repeated


def test_concurrent_request_waits_for_the_first() -> None:
    window = idempotency.Window(0)
    request_key = key(NOW_MS)
    window.begin(request_key, NOW_MS, False)
    concurrent = window.begin(request_key, NOW_MS, False)
    assert isinstance(concurrent, idempotency.Running)
    window.finish(request_key, _result())
    assert concurrent.future.result(timeout=0) == _result()


def test_key_older_than_the_grant_is_never_run() -> None:
    window = idempotency.Window(idempotency.initial_horizon_ms(NOW_MS))
    decision = window.begin(key(NOW_MS - 5000), NOW_MS + 1000, False)
    assert decision == idempotency.Reject(
        verdicts.Reason.OLD_ID, verdicts.Verdict.MAY_HAVE_RUN
    )


def test_first_attempt_runs_however_old_its_key() -> None:
    window = idempotency.Window(idempotency.initial_horizon_ms(NOW_MS))
    request_key = key(NOW_MS - 5000)
    assert window.begin(request_key, NOW_MS, True) == idempotency.Run()


def test_key_of_a_caller_whose_clock_is_ahead_by_the_skew() -> None:
    """The key was created before the takeover but has a later timestamp."""
    window = idempotency.Window(idempotency.initial_horizon_ms(NOW_MS))
    ahead = key(NOW_MS + idempotency.CLOCK_SKEW_MS - 1)
    decision = window.begin(ahead, NOW_MS, False)
    assert isinstance(decision, idempotency.Reject)
    assert decision.verdict is verdicts.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "invalid",
    ["", "nonsense", str(uuid.UUID(int=4 << 76)), key(NOW_MS + 60_000)],
)
def test_invalid_or_future_key_is_rejected(invalid: str) -> None:
    window = idempotency.Window(0)
    decision = window.begin(ids.IdempotencyKey(invalid), NOW_MS, False)
    assert decision == idempotency.Reject(
        verdicts.Reason.BAD_REQUEST, verdicts.Verdict.NOT_RUN
    )


def test_full_window_forgets_but_never_runs_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idempotency, "KEYS_KEPT", 3)
    window = idempotency.Window(0)
    keys = [key(NOW_MS + number) for number in range(6)]
    for request_key in keys:
        _run_request(window, request_key)
    for request_key in keys:
        assert window.begin(request_key, NOW_MS, False) != idempotency.Run()


def test_handed_over_window_contains_the_results() -> None:
    window = idempotency.Window(0)
    request_key = key(NOW_MS)
    _run_request(window, request_key)
    received = idempotency.restore(window.snapshot())
    assert received.begin(request_key, NOW_MS, False) == idempotency.Replay(
        _result()
    )
    assert received.begin(key(NOW_MS, 2), NOW_MS, False) == idempotency.Run()


def test_request_that_was_not_run_may_run_again() -> None:
    window = idempotency.Window(0)
    request_key = key(NOW_MS)
    window.begin(request_key, NOW_MS, False)
    window.finish(request_key, None)
    assert window.begin(request_key, NOW_MS, False) == idempotency.Run()
