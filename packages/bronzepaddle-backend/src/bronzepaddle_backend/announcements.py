"""Periodic announcements of backend servers.

There is no list of backend servers.  A server registers by a ``POST`` to
``/bronzepaddle/announce`` of a process, normally the one on its VM, and
repeats the announcement as its heartbeat.
"""

import dataclasses
import typing

import msgspec
from bronzepaddle import documents, ids

PATH: typing.Final = "/bronzepaddle/announce"

LOST_AFTER_INTERVALS: typing.Final = 3
"""A server is lost this many intervals after its last announcement.

A live server doesn't miss so many announcements in a row.
"""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One announcement of a backend server.

    ``run`` identifies the run of the server.  ``slots`` is the number of
    requests that it processes at once and ``connections`` the largest
    number of connections to open to it.  ``outstanding`` is the load as seen
    by the server; it may be outdated or misleading and is never the only
    measure used.
    """

    run: str
    service: ids.ServiceName
    host: str
    port: documents.Port
    slots: documents.Count
    connections: documents.Count
    outstanding: documents.Count = 0
    healthy: bool = True
    draining: bool = False


@dataclasses.dataclass(frozen=True)
class ReceivedAnnouncement:
    """The last announcement of a server.

    ``received_at`` is the time of its arrival on this process's clock.
    """

    announcement: Announcement
    received_at: float

    def alive(self, now: float, interval_s: float) -> bool:
        """Return whether the server is considered alive.

        ``interval_s`` is the interval between its announcements.
        """
        return now - self.received_at < LOST_AFTER_INTERVALS * interval_s

    @property
    def usable(self) -> bool:
        """Return whether the server announced that it accepts new requests."""
        return self.announcement.healthy and not self.announcement.draining


def decode(body: bytes) -> Announcement:
    """Decode an announcement; raises ``msgspec.DecodeError``."""
    return documents.decode(body, Announcement)
