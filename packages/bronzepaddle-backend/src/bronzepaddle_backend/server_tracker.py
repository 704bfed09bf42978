"""Tracks the backend server beside this process by its announcements.

Announcements may arrive in any order.  ``Tracker`` determines from them which
run of the server is present and whether it accepts requests.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids

ABSENT_AFTER_INTERVALS: typing.Final = 3.2
"""A server is absent this many intervals after its last announcement.

A live server doesn't miss three in a row; the rest allows for delays.
"""


class AnnouncedState(enum.Enum):
    """The state that a server announces."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One announcement of a server.

    ``started_ms`` is the Unix time in milliseconds at which the run started;
    ``sequence`` increases within a run.  ``slots`` is the number of requests
    that the server processes at once.  ``warmup_left_s`` is the remaining
    time, in seconds, in which it expects to be slow after its start.
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
        """An identifier of the run; a server id alone may be reused."""
        return f"{self.server_id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True)
class RunState:
    """The newest announcement of a run, which arrived at ``received_at``.

    ``has_left`` is set once the server has announced that it leaves;
    ``drained_at`` is the time at which it first announced that it drains or
    leaves, None if it hasn't.
    """

    announcement: Announcement
    received_at: float
    has_left: bool
    drained_at: float | None


class Tracker:
    """The tracked state of the server; not thread-safe.

    ``interval_s`` is the interval between announcements.  ``unreachable`` is
    set by the user of the tracker when the server refuses connections.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.latest: RunState | None = None
        self.unreachable = False
        # Id of a server whose leaving was recorded before any announcement.
        self.left_id = ""

    def record(self, announcement: Announcement, now: float) -> bool:
        """Record an announcement; return False if it is outdated."""
        recorded = self.latest
        if recorded is not None and not self._supersedes(
            recorded, announcement, now
        ):
            return False
        has_left = announcement.server_id == self.left_id
        self.left_id = ""
        drained_at = now if has_left else None
        if announcement.state is AnnouncedState.DRAINING:
            same_run = (
                recorded is not None
                and recorded.announcement.run == announcement.run
            )
            earlier_at = recorded.drained_at if recorded and same_run else None
            drained_at = now if earlier_at is None else earlier_at
        self.latest = RunState(announcement, now, has_left, drained_at)
        self.unreachable = False
        return True

    def _supersedes(
        self, recorded: RunState, announcement: Announcement, now: float
    ) -> bool:
        """Return whether an announcement supersedes the recorded one.

        A run with an earlier start time may have started after the clock was
        set back, but supersedes the recorded run only once that is absent:
        until then, its announcement is treated as a delayed one.
        """
        previous = recorded.announcement
        if announcement.run == previous.run:
            return (
                not recorded.has_left
                and announcement.sequence > previous.sequence
            )
        return (
            announcement.started_ms > previous.started_ms
            or not self.present(now)
        )

    def leave(self, server_id: str, now: float) -> bool:
        """Record that a server leaves.

        Returns whether it is the server of the last announcement.
        """
        recorded = self.latest
        if recorded is None:
            self.left_id = server_id
            return False
        if recorded.announcement.server_id != server_id:
            return False
        drained_at = recorded.drained_at
        self.latest = dataclasses.replace(
            recorded,
            has_left=True,
            drained_at=now if drained_at is None else drained_at,
        )
        return True

    def present(self, now: float) -> bool:
        """Return whether the server is considered to be running."""
        recorded = self.latest
        if recorded is None or self.unreachable:
            return False
        return (
            now - recorded.received_at
            < ABSENT_AFTER_INTERVALS * self.interval_s
        )

    def ready(self, now: float) -> bool:
        """Return whether the server accepts new requests."""
        recorded = self.latest
        if recorded is None or recorded.drained_at is not None:
            return False
        return self.present(now)
