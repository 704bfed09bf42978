"""Downloads on a small link keep small answers waiting for one piece only."""

import asyncio
import random
import typing

from bronzepaddle import clocks
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


WORK_S: typing.Final = 0.18
TARGET_S: typing.Final = 1.0
OVERLOAD_PER_S: typing.Final = 14
"""Downloads of 90 KB: half as many again as the link takes."""


def share_in_time(turns_away: bool) -> float:
    """Replay more downloads than a link takes; return the share in time."""
    loop = turned.TurnedLoop()
    pacer = pacing.Pacer(LINK_MBPS, turned.MemberClock(loop, 1.0))
    pacer.record_size("download", DOWNLOAD_BYTES)
    in_time: list[bool] = []

    async def download() -> None:
        began = loop.time()
        with pacer.reserve("download") as reservation:
            sent_s = pacer.behind_s("download")
            if turns_away and sent_s and sent_s + WORK_S > TARGET_S:
                in_time.append(False)
                return
            await asyncio.sleep(WORK_S)
            for left in range(DOWNLOAD_BYTES, 0, -15_000):
                reservation.set_remaining(left)
                await pacer.wait(15_000)
        in_time.append(loop.time() - began <= TARGET_S)

    async def play() -> None:
        running = []
        for _ in range(OVERLOAD_PER_S * LENGTH_S):
            running.append(asyncio.create_task(download()))
            await asyncio.sleep(1 / OVERLOAD_PER_S)
        await asyncio.gather(*running)

    loop.run_until_complete(play())
    loop.close()
    return sum(in_time) / len(in_time)


def test_more_downloads_than_the_link_takes_are_turned_away_at_once() -> None:
    """All were late, and most were cut off at their deadlines."""
    assert share_in_time(turns_away=True) > 0.6
    assert share_in_time(turns_away=False) < 0.2


def test_small_answers_are_not_turned_away_for_a_full_link() -> None:
    loop = turned.TurnedLoop()
    pacer = pacing.Pacer(LINK_MBPS, turned.MemberClock(loop, 1.0))
    pacer.record_size("download", DOWNLOAD_BYTES)
    pacer.record_size("call", SMALL_BYTES)
    with pacer.reserve("download") as first:
        # Alone it is never turned away, however slow the link is.
        assert pacer.behind_s("download") == 0.0
        first.set_remaining(5_000_000)
        with pacer.reserve("download"), pacer.reserve("call"):
            assert pacer.behind_s("download") > 5.0
            assert pacer.behind_s("call") == 0.0
            assert pacer.behind_s("not known yet") == 0.0
    assert pacer.reserved_bytes == 0.0
    loop.close()


def test_answer_that_is_alone_is_known_to_be() -> None:
    """What is left of rounding made it look like one of two."""
    draw = random.Random(1)
    for _ in range(20):
        pacer = pacing.Pacer(LINK_MBPS, clocks.BootClock())
        for _ in range(300):
            pacer.record_size("download", draw.randrange(60_000, 120_000))
            with pacer.reserve("download") as one, pacer.reserve("download"):
                one.set_remaining(draw.randrange(5_000, 90_000))
        with pacer.reserve("download"):
            assert pacer.behind_s("download") == 0.0
