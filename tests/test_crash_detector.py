"""Tests which requests are suspected of crashing a backend server.

A request that was merely in flight at a crash (a bystander) is not rejected.
"""

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


class ManualClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.at

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return int(self.at * 1000)

    async def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.at += seconds


@dataclasses.dataclass
class PartialStatus:
    """The part of a status that reports suspects."""

    suspects: tuple[statuses.SuspectReport, ...]


class Fleet:
    """The detectors of several processes; statuses arrive at once."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.detectors = [
            crash_detector.CrashDetector(self.clock, self.broadcast)
            for _ in range(size)
        ]

    def broadcast(self) -> None:
        for sender in self.detectors:
            status = typing.cast(
                statuses.Status, PartialStatus(sender.recent_changes())
            )
            for receiver in self.detectors:
                if receiver is not sender:
                    receiver.on_status(status)

    def crash(self, index: int, *targets: str) -> None:
        """Crash one server while requests for some targets are in flight."""
        detector = self.detectors[index]
        detector.on_new_run()
        self.clock.at += 1.0
        for target in targets:
            detector.record_outcome(
                fingerprint_of(target), verdicts.Reason.BACKEND_LOST
            )
        detector.on_run_crashed()

    def rejections(self, target: str) -> list[bool]:
        """Return whether each process rejects a request."""
        return [
            detector.rejects(SHOP, "GET", target, b"")
            for detector in self.detectors
        ]


def fingerprint_of(target: str) -> suspects.Fingerprint:
    """Return the fingerprint of a request for a target."""
    return suspects.fingerprint(SHOP, "GET", target, b"")


def test_crasher_is_rejected_everywhere_after_two_crashes() -> None:
    fleet = Fleet(3)
    fleet.crash(0, CRASHER, BYSTANDER)
    assert not any(fleet.rejections(CRASHER))
    fleet.detectors[1].record_outcome(
        fingerprint_of(BYSTANDER), verdicts.Reason.SERVED
    )
    fleet.crash(1, CRASHER)
    assert all(fleet.rejections(CRASHER))
    assert not any(fleet.rejections(BYSTANDER))


def test_complete_response_clears_a_bystander_everywhere() -> None:
    fleet = Fleet(3)
    fleet.crash(0, BYSTANDER)
    fleet.detectors[2].record_outcome(
        fingerprint_of(BYSTANDER), verdicts.Reason.SERVED
    )
    fleet.crash(1, BYSTANDER)
    assert not any(fleet.rejections(BYSTANDER))


def test_requests_lost_well_before_a_later_response_are_no_suspects() -> None:
    fleet = Fleet(2)
    detector = fleet.detectors[0]
    for number in range(50):
        detector.record_outcome(
            fingerprint_of(f"/{number}"), verdicts.Reason.BACKEND_LOST
        )
        fleet.clock.at += 0.5
        detector.record_outcome(
            fingerprint_of("/other"), verdicts.Reason.SERVED
        )
    detector.on_run_crashed()
    assert not detector.suspects.records


def test_request_lost_just_after_the_end_of_the_run_is_a_suspect() -> None:
    fleet = Fleet(2)
    fleet.crash(0)
    fleet.detectors[0].record_outcome(
        fingerprint_of(CRASHER), verdicts.Reason.BACKEND_LOST
    )
    fleet.crash(1, CRASHER)
    assert all(fleet.rejections(CRASHER))


@pytest.mark.parametrize(
    ("crashes", "rejected_s"), [(2, 30.0), (3, 60.0), (4, 120.0)]
)
def test_rejection_ends_and_its_time_doubles(
    crashes: int, rejected_s: float
) -> None:
    fleet = Fleet(2)
    for _ in range(crashes):
        fleet.crash(0, CRASHER)
    fleet.clock.at += rejected_s - 0.5
    assert all(fleet.rejections(CRASHER))
    fleet.clock.at += 1.0
    assert not any(fleet.rejections(CRASHER))


def test_reported_changes_expire_and_are_bounded() -> None:
    fleet = Fleet(1)
    detector = fleet.detectors[0]
    fleet.crash(0, *(f"/{number}" for number in range(60)))
    changes = detector.recent_changes()
    assert len(changes) == crash_detector.MAX_REPORTED
    assert len(msgspec.msgpack.encode(changes)) < 1200
    fleet.clock.at += crash_detector.REPORT_S + 0.1
    assert detector.recent_changes() == ()
