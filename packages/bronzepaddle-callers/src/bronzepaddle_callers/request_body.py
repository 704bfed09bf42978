"""Reads the bodies of callers' requests into memory of the budget."""

import time
import typing

from bronzepaddle import held_body, http_messages
from bronzepaddle.load import body_budget

from bronzepaddle_callers import chunked_body

DISCARD_S: typing.Final = 1.0
"""Time for which the rest of a refused body is read and discarded.

A connection that is closed while bytes arrive is reset, and its caller might
not see the response.
"""


class BodyTooLargeError(Exception):
    """The body of a request is larger than the limit."""


def read(
    stream: typing.Any,
    length: int | None,
    max_bytes: int,
    budget: body_budget.BodyBudget,
) -> bytes | memoryview:
    """Return a whole body; ``length`` is None if it is chunked.

    Small bodies are not part of the budget: there are no more of them than
    threads.

    Raises ``BodyTooLargeError``, ``held_body.NoRoomError``,
    ``http_messages.IncompleteBodyError``, or ``TimeoutError`` if the caller is
    too slow.
    """
    if length is None:
        return _read_chunked(stream, max_bytes, budget)
    if length > max_bytes:
        raise _too_large(max_bytes)
    if length <= body_budget.SMALL_BYTES:
        small: bytes = stream.read(length)
        if len(small) < length:
            raise _ended_early()
        return small
    body = held_body.HeldBody(budget, length, body_budget.REQUEST_SHARE)
    body.reserve(length)
    while body.size < length:
        piece = stream.read(http_messages.CHUNK_BYTES)
        if not piece:
            raise _ended_early()
        body.append(piece)
    return body.received()


def _read_chunked(
    stream: chunked_body.ChunkedBody,
    max_bytes: int,
    budget: body_budget.BodyBudget,
) -> bytes | memoryview:
    """Return a chunked body; its reservation grows with each piece."""
    piece: bytes = stream.read(body_budget.SMALL_BYTES)
    if len(piece) > max_bytes:
        raise _too_large(max_bytes)
    if len(piece) < body_budget.SMALL_BYTES:
        return piece
    body = held_body.HeldBody(budget, max_bytes, body_budget.REQUEST_SHARE)
    while piece:
        if body.size + len(piece) > max_bytes:
            raise _too_large(max_bytes)
        body.append(piece)
        piece = stream.read(http_messages.CHUNK_BYTES)
    return body.received()


def discard(stream: typing.Any, caller: typing.Any) -> None:
    """Read and discard the rest of a refused body, for a limited time.

    ``caller`` is the socket of the connection.
    """
    ends_at = time.monotonic() + DISCARD_S
    caller.limit_waits(DISCARD_S)
    try:
        while time.monotonic() < ends_at and stream.read(
            http_messages.CHUNK_BYTES
        ):
            pass
    except (OSError, http_messages.IncompleteBodyError):
        # The caller is too slow, or the body is malformed.
        return


def _ended_early() -> http_messages.IncompleteBodyError:
    return http_messages.IncompleteBodyError("the request body ended early")


def _too_large(max_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(f"the body may have at most {max_bytes} bytes")
