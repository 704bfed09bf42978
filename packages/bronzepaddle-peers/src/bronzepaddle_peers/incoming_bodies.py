"""The request bodies that a peer sends in parts, before their requests."""

import typing

import msgspec
from bronzepaddle import held_body
from bronzepaddle.load import body_budget

from bronzepaddle_peers import stream_messages


class IncomingBodies:
    """The bodies on one stream that are not complete, by request number."""

    def __init__(self, budget: body_budget.BodyBudget) -> None:
        self.budget = budget
        self.bodies: dict[int, held_body.HeldBody] = {}

    def add(self, part: stream_messages.RequestPart) -> None:
        """Add a part; the first one reserves memory for the whole body.

        Parts of a body for which there was no room are ignored.  Raises
        ``held_body.NoRoomError`` at the first one.
        """
        if part.start == 0:
            body = held_body.HeldBody(
                self.budget, part.size, body_budget.REQUEST_SHARE
            )
            body.reserve(part.size)
            self.bodies[part.number] = body
        received = self.bodies.get(part.number)
        if received is None or received.size != part.start:
            return
        if received.size + len(part.piece) > received.max_bytes:
            # The peer has sent more than it announced.
            self.drop(part.number)
        else:
            received.append(part.piece)

    def complete(
        self, request: stream_messages.ForwardedRequest
    ) -> stream_messages.ForwardedRequest | None:
        """Return a request with its body; None if that isn't complete."""
        if not request.parts_size:
            return request
        body = self.bodies.pop(request.number, None)
        if body is None or body.size != request.parts_size:
            return None
        # The server is sent any buffer.
        whole = typing.cast(bytes, body.received())
        return msgspec.structs.replace(request, body=whole, parts_size=0)

    def drop(self, number: int) -> None:
        """Drop the body of a request that was given up."""
        self.bodies.pop(number, None)
