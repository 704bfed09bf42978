"""Interface for granting key ranges to a backend server and revoking them.

The format of these commands differs between deployments; an adapter
implements ``KeyGrantCommands``.
"""

import dataclasses
import typing

from bronzepaddle import ids


@dataclasses.dataclass(frozen=True)
class KeyGrant:
    """A grant of the keys from ``first`` to ``last``, both included.

    It expires ``hold_s`` after its arrival at the server.  ``handover`` is
    what the previous server returned when it released the keys.
    """

    first: int
    last: int
    token: ids.Token
    hold_s: float
    handover: str


class CommandResult(typing.NamedTuple):
    """The result of a command: whether it was done, and what was returned."""

    done: bool
    handover: str
    detail: str


class KeyGrantCommands(typing.Protocol):
    """Grant and release commands to one run of a backend server."""

    async def grant(self, given: KeyGrant) -> CommandResult:
        """Grant keys or renew their grant.

        Raises ``connections.CommandLostError`` if the command may still be
        executed, ``connections.CommandNotSentError`` if it certainly won't be.
        """
        ...

    async def release(
        self, first: int, last: int, token: ids.Token
    ) -> CommandResult:
        """Revoke keys; returns once the server has finished work on them.

        Raises as ``grant`` does.
        """
        ...
