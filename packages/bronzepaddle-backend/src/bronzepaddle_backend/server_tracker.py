"""The backend server beside this process: what it says of itself.

``Tracker`` takes its announcements in, in whatever order they arrive, and
tells which run of the server is there and whether it takes work.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids

MISSED_BEFORE_ABSENT: typing.Final = 3.2
"""Announcements in a row that a live server does not miss, and a little."""


class Stand(enum.Enum):
    """What a server says that it does."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One word of a server about itself.

    ``born_ms`` is the Unix time of the run's start, ``sequence`` grows
    within a run.  ``cold_s`` is how long the server is slow yet.
    """

    server_id: str
    service: ids.ServiceName
    host: str
    port: int
    slots: int
    stand: Stand
    sequence: int
    born_ms: int
    cold_s: float

    @property
    def run(self) -> str:
        """Return the name of this run: an id may be used again."""
        return f"{self.server_id}@{self.born_ms}"


@dataclasses.dataclass(frozen=True)
class Seen:
    """The newest announcement of a run, and when it came."""

    said: Announcement
    at: float
    left: bool
    drained_at: float | None


class Tracker:
    """What is known of the server; for one thread or task only."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.seen: Seen | None = None
        self.unreachable = False
        # A server that left before this process had heard of it.
        self.left_id = ""

    def hear(self, said: Announcement, now: float) -> bool:
        """Take an announcement in; return whether it is the newest."""
        known = self.seen
        if known is not None and not self._newer(known, said, now):
            return False
        left = said.server_id == self.left_id
        self.left_id = ""
        drained_at = now if left else None
        if said.stand is Stand.DRAINING:
            again = known is not None and known.said.run == said.run
            earlier_at = known.drained_at if known and again else None
            drained_at = now if earlier_at is None else earlier_at
        self.seen = Seen(said, now, left, drained_at)
        self.unreachable = False
        return True

    def _newer(self, known: Seen, said: Announcement, now: float) -> bool:
        """Tell whether an announcement is news after what is known.

        A run that was born earlier, by a clock set back since, counts only
        once the known one is absent: before, it is a late word.
        """
        earlier = known.said
        if said.run == earlier.run:
            return not known.left and said.sequence > earlier.sequence
        return said.born_ms > earlier.born_ms or not self.present(now)

    def leave(self, server_id: str, now: float) -> bool:
        """Take in that a server leaves; return whether it is this one."""
        known = self.seen
        if known is None:
            self.left_id = server_id
            return False
        if known.said.server_id != server_id:
            return False
        drained_at = known.drained_at
        self.seen = dataclasses.replace(
            known,
            left=True,
            drained_at=now if drained_at is None else drained_at,
        )
        return True

    def present(self, now: float) -> bool:
        """Tell whether the server may be taken to be up."""
        known = self.seen
        if known is None or self.unreachable:
            return False
        return now - known.at < MISSED_BEFORE_ABSENT * self.interval_s

    def ready(self, now: float) -> bool:
        """Tell whether the server takes new work."""
        known = self.seen
        if known is None or known.drained_at is not None:
            return False
        return self.present(now)
