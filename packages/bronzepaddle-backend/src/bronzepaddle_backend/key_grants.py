"""Orders that grant key ranges to a backend server and take them back.

The form of the orders differs between deployments; an adapter implements
``KeyGrantCommands``.
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


class CommandResult(typing.NamedTuple):
    """What became of an order: whether it was done, and what came back."""

    done: bool
    handover: str
    detail: str


class KeyGrantCommands(typing.Protocol):
    """The orders to one run of a backend server."""

    async def grant(self, given: KeyGrant) -> CommandResult:
        """Grant keys, or renew their grant.

        Raises ``connections.CommandLostError`` if the order may be carried
        out later, ``connections.CommandNotSentError`` if it never will be.
        """
        ...

    async def release(
        self, first: int, last: int, token: ids.Token
    ) -> CommandResult:
        """Take keys back; returns when the work on them has ended.

        Raises as ``grant`` does.
        """
        ...
