"""Paces large responses to the bandwidth of the VM's network link.

Meant for downloads over a link of small bandwidth.  Data written faster than
the link transmits it queues in front of the link, and a small response that
is due within a fraction of a second would wait behind all of it.  Therefore
``Pacer.wait`` delays each piece of a large response until the link is free,
while small responses are sent at once.

When demand exceeds the bandwidth, ``queueing_delay_s`` estimates how long a
response would be delayed, so that its request can be rejected before the
backend server does work whose result would be late.
"""

import collections.abc
import contextlib
import typing

from bronzepaddle import averages, clocks

SMALL_BYTES: typing.Final = 4 * 1024
"""Messages up to this size are not paced."""

LARGE_MESSAGE_SHARE: typing.Final = 0.9
"""Share of the bandwidth for large responses; small ones use the rest."""

MIN_PAUSE_S: typing.Final = 0.001
"""Shorter waits are skipped to save wake-ups of the event loop."""

BYTES_PER_MBIT: typing.Final = 125_000

SHARING_FACTOR: typing.Final = 1.25
"""Factor on the estimated time to write a response.

It allows for responses that start later and take a share of the link.
"""

MEAN_WEIGHT: typing.Final = 0.1
"""Weight of the newest response in the moving average of sizes."""


class Reservation:
    """The bytes of one large response that are still to be written.

    They are part of ``Pacer.reserved_bytes``.
    """

    def __init__(self, pacer: "Pacer", size: int) -> None:
        self.pacer = pacer
        self.remaining = 0
        self.set_remaining(size)

    def set_remaining(self, remaining: int) -> None:
        """Set the number of bytes that are still to be written."""
        self.pacer.reserved_bytes += remaining - self.remaining
        self.remaining = remaining


class Pacer:
    """Schedules the large messages of one VM.

    ``link_mbps`` is the bandwidth in Mbit/s, None to disable pacing.  To be
    used on the event loop only.
    """

    def __init__(self, link_mbps: float | None, clock: clocks.Clock) -> None:
        self.bytes_per_s = (
            None
            if link_mbps is None
            else link_mbps * BYTES_PER_MBIT * LARGE_MESSAGE_SHARE
        )
        self.clock = clock
        # Time at which the link will have transmitted all paced messages.
        self.idle_at = float("-inf")
        # Moving average of response sizes in bytes, by route.
        self.mean_sizes: dict[str, float] = {}
        # Bytes of large responses still to be written: the expected size
        # while the backend server works on a request, then the actual one.
        # Integers, because a rounding residue would look like the bytes of
        # another response.
        self.reserved_bytes = 0

    def record_size(self, route: str, size: int) -> None:
        """Update the average size of the responses of a route."""
        self.mean_sizes[route] = averages.update_ewma(
            self.mean_sizes.get(route), size, MEAN_WEIGHT
        )

    def queueing_delay_s(self, route: str) -> float:
        """Return the expected delay, in seconds, of a reserved response.

        This is the time to write all reserved responses, this one included;
        0 if responses of the route are small or have not been measured, or if
        no other response is reserved.
        """
        size = self._expected_size(route)
        if self.bytes_per_s is None or not 0 < size < self.reserved_bytes:
            return 0.0
        return SHARING_FACTOR * self.reserved_bytes / self.bytes_per_s

    @contextlib.contextmanager
    def reserve(self, route: str) -> collections.abc.Iterator["Reservation"]:
        """Reserve bandwidth for a response of a route until it is written.

        To be entered before the backend server starts to work.
        """
        reservation = Reservation(self, self._expected_size(route))
        try:
            yield reservation
        finally:
            reservation.set_remaining(0)

    def _expected_size(self, route: str) -> int:
        """Return the expected size of a response, 0 if it isn't paced."""
        size = round(self.mean_sizes.get(route, 0.0))
        return size if size > SMALL_BYTES else 0

    async def wait(self, size: int) -> None:
        """Wait until a message of ``size`` bytes may be written."""
        if self.bytes_per_s is None or size <= SMALL_BYTES:
            return
        now = self.clock.now()
        starts_at = max(now, self.idle_at)
        self.idle_at = starts_at + size / self.bytes_per_s
        if starts_at - now > MIN_PAUSE_S:
            await self.clock.sleep(starts_at - now)
