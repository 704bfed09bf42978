"""How late a process is, and what is lost on the way to it, is told."""

import asyncio
import typing

import eliot
from bronzepaddle import ids
from bronzepaddle_node import peer_table, runtime_stats
from support import sample_status, simulated_time

STANDING: typing.Final = runtime_stats.Snapshot(
    runtime_stats.DatagramStats(1, 100, 2, 200, 3), {("GET", "200"): 5}, 4, 0.5
)


def test_statuses_that_never_came_are_counted() -> None:
    known = peer_table.PeerTable(ids.MemberId("a"), ids.ZoneName("zone"))
    for sequence, follows in ((1, 0), (3, 1), (7, 5), (8, 7), (6, 5)):
        status = sample_status.status(sequence=sequence, follows=follows)
        known.update(status, 0.0)
    assert known.peers[ids.MemberId("b")].missed_statuses == 1


def test_lateness_of_the_event_loop_is_told() -> None:
    loop = simulated_time.SimulatedTimeLoop()
    time = simulated_time.SimulatedClock(loop, 1.0)
    messages: list[dict[str, typing.Any]] = []

    async def play() -> None:
        running = asyncio.create_task(
            runtime_stats.RuntimeStats(lambda: STANDING, time).run()
        )
        await asyncio.sleep(0.1)
        # The loop does something else while the clock goes on.
        loop.selector.now += 1.0
        await asyncio.sleep(2.5)
        running.cancel()

    eliot.add_destinations(messages.append)
    try:
        loop.run_until_complete(play())
    finally:
        eliot.remove_destination(messages.append)
        loop.close()
    lines = [one for one in messages if one["message_type"] == "runtime-stats"]
    assert len(lines) == 1
    assert 0.8 < lines[0]["lag_s"] < 1.0
    assert lines[0]["datagrams"]["missed"] == 3
    assert lines[0]["store_calls"] == {"GET 200": 5}
