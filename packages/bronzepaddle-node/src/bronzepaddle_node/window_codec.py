"""Idempotency windows as they travel between processes."""

import typing

from bronzepaddle import idempotency, ids, verdicts
from bronzepaddle_peers import messages

UNKNOWN_OUTCOME: typing.Final = idempotency.Result(
    0, (), None, verdicts.Verdict.MAY_HAVE_RUN
)
"""What is kept of a request that may or may not have run."""


def transfer(
    service: ids.ServiceName, slot: ids.SlotId, window: idempotency.Window
) -> messages.WindowTransfer:
    """Return a window as a message."""
    snapshot = window.snapshot()
    return messages.WindowTransfer(
        service,
        slot,
        snapshot.horizon_ms,
        tuple(
            messages.KeptResult(
                key,
                result.status,
                result.headers,
                result.body,
                result.verdict.value,
            )
            for key, result in snapshot.results
        ),
    )


def restored(message: messages.WindowTransfer) -> idempotency.Window:
    """Return the window in a message."""
    results = tuple(
        (
            one.key,
            idempotency.Result(
                one.status,
                one.headers,
                one.body,
                verdicts.Verdict(one.verdict),
            ),
        )
        for one in message.results
    )
    return idempotency.restored(
        idempotency.Snapshot(message.horizon_ms, results)
    )
