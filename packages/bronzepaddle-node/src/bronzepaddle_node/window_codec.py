"""Converts idempotency windows to messages between processes and back.

A window holds the recorded results of a hash slot's earlier requests.
"""

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
            stored_result.key,
            idempotency.Result(
                stored_result.status,
                stored_result.headers,
                stored_result.body,
                verdicts.Verdict(stored_result.verdict),
            ),
        )
        for stored_result in message.results
    )
    return idempotency.restore(
        idempotency.Snapshot(message.horizon_ms, results)
    )
