"""Tells how late this process is and what its heartbeats cost it.

A process without enough processor time or bandwidth looks to the others like
one that is lost.  What tells the two apart is measured here: how late the
event loop wakes, how many statuses are sent, taken in and missed, how many
connections wait for a thread, and for how long the store has not confirmed
the configuration.
"""

import collections.abc
import dataclasses
import typing

from bronzepaddle import clocks, logs

TICK_S: typing.Final = 0.25
"""Time after which the event loop should wake."""

LOG_EVERY: typing.Final = 8
"""Ticks between two lines of the log."""


@dataclasses.dataclass(frozen=True)
class DatagramStats:
    """Datagrams since the start; ``missed`` were sent to us and lost."""

    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    missed: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """What a process knows of its own work at one moment.

    ``store_calls`` counts by method and outcome since the start,
    ``unassigned`` counts callers' connections that wait for a thread,
    ``unconfirmed_s`` is the time since the store last said which
    configuration is the newest.
    """

    datagrams: DatagramStats
    store_calls: collections.abc.Mapping[tuple[str, str], int]
    unassigned: int
    unconfirmed_s: float


Look: typing.TypeAlias = collections.abc.Callable[[], Snapshot]


class RuntimeStats:
    """The measuring of one process; for its event loop only."""

    def __init__(self, look: Look, time: clocks.Clock) -> None:
        self.look = look
        self.time = time
        # The longest lateness of the event loop since the last line.
        self.lag_s = 0.0

    async def run(self) -> None:
        """Measure for ever."""
        ticks = 0
        while True:
            due = self.time.now() + TICK_S
            await self.time.sleep(TICK_S)
            self.lag_s = max(self.lag_s, self.time.now() - due)
            ticks += 1
            if ticks % LOG_EVERY == 0:
                now = self.look()
                logs.runtime_stats(
                    self.lag_s,
                    dataclasses.asdict(now.datagrams),
                    now.store_calls,
                    now.unassigned,
                    now.unconfirmed_s,
                )
                self.lag_s = 0.0
