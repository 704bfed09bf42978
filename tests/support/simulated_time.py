"""An event loop whose time is turned, never waited for.

When nothing is ready to run, the loop's clock jumps to the next timer, so
that minutes of a cell's life take a fraction of a second and come out the
same each time.
"""

import asyncio
import selectors
import typing

EPOCH_MS: typing.Final = 1_800_000_000_000


class _Jumping(selectors.SelectSelector):
    """Finds nothing ready, and passes the time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Jump to the next timer."""
        if timeout is None:
            raise RuntimeError("nothing is left that could ever happen")
        self.now += max(timeout, 0.0)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines under a clock of its own."""

    def __init__(self) -> None:
        self.selector = _Jumping()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the turned time in seconds."""
        return self.selector.now


class SimulatedClock:
    """One process's clock: its own rate, and a gate that freezes it."""

    def __init__(self, loop: SimulatedTimeLoop, rate: float) -> None:
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
        """Return after a time on this clock, and not while frozen."""
        await asyncio.sleep(max(seconds, 0.0) / self.rate)
        await self.running.wait()
