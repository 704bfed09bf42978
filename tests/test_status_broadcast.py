"""What a fleet tells itself fits the links of its smallest VMs."""

import asyncio
import collections
import itertools
import typing

import msgspec
import pytest
from bronzepaddle import cells, ids, key_load
from bronzepaddle_node import peer_table, status_broadcast
from bronzepaddle_peers import datagrams, statuses
from bronzepaddle_store import store
from support import sample_status, turned

FLEET: typing.Final = 73
MEMBERS: typing.Final = 30
RANGES: typing.Final = 17

LINK_BYTES_PER_S: typing.Final = 7_000_000 / 8
"""The link of the smallest VM."""

WINDOW_S: typing.Final = 0.1
WHOLE_BYTES: typing.Final = 1400
"""Bytes that go in one packet on any network."""

SHOP: typing.Final = ids.ServiceName("jefi48a")


def status(number: int, sequence: int) -> statuses.Status:
    """Return the status of a process, as large as they get."""
    keyed = number < MEMBERS
    read = statuses.OwnershipRead(
        ids.ObjectVersion(4711),
        tuple(
            statuses.LastReceived(
                statuses.run_hash(
                    ids.MemberId(str(other)), ids.Incarnation("1")
                ),
                100_000,
            )
            for other in range(MEMBERS)
        ),
    )
    return sample_status.status(
        sender=ids.MemberId(f"sidecar-ne-a-{number}"),
        incarnation=ids.Incarnation("0190c3e0e5b27d1c8a3f5a6b7c8d9e0f"),
        started_ms=1_778_067_240_468,
        sequence=sequence,
        address=cells.Address(f"10.129.0.{number}", 7620),
        zone=ids.ZoneName("ne-a"),
        service=SHOP if keyed else ids.ServiceName("ziye50b"),
        run="i-9046ff59e0@1778067240468",
        outstanding=2,
        service_s=0.123,
        table_version=ids.BundleVersion(12),
        ownership_version=ids.ObjectVersion(4711),
        held=tuple(
            statuses.HeldRange(one * 2000, one * 2000 + 1999, ids.Token(4000))
            for one in range(RANGES if keyed else 0)
        ),
        request_rate=12.5,
        hot_keys=tuple(
            key_load.KeyGroupLoad(one * 16, one * 16 + 15, 1.25)
            for one in range(key_load.MAX_REPORTED_GROUPS if keyed else 0)
        ),
        read=read if keyed else None,
    )


class Wire(datagrams.DatagramSocket[statuses.Status]):
    """Notes what is sent, and when."""

    def __init__(self, loop: turned.TurnedLoop) -> None:
        super().__init__(b"", statuses.Status, lambda _: None)
        self.loop = loop
        self.asked: list[ids.MemberId] = []
        self.log: list[tuple[float, cells.Address, bytes]] = []

    def send_encoded(self, to: cells.Address, datagram: bytes) -> None:
        """Note a datagram."""
        self.log.append((self.loop.time(), to, datagram))


def play(
    number: int,
    story: typing.Callable[[status_broadcast.StatusBroadcaster], None],
) -> Wire:
    """Let one process of a fleet that is known send statuses for 10 s."""
    loop = turned.TurnedLoop()
    wire = Wire(loop)
    asked = wire.asked
    time = turned.MemberClock(loop, 1.0)
    known = peer_table.PeerTable(
        status(number, 0).sender, ids.ZoneName("ne-a")
    )
    broadcaster = status_broadcast.StatusBroadcaster(
        status_broadcast.RegisteredProcess(status(number, 0).address, 1),
        known,
        typing.cast(store.Store, None),
        wire,
        lambda sequence: status(number, sequence),
        0.5,
        time,
        lambda name, _address: asked.append(name),
    )

    async def run() -> None:
        for other in range(FLEET):
            known.learn(status(other, 1), time.now())
        running = asyncio.create_task(broadcaster.run())
        for half in range(20):
            for other in range(FLEET):
                if other != number:
                    known.learn(status(other, 2 + half), time.now())
            if half % 2 == 0:
                story(broadcaster)
            await asyncio.sleep(0.5)
        running.cancel()

    loop.run_until_complete(run())
    loop.close()
    return wire


def nothing(_: status_broadcast.StatusBroadcaster) -> None:
    """Let nothing happen."""


def test_no_burst_of_statuses_fills_a_small_link() -> None:
    """The last of those told in a fixed order never heard of a live owner."""
    wire = play(0, status_broadcast.StatusBroadcaster.broadcast_soon)
    for at, _, _ in wire.log:
        sent = sum(
            len(data)
            for when, _, data in wire.log
            if at <= when < at + WINDOW_S
        )
        assert sent <= LINK_BYTES_PER_S * WINDOW_S


