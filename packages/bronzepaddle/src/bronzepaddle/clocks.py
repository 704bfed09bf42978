"""The clock that leases are counted on, given to whoever needs time.

Leases must not gain time while a VM is suspended, so the clock of a process
is CLOCK_BOOTTIME, which counts suspended time too.  Tests pass a clock that
they turn.
"""

import asyncio
import time
import typing


class Clock(typing.Protocol):
    """Time as one process sees it."""

    def now(self) -> float:
        """Return seconds since an arbitrary moment; never steps back."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Return after the given time."""
        ...


class BootClock:
    """The clock of the VM, suspended time included."""

    def now(self) -> float:
        """Return seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        """Return after the given time."""
        await asyncio.sleep(seconds)
