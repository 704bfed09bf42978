"""The clock for leases and all other time in a process.

A lease must not last longer because a VM was suspended meanwhile, so processes
use CLOCK_BOOTTIME, which includes suspended time.  The clock is passed as a
dependency; tests use a simulated one.
"""

import asyncio
import time
import typing


class Clock(typing.Protocol):
    """A clock, as a dependency of the code that needs time."""

    def now(self) -> float:
        """Return seconds since an arbitrary time; never decreases."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given time."""
        ...


class BootClock:
    """The clock of the VM, including suspended time."""

    def now(self) -> float:
        """Return seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given time."""
        await asyncio.sleep(seconds)
