"""Tests the rate, size, order and recipients of status broadcasts."""

import asyncio
import collections
import itertools
import typing

import msgspec
import pytest
from bronzepaddle import cells, ids
from bronzepaddle.load import key_load
from bronzepaddle_node import peer_table, status_broadcast
from bronzepaddle_peers import datagrams, statuses
from bronzepaddle_store import store
from support import sample_status, simulated_time

FLEET_SIZE: typing.Final = 73
MEMBER_COUNT: typing.Final = 30
"""Number of processes whose servers belong to the keyed service."""

RANGES_PER_MEMBER: typing.Final = 17

LINK_BYTES_PER_S: typing.Final = 7_000_000 / 8
"""The capacity of the network link of the smallest VM."""

WINDOW_S: typing.Final = 0.1
"""Interval for which the bytes sent are compared with the link's capacity."""

PACKET_BYTES: typing.Final = 1400
"""Size of a datagram that any network delivers in one packet."""

KEYED_SERVICE: typing.Final = ids.ServiceName("jefi48a")


def status(number: int, sequence: int) -> statuses.Status:
    """Return a status of process ``number``, of the largest size that occurs.

    The first ``MEMBER_COUNT`` processes are members of the keyed service.
    """
    keyed = number < MEMBER_COUNT
    read = statuses.OwnershipRead(
        ids.ObjectVersion(4711),
        tuple(
            statuses.LastReceived(
                statuses.run_hash(
                    ids.MemberId(str(other)), ids.Incarnation("1")
                ),
                100_000,
            )
            for other in range(MEMBER_COUNT)
        ),
    )
    return sample_status.status(
        sender=ids.MemberId(f"sidecar-ne-a-{number}"),
        incarnation=ids.Incarnation("0190c3e0e5b27d1c8a3f5a6b7c8d9e0f"),
        started_ms=1_778_067_240_468,
        sequence=sequence,
        address=cells.Address(f"10.129.0.{number}", 7620),
        zone=ids.ZoneName("ne-a"),
        service=KEYED_SERVICE if keyed else ids.ServiceName("ziye50b"),
        run="i-9046ff59e0@1778067240468",
        outstanding=2,
        service_s=0.123,
        table_version=ids.BundleVersion(12),
        ownership_version=ids.ObjectVersion(4711),
        held=tuple(
            statuses.HeldRange(
                index * 2000, index * 2000 + 1999, ids.Token(4000)
            )
            for index in range(RANGES_PER_MEMBER if keyed else 0)
        ),
        request_rate=12.5,
        hot_keys=tuple(
            key_load.KeyGroupLoad(index * 16, index * 16 + 15, 1.25)
            for index in range(key_load.MAX_REPORTED_GROUPS if keyed else 0)
        ),
        read=read if keyed else None,
    )


class RecordingSocket(datagrams.DatagramSocket[statuses.Status]):
    """Records the datagrams sent, and which peers are asked for a status."""

    def __init__(self, loop: simulated_time.SimulatedTimeLoop) -> None:
        super().__init__(b"", statuses.Status, lambda _: None)
        self.loop = loop
        self.asked: list[ids.MemberId] = []
        self.sent_datagrams: list[tuple[float, cells.Address, bytes]] = []

    def send_encoded(self, to: cells.Address, datagram: bytes) -> None:
        """Record a datagram."""
        self.sent_datagrams.append((self.loop.time(), to, datagram))


def run_broadcaster(
    number: int,
    action: typing.Callable[[status_broadcast.StatusBroadcaster], None],
) -> RecordingSocket:
    """Run process ``number`` for 10 simulated seconds.

    It knows the whole fleet from the start.  ``action`` is called once a
    second.  Returns the socket with what the process sent.
    """
    loop = simulated_time.SimulatedTimeLoop()
    socket = RecordingSocket(loop)
    asked = socket.asked
    clock = simulated_time.SimulatedClock(loop, 1.0)
    peers = peer_table.PeerTable(
        status(number, 0).sender, ids.ZoneName("ne-a")
    )
    broadcaster = status_broadcast.StatusBroadcaster(
        status_broadcast.RegisteredProcess(status(number, 0).address, 1),
        peers,
        typing.cast(store.Store, None),
        socket,
        lambda sequence: status(number, sequence),
        0.5,
        clock,
        lambda name, _address: asked.append(name),
    )

    async def run() -> None:
        for other in range(FLEET_SIZE):
            peers.update(status(other, 1), clock.now())
        running = asyncio.create_task(broadcaster.run())
        for step in range(20):
            for other in range(FLEET_SIZE):
                if other != number:
                    peers.update(status(other, 2 + step), clock.now())
            if step % 2 == 0:
                action(broadcaster)
            await asyncio.sleep(0.5)
        running.cancel()

    loop.run_until_complete(run())
    loop.close()
    return socket


def no_action(_: status_broadcast.StatusBroadcaster) -> None:
    """Do nothing; an action for ``run_broadcaster``."""


def test_no_burst_of_statuses_saturates_a_small_link() -> None:
    """Send no more in ``WINDOW_S`` than the link of the smallest VM carries.

    Otherwise the peers at the end of the sending order miss the statuses of
    a live owner.
    """
    socket = run_broadcaster(
        0, status_broadcast.StatusBroadcaster.broadcast_soon
    )
    for sent_at, _, _ in socket.sent_datagrams:
        sent = sum(
            len(data)
            for other_sent_at, _, data in socket.sent_datagrams
            if sent_at <= other_sent_at < sent_at + WINDOW_S
        )
        assert sent <= LINK_BYTES_PER_S * WINDOW_S


