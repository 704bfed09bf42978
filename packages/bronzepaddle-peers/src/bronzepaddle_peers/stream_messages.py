"""Messages on the streams that carry requests from one process to another.

Each process keeps one stream open to every process that it forwards requests
to.  Requests are multiplexed on it by a number that the sender assigns.
"""

import typing

import msgspec
from bronzepaddle import http_messages, ids

from bronzepaddle_peers import statuses

PIECE_BYTES: typing.Final = 16 * 1024
"""Size of the pieces of a response body.

Small responses are sent between the pieces of a large one.
"""


FinalStatus: typing.TypeAlias = typing.Annotated[
    int,
    msgspec.Meta(
        ge=http_messages.MIN_FINAL_STATUS, le=http_messages.MAX_STATUS
    ),
]
"""The status of a final response; a message with another one is invalid."""

PART_BYTES: typing.Final = 64 * 1024
"""Size of the parts of a large request body.

Other requests are sent between them.
"""


class RequestPart(msgspec.Struct, frozen=True, tag="part", array_like=True):
    """A part of the body of a request that follows, which begins at ``start``.

    ``size`` is that of the whole body.
    """

    number: int
    start: int
    size: int
    piece: bytes


class ForwardedRequest(
    msgspec.Struct, frozen=True, tag="ask", array_like=True
):
    """A complete request.

    ``time_left_s`` is sent instead of a deadline because clocks differ;
    ``run`` is the run of the backend server for which the request is meant.
    ``key`` is -1 for a service that is not sharded by key.  ``rank`` is the
    priority of the route, 0 the most urgent, and ``target_s`` its target
    latency.  ``late`` is set if the request was rejected before and its caller
    has retried after the target latency.  ``relative_cost`` is the expected
    cost of the request as a multiple of the usual one of its service.

    ``parts_size`` is 0, or the size of a body that was sent before in parts;
    ``body`` is then empty.
    """

    number: int
    request_id: ids.RequestId
    caller_service: ids.ServiceName
    service: ids.ServiceName
    route: str
    run: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    key: int
    rank: int
    idempotent: bool
    time_left_s: float
    target_s: float
    late: bool
    body: bytes
    relative_cost: float = 1.0
    parts_size: int = 0


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Cancels a request whose response is no longer needed."""

    number: int


class Ping(msgspec.Struct, frozen=True, tag="ping", array_like=True):
    """Checks that the stream still works; the peer echoes it."""

    number: int


class StatusRequest(
    msgspec.Struct, frozen=True, tag="status?", array_like=True
):
    """Asks for the status of a peer whose broadcasts do not arrive."""


class StatusReply(msgspec.Struct, frozen=True, tag="status", array_like=True):
    """The reply to ``StatusRequest``."""

    status: statuses.Status


class ResponseHead(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """The head of a response with the first piece of its body.

    ``more`` is set if further pieces follow.  ``outstanding``, ``service_s``,
    ``backlog_s`` and ``starts_per_s`` are the load of the responding process,
    as in ``statuses.Status``.  ``run_s`` is the time that the backend server
    took for the request, 0 if it did not serve it.
    """

    number: int
    status: FinalStatus
    headers: tuple[tuple[str, str], ...]
    verdict: str
    reason: str
    retry_after_s: float | None
    detail: str
    outstanding: int
    service_s: float
    piece: bytes
    more: bool
    backlog_s: float = 0.0
    run_s: float = 0.0
    starts_per_s: float = 0.0


class BodyPiece(msgspec.Struct, frozen=True, tag="piece", array_like=True):
    """A further piece of a response body.

    ``more`` is set if others follow.
    """

    number: int
    piece: bytes
    more: bool


ClientMessage: typing.TypeAlias = (
    RequestPart | ForwardedRequest | Cancel | Ping | StatusRequest
)
ServerMessage: typing.TypeAlias = ResponseHead | BodyPiece | Ping | StatusReply
