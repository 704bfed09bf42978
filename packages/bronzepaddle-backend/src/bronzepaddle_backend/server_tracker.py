"""Tracks the backend server on the same VM by its announcements.

Announcements may arrive in any order.  ``Tracker`` determines from them which
run of the server is present and whether it accepts requests.
"""

import dataclasses
import enum
import typing

from bronzepaddle import ids

from bronzepaddle_backend import key_reports

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
    ``keys`` are the keys that it reports, None if it takes commands.
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
    keys: key_reports.KeyReport | None = None

    @property
    def run(self) -> str:
        """An identifier of the run; a server id alone may be reused."""
        return f"{self.server_id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True)
class RunState:
    """The newest announcement of a run, which arrived at ``received_at``.

    ``leaving`` is set once the server has announced that it leaves;
    ``draining_since`` is the time at which it first announced that it drains
    or leaves, None if it hasn't.
    """

    announcement: Announcement
    received_at: float
    leaving: bool
    draining_since: float | None


class Tracker:
    """The tracked state of the server; not thread-safe.

    ``interval_s`` is the interval between announcements.  ``unreachable`` is
    set by the user of the tracker when the server refuses connections; it
    gets no new requests then, but may still hold its keys.
    ``evacuated_since`` is the time since which its availability zone is
    evacuated, None if it isn't; the server counts as draining then.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.latest: RunState | None = None
        self.unreachable = False
        self.evacuated_since: float | None = None
        # Whether the evacuation has ended: it lasts until the next
        # announcement, since the server may have become cold meanwhile.
        self.evacuation_ended = False
        # Id of a server whose leaving was recorded before any announcement.
        self.leaving_id = ""

    def record(self, announcement: Announcement, now: float) -> bool:
        """Record an announcement; return False if it is outdated."""
        recorded = self.latest
        if recorded is not None and not self._supersedes(
            recorded, announcement, now
        ):
            return False
        leaving = announcement.server_id == self.leaving_id
        self.leaving_id = ""
        draining_since = now if leaving else None
        if announcement.state is AnnouncedState.DRAINING:
            same_run = (
                recorded is not None
                and recorded.announcement.run == announcement.run
            )
            previous_since = (
                recorded.draining_since if recorded and same_run else None
            )
            draining_since = now if previous_since is None else previous_since
        self.latest = RunState(announcement, now, leaving, draining_since)
        self.unreachable = False
        if self.evacuation_ended:
            self.evacuated_since = None
        return True

    def evacuate(self, now: float) -> None:
        """Record that the zone of the server is evacuated."""
        self.evacuation_ended = False
        if self.evacuated_since is None:
            self.evacuated_since = now

    def end_evacuation(self) -> None:
        """Let the evacuation end with the next announcement."""
        self.evacuation_ended = True

    def draining_since(self) -> float | None:
        """Return the time since which the server drains, or None.

        It drains when it has announced that, or when its zone is evacuated.
        """
        announced = None if self.latest is None else self.latest.draining_since
        times = (announced, self.evacuated_since)
        return min((at for at in times if at is not None), default=None)

    def _supersedes(
        self, recorded: RunState, announcement: Announcement, now: float
    ) -> bool:
        """Return whether an announcement supersedes the recorded one.

        A run with an earlier start time may have started after the clock was
        set back, but supersedes the recorded run only once that has been
        silent for long: until then, its announcement is treated as a delayed
        one.  Even then it does not show that the recorded run holds no keys.
        """
        previous = recorded.announcement
        if announcement.run == previous.run:
            return (
                not recorded.leaving
                and announcement.sequence > previous.sequence
            )
        return (
            announcement.started_ms > previous.started_ms
            or self._is_silent(recorded, now)
        )

    def record_leaving(self, server_id: str, now: float) -> bool:
        """Record that a server leaves.

        Returns whether it is the server of the last announcement.
        """
        recorded = self.latest
        if recorded is None:
            self.leaving_id = server_id
            return False
        if recorded.announcement.server_id != server_id:
            return False
        draining_since = recorded.draining_since
        self.latest = dataclasses.replace(
            recorded,
            leaving=True,
            draining_since=now if draining_since is None else draining_since,
        )
        return True

    def present(self, now: float) -> bool:
        """Return whether the server is considered to be running."""
        recorded = self.latest
        if recorded is None or self.unreachable:
            return False
        return not self._is_silent(recorded, now)

    def _is_silent(self, recorded: RunState, now: float) -> bool:
        """Return whether announcements of a run have been missing for long."""
        silent_s = now - recorded.received_at
        return silent_s >= ABSENT_AFTER_INTERVALS * self.interval_s

    def ready(self, now: float) -> bool:
        """Return whether the server accepts new requests."""
        return self.draining_since() is None and self.present(now)