def test_each_status_fits_in_one_packet() -> None:
    socket = run_broadcaster(0, no_action)
    members = {status(number, 0).address for number in range(MEMBER_COUNT)}
    for _, to, data in socket.sent_datagrams:
        assert len(data) <= (PACKET_BYTES if to in members else 600)


def test_no_peer_is_always_the_last_recipient() -> None:
    socket = run_broadcaster(40, no_action)
    rounds: dict[float, list[cells.Address]] = collections.defaultdict(list)
    for sent_at, to, _ in socket.sent_datagrams:
        rounds[sent_at].append(to)
    last = collections.Counter(
        recipients[-1] for recipients in rounds.values()
    )
    assert max(last.values()) <= len(rounds) / 4


def test_members_get_statuses_more_often_than_others() -> None:
    socket = run_broadcaster(0, no_action)
    received = collections.Counter(to for _, to, _ in socket.sent_datagrams)
    assert len(received) == FLEET_SIZE - 1
    for number in range(1, FLEET_SIZE):
        min_count = 18 if number < MEMBER_COUNT else 7
        assert received[status(number, 0).address] >= min_count


@pytest.mark.parametrize("number", [0, FLEET_SIZE - 1])
def test_datagrams_do_not_grow_with_the_fleet(number: int) -> None:
    """Check that only the datagrams between members may grow in number."""
    socket = run_broadcaster(number, no_action)
    members = {status(member, 0).address for member in range(MEMBER_COUNT)}
    not_between_members = [
        to for _, to, _ in socket.sent_datagrams if number or to not in members
    ]
    # A quarter more, since statuses are sent only at whole intervals.
    assert (
        len(not_between_members)
        <= 10 * 1.25 * status_broadcast.MAX_DATAGRAMS_PER_S
    )
    # Three quarters of two statuses a second to each peer, for 10 s.
    assert len(socket.sent_datagrams) <= 0.75 * 2 * 10 * (FLEET_SIZE - 1)


def test_status_states_the_longest_interval_to_its_recipient() -> None:
    socket = run_broadcaster(0, no_action)
    by_recipient: dict[cells.Address, list[tuple[float, float]]] = {}
    for sent_at, to, data in socket.sent_datagrams:
        received_status = msgspec.msgpack.decode(
            data[datagrams.MAC_BYTES :], type=statuses.Status
        )
        by_recipient.setdefault(to, []).append(
            (sent_at, received_status.interval_s)
        )
    for received in by_recipient.values():
        for (before, interval_s), (after, _) in itertools.pairwise(received):
            assert after - before <= interval_s + 0.2


def test_new_version_is_sent_at_once_to_members_only() -> None:
    socket = run_broadcaster(
        0, status_broadcast.StatusBroadcaster.broadcast_to_members_soon
    )
    received = collections.Counter(to for _, to, _ in socket.sent_datagrams)
    assert received[status(1, 0).address] >= 28
    assert received[status(FLEET_SIZE - 1, 0).address] <= 10


def test_statuses_to_members_do_not_delay_those_to_others() -> None:
    def many_times(broadcaster: status_broadcast.StatusBroadcaster) -> None:
        for tenth in range(10):
            asyncio.get_running_loop().call_later(
                tenth / 10, broadcaster.broadcast_to_members_soon
            )

    socket = run_broadcaster(0, many_times)
    received = collections.Counter(to for _, to, _ in socket.sent_datagrams)
    assert received[status(FLEET_SIZE - 1, 0).address] >= 7


def test_recipient_can_detect_a_missed_status() -> None:
    socket = run_broadcaster(
        0, status_broadcast.StatusBroadcaster.broadcast_to_members_soon
    )
    for recipient in (status(1, 0), status(FLEET_SIZE - 1, 0)):
        received = [
            msgspec.msgpack.decode(
                data[datagrams.MAC_BYTES :], type=statuses.Status
            )
            for _, to, data in socket.sent_datagrams
            if to == recipient.address
        ]
        for before, after in itertools.pairwise(received):
            assert after.follows == before.sequence


def peers_asked(number: int, silent_s: float) -> list[ids.MemberId]:
    """Return the peers asked while peer ``number`` is silent.

    It has been silent for ``silent_s`` at each action.
    """

    def action(broadcaster: status_broadcast.StatusBroadcaster) -> None:
        peer = broadcaster.peer_table.peers[status(number, 0).sender]
        peer.heard_at = broadcaster.clock.now() - silent_s
        # Ignore all further statuses of this peer.
        peer.update = lambda _status, _now: False  # type: ignore[method-assign,assignment]

    return run_broadcaster(0, action).asked


def test_peer_whose_statuses_do_not_arrive_is_asked() -> None:
    """Guards against taking a live peer on a saturated link for lost.

    The link loses datagrams, so the peer is asked for its status.
    """
    asked = collections.Counter(peers_asked(7, 1.0))
    assert set(asked) == {status(7, 0).sender}
    assert asked[status(7, 0).sender] >= 10


def test_peer_that_is_silent_for_long_is_asked_rarely() -> None:
    asked = collections.Counter(peers_asked(7, 60.0))
    assert 1 <= asked[status(7, 0).sender] <= 4


def test_peer_with_a_long_status_interval_is_not_silent() -> None:
    peers = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    peers.update(sample_status.status(interval_s=1.2), 0.0)
    peer = peers.peers[sample_status.PLAIN.sender]
    assert peers.is_alive(peer, 3.5)
    assert not peers.is_alive(peer, 3.7)
