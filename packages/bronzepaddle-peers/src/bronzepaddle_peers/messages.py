"""Messages between the processes of a cell, encoded as MessagePack.

Heartbeats, requests and replies of the calls in ``rpc``, and the messages
of forwarded requests.

The members of a cell are its processes.  The cell object (see
``bronzepaddle.cells``) records them and the owners of the hash slots, here
called slots.  A bundle is one signed version of the configuration.
"""

import typing

import msgspec
from bronzepaddle import ids


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Sent by a member to each peer of its cell once per interval.

    ``sequence`` increases with each interval.  ``cell_version``,
    ``membership`` and ``bundle_version`` are the versions of the cell object,
    of the cell's set of members and of the bundle that the sender has.
    ``echo`` is the sequence number of the last heartbeat received from the
    receiver.  It acknowledges that heartbeat, which extends the receiver's
    lease; 0 acknowledges nothing.  ``leased`` is set if the sender itself
    holds a lease: a member whose heartbeats arrive but that receives none has
    no lease, and its keys must be taken over.
    """

    cell: ids.CellId
    sender: ids.MemberId
    incarnation: ids.Incarnation
    sequence: int
    cell_version: ids.ObjectVersion
    membership: ids.MembershipVersion
    bundle_version: ids.BundleVersion
    echo: int
    leased: bool


class VersionRequest(msgspec.Struct, frozen=True):
    """Asks for a document if it is newer than ``newer_than``."""

    newer_than: int


class CellReply(msgspec.Struct, frozen=True):
    """A cell object as stored; empty if not newer."""

    version: ids.ObjectVersion
    body: bytes


class BundleReply(msgspec.Struct, frozen=True):
    """The document of a signed bundle; empty if not newer."""

    version: ids.BundleVersion
    document: bytes


class SilenceRequest(msgspec.Struct, frozen=True):
    """Asks how long ago ``member`` was last heard from."""

    member: ids.MemberId


class SilenceReply(msgspec.Struct, frozen=True):
    """How long ago the replying member last heard from another member.

    ``member`` is the replying member.  ``cell_version`` and ``membership``
    are the versions of the cell object and of the cell's set of members that
    the reply is based on.  The other fields are times in seconds: since the
    last acknowledgement that may have been sent to the other member
    (``vouched_ago_s``), since the last heartbeat received from it
    (``heard_ago_s``) and since the last of these that was sent while it held
    a lease (``leased_ago_s``).
    """

    member: ids.MemberId
    cell_version: ids.ObjectVersion
    membership: ids.MembershipVersion
    vouched_ago_s: float
    heard_ago_s: float
    leased_ago_s: float


class SlotMove(msgspec.Struct, frozen=True):
    """A hash slot and its next owner, ``heir``."""

    service: ids.ServiceName
    slot: ids.SlotId
    heir: ids.MemberId


class HandOverRequest(msgspec.Struct, frozen=True):
    """Asks an owner to hand slots over to other members."""

    moves: tuple[SlotMove, ...]


class HandOverReply(msgspec.Struct, frozen=True):
    """The reply to ``HandOverRequest``: whether the owner will do so."""

    accepted: bool


class StoredResult(msgspec.Struct, frozen=True):
    """The result stored for an idempotency key.

    ``body`` is None if it was not stored.
    """

    key: ids.IdempotencyKey
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    verdict: str


class SlotWindow(msgspec.Struct, frozen=True):
    """The idempotency window of one slot, sent to its next owner.

    ``results`` are the results stored for the idempotency keys of the slot.
    They are complete for all keys created at ``horizon_ms`` or later.
    """

    service: ids.ServiceName
    slot: ids.SlotId
    horizon_ms: int
    results: tuple[StoredResult, ...]


class TransferWindowsRequest(msgspec.Struct, frozen=True):
    """Sends the windows of slots that the receiver is about to own.

    They are valid only for grants made by the move with the id ``move``.
    """

    move: ids.MoveId
    windows: tuple[SlotWindow, ...]


class SuspectNotice(msgspec.Struct, frozen=True):
    """The number of backend server crashes while a request was in flight.

    ``fingerprint`` identifies the request by its content.  0 crashes mean
    that it is no longer suspected of causing them.
    """

    fingerprint: str
    crashes: int


class Done(msgspec.Struct, frozen=True):
    """An empty reply that acknowledges a call."""


class RequestHead(msgspec.Struct, frozen=True, tag="head"):
    """The head of a forwarded request with the first chunk of its body.

    ``time_left_s`` is sent instead of a deadline because clocks differ.
    ``more`` is set if further chunks follow.
    """

    request_id: ids.RequestId
    caller: str
    service: ids.ServiceName
    priority: ids.PriorityName
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    key: str
    slot: ids.SlotId
    time_left_s: float
    idempotent: bool
    idempotency_key: ids.IdempotencyKey | None
    first_attempt: bool
    body_length: int | None
    chunk: bytes
    more: bool


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """A further chunk of a request or response body.

    ``more`` is set if others follow.
    """

    data: bytes
    more: bool


class ResponseHead(msgspec.Struct, frozen=True, tag="answer"):
    """The head of a response with the first chunk of its body.

    ``cell_version`` is the version of the cell object that the responding
    member has.  ``more`` is set if further chunks follow.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    verdict: str
    reason: str
    server: ids.MemberId
    retry_after_s: float | None
    detail: str
    cell_version: ids.ObjectVersion
    chunk: bytes
    more: bool


ClientMessage: typing.TypeAlias = RequestHead | Chunk
ServerMessage: typing.TypeAlias = ResponseHead | Chunk
