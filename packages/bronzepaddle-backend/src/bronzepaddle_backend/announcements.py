"""What a backend server says of itself, again and again.

There is no list of backend servers: one announces itself by ``POST`` to
``/bronzepaddle/announce`` of a process, normally the one beside it, and its
repeated announcements are its heartbeat.
"""

import dataclasses
import typing

import msgspec
from bronzepaddle import ids

PATH: typing.Final = "/bronzepaddle/announce"

MISSED_BEFORE_LOST: typing.Final = 3
"""Announcements in a row that a live backend server does not miss."""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One announcement; ``run`` differs after each start of the server.

    ``outstanding`` is the load as the server sees it, which may lag or
    mislead and is never trusted alone.
    """

    run: str
    service: ids.ServiceName
    host: str
    port: int
    slots: int
    connections: int
    outstanding: int = 0
    healthy: bool = True
    draining: bool = False


@dataclasses.dataclass(frozen=True)
class Known:
    """The last announcement and when it came, on the process's clock."""

    announcement: Announcement
    at: float

    def alive(self, now: float, interval_s: float) -> bool:
        """Tell whether the server may still be taken for alive."""
        return now - self.at < MISSED_BEFORE_LOST * interval_s

    @property
    def usable(self) -> bool:
        """Tell whether the server says that it takes new work."""
        return self.announcement.healthy and not self.announcement.draining


def decode(body: bytes) -> Announcement:
    """Return an announcement; raises ``msgspec.ValidationError``."""
    return msgspec.json.decode(body, type=Announcement)
