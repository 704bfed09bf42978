"""Responses of a process to operators.

The process encodes these structs as JSON and the command line decodes them,
so both use the same fields.
"""

import msgspec

from bronzepaddle import ids


class MemberStatus(msgspec.Struct, frozen=True):
    """A member as seen by the responding process; times are in seconds.

    ``weight`` is the number of requests that its backend server runs
    concurrently, ``slots`` the number of hash slots that it owns.
    """

    zone: ids.ZoneName
    state: str
    service: ids.ServiceName
    weight: int
    slots: int
    heard_ago_s: float


class Status(msgspec.Struct, frozen=True):
    """The status of one process, as shown by ``bronzepaddle status``.

    ``lease_left_s`` is the time for which it may still act as an owner.
    ``listens_at`` is the address at which it listens for its peers.
    """

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


class RefusedConfig(msgspec.Struct, frozen=True):
    """A configuration version of which nothing has taken effect, and why.

    ``version`` is None if it can't be read.
    """

    version: ids.BundleVersion | None
    place: str
    reason: str


class Readiness(msgspec.Struct, frozen=True):
    """Whether a process accepts callers' requests, and its configuration.

    ``config_version`` is the version in effect, 0 if there is none.
    ``refused`` is a newer version that the process could not take.
    """

    ready: bool
    config_version: ids.BundleVersion
    refused: RefusedConfig | None = None


class KeyExplanation(msgspec.Struct, frozen=True):
    """Where a request for a key would be routed now, and why.

    ``slot`` is -1 if the process knows no keyed service of this name.
    """

    service: ids.ServiceName
    key: str
    slot: int
    owner: ids.MemberId | None
    token: int | None
    cell_version: ids.ObjectVersion
    detail: str


class RouteQuestion(msgspec.Struct, frozen=True):
    """A request whose way is asked for; ``key`` is negative if it has none."""

    method: str
    host: str
    target: str
    key: int
    body_bytes: int


class RouteCandidate(msgspec.Struct, frozen=True):
    """A server that a request might be sent to, as one process knows it.

    ``load`` counts the requests that run or wait there, ``backlog_s`` is the
    time until a request would have started by its last report, ``service_s``
    the mean time of a request of usual cost, 0 if unknown.  ``latency_s`` is
    the figure by which servers are compared.
    """

    member: ids.MemberId
    zone: ids.ZoneName
    slots: int
    load: int
    backlog_s: float
    service_s: float
    cold: bool
    heard_ago_s: float
    latency_s: float


class RouteExplanation(msgspec.Struct, frozen=True):
    """Where a request would be sent now, and why.

    ``route`` and ``service`` are empty if there are none, ``relative_cost`` is
    the expected cost as a multiple of the usual one.  The candidates are in
    the order in which they are preferred.
    """

    reason: str
    route: str = ""
    service: ids.ServiceName = ids.ServiceName("")
    relative_cost: float = 1.0
    candidates: tuple[RouteCandidate, ...] = ()
