"""Messages between processes of the system, encoded as MessagePack."""

import typing

import msgspec
from bronzepaddle import ids


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What a member sends each peer of its cell once an interval.

    ``echo`` is the number of the last heartbeat that the sender got from
    the receiver, if the sender vouches for it; 0 vouches for nothing.
    ``leased`` tells whether the sender holds a lease itself: one that is
    heard but hears nobody has none, and its keys wait for a takeover.
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
    """Asks for an object if it is newer than what the asker has."""

    newer_than: int


class CellReply(msgspec.Struct, frozen=True):
    """A cell object as the store holds it; empty if it is not newer."""

    version: ids.ObjectVersion
    body: bytes


class BundleReply(msgspec.Struct, frozen=True):
    """A signed bundle's document; empty if it is not newer."""

    version: ids.BundleVersion
    document: bytes


class SilenceRequest(msgspec.Struct, frozen=True):
    """Asks what a member knows of another's silence."""

    member: ids.MemberId


class SilenceReply(msgspec.Struct, frozen=True):
    """What one member knows of another.

    ``vouched_ago_s`` is the age of the last vouch that may have been sent,
    ``heard_ago_s`` of the last heartbeat received, ``cell_version`` the
    version of the cell object that the answer stands on, and
    ``leased_ago_s`` of the last heartbeat that told of a lease.
    """

    member: ids.MemberId
    cell_version: ids.ObjectVersion
    membership: ids.MembershipVersion
    vouched_ago_s: float
    heard_ago_s: float
    leased_ago_s: float


class SlotMove(msgspec.Struct, frozen=True):
    """One slot and the member that is to own it."""

    service: ids.ServiceName
    slot: ids.SlotId
    heir: ids.MemberId


class HandOverRequest(msgspec.Struct, frozen=True):
    """Asks an owner to hand slots over."""

    moves: tuple[SlotMove, ...]


class HandOverReply(msgspec.Struct, frozen=True):
    """Tells whether the owner will."""

    accepted: bool


class KeptResult(msgspec.Struct, frozen=True):
    """The result of one idempotency key; ``body`` None if not kept."""

    key: ids.IdempotencyKey
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    verdict: str


class WindowTransfer(msgspec.Struct, frozen=True):
    """The idempotency window of one slot, for its next owner.

    The window is complete for every id made at ``horizon_ms`` or later.
    """

    service: ids.ServiceName
    slot: ids.SlotId
    horizon_ms: int
    results: tuple[KeptResult, ...]


class WindowRequest(msgspec.Struct, frozen=True):
    """Windows for slots that are about to be owned by the receiver.

    They hold only for grants that come from the very move named here.
    """

    move: ids.MoveId
    windows: tuple[WindowTransfer, ...]


class SuspectNotice(msgspec.Struct, frozen=True):
    """Crashes that a request was in flight at; 0 clears it."""

    fingerprint: str
    crashes: int


class Done(msgspec.Struct, frozen=True):
    """The call was carried out."""


class ForwardHead(msgspec.Struct, frozen=True, tag="head"):
    """A caller's request for the owner, with the first piece of its body.

    ``time_left_s`` stands in place of a deadline, as clocks differ.
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
    """A further piece of a body."""

    data: bytes
    more: bool


class AnswerHead(msgspec.Struct, frozen=True, tag="answer"):
    """The owner's answer with the first piece of its body."""

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


Upstream: typing.TypeAlias = ForwardHead | Chunk
Downstream: typing.TypeAlias = AnswerHead | Chunk
