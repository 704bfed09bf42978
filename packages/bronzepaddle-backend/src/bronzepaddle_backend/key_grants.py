"""Interface for granting key ranges to a backend server and revoking them.

Keys are numbers.  A grant permits the server to run requests for a range of
keys until the grant expires.  The fencing tokens of the grants of a service
only increase.

The format of these commands differs between deployments; an adapter
implements ``KeyGrantCommands``.
"""

import dataclasses
import typing

from bronzepaddle import ids

from bronzepaddle_backend import connections, reached_runs

MIN_SENT_HOLD_S: typing.Final = 0.05
"""Shortest remaining time of a grant that is still sent."""


@dataclasses.dataclass(frozen=True)
class KeyGrant:
    """A grant of the keys from ``first`` to ``last``, both included.

    It expires ``hold_s`` seconds after ``decided_at``, a time on the clock of
    this process.  ``handover`` is the text that the previous server returned
    when it released the keys, empty if there is none.
    """

    first: int
    last: int
    token: ids.Token
    hold_s: float
    decided_at: float
    handover: str

    def remaining_hold_s(self, now: float) -> float:
        """Return the time for which a command sent now may grant the keys.

        Raises ``connections.CommandNotSentError`` if that is too short.  The
        server counts this time from the arrival of the command.
        """
        remaining_s = self.hold_s - (now - self.decided_at)
        if remaining_s < MIN_SENT_HOLD_S:
            raise connections.CommandNotSentError(
                f"delayed until {remaining_s:.3f} s of the grant are left"
            )
        return remaining_s


class CommandResult(typing.NamedTuple):
    """The result of a command.

    ``done`` is set if the server executed it.  ``handover`` is the text
    returned by a release, for the next server.  ``detail`` describes the
    response, for the log.  ``reached`` is the run that has answered.
    """

    done: bool
    handover: str
    detail: str
    reached: reached_runs.ReachedRun


class KeyGrantCommands(typing.Protocol):
    """Grant and release commands to one run of a backend server.

    A run lasts from one start of the server to the next.
    """

    async def grant(
        self,
        key_grant: KeyGrant,
        reached: reached_runs.ReachedRun | None = None,
    ) -> CommandResult:
        """Grant keys or renew their grant.

        ``reached`` is the run that earlier grants under the same token have
        reached; the command is sent to no other.

        Raises ``connections.CommandLostError`` if the command may still be
        executed, ``connections.CommandNotSentError`` if it certainly won't
        be; ``connections.OtherRunError`` is one of these.
        """
        ...

    async def release(
        self,
        first: int,
        last: int,
        token: ids.Token,
        reached: reached_runs.ReachedRun | None = None,
    ) -> CommandResult:
        """Revoke the grant of keys, which has reached a certain run.

        Returns once the server has finished all requests for them.  Raises
        the same errors as ``grant``.
        """
        ...
