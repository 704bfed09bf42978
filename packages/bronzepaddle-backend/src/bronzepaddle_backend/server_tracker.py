"""Tracks the backend server beside this process by its announcements.

Announcements may arrive in any order.  ``Tracker`` determines from them which
run of the server is present and whether it accepts requests.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids

ABSENT_AFTER_INTERVALS: typing.Final = 3.2
"""Announcement intervals without an announcement until a server is absent.

A live server doesn't miss three in a row; the rest allows for delays.
"""


class AnnouncedState(enum.Enum):
    """The state that a server announces."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One announcement of a server.

    ``started_ms`` is the Unix time at which the run started; ``sequence``
    increases within a run.  ``warmup_left_s`` is how much longer the server
    expects to be slow after its start.
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
        """Return an identifier of this run; a server id may be reused."""
        return f"{self.server_id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True)
class RunState:
    """The newest announcement of a run and the time of its arrival.

    ``left`` is set once the server has announced that it leaves;
    ``drained_at`` is when it announced first that it drains or leaves.
    """

    announcement: Announcement
    at: float
    left: bool
    drained_at: float | None


class Tracker:
    """The known state of the server; to be used by one thread or task."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.latest: RunState | None = None
        self.unreachable = False
        # Id of a server that left before its first announcement arrived.
        self.left_id = ""

    def record(self, announcement: Announcement, now: float) -> bool:
        """Record an announcement; return False if it is outdated."""
        known = self.latest
        if known is not None and not self._supersedes(
            known, announcement, now
        ):
            return False
        left = announcement.server_id == self.left_id
        self.left_id = ""
        drained_at = now if left else None
        if announcement.state is AnnouncedState.DRAINING:
            same_run = (
                known is not None
                and known.announcement.run == announcement.run
            )
            earlier_at = known.drained_at if known and same_run else None
            drained_at = now if earlier_at is None else earlier_at
        self.latest = RunState(announcement, now, left, drained_at)
        self.unreachable = False
        return True

    def _supersedes(
        self, known: RunState, announcement: Announcement, now: float
    ) -> bool:
        """Return whether an announcement supersedes the recorded one.

        A run with an earlier start time may have started after the clock was
        set back, but counts only once the recorded run is absent: until
        then, its announcement is taken for a delayed one.
        """
        earlier = known.announcement
        if announcement.run == earlier.run:
            return not known.left and announcement.sequence > earlier.sequence
        return (
            announcement.started_ms > earlier.started_ms
            or not self.present(now)
        )

    def leave(self, server_id: str, now: float) -> bool:
        """Record that a server leaves; return whether it is the known one."""
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
        """Return whether the server is considered to be running."""
        known = self.latest
        if known is None or self.unreachable:
            return False
        return now - known.at < ABSENT_AFTER_INTERVALS * self.interval_s

    def ready(self, now: float) -> bool:
        """Return whether the server accepts new requests."""
        known = self.latest
        if known is None or known.drained_at is not None:
            return False
        return self.present(now)
