"""Tests of announcements and statuses that arrive late or out of order."""

import dataclasses
import typing

import msgspec
from bronzepaddle import ids
from bronzepaddle_backend import server_tracker
from bronzepaddle_node import peer_table
from bronzepaddle_peers import statuses
from support import sample_status

INTERVAL_S: typing.Final = 1.0
SERVICE: typing.Final = ids.ServiceName("lots")

FIRST_SERVER: typing.Final = server_tracker.Announcement(
    "i-1",
    SERVICE,
    "127.0.0.1",
    1,
    9,
    server_tracker.AnnouncedState.READY,
    5,
    1000,
    0.0,
)
NEXT_SERVER: typing.Final = dataclasses.replace(
    FIRST_SERVER, server_id="i-2", started_ms=2000, sequence=1
)
RESTARTED_SERVER: typing.Final = dataclasses.replace(
    FIRST_SERVER, started_ms=2000, sequence=1
)


def tracker_after(
    *announcements: server_tracker.Announcement,
) -> server_tracker.Tracker:
    tracker = server_tracker.Tracker(INTERVAL_S)
    for announcement in announcements:
        tracker.record(announcement, 0.0)
    return tracker


def test_delayed_announcement_of_earlier_run_is_ignored() -> None:
    tracker = tracker_after(FIRST_SERVER, NEXT_SERVER)
    assert not tracker.record(
        dataclasses.replace(FIRST_SERVER, sequence=99), 0.1
    )
    assert tracker.latest is not None
    assert tracker.latest.announcement.run == NEXT_SERVER.run


def test_restart_under_the_same_id_is_another_run() -> None:
    tracker = tracker_after(FIRST_SERVER)
    assert tracker.record(RESTARTED_SERVER, 0.1)
    assert tracker.latest is not None
    assert tracker.latest.announcement.run != FIRST_SERVER.run


def test_repeated_and_older_announcements_are_ignored() -> None:
    tracker = tracker_after(FIRST_SERVER)
    assert not tracker.record(FIRST_SERVER, 0.1)
    assert not tracker.record(
        dataclasses.replace(FIRST_SERVER, sequence=4), 0.1
    )


def test_run_started_earlier_counts_once_known_run_is_absent() -> None:
    """Guards against ignoring a server forever after its clock is set back."""
    tracker = tracker_after(NEXT_SERVER)
    absent_at = 10 * INTERVAL_S
    assert tracker.record(FIRST_SERVER, absent_at)
    assert tracker.ready(absent_at)


def test_run_started_earlier_does_not_replace_one_that_refuses() -> None:
    """A server that refuses connections for a moment goes on announcing."""
    tracker = tracker_after(NEXT_SERVER)
    tracker.unreachable = True
    assert not tracker.record(FIRST_SERVER, INTERVAL_S)


def test_later_announcements_of_a_leaving_run_are_ignored() -> None:
    tracker = tracker_after(FIRST_SERVER)
    assert tracker.record_leaving("i-1", 1.0)
    assert not tracker.record(
        dataclasses.replace(FIRST_SERVER, sequence=6), 1.1
    )
    assert not tracker.ready(1.1)
    assert tracker.record(RESTARTED_SERVER, 1.2)
    assert tracker.ready(1.2)


def test_server_leaves_before_its_first_announcement() -> None:
    """A restarted process may hear first that the server leaves."""
    tracker = tracker_after()
    tracker.record_leaving("i-1", 1.0)
    tracker.record(FIRST_SERVER, 1.1)
    assert not tracker.ready(1.1)
    tracker.record(RESTARTED_SERVER, 1.2)
    assert tracker.ready(1.2)


def test_drain_starts_with_first_draining_announcement() -> None:
    tracker = tracker_after(FIRST_SERVER)
    for sequence, at in ((6, 1.0), (7, 2.0)):
        announcement = dataclasses.replace(
            FIRST_SERVER,
            state=server_tracker.AnnouncedState.DRAINING,
            sequence=sequence,
        )
        assert tracker.record(announcement, at)
    assert tracker.latest is not None
    assert tracker.latest.draining_since == 1.0


STATUS: typing.Final = sample_status.status(
    sender=ids.MemberId("a"),
    incarnation=ids.Incarnation("first"),
    started_ms=1000,
    sequence=7,
    service=SERVICE,
    run="i-1@1",
    held=(statuses.HeldRange(10, 19, ids.Token(3)),),
)


def test_peer_restarted_after_its_clock_was_set_back() -> None:
    peers = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    peers.update(STATUS, 0.0)
    restarted = msgspec.structs.replace(
        STATUS,
        incarnation=ids.Incarnation("second"),
        started_ms=500,
        sequence=1,
    )
    assert not peers.update(restarted, 0.2)
    assert peers.update(restarted, 3.0)
    assert peers.update(msgspec.structs.replace(restarted, sequence=2), 3.1)


def test_owner_holds_the_key_under_the_highest_token() -> None:
    peers = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    other = msgspec.structs.replace(
        STATUS,
        sender=ids.MemberId("b"),
        held=(statuses.HeldRange(15, 30, ids.Token(4)),),
    )
    peers.update(STATUS, 0.0)
    peers.update(other, 0.0)
    owners = [peers.owner_of(SERVICE, key, 0.1) for key in (9, 10, 15, 30, 31)]
    names = [owner and str(owner.status.sender) for owner in owners]
    assert names == [None, "a", "b", "b", None]
    assert peers.owner_of(SERVICE, 10, 60.0) is None
