"""Orders to a backend server: fenced grants, drain, cancel.

A server that checks tokens refuses a request whose slot it was not granted,
whose token is older than one it has seen, or that comes after the grant's
remaining time.  Orders are small JSON documents, sent by POST.
"""

import typing

import msgspec
import urllib3
from bronzepaddle import ids, logs

GRANTS_PATH: typing.Final = "/bronzepaddle/grants"
DRAIN_PATH: typing.Final = "/bronzepaddle/drain"
CANCEL_PATH: typing.Final = "/bronzepaddle/cancel"

ORDER_TIMEOUT_S: typing.Final = 0.5


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """A slot with its fencing token."""

    slot: ids.SlotId
    token: ids.Token


class Grants(msgspec.Struct, frozen=True):
    """All slots that a server owns now, and for how long, in seconds."""

    owner: ids.MemberId
    remaining_s: float
    slots: tuple[SlotGrant, ...]


class Drain(msgspec.Struct, frozen=True):
    """The server is to finish what it has and take nothing new."""


class Cancel(msgspec.Struct, frozen=True):
    """The answer to a request is no longer wanted."""

    request_id: ids.RequestId


Order: typing.TypeAlias = Grants | Drain | Cancel


class CommandClient:
    """Sends orders to one backend server; for use on a worker thread."""

    def __init__(self, pool: urllib3.HTTPConnectionPool) -> None:
        self.pool = pool

    def send(self, order: Order) -> bool:
        """Send one order and tell whether the server took it."""
        try:
            response = self.pool.urlopen(
                "POST",
                _path(order),
                body=msgspec.json.encode(order),
                retries=False,
                timeout=ORDER_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            logs.call_failed(f"order {_path(order)}", repr(error))
            return False
        return response.status < 300


def _path(order: Order) -> str:
    match order:
        case Grants():
            return GRANTS_PATH
        case Drain():
            return DRAIN_PATH
        case Cancel():
            return CANCEL_PATH
        case _:
            typing.assert_never(order)
