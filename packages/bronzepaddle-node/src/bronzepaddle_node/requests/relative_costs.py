"""What the requests of callers cost in relation to each other.

A process learns it from the replies to the requests that it forwards.  The
run time at a server is compared with the mean that the server reports, so that
differences between servers do not count.  For the event loop only.
"""

import dataclasses

from bronzepaddle import ids
from bronzepaddle.load import expected_cost


@dataclasses.dataclass(frozen=True)
class Request:
    """What may tell the cost of a request to a service.

    ``key`` is negative for a service without keys.
    """

    service: ids.ServiceName
    route: str
    method: str
    target: str
    body_bytes: int
    key: int
    caller: ids.ServiceName

    def features(self) -> expected_cost.Features:
        """Return the features; the route comes first."""
        return (
            self.route,
            *expected_cost.request_features(
                self.method,
                self.target,
                self.body_bytes,
                self.key,
                self.caller,
            ),
        )


@dataclasses.dataclass(frozen=True)
class Cost:
    """The expected cost of one request.

    ``relative`` is the multiple of the usual cost of its service.  The request
    has these ``features``, by which its actual cost is recorded.
    """

    service: ids.ServiceName
    features: expected_cost.Features
    relative: float


class RelativeCosts:
    """The relative costs of requests by service.

    ``max_values`` is the number of values of features that are remembered, 0
    to take all requests of a service for equally costly.
    """

    def __init__(
        self, max_values: int = expected_cost.DEFAULT_MAX_VALUES
    ) -> None:
        self.model = expected_cost.CostModel(max_values)

    def expected(self, request: Request, now: float) -> Cost:
        """Return the expected cost of a request."""
        features = request.features()
        return Cost(
            request.service,
            features,
            self.model.factor(request.service, features, now),
        )

    def record(
        self, cost: Cost, run_s: float, service_s: float, now: float
    ) -> None:
        """Learn from a reply.

        ``run_s`` is the time that the backend server took, 0 if it did not
        serve the request; ``service_s`` its mean, 0 if unknown.
        """
        if run_s > 0 and service_s > 0:
            self.model.record(
                cost.service, cost.features, run_s / service_s, now
            )
