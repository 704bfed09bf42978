"""HTTP requests and responses inside a process.

Bodies are iterators of chunks, so that large bodies are never held in memory
as a whole.
"""

import collections.abc
import dataclasses
import math
import typing

from bronzepaddle import ids, problems, verdicts

Headers: typing.TypeAlias = tuple[tuple[str, str], ...]

CHUNK_BYTES: typing.Final = 64 * 1024
"""Size of the chunks in which bodies are transferred."""

MIN_FINAL_STATUS: typing.Final = 200
MAX_STATUS: typing.Final = 599
"""Statuses of final responses; lower ones are those of interim responses."""

HOP_BY_HOP: typing.Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Names of hop-by-hop headers (RFC 9110, section 7.6.1)."""


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller, without its body.

    ``key`` is empty if the service is not keyed.  ``deadline`` is in seconds
    on the clock of this process.  ``first_attempt`` is the caller's
    assertion that it has not sent a request with this idempotency key before.
    """

    request_id: ids.RequestId
    caller: str
    service: ids.ServiceName
    priority: ids.PriorityName
    method: str
    target: str
    headers: Headers
    key: str
    slot: ids.SlotId
    deadline: float
    idempotent: bool
    idempotency_key: ids.IdempotencyKey | None
    first_attempt: bool
    body_length: int | None


@dataclasses.dataclass(frozen=True)
class Response:
    """A response with the verdict of the hop that returns it.

    Raises ``ValueError`` if its status is not that of a final response.

    ``server`` is the member whose process produced the response.  Iterating
    over ``body`` raises ``IncompleteBodyError`` if the body is incomplete.
    """

    status: int
    headers: Headers
    body: collections.abc.Iterator[bytes]
    verdict: verdicts.Verdict
    reason: verdicts.Reason
    server: ids.MemberId
    retry_after_s: float | None = None
    detail: str = ""

    def __post_init__(self) -> None:
        if not MIN_FINAL_STATUS <= self.status <= MAX_STATUS:
            raise ValueError(f"status {self.status} is not a final one")


class IncompleteBodyError(Exception):
    """A body ended before it was complete."""


def without_hop_by_hop(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> Headers:
    """Return the end-to-end headers, which may be forwarded."""
    pairs = tuple(headers)
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for option in value.split(",")
    }
    dropped = HOP_BY_HOP | connection_options
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def parse_retry_after(value: str | None) -> float | None:
    """Parse a ``Retry-After`` header; None if it isn't a time in seconds."""
    try:
        seconds = float(value or "")
    except ValueError:
        return None
    return seconds if 0 <= seconds < math.inf else None


def rejection(
    reason: verdicts.Reason,
    server: ids.MemberId,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    retry_after_s: float | None = None,
    detail: str = "",
) -> Response:
    """Return an error response that gives the reason."""
    return Response(
        status=problems.status_of(reason, verdict),
        headers=(),
        body=iter(()),
        verdict=verdict,
        reason=reason,
        server=server,
        retry_after_s=retry_after_s,
        detail=detail,
    )
