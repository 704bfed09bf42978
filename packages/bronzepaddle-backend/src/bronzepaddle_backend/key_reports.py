"""Key grants that travel in the announcements of a backend server.

Some servers take no grant commands.  Each announcement lists the keys that the
server holds and those that it has released; the response lists everything
that it may hold from then on.  The server releases what the response leaves
out, and announces itself again soon.  A response without an order renews
nothing.  ``key_grants`` is the other way: grants by commands.
"""

import dataclasses

from bronzepaddle import ids

from bronzepaddle_backend import key_grants


@dataclasses.dataclass(frozen=True)
class HeldRow:
    """Keys from ``first`` to ``last`` that a server holds or still serves.

    ``token`` is the fencing token of the grant.
    """

    first: int
    last: int
    token: ids.Token


@dataclasses.dataclass(frozen=True)
class ReleasedRow:
    """Keys that a server has released, with the text for the next holder.

    The requests for these keys have ended.  Keys whose grant expired are not
    listed.
    """

    first: int
    last: int
    handover: str


@dataclasses.dataclass(frozen=True)
class KeyReport:
    """The keys in one announcement.

    ``released`` is what was released since the last announcement that the
    server got a response to.
    """

    held: tuple[HeldRow, ...]
    released: tuple[ReleasedRow, ...]


@dataclasses.dataclass(frozen=True)
class HoldOrder:
    """Everything that a server may hold, in the response.

    All grants expire ``hold_s`` seconds after the announcement was sent.
    """

    grants: tuple[key_grants.KeyGrant, ...]
    hold_s: float


@dataclasses.dataclass(frozen=True)
class Reply:
    """The reply to an announcement; without ``order`` it renews nothing."""

    accepted: bool
    order: HoldOrder | None = None
