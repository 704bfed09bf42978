"""What is believed of servers and peers when news comes in any order."""

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

FIRST: typing.Final = server_tracker.Announcement(
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
NEXT: typing.Final = dataclasses.replace(
    FIRST, server_id="i-2", started_ms=2000, sequence=1
)
SAME_ID: typing.Final = dataclasses.replace(FIRST, started_ms=2000, sequence=1)


def tracker(*heard: server_tracker.Announcement) -> server_tracker.Tracker:
    found = server_tracker.Tracker(INTERVAL_S)
    for said in heard:
        found.record(said, 0.0)
    return found


def test_late_word_of_an_earlier_run_is_passed_over() -> None:
    found = tracker(FIRST, NEXT)
    assert not found.record(dataclasses.replace(FIRST, sequence=99), 0.1)
    assert found.latest is not None
    assert found.latest.announcement.run == NEXT.run


def test_same_id_started_anew_is_another_run() -> None:
    found = tracker(FIRST)
    assert found.record(SAME_ID, 0.1)
    assert found.latest is not None
    assert found.latest.announcement.run != FIRST.run


def test_repeated_and_older_words_are_passed_over() -> None:
    found = tracker(FIRST)
    assert not found.record(FIRST, 0.1)
    assert not found.record(dataclasses.replace(FIRST, sequence=4), 0.1)


def test_run_born_earlier_counts_once_the_known_one_is_absent() -> None:
    """A clock that was set back must not hide a server for good."""
    found = tracker(NEXT)
    late = 10 * INTERVAL_S
    assert found.record(FIRST, late)
    assert found.ready(late)


def test_leaving_binds_later_words_of_the_run() -> None:
    found = tracker(FIRST)
    assert found.leave("i-1", 1.0)
    assert not found.record(dataclasses.replace(FIRST, sequence=6), 1.1)
    assert not found.ready(1.1)
    assert found.record(SAME_ID, 1.2)
    assert found.ready(1.2)


def test_leaving_of_a_server_not_heard_of_yet() -> None:
    """The process was started anew; the leaving is its first news."""
    found = tracker()
    found.leave("i-1", 1.0)
    found.record(FIRST, 1.1)
    assert not found.ready(1.1)
    found.record(SAME_ID, 1.2)
    assert found.ready(1.2)


def test_draining_counts_from_its_first_word() -> None:
    found = tracker(FIRST)
    for sequence, at in ((6, 1.0), (7, 2.0)):
        said = dataclasses.replace(
            FIRST,
            state=server_tracker.AnnouncedState.DRAINING,
            sequence=sequence,
        )
        assert found.record(said, at)
    assert found.latest is not None
    assert found.latest.drained_at == 1.0


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
    known = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    known.learn(STATUS, 0.0)
    again = msgspec.structs.replace(
        STATUS,
        incarnation=ids.Incarnation("second"),
        started_ms=500,
        sequence=1,
    )
    assert not known.learn(again, 0.2)
    assert known.learn(again, 3.0)
    assert known.learn(msgspec.structs.replace(again, sequence=2), 3.1)


def test_owner_is_who_holds_the_key_under_the_highest_token() -> None:
    known = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))
    other = msgspec.structs.replace(
        STATUS,
        sender=ids.MemberId("b"),
        held=(statuses.HeldRange(15, 30, ids.Token(4)),),
    )
    known.learn(STATUS, 0.0)
    known.learn(other, 0.0)
    owners = [known.owner(SERVICE, key, 0.1) for key in (9, 10, 15, 30, 31)]
    names = [one and str(one.status.sender) for one in owners]
    assert names == [None, "a", "b", "b", None]
    assert known.owner(SERVICE, 10, 60.0) is None
