"""Tests that event loop delay and lost statuses are counted and logged."""

import asyncio
import typing

import eliot
from bronzepaddle import ids
from bronzepaddle_node import peer_table, runtime_stats
from support import sample_status, simulated_time

SNAPSHOT: typing.Final = runtime_stats.Snapshot(
    runtime_stats.DatagramStats(1, 100, 2, 200, 3), {("GET", "200"): 5}, 4, 0.5
)


def test_lost_statuses_are_counted() -> None:
    table = peer_table.PeerTable(ids.MemberId("a"), ids.ZoneName("zone"))
    # Status 5 is lost; status 6 arrives after newer ones.
    for sequence, follows in ((1, 0), (3, 1), (7, 5), (8, 7), (6, 5)):
        status = sample_status.status(sequence=sequence, follows=follows)
        table.update(status, 0.0)
    assert table.peers[ids.MemberId("b")].missed_statuses == 1


def test_delay_of_the_event_loop_is_logged() -> None:
    loop = simulated_time.SimulatedTimeLoop()
    clock = simulated_time.SimulatedClock(loop, 1.0)
    messages: list[dict[str, typing.Any]] = []

    async def run() -> None:
        measuring = asyncio.create_task(
            runtime_stats.RuntimeStats(lambda: SNAPSHOT, clock).run()
        )
        await asyncio.sleep(0.1)
        # The event loop is busy for one second.
        loop.selector.now += 1.0
        await asyncio.sleep(2.5)
        measuring.cancel()

    eliot.add_destinations(messages.append)
    try:
        loop.run_until_complete(run())
    finally:
        eliot.remove_destination(messages.append)
        loop.close()
    lines = [
        message
        for message in messages
        if message["message_type"] == "runtime-stats"
    ]
    assert len(lines) == 1
    assert 0.8 < lines[0]["lag_s"] < 1.0
    assert lines[0]["datagrams"]["missed"] == 3
    assert lines[0]["store_calls"] == {"GET 200": 5}
