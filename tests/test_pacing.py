"""Downloads on a small link keep small answers waiting for one piece only."""

import asyncio
import typing

from bronzepaddle_peers import exchanges, pacing
from support import turned

LINK_MBPS: typing.Final = 7.5
DOWNLOAD_BYTES: typing.Final = 90_000
SMALL_BYTES: typing.Final = 900
DOWNLOADS_PER_S: typing.Final = 8
LENGTH_S: typing.Final = 20


class Link:
    """A link that takes what is written to it one after the other."""

    def __init__(self, loop: turned.TurnedLoop) -> None:
        self.loop = loop
        self.free_at = 0.0

    def write(self, size: int) -> float:
        """Return when bytes that are written now have left."""
        start = max(self.loop.time(), self.free_at)
        self.free_at = start + size / (LINK_MBPS * pacing.BYTES_PER_MBIT)
        return self.free_at


def waits_of_small_answers(link_mbps: float | None) -> list[float]:
    """Replay downloads that take three quarters of a link, and others."""
    loop = turned.TurnedLoop()
    link = Link(loop)
    pacer = pacing.Pacer(link_mbps, turned.MemberClock(loop, 1.0))
    waits: list[float] = []

    async def download() -> None:
        left = DOWNLOAD_BYTES
        while left > 0:
            size = min(left, exchanges.PIECE_BYTES)
            await pacer.wait(size)
            link.write(size)
            left -= size

    async def small() -> None:
        began = loop.time()
        await pacer.wait(SMALL_BYTES)
        waits.append(link.write(SMALL_BYTES) - began)

    async def play() -> None:
        running = []
        for number in range(DOWNLOADS_PER_S * LENGTH_S):
            # Two at a time, as they come.
            running.append(asyncio.create_task(download()))
            if number % 2:
                await asyncio.sleep(2 / DOWNLOADS_PER_S)
            running.append(asyncio.create_task(small()))
        await asyncio.gather(*running)

    loop.run_until_complete(play())
    loop.close()
    return sorted(waits)


def test_small_answer_does_not_wait_for_whole_downloads() -> None:
    """Calls between servers passed their deadline behind downloads."""
    piece_s = exchanges.PIECE_BYTES / (LINK_MBPS * pacing.BYTES_PER_MBIT)
    waits = waits_of_small_answers(LINK_MBPS)
    assert waits[-1] <= 2 * piece_s
    unpaced = waits_of_small_answers(None)
    assert unpaced[len(unpaced) // 2] > 4 * piece_s


def test_large_answers_leave_at_the_rate_of_the_link() -> None:
    loop = turned.TurnedLoop()
    pacer = pacing.Pacer(LINK_MBPS, turned.MemberClock(loop, 1.0))

    async def play() -> float:
        began = loop.time()
        for _ in range(100):
            await pacer.wait(exchanges.PIECE_BYTES)
        return loop.time() - began

    took_s = loop.run_until_complete(play())
    loop.close()
    sent = 100 * exchanges.PIECE_BYTES
    rate = LINK_MBPS * pacing.BYTES_PER_MBIT
    assert sent / rate < took_s + 0.05 < 1.2 * sent / rate
