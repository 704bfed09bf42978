"""Commands to a backend server in a cell: fenced grants, drain, cancel.

A grant permits the server to run requests for a hash slot until the grant
expires.  The fencing tokens of the grants of a cell only increase.  A server
that checks fencing tokens refuses a request whose slot it was not granted,
whose token is older than one it has seen, or that arrives after the grant has
expired.  Commands are small JSON documents sent by POST.
"""

import typing

import msgspec
import urllib3
from bronzepaddle import ids, logs

GRANTS_PATH: typing.Final = "/bronzepaddle/grants"
DRAIN_PATH: typing.Final = "/bronzepaddle/drain"
CANCEL_PATH: typing.Final = "/bronzepaddle/cancel"

COMMAND_TIMEOUT_S: typing.Final = 0.5


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """A hash slot with its fencing token."""

    slot: ids.SlotId
    token: ids.Token


class Grants(msgspec.Struct, frozen=True):
    """All hash slots that a server owns, valid for ``remaining_s`` seconds."""

    owner: ids.MemberId
    remaining_s: float
    slots: tuple[SlotGrant, ...]


class Drain(msgspec.Struct, frozen=True):
    """Makes the server finish its requests and accept no new ones."""


class Cancel(msgspec.Struct, frozen=True):
    """Cancels a request whose response is no longer needed."""

    request_id: ids.RequestId


Command: typing.TypeAlias = Grants | Drain | Cancel


class CommandClient:
    """Sends commands to one backend server; to be used on worker threads."""

    def __init__(self, pool: urllib3.HTTPConnectionPool) -> None:
        self.pool = pool

    def send(self, command: Command) -> bool:
        """Send a command and return whether the server accepted it.

        Logs a failure instead of raising it.
        """
        try:
            response = self.pool.urlopen(
                "POST",
                _path(command),
                body=msgspec.json.encode(command),
                retries=False,
                timeout=COMMAND_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            logs.call_failed(f"command {_path(command)}", repr(error))
            return False
        return response.status < 300


def _path(command: Command) -> str:
    match command:
        case Grants():
            return GRANTS_PATH
        case Drain():
            return DRAIN_PATH
        case Cancel():
            return CANCEL_PATH
        case _:
            typing.assert_never(command)
