"""Orders that grant key ranges to a backend server and take them back.

The form of the orders differs between deployments; an adapter implements
``Orders``.
"""

import dataclasses
import typing

from bronzepaddle import ids


@dataclasses.dataclass(frozen=True)
class KeyGrant:
    """Keys from ``first`` to ``last`` for ``hold_s`` from its arrival."""

    first: int
    last: int
    token: ids.Token
    hold_s: float
    handover: str


class Outcome(typing.NamedTuple):
    """What became of an order: whether it was done, and what came back."""

    done: bool
    handover: str
    detail: str


class Orders(typing.Protocol):
    """The orders to one run of a backend server."""

    async def grant(self, given: KeyGrant) -> Outcome:
        """Grant keys, or renew their grant.

        Raises ``connections.OrderLostError`` if the order may be carried
        out later, ``connections.OrderNotSentError`` if it never will be.
        """
        ...

    async def release(
        self, first: int, last: int, token: ids.Token
    ) -> Outcome:
        """Take keys back; returns when the work on them has ended.

        Raises as ``grant`` does.
        """
        ...
