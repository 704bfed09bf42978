"""The route table: the service and the handling rules of a request.

``find_route`` matches a request to a route by host and longest path prefix.
``TrafficSplitter`` picks a service where a route splits its traffic between
several.  The table is independent of the format of the configuration document.
"""

import dataclasses
import enum
import functools
import typing

from bronzepaddle import ids


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated.

    ``DOWNLOAD`` requests are idempotent and have large responses.
    ``UPLOAD`` requests are not idempotent and have large bodies.
    """

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not-idempotent"
    DOWNLOAD = "download"
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service of a route with its share of the route's traffic."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """The handling of the requests below one path prefix of a host.

    A ``prefix`` that does not end with a slash matches no path.  ``rank`` 0 is
    the most urgent.  ``max_attempts`` bounds the number of servers that one
    request is sent to.  ``timeout_s`` bounds the time that a caller waits for
    a response, ``target_s`` is the time in which it should get one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    rank: int
    timeout_s: float
    target_s: float
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)


@dataclasses.dataclass(frozen=True)
class ServiceRules:
    """Rules for every backend server of a service.

    ``keyed`` services have exclusive owners of their keys.  A server accepts
    ``max_connections`` from all clients together.  Keys that a server took
    over without a handover are slow for ``warm_s``.  A server is cold for
    ``cold_s`` after its start and then takes ``cold_per_s`` requests per
    second; 0 if it takes as many as a warm one.
    """

    name: ids.ServiceName
    keyed: bool
    max_connections: int
    health_path: str
    warm_s: float = 0.0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on requests: sizes in bytes, times in seconds.

    ``header_timeout_s`` bounds the time to send the header section,
    ``idle_timeout_s`` the time that a connection is kept open without a
    request.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Table:
    """All routes and services of one configuration version."""

    version: ids.BundleVersion
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, ServiceRules]
    limits: Limits

    @functools.cached_property
    def routes_by_host(self) -> dict[str, dict[str, Route]]:
        """Return the routes by host, then by prefix."""
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = (
                route
            )
        return routes_by_host

    @functools.cached_property
    def ranks(self) -> tuple[int, ...]:
        """Return the ranks in use, the most urgent first."""
        return tuple(sorted({route.rank for route in self.routes}))


def find_route(table: Table, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None.

    The path is cut at each slash, from its end, and looked up.
    """
    prefixes = table.routes_by_host.get(host.partition(":")[0].lower())
    if prefixes is None:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None


class TrafficSplitter:
    """Splits the traffic of routes between services by weight.

    Uses smooth weighted round robin: after any number of requests, each
    service has had its share of them to within one request.  ``credit`` is by
    route and service; the service with the most credit is next.
    """

    def __init__(self) -> None:
        self.credit: dict[tuple[str, ids.ServiceName], float] = {}
        self.version = ids.BundleVersion(0)

    def pick(self, table: Table, route: Route) -> ids.ServiceName | None:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        if table.version != self.version:
            self.version = table.version
            self.credit.clear()
        total = sum(weighted.weight for weighted in route.weighted_services)
        if total <= 0:
            return None
        for weighted in route.weighted_services:
            key = (route.name, weighted.service)
            credit = self.credit.get(key, 0.0) + weighted.weight
            self.credit[key] = credit
        best = max(
            route.weighted_services,
            key=lambda weighted: self.credit[route.name, weighted.service],
        )
        self.credit[route.name, best.service] -= total
        return best.service


KEY_COUNT: typing.Final = 65_536
"""Size of the numeric key space of a keyed service; keys start at 0."""


@dataclasses.dataclass(frozen=True)
class ConfigProblem:
    """What is wrong with a configuration document, and in which place."""

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


class InvalidConfigError(ValueError):
    """A configuration document is invalid.

    ``version`` is that of the document, None if it can't be read.
    """

    def __init__(
        self, problem: ConfigProblem, version: ids.BundleVersion | None
    ) -> None:
        super().__init__(str(problem))
        self.problem = problem
        self.version = version
