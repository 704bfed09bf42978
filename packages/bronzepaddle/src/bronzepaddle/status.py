"""What a process tells operators: the answers of its control port.

The process encodes them as JSON, the command line decodes them, so that both
speak of the same fields.
"""

import msgspec

from bronzepaddle import ids


class MemberStatus(msgspec.Struct, frozen=True):
    """One member as a process sees it; times in seconds."""

    zone: ids.ZoneName
    state: str
    service: ids.ServiceName
    weight: int
    slots: int
    heard_ago_s: float


class Status(msgspec.Struct, frozen=True):
    """What ``bronzepaddle status`` shows of one process."""

    name: ids.MemberId
    cell: ids.CellId
    cell_version: ids.ObjectVersion
    bundle_version: ids.BundleVersion
    joined: bool
    leaving: bool
    lease_left_s: float
    coordinator: ids.MemberId
    term: int
    store_calls_last_minute: int
    in_flight: int
    listens_at: str
    members: dict[ids.MemberId, MemberStatus]


class KeyExplanation(msgspec.Struct, frozen=True):
    """Where a key would go now, and why."""

    service: ids.ServiceName
    key: str
    slot: int
    owner: ids.MemberId | None
    token: int | None
    cell_version: ids.ObjectVersion
    detail: str