def test_statuses_are_small_and_whole_packets() -> None:
    wire = play(0, nothing)
    members = {status(number, 0).address for number in range(MEMBERS)}
    for _, to, data in wire.log:
        assert len(data) <= (WHOLE_BYTES if to in members else 600)


def test_no_peer_is_always_the_last_to_be_told() -> None:
    wire = play(40, nothing)
    rounds: dict[float, list[cells.Address]] = collections.defaultdict(list)
    for at, to, _ in wire.log:
        rounds[at].append(to)
    last = collections.Counter(found[-1] for found in rounds.values())
    assert max(last.values()) <= len(rounds) / 4


def test_members_are_told_often_and_all_others_seldomer() -> None:
    wire = play(0, nothing)
    told = collections.Counter(to for _, to, _ in wire.log)
    assert len(told) == FLEET - 1
    for number in range(1, FLEET):
        least = 18 if number < MEMBERS else 7
        assert told[status(number, 0).address] >= least


@pytest.mark.parametrize("number", [0, FLEET - 1])
def test_datagrams_do_not_grow_with_the_fleet(number: int) -> None:
    """Those to members do, as far as one service goes."""
    wire = play(number, nothing)
    members = {status(one, 0).address for one in range(MEMBERS)}
    to_all = [to for _, to, _ in wire.log if number or to not in members]
    # A quarter more, since not every moment is one for sending.
    assert len(to_all) <= 10 * 1.25 * status_broadcast.MOST_PER_S
    assert len(wire.log) <= 0.75 * 2 * 10 * (FLEET - 1)


def test_a_reader_knows_how_often_it_is_told() -> None:
    wire = play(0, nothing)
    by_reader: dict[cells.Address, list[tuple[float, float]]] = {}
    for at, to, data in wire.log:
        found = msgspec.msgpack.decode(
            data[datagrams.MAC_BYTES :], type=statuses.Status
        )
        by_reader.setdefault(to, []).append((at, found.interval_s))
    for told in by_reader.values():
        for (before, interval_s), (after, _) in itertools.pairwise(told):
            assert after - before <= interval_s + 0.2


def test_news_of_a_version_goes_to_members_only() -> None:
    wire = play(
        0, status_broadcast.StatusBroadcaster.broadcast_to_members_soon
    )
    told = collections.Counter(to for _, to, _ in wire.log)
    assert told[status(1, 0).address] >= 28
    assert told[status(FLEET - 1, 0).address] <= 10


def test_news_for_members_does_not_keep_others_waiting() -> None:
    def often(broadcaster: status_broadcast.StatusBroadcaster) -> None:
        for tenth in range(10):
            asyncio.get_running_loop().call_later(
                tenth / 10, broadcaster.broadcast_to_members_soon
            )

    wire = play(0, often)
    told = collections.Counter(to for _, to, _ in wire.log)
    assert told[status(FLEET - 1, 0).address] >= 7


def test_a_reader_sees_whether_it_missed_a_status() -> None:
    wire = play(
        0, status_broadcast.StatusBroadcaster.broadcast_to_members_soon
    )
    for reader in (status(1, 0), status(FLEET - 1, 0)):
        told = [
            msgspec.msgpack.decode(
                data[datagrams.MAC_BYTES :], type=statuses.Status
            )
            for _, to, data in wire.log
            if to == reader.address
        ]
        for before, after in itertools.pairwise(told):
            assert after.follows == before.sequence


def silent_for(number: int, silent_s: float) -> list[ids.MemberId]:
    """Return who is asked while one peer has been silent for a while."""

    def story(broadcaster: status_broadcast.StatusBroadcaster) -> None:
        peer = broadcaster.peer_table.peers[status(number, 0).sender]
        peer.heard_at = broadcaster.time.now() - silent_s
        # Nothing is heard of it from now on.
        peer.learn = lambda _status, _now: False  # type: ignore[method-assign,assignment]

    return play(0, story).asked


def test_peer_whose_statuses_do_not_come_is_asked() -> None:
    """Those with full links were passed over for lost, and were not."""
    asked = collections.Counter(silent_for(7, 1.0))
    assert set(asked) == {status(7, 0).sender}
    assert asked[status(7, 0).sender] >= 10


def test_peer_that_is_silent_for_long_is_asked_seldom() -> None:
    asked = collections.Counter(silent_for(7, 60.0))
    assert 1 <= asked[status(7, 0).sender] <= 4


def test_peer_that_tells_seldom_is_not_silent_for_that() -> None:
    known = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    known.learn(sample_status.status(interval_s=1.2), 0.0)
    peer = known.peers[sample_status.PLAIN.sender]
    assert known.alive(peer, 3.5)
    assert not known.alive(peer, 3.7)
