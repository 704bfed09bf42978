"""The line of a server, replayed under the loads that it answers."""

import dataclasses
import heapq
import random
import typing

from bronzepaddle import server_queue

SLOTS: typing.Final = 9
SERVICE_S: typing.Final = 0.09

READ: typing.Final = server_queue.RequestProfile(0, "read", 0.25, 1.0, True)
REPORT: typing.Final = server_queue.RequestProfile(2, "report", 2.0, 3.0, True)
ENROL: typing.Final = server_queue.RequestProfile(1, "enrol", 0.4, 1.2, False)
CALL: typing.Final = server_queue.RequestProfile(1, "call", 0.1, 0.25, True)


@dataclasses.dataclass
class Counted:
    """What became of one kind of work."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    given_up: int = 0

    @property
    def asked(self) -> int:
        """Return how many were asked for."""
        return self.in_time + self.late + self.refused + self.given_up


Flow: typing.TypeAlias = tuple[server_queue.RequestProfile, float, float]
"""Work, its arrivals a second and its mean service time in seconds."""


def replay(
    flows: list[Flow], seconds: float, seed: int = 1
) -> dict[str, Counted]:
    """Play arrivals at one server and count what became of them."""
    rng = random.Random(seed)
    line = server_queue.ServerQueue(SLOTS, 0.0)
    counted = {work.kind: Counted() for work, _, _ in flows}
    means = {work.kind: mean_s for work, _, mean_s in flows}
    events: list[tuple[float, int, typing.Any]] = []
    number = 0

    def push(at: float, what: typing.Any) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (at, number, what))

    for work, rate, _ in flows:
        at = 0.0
        while (at := at + rng.expovariate(rate)) < seconds:
            push(at, work)
    while events:
        now, _, what = heapq.heappop(events)
        if isinstance(what, server_queue.RequestProfile):
            placed = line.ask(what, now)
            if isinstance(placed, server_queue.Rejected):
                counted[what.kind].refused += 1
        else:
            line.leave(what, now, True)
            result = counted[what.work.kind]
            if now <= what.due:
                result.in_time += 1
            else:
                result.late += 1
        for place in line.remove_expired(now):
            counted[place.work.kind].given_up += 1
        for place in line.start_next(now):
            took_s = rng.expovariate(1 / means[place.work.kind])
            push(now + took_s, place)
    return counted


def test_calm_load_turns_nobody_away() -> None:
    counted = replay([(READ, 50.0, SERVICE_S)], 30.0)["read"]
    assert counted.refused == 0
    assert counted.in_time > 0.85 * counted.asked


def test_overload_serves_in_time_what_it_serves() -> None:
    """Twice the capacity: most of what is served is in time."""
    counted = replay([(READ, 200.0, SERVICE_S)], 30.0)["read"]
    served = counted.in_time + counted.late
    capacity = SLOTS / SERVICE_S * 30.0
    assert served > 0.9 * capacity
    assert counted.in_time > 0.75 * served
    assert counted.given_up == 0


def test_flood_of_the_least_urgent_leaves_the_urgent_alone() -> None:
    flows = [(READ, 60.0, SERVICE_S), (REPORT, 300.0, SERVICE_S)]
    counted = replay(flows, 30.0)
    read = counted["read"]
    assert read.in_time > 0.85 * read.asked
    report = counted["report"]
    served = report.in_time + report.late
    room = (SLOTS / SERVICE_S - 60.0) * 30.0
    assert served > 0.8 * room
    assert report.in_time > 0.4 * served
    assert report.given_up < 0.02 * report.asked


def test_flood_of_the_most_urgent_goes_first() -> None:
    flows = [(READ, 300.0, SERVICE_S), (REPORT, 20.0, SERVICE_S)]
    counted = replay(flows, 30.0)
    report = counted["report"]
    assert report.refused > 0.8 * report.asked


def test_calls_do_not_wait_behind_longer_work() -> None:
    flows = [(ENROL, 70.0, 0.12), (CALL, 60.0, 0.022)]
    counted = replay(flows, 30.0)
    call = counted["call"]
    assert call.in_time > 0.9 * call.asked


def test_what_must_not_be_repeated_may_wait_longer() -> None:
    line = server_queue.ServerQueue(1, 0.0)
    line.means = {"enrol": 0.12, "read": 0.12}
    for _ in range(4):
        line.ask(ENROL, 0.0)
        line.start_next(0.0)
    assert isinstance(line.ask(ENROL, 0.0), server_queue.QueueEntry)
    read = dataclasses.replace(READ, rank=1, target_s=0.4)
    assert isinstance(line.ask(read, 0.0), server_queue.Rejected)


def test_retry_after_grows_with_the_share_turned_away() -> None:
    line = server_queue.ServerQueue(1, 0.0)
    line.means = {"read": 0.2}
    found = [line.ask(READ, 0.0) for _ in range(12)]
    line.start_next(0.0)
    refusals = [one for one in found if isinstance(one, server_queue.Rejected)]
    assert refusals[-1].retry_after_s > refusals[0].retry_after_s


def test_leaving_gives_the_slot_to_the_next() -> None:
    line = server_queue.ServerQueue(1, 0.0)
    line.means = {"read": 0.05}
    first, second = line.ask(READ, 0.0), line.ask(READ, 0.0)
    assert isinstance(first, server_queue.QueueEntry)
    assert isinstance(second, server_queue.QueueEntry)
    assert line.start_next(0.0) == [first]
    line.leave(first, 0.1, False)
    assert line.start_next(0.1) == [second]
    assert line.outstanding() == 1


def test_waiting_past_hope_is_told() -> None:
    line = server_queue.ServerQueue(1, 0.0)
    line.means = {"read": 0.05}
    line.ask(READ, 0.0)
    line.start_next(0.0)
    second = line.ask(READ, 0.0)
    assert line.remove_expired(0.5) == []
    assert line.remove_expired(0.99) == [second]
    assert line.outstanding() == 1


def test_those_who_come_back_late_do_not_make_all_late() -> None:
    back = dataclasses.replace(READ, kind="back", late=True)
    flows = [(READ, 80.0, SERVICE_S), (back, 120.0, SERVICE_S)]
    counted = replay(flows, 30.0)
    read = counted["read"]
    assert read.in_time > 0.8 * read.asked
    assert counted["back"].refused > 0.5 * counted["back"].asked


def test_rare_quick_kinds_do_not_make_a_server_look_fast() -> None:
    line = server_queue.ServerQueue(SLOTS, 0.0)

    def serve(kind: str, took_s: float, now: float) -> None:
        placed = line.ask(dataclasses.replace(READ, kind=kind), now)
        assert isinstance(placed, server_queue.QueueEntry)
        assert line.start_next(now) == [placed]
        line.leave(placed, now + took_s, True)

    for number in range(200):
        serve("read", 0.25, float(number))
    for number in range(8):
        serve(f"seldom {number}", 0.005, 300.0 + number)
    assert line.mean_of_all_s() > 0.15
