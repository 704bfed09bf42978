"""Decides whether a request is begun while memory for bodies is short.

It is built for *long responses that many callers read slowly or not at all*.
A request whose response finds no room is lost although it has run, and waits
for room meanwhile with a thread and a slot of its server.  The usual size of
the responses of its route tells that before it is sent, so that it can be
refused instead, and the threads and slots serve other routes.
"""

import typing

from bronzepaddle import averages, held_body, http_messages, verdicts
from bronzepaddle.load import body_budget

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest response in the moving average of sizes."""


class ResponseRoom:
    """The room for responses in a budget; used by one thread at a time."""

    def __init__(self, budget: body_budget.BodyBudget) -> None:
        self.budget = budget
        self.mean_sizes: dict[str, float] = {}

    def record_response(
        self, route: str, response: http_messages.Response
    ) -> None:
        """Record the size of the response of a server."""
        if response.reason is not verdicts.Reason.SERVED:
            return
        if isinstance(response.body, held_body.Pieces):
            self.record(route, response.body.size)

    def record(self, route: str, size: int) -> None:
        """Record the size of a response in bytes."""
        self.mean_sizes[route] = averages.update_ewma(
            self.mean_sizes.get(route), size, MEAN_WEIGHT
        )

    def forget_all_but(self, routes: typing.Container[str]) -> None:
        """Forget the sizes of other routes."""
        for route in [name for name in self.mean_sizes if name not in routes]:
            del self.mean_sizes[route]

    def has_room(self, route: str) -> bool:
        """Return whether there is room for a response of a route.

        If there is none, memory is short.
        """
        size = round(self.mean_sizes.get(route, 0.0))
        if size <= body_budget.SMALL_BYTES or self.budget.has_room(
            size, size, body_budget.RESPONSE_SHARE
        ):
            return True
        self.budget.on_shortage()
        return False
