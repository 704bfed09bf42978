"""Requests that end the servers which run them, and those beside them."""

import dataclasses
import typing

import msgspec
import pytest
from bronzepaddle import ids, suspects, verdicts
from bronzepaddle_node import crash_detector
from bronzepaddle_peers import statuses

SHOP: typing.Final = ids.ServiceName("shop")
CRASHER: typing.Final = "/crash"
BYSTANDER: typing.Final = "/calm"


class Clock:
    """A clock that the test turns."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.at

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return int(self.at * 1000)

    async def sleep(self, seconds: float) -> None:
        """Pass the time."""
        self.at += seconds


@dataclasses.dataclass
class Told:
    """The part of a status that tells of suspects."""

    suspects: tuple[statuses.Suspicion, ...]


class Fleet:
    """The watches of several processes that hear each other at once."""

    def __init__(self, size: int) -> None:
        self.clock = Clock()
        self.watches = [
            crash_detector.CrashDetector(self.clock, self.spread)
            for _ in range(size)
        ]

    def spread(self) -> None:
        for sender in self.watches:
            told = typing.cast(statuses.Status, Told(sender.recent_changes()))
            for one in self.watches:
                if one is not sender:
                    one.on_status(told)

    def crash(self, place: int, *targets: str) -> None:
        """End the run of one server with some requests at it."""
        watch = self.watches[place]
        watch.new_run()
        self.clock.at += 1.0
        for target in targets:
            watch.answered(mark(target), verdicts.Reason.BACKEND_LOST)
        watch.run_ended()

    def refused(self, target: str) -> list[bool]:
        """Return whether each process refuses a request."""
        return [one.refuses(SHOP, "GET", target, b"") for one in self.watches]


def mark(target: str) -> suspects.Fingerprint:
    """Return the fingerprint of a request for a target."""
    return suspects.fingerprint(SHOP, "GET", target, b"")


def test_crasher_is_refused_everywhere_after_two_servers() -> None:
    fleet = Fleet(3)
    fleet.crash(0, CRASHER, BYSTANDER)
    assert not any(fleet.refused(CRASHER))
    fleet.watches[1].answered(mark(BYSTANDER), verdicts.Reason.SERVED)
    fleet.crash(1, CRASHER)
    assert all(fleet.refused(CRASHER))
    assert not any(fleet.refused(BYSTANDER))


def test_whole_answer_clears_a_bystander_everywhere() -> None:
    fleet = Fleet(3)
    fleet.crash(0, BYSTANDER)
    fleet.watches[2].answered(mark(BYSTANDER), verdicts.Reason.SERVED)
    fleet.crash(1, BYSTANDER)
    assert not any(fleet.refused(BYSTANDER))


def test_requests_lost_one_by_one_are_no_suspects() -> None:
    fleet = Fleet(2)
    watch = fleet.watches[0]
    for number in range(50):
        watch.answered(mark(f"/{number}"), verdicts.Reason.BACKEND_LOST)
        fleet.clock.at += 0.5
        watch.answered(mark("/other"), verdicts.Reason.SERVED)
    watch.run_ended()
    assert not watch.known.records


def test_answers_lost_just_after_the_end_of_the_run_count() -> None:
    fleet = Fleet(2)
    fleet.crash(0)
    fleet.watches[0].answered(mark(CRASHER), verdicts.Reason.BACKEND_LOST)
    fleet.crash(1, CRASHER)
    assert all(fleet.refused(CRASHER))


@pytest.mark.parametrize(
    ("crashes", "refused_s"), [(2, 30.0), (3, 60.0), (4, 120.0)]
)
def test_refusal_ends_and_doubles(crashes: int, refused_s: float) -> None:
    fleet = Fleet(2)
    for _ in range(crashes):
        fleet.crash(0, CRASHER)
    fleet.clock.at += refused_s - 0.5
    assert all(fleet.refused(CRASHER))
    fleet.clock.at += 1.0
    assert not any(fleet.refused(CRASHER))


def test_status_stops_telling_and_is_bounded() -> None:
    fleet = Fleet(1)
    watch = fleet.watches[0]
    fleet.crash(0, *(f"/{number}" for number in range(60)))
    told = watch.recent_changes()
    assert len(told) == crash_detector.MAX_REPORTED
    assert len(msgspec.msgpack.encode(told)) < 1200
    fleet.clock.at += crash_detector.REPORT_S + 0.1
    assert watch.recent_changes() == ()
