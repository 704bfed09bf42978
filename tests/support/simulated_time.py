"""An event loop and clocks in simulated time.

When nothing is ready to run, the loop's clock jumps to the next timer.
Simulated minutes take a fraction of a second, and a run is reproducible.
"""

import asyncio
import selectors
import typing

EPOCH_MS: typing.Final = 1_800_000_000_000
"""Wall-clock time at simulated time 0, in milliseconds since the epoch."""


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the simulated time instead of waiting.

    It reports no file descriptor as ready.  ``now`` is the time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by the timeout.

        Raises ``RuntimeError`` if there is no timer to wait for.
        """
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready, no timer is set")
        self.now += max(timeout, 0.0)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock shows the simulated time."""

    def __init__(self) -> None:
        self.selector = _JumpingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.selector.now


class SimulatedClock:
    """The clock of one simulated process.

    It runs at ``rate`` relative to the loop's time.  While ``running`` is
    cleared, the process is frozen: no call of ``sleep`` returns.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, rate: float) -> None:
        self.loop = loop
        self.rate = rate
        self.running = asyncio.Event()
        self.running.set()

    def now(self) -> float:
        """Return seconds on this process's clock."""
        return self.loop.time() * self.rate

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return EPOCH_MS + int(self.loop.time() * 1000)

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time on this clock, and while the process is frozen."""
        await asyncio.sleep(max(seconds, 0.0) / self.rate)
        await self.running.wait()
