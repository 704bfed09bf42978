"""The configuration bundle: services, routes and priorities.

``bundle_ini`` parses and validates a bundle.  ``slot_routing`` uses it to
determine the service and the key of a request.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids


class KeySource(enum.Enum):
    """The part of a request that contains the key."""

    NONE = "none"
    PATH = "path"
    HEADER = "header"
    QUERY = "query"


@dataclasses.dataclass(frozen=True)
class KeyRule:
    """How to extract the key from a request.

    ``parameter`` is the name of a header or query parameter, or the index of a
    path segment, counted from 0 after the path prefix of the service.
    """

    source: KeySource
    parameter: str = ""


@dataclasses.dataclass(frozen=True)
class Priority:
    """A priority class of requests.

    ``rank`` 0 is the most urgent.  ``share`` is the fraction of the slots
    that is guaranteed to the priority while it has requests, ``ceiling`` the
    maximum fraction that it may hold at a time.  ``max_waiting`` is the
    maximum number of waiting requests.  ``deadline_s`` is the time limit of a
    request in seconds; a caller may ask for a shorter one.
    """

    name: ids.PriorityName
    rank: int
    share: float
    ceiling: float
    max_waiting: int
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and the requests that are routed to it.

    It serves the requests for ``host`` (any host if empty) whose path is below
    ``prefix`` or one of its ``former_prefixes``.  ``slots`` is its number of
    hash slots, 0 if it is not keyed.
    """

    name: ids.ServiceName
    host: str
    prefix: str
    former_prefixes: tuple[str, ...]
    key_rule: KeyRule
    slots: int
    priority: ids.PriorityName
    idempotent_methods: frozenset[str]
    max_body_bytes: int

    @property
    def keyed(self) -> bool:
        """Return whether each key of the service has an exclusive owner."""
        return self.slots > 0


@dataclasses.dataclass(frozen=True)
class Bundle:
    """One version of the configuration."""

    version: ids.BundleVersion
    priorities: dict[ids.PriorityName, Priority]
    services: dict[ids.ServiceName, Service]

    def most_urgent_first(self) -> list[Priority]:
        """Return the priorities ordered by rank."""
        return sorted(
            self.priorities.values(), key=lambda priority: priority.rank
        )


IDEMPOTENT_METHODS: typing.Final = frozenset(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}
)
"""Idempotent methods (RFC 9110), unless the bundle specifies others."""
