"""The configuration bundle: services, routes and priorities.

``bundle_ini`` reads a bundle from INI text and checks it; ``slot_routing``
uses it to find the service and the key of a request.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids


class KeySource(enum.Enum):
    """The part of a request that holds the key."""

    NONE = "none"
    PATH = "path"
    HEADER = "header"
    QUERY = "query"


@dataclasses.dataclass(frozen=True)
class KeyRule:
    """Where the key stands: ``where`` is a segment number or a name.

    A path segment is counted from 0 behind the prefix of the service.
    """

    source: KeySource
    where: str = ""


@dataclasses.dataclass(frozen=True)
class Priority:
    """A rank of work.

    ``rank`` 0 is the most urgent.  ``share`` is the part of the slots that
    the priority is guaranteed while it has work, ``ceiling`` the part that
    it may hold at one time.  Times are in seconds.
    """

    name: ids.PriorityName
    rank: int
    share: float
    ceiling: float
    queue: int
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Service:
    """One service; ``slots`` is 0 where it is not divided by key."""

    name: ids.ServiceName
    host: str
    prefix: str
    former_prefixes: tuple[str, ...]
    key: KeyRule
    slots: int
    priority: ids.PriorityName
    idempotent_methods: frozenset[str]
    max_body_bytes: int

    @property
    def keyed(self) -> bool:
        """Tell whether the service is divided by key."""
        return self.slots > 0


@dataclasses.dataclass(frozen=True)
class Bundle:
    """A version of the whole configuration."""

    version: ids.BundleVersion
    priorities: dict[ids.PriorityName, Priority]
    services: dict[ids.ServiceName, Service]

    def most_urgent_first(self) -> list[Priority]:
        """Return the priorities in the order of their rank."""
        return sorted(self.priorities.values(), key=lambda one: one.rank)


IDEMPOTENT_METHODS: typing.Final = frozenset(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}
)
"""Methods that may be repeated unless the bundle says otherwise (RFC 9110)."""
