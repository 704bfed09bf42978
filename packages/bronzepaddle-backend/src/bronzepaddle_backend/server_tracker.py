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


class AnnouncedState(enum.Enum):
    """What a server says that it does."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One word of a server about itself.

    ``started_ms`` is the Unix time of the run's start, ``sequence`` grows
    within a run.  ``warmup_left_s`` is how long the server is slow yet.
    """

    server_id: str
    service: ids.ServiceName
    host: str
    port: int
    slots: int
    state: AnnouncedState
    sequence: int
    started_ms: int
    warmup_left_s: float

    @property
    def run(self) -> str:
        """Return the name of this run: an id may be used again."""
        return f"{self.server_id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True)
class Seen:
    """The newest announcement of a run, and when it came."""

    announcement: Announcement
    at: float
    left: bool
    drained_at: float | None


class Tracker:
    """What is known of the server; for one thread or task only."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.latest: Seen | None = None
        self.unreachable = False
        # A server that left before this process had heard of it.
        self.left_id = ""

    def record(self, said: Announcement, now: float) -> bool:
        """Take an announcement in; return whether it is the newest."""
        known = self.latest
        if known is not None and not self._newer(known, said, now):
            return False
        left = said.server_id == self.left_id
        self.left_id = ""
        drained_at = now if left else None
        if said.state is AnnouncedState.DRAINING:
            again = known is not None and known.announcement.run == said.run
            earlier_at = known.drained_at if known and again else None
            drained_at = now if earlier_at is None else earlier_at
        self.latest = Seen(said, now, left, drained_at)
        self.unreachable = False
        return True

    def _newer(self, known: Seen, said: Announcement, now: float) -> bool:
        """Tell whether an announcement is news after what is known.

        A run that was born earlier, by a clock set back since, counts only
        once the known one is absent: before, it is a late word.
        """
        earlier = known.announcement
        if said.run == earlier.run:
            return not known.left and said.sequence > earlier.sequence
        return said.started_ms > earlier.started_ms or not self.present(now)

    def leave(self, server_id: str, now: float) -> bool:
        """Take in that a server leaves; return whether it is this one."""
        known = self.latest
        if known is None:
            self.left_id = server_id
            return False
        if known.announcement.server_id != server_id:
            return False
        drained_at = known.drained_at
        self.latest = dataclasses.replace(
            known,
            left=True,
            drained_at=now if drained_at is None else drained_at,
        )
        return True

    def present(self, now: float) -> bool:
        """Tell whether the server may be taken to be up."""
        known = self.latest
        if known is None or self.unreachable:
            return False
        return now - known.at < MISSED_BEFORE_ABSENT * self.interval_s

    def ready(self, now: float) -> bool:
        """Tell whether the server takes new work."""
        known = self.latest
        if known is None or known.drained_at is not None:
            return False
        return self.present(now)
