"""A request and its answer as they pass between the parts of a process.

Bodies are iterators of chunks, so that no part holds a large body in memory.
"""

import collections.abc
import dataclasses
import typing

from bronzepaddle import ids, problems, verdicts

Headers: typing.TypeAlias = tuple[tuple[str, str], ...]

CHUNK_BYTES: typing.Final = 64 * 1024
"""Size of the pieces that bodies travel in."""

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
"""Header names that concern one connection only (RFC 9110, 7.6.1)."""


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller, without its body.

    ``deadline`` is a moment on this process's clock in seconds; ``key`` is
    empty for a service that is not divided by key.  ``first_attempt`` is
    the caller's word that it sent this idempotency key to nobody before.
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
    """An answer with the verdict of the hop that gives it.

    ``body`` raises ``IncompleteBodyError`` when it can't be delivered whole.
    """

    status: int
    headers: Headers
    body: collections.abc.Iterator[bytes]
    verdict: verdicts.Verdict
    reason: verdicts.Reason
    server: ids.MemberId
    retry_after_s: float | None = None
    detail: str = ""


class IncompleteBodyError(Exception):
    """A body ended before all of it was there."""


def without_hop_by_hop(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> Headers:
    """Return the headers that may travel beyond one connection."""
    pairs = tuple(headers)
    named = {
        word.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def refusal(
    reason: verdicts.Reason,
    server: ids.MemberId,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
    retry_after_s: float | None = None,
    detail: str = "",
) -> Response:
    """Return the answer that says why a request was not served."""
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
