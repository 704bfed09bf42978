"""Converts idempotency windows to messages between processes and back."""

import typing

from bronzepaddle import idempotency, ids, verdicts
from bronzepaddle_peers import messages

UNKNOWN_OUTCOME: typing.Final = idempotency.Result(
    0, (), None, verdicts.Verdict.MAY_HAVE_RUN
)
"""The stored result of a request that may or may not have run."""


def to_message(
    service: ids.ServiceName, slot: ids.SlotId, window: idempotency.Window
) -> messages.SlotWindow:
    """Return the message that transfers a window."""
    snapshot = window.snapshot()
    return messages.SlotWindow(
        service,
        slot,
        snapshot.horizon_ms,
        tuple(
            messages.StoredResult(
                key,
                result.status,
                result.headers,
                result.body,
                result.verdict.value,
            )
            for key, result in snapshot.results
        ),
    )


def from_message(message: messages.SlotWindow) -> idempotency.Window:
    """Return the window that a message transfers."""
    results = tuple(
        (
            kept_result.key,
            idempotency.Result(
                kept_result.status,
                kept_result.headers,
                kept_result.body,
                verdicts.Verdict(kept_result.verdict),
            ),
        )
        for kept_result in message.results
    )
    return idempotency.restore(
        idempotency.Snapshot(message.horizon_ms, results)
    )
