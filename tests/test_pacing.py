"""Tests of pacing on a slow network link.

Small responses wait for at most one piece of a download, and downloads beyond
the bandwidth of the link are rejected at once.
"""

import asyncio
import random
import typing

from bronzepaddle import clocks
from bronzepaddle_peers import pacing, stream_messages
from support import simulated_time

LINK_MBPS: typing.Final = 7.5
DOWNLOAD_BYTES: typing.Final = 90_000
SMALL_BYTES: typing.Final = 900
DOWNLOADS_PER_S: typing.Final = 8
DURATION_S: typing.Final = 20


class Link:
    """A network link that transmits writes one after the other."""

    def __init__(self, loop: simulated_time.SimulatedTimeLoop) -> None:
        self.loop = loop
        self.free_at = 0.0

    def write(self, size: int) -> float:
        """Return when bytes written now will have been transmitted."""
        start = max(self.loop.time(), self.free_at)
        self.free_at = start + size / (LINK_MBPS * pacing.BYTES_PER_MBIT)
        return self.free_at


def small_response_latencies(link_mbps: float | None) -> list[float]:
    """Simulate small responses while downloads use 3/4 of the bandwidth.

    Returns the sorted latencies of the small responses.
    """
    loop = simulated_time.SimulatedTimeLoop()
    link = Link(loop)
    pacer = pacing.Pacer(link_mbps, simulated_time.SimulatedClock(loop, 1.0))
    latencies: list[float] = []

    async def download() -> None:
        left = DOWNLOAD_BYTES
        while left > 0:
            size = min(left, stream_messages.PIECE_BYTES)
            await pacer.wait(size)
            link.write(size)
            left -= size

    async def small() -> None:
        started_at = loop.time()
        await pacer.wait(SMALL_BYTES)
        latencies.append(link.write(SMALL_BYTES) - started_at)

    async def run_load() -> None:
        tasks = []
        for number in range(DOWNLOADS_PER_S * DURATION_S):
            # Downloads arrive two at a time.
            tasks.append(asyncio.create_task(download()))
            if number % 2:
                await asyncio.sleep(2 / DOWNLOADS_PER_S)
            tasks.append(asyncio.create_task(small()))
        await asyncio.gather(*tasks)

    loop.run_until_complete(run_load())
    loop.close()
    return sorted(latencies)


def test_small_response_does_not_wait_for_whole_downloads() -> None:
    """Guards against missed deadlines.

    Without pacing, calls between servers waited behind queued downloads.
    """
    piece_s = stream_messages.PIECE_BYTES / (LINK_MBPS * pacing.BYTES_PER_MBIT)
    latencies = small_response_latencies(LINK_MBPS)
    assert latencies[-1] <= 2 * piece_s
    unpaced = small_response_latencies(None)
    assert unpaced[len(unpaced) // 2] > 4 * piece_s


def test_large_responses_are_written_at_link_rate() -> None:
    loop = simulated_time.SimulatedTimeLoop()
    pacer = pacing.Pacer(LINK_MBPS, simulated_time.SimulatedClock(loop, 1.0))

    async def run_load() -> float:
        started_at = loop.time()
        for _ in range(100):
            await pacer.wait(stream_messages.PIECE_BYTES)
        return loop.time() - started_at

    took_s = loop.run_until_complete(run_load())
    loop.close()
    sent_bytes = 100 * stream_messages.PIECE_BYTES
    bytes_per_s = LINK_MBPS * pacing.BYTES_PER_MBIT
    assert (
        sent_bytes / bytes_per_s
        < took_s + 0.05
        < 1.2 * sent_bytes / bytes_per_s
    )


WORK_S: typing.Final = 0.18
"""Time for which the backend server works on a download."""

TARGET_S: typing.Final = 1.0
OVERLOAD_PER_S: typing.Final = 14
"""Downloads of 90 KB per second.

They need 1.5 times the link's share for large responses.
"""


def share_in_time(reject: bool) -> float:
    """Simulate more downloads than the bandwidth allows.

    Returns the share of downloads that finish within ``TARGET_S``.
    """
    loop = simulated_time.SimulatedTimeLoop()
    pacer = pacing.Pacer(LINK_MBPS, simulated_time.SimulatedClock(loop, 1.0))
    pacer.record_size("download", DOWNLOAD_BYTES)
    in_time: list[bool] = []

    async def download() -> None:
        started_at = loop.time()
        with pacer.reserve("download") as reservation:
            delay_s = pacer.queueing_delay_s("download")
            if reject and delay_s and delay_s + WORK_S > TARGET_S:
                in_time.append(False)
                return
            await asyncio.sleep(WORK_S)
            for left in range(DOWNLOAD_BYTES, 0, -15_000):
                reservation.set_remaining(left)
                await pacer.wait(15_000)
        in_time.append(loop.time() - started_at <= TARGET_S)

    async def run_load() -> None:
        tasks = []
        for _ in range(OVERLOAD_PER_S * DURATION_S):
            tasks.append(asyncio.create_task(download()))
            await asyncio.sleep(1 / OVERLOAD_PER_S)
        await asyncio.gather(*tasks)

    loop.run_until_complete(run_load())
    loop.close()
    return sum(in_time) / len(in_time)


def test_downloads_beyond_link_bandwidth_are_rejected_at_once() -> None:
    """Guards against accepting more downloads than the link can transmit.

    All of them were late, and most were cut off at their deadlines.
    """
    assert share_in_time(reject=True) > 0.6
    assert share_in_time(reject=False) < 0.2


def test_small_responses_are_not_rejected_for_a_full_link() -> None:
    loop = simulated_time.SimulatedTimeLoop()
    pacer = pacing.Pacer(LINK_MBPS, simulated_time.SimulatedClock(loop, 1.0))
    pacer.record_size("download", DOWNLOAD_BYTES)
    pacer.record_size("call", SMALL_BYTES)
    with pacer.reserve("download") as reservation:
        # A single response is never rejected, however slow the link is.
        assert pacer.queueing_delay_s("download") == 0.0
        reservation.set_remaining(5_000_000)
        with pacer.reserve("download"), pacer.reserve("call"):
            assert pacer.queueing_delay_s("download") > 5.0
            assert pacer.queueing_delay_s("call") == 0.0
            assert pacer.queueing_delay_s("not known yet") == 0.0
    assert pacer.reserved_bytes == 0.0
    loop.close()


def test_single_reservation_has_no_delay() -> None:
    """Guards against a rounding error in the reserved bytes.

    The residue looked like the bytes of a second response.
    """
    generator = random.Random(1)
    for _ in range(20):
        pacer = pacing.Pacer(LINK_MBPS, clocks.BootClock())
        for _ in range(300):
            pacer.record_size("download", generator.randrange(60_000, 120_000))
            with (
                pacer.reserve("download") as reservation,
                pacer.reserve("download"),
            ):
                reservation.set_remaining(generator.randrange(5_000, 90_000))
        with pacer.reserve("download"):
            assert pacer.queueing_delay_s("download") == 0.0
