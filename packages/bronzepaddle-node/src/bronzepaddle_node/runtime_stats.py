"""Measures and logs whether a process gets enough CPU time and bandwidth.

To its peers, a process that lacks either looks like one that is lost.  These
statistics show the difference: the delay of the event loop, the number of
statuses exchanged with peers (sent, received and missed), the number of
connections that wait for a thread, and the time since the newest known read of
the configuration in the store.
"""

import collections.abc
import dataclasses
import typing

from bronzepaddle import clocks, logs

SAMPLE_INTERVAL_S: typing.Final = 0.25
"""Interval between two measurements of the delay of the event loop."""

SAMPLES_PER_LINE: typing.Final = 8
"""Number of measurements summarized by each log line."""


@dataclasses.dataclass(frozen=True)
class DatagramStats:
    """Datagrams since the start of the process.

    ``missed`` counts those that peers sent to this process and that were
    lost.
    """

    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    missed: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Counts of a process at one moment.

    ``store_calls`` counts the calls since the start by method and outcome,
    ``unassigned`` is the number of callers' connections that wait for a
    thread, and ``unconfirmed_s`` the time since the newest known read of
    the configuration in the store.  ``call_wait_s`` is the longest time
    that a call to the store has waited for a thread since the start.
    """

    datagrams: DatagramStats
    store_calls: collections.abc.Mapping[tuple[str, str], int]
    unassigned: int
    unconfirmed_s: float
    call_wait_s: float = 0.0


TakeSnapshot: typing.TypeAlias = collections.abc.Callable[[], Snapshot]


class RuntimeStats:
    """Measures and logs the statistics of the event loop that it runs on."""

    def __init__(
        self, take_snapshot: TakeSnapshot, clock: clocks.Clock
    ) -> None:
        self.take_snapshot = take_snapshot
        self.clock = clock
        # The longest delay of the event loop since the last log line, seconds.
        self.lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled, and log a line at regular intervals."""
        samples = 0
        while True:
            due_at = self.clock.now() + SAMPLE_INTERVAL_S
            await self.clock.sleep(SAMPLE_INTERVAL_S)
            self.lag_s = max(self.lag_s, self.clock.now() - due_at)
            samples += 1
            if samples % SAMPLES_PER_LINE == 0:
                snapshot = self.take_snapshot()
                logs.runtime_stats(
                    self.lag_s,
                    dataclasses.asdict(snapshot.datagrams),
                    snapshot.store_calls,
                    snapshot.unassigned,
                    snapshot.unconfirmed_s,
                )
                self.lag_s = 0.0
