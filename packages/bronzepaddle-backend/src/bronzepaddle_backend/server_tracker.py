"""Tracks the backend server on the same VM by its announcements.

Announcements may arrive in any order.  ``Tracker`` determines from them which
run of the server is present and whether it accepts requests.
"""

import collections
import dataclasses
import enum
import typing

from bronzepaddle import ids

from bronzepaddle_backend import key_reports

ABSENT_AFTER_INTERVALS: typing.Final = 3.2
"""A server is absent this many intervals after its last announcement.

A live server doesn't miss three in a row; the rest allows for delays.
"""


MAX_EARLIER_RUNS: typing.Final = 16
"""Earlier runs, and servers that left unannounced, that are remembered."""


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

    With ``asks_health``, a run that was just heard of is used only once its
    health check has passed: it may have announced to an earlier process that
    it leaves, and an announcement of before that may be late.
    """

    def __init__(self, interval_s: float, asks_health: bool = False) -> None:
        self.interval_s = interval_s
        self.asks_health = asks_health
        self.latest: RunState | None = None
        # The last states of earlier runs, the newest last.
        self.earlier_runs: collections.OrderedDict[str, RunState] = (
            collections.OrderedDict()
        )
        # The run whose health check was answered, and whether it failed.
        self.checked_run = ""
        self.unhealthy = False
        self.unreachable = False
        self.evacuated_since: float | None = None
        # Whether the evacuation has ended: it lasts until the next
        # announcement, since the server may have become cold meanwhile.
        self.evacuation_ended = False
        # Ids of servers whose leaving was recorded before any announcement.
        self.leaving_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record(self, announcement: Announcement, now: float) -> bool:
        """Record an announcement; return False if it is outdated."""
        recorded = self.latest
        known = self._known(announcement.run)
        if known is not None and (
            known.leaving
            or announcement.sequence <= known.announcement.sequence
        ):
            return False
        if recorded is not None and recorded.announcement.run != (
            announcement.run
        ):
            if not self._supersedes(recorded, announcement, now):
                return False
            self._remember(recorded)
        self.earlier_runs.pop(announcement.run, None)
        leaving = announcement.server_id in self.leaving_ids
        self.leaving_ids.pop(announcement.server_id, None)
        draining_since = now if leaving else None
        if announcement.state is AnnouncedState.DRAINING:
            previous_since = None if known is None else known.draining_since
            draining_since = now if previous_since is None else previous_since
        self.latest = RunState(announcement, now, leaving, draining_since)
        self.unreachable = False
        if self.evacuation_ended:
            self.evacuated_since = None
        if self.checked_run != announcement.run:
            self.unhealthy = False
        return True

    def _known(self, run: str) -> RunState | None:
        """Return the last state of a run, None if it is new."""
        if self.latest is not None and self.latest.announcement.run == run:
            return self.latest
        return self.earlier_runs.get(run)

    def _remember(self, state: RunState) -> None:
        """Remember the last state of a run that another one replaces."""
        self.earlier_runs[state.announcement.run] = state
        if len(self.earlier_runs) > MAX_EARLIER_RUNS:
            self.earlier_runs.popitem(last=False)

    def is_checked(self) -> bool:
        """Return whether the health check of the run was answered."""
        latest = self.latest
        return not self.asks_health or (
            latest is not None and self.checked_run == latest.announcement.run
        )

    def run_to_check(self) -> Announcement | None:
        """Return the run whose health is to be asked for, if any."""
        latest = self.latest
        if latest is None or latest.leaving:
            return None
        if self.is_checked() and not self.unhealthy:
            return None
        return latest.announcement

    def record_health(self, run: str, healthy: bool, now: float) -> bool:
        """Record the answer of a run; return whether it changes anything."""
        if self.latest is None or self.latest.announcement.run != run:
            return False
        before = (self.is_checked(), self.unhealthy)
        self.checked_run = run
        self.unhealthy = not healthy
        return before != (True, self.unhealthy)

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

        It drains when it has announced that, when its health check says so,
        or when its zone is evacuated.  Since when a health check has failed is
        not known.
        """
        announced = None if self.latest is None else self.latest.draining_since
        unhealthy = float("-inf") if self.unhealthy else None
        times = (announced, unhealthy, self.evacuated_since)
        return min((at for at in times if at is not None), default=None)

    def _supersedes(
        self, recorded: RunState, announcement: Announcement, now: float
    ) -> bool:
        """Return whether another run supersedes the recorded one.

        A run with an earlier start time may have started after the clock was
        set back, but supersedes the recorded run only once that has been
        silent for long: until then, its announcement is treated as a delayed
        one.  Even then it does not show that the recorded run holds no keys.
        """
        return (
            announcement.started_ms > recorded.announcement.started_ms
            or self._is_silent(recorded, now)
        )

    def record_leaving(self, server_id: str, now: float) -> bool:
        """Record that a server leaves.

        Returns whether it is the server of the last announcement.
        """
        recorded = self.latest
        if (
            recorded is not None
            and recorded.announcement.server_id == server_id
        ):
            self.latest = _leaving(recorded, now)
            return True
        earlier = [
            state
            for state in self.earlier_runs.values()
            if state.announcement.server_id == server_id
        ]
        for state in earlier:
            self.earlier_runs[state.announcement.run] = _leaving(state, now)
        if not earlier:
            self.leaving_ids[server_id] = None
            if len(self.leaving_ids) > MAX_EARLIER_RUNS:
                self.leaving_ids.popitem(last=False)
        return False

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
        return (
            self.is_checked()
            and self.draining_since() is None
            and self.present(now)
        )


def _leaving(state: RunState, now: float) -> RunState:
    """Return the state of a run that leaves."""
    since = state.draining_since
    return dataclasses.replace(
        state, leaving=True, draining_since=now if since is None else since
    )
