"""The route table: which service a request goes to, and how it is treated.

``find_route`` picks the route of a request by host and path;
``TrafficSplitter`` picks a service where a route is split between several.  A
table comes from the configuration in force, whatever form that has.
"""

import dataclasses
import enum
import functools
import typing

from bronzepaddle import ids


class RouteKind(enum.Enum):
    """What may be repeated on a route.

    ``DOWNLOAD`` is idempotent and has large answers.
    """

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not-idempotent"
    DOWNLOAD = "download"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One service of a route, and its weight among the others."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """How requests below one path prefix of a host are treated.

    ``rank`` 0 is the most urgent; ``max_attempts`` bounds the servers that
    one request is sent to; ``timeout_s`` is the longest time that a caller
    is kept waiting, ``target_s`` the time that an answer should take.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    rank: int
    timeout_s: float
    target_s: float
    max_attempts: int
    shares: tuple[WeightedService, ...]

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is not RouteKind.NOT_IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class ServiceRules:
    """What holds for every backend server of a service.

    ``max_connections`` are those that a server accepts from all callers;
    ``warm_s`` is how long keys are slow that came without a handover.
    """

    name: ids.ServiceName
    keyed: bool
    max_connections: int
    health_path: str
    warm_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a caller may send (bytes), and how long it may take (seconds)."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_s: float = 5.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Table:
    """One version of all routes and services."""

    version: ids.BundleVersion
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, ServiceRules]
    limits: Limits

    @functools.cached_property
    def by_host(self) -> dict[str, dict[str, Route]]:
        """Return the routes by host, then by prefix."""
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host.lower(), {})[route.prefix] = route
        return found

    @functools.cached_property
    def ranks(self) -> tuple[int, ...]:
        """Return the ranks of work in use, most urgent first."""
        return tuple(sorted({route.rank for route in self.routes}))


def find_route(table: Table, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of a path, or None."""
    prefixes = table.by_host.get(host.partition(":")[0].lower())
    if prefixes is None:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None


class TrafficSplitter:
    """Deals the requests of split routes out by weight.

    Smooth weighted round robin: after any number of requests each service
    has had its share of them, to within one.
    """

    def __init__(self) -> None:
        self.credit: dict[tuple[str, ids.ServiceName], float] = {}
        self.version = ids.BundleVersion(0)

    def pick(self, table: Table, route: Route) -> ids.ServiceName | None:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        if table.version != self.version:
            self.version = table.version
            self.credit.clear()
        total = sum(share.weight for share in route.shares)
        if total <= 0:
            return None
        for share in route.shares:
            place = (route.name, share.service)
            earned = self.credit.get(place, 0.0) + share.weight
            self.credit[place] = earned
        best = max(
            route.shares,
            key=lambda share: self.credit[route.name, share.service],
        )
        self.credit[route.name, best.service] -= total
        return best.service


KEY_COUNT: typing.Final = 65_536
"""Numeric keys of a service that is divided by key, from 0."""


class InvalidConfigError(ValueError):
    """A configuration document can't be read; says where it is wrong."""
