"""Messages of the stream that carries requests from one process to another.

One stream stands open from each process to each other that it sends requests
to; the exchanges on it are numbered by the side that opened it.
"""

import typing

import msgspec
from bronzepaddle import ids

from bronzepaddle_peers import statuses

PIECE_BYTES: typing.Final = 16 * 1024
"""Bodies of answers travel in pieces, so that small answers get between."""


class ForwardedRequest(
    msgspec.Struct, frozen=True, tag="ask", array_like=True
):
    """One request, whole.

    ``time_left_s`` stands in place of a deadline, as clocks differ; ``run``
    names the run of the backend server that is meant.  ``key`` is -1 for a
    service that is not divided by key.  ``late`` tells that the target time
    has passed: the caller was turned away before and came back.
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


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """The answer to a request is no longer wanted."""

    number: int


class Ping(msgspec.Struct, frozen=True, tag="ping", array_like=True):
    """Asks whether the stream still works; answered by another ping."""

    number: int


class AskStatus(msgspec.Struct, frozen=True, tag="status?", array_like=True):
    """Asks a peer whose heartbeats do not come how it is."""


class Told(msgspec.Struct, frozen=True, tag="status", array_like=True):
    """The answer to ``AskStatus``."""

    status: statuses.Status


class Head(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """An answer with the first piece of its body; more pieces may follow.

    ``outstanding`` and ``service_s`` are the answering process's load, see
    ``statuses.Status``.
    """

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    verdict: str
    reason: str
    retry_after_s: float | None
    detail: str
    outstanding: int
    service_s: float
    piece: bytes
    more: bool


class Piece(msgspec.Struct, frozen=True, tag="piece", array_like=True):
    """A further piece of an answer's body."""

    number: int
    piece: bytes
    more: bool


Upward: typing.TypeAlias = ForwardedRequest | Cancel | Ping | AskStatus
Downward: typing.TypeAlias = Head | Piece | Ping | Told
