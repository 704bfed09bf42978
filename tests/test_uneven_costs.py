"""Queues and choices of server where requests differ in cost."""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

import pytest
from bronzepaddle import ids
from bronzepaddle.load import (
    expected_cost,
    load_balancing,
    reported_speed,
    server_queue,
)

CHEAP: typing.Final = ("cheap",)
COSTLY: typing.Final = ("costly",)
CHEAP_S: typing.Final = 0.05
COSTLY_S: typing.Final = 0.5

READ: typing.Final = server_queue.RequestProfile(
    0, "read", 0.6, 2.0, True, features=CHEAP
)
EXPORT: typing.Final = dataclasses.replace(READ, features=COSTLY)


def serve(
    queue: server_queue.ServerQueue,
    profile: server_queue.RequestProfile,
    took_s: float,
    now: float,
    failed: bool = False,
) -> float:
    """Serve one request alone; return when it ended."""
    entry = queue.submit(profile, now)
    assert isinstance(entry, server_queue.QueueEntry)
    assert queue.start_next(now) == [entry]
    queue.remove(entry, now + took_s, True, failed)
    return now + took_s


def warm_queue(slots: int) -> tuple[server_queue.ServerQueue, float]:
    """Return a queue that knows both costs, and the time."""
    queue = server_queue.ServerQueue(slots, 0.0)
    now = 0.0
    for number in range(200):
        profile = READ if number % 4 else EXPORT
        took_s = CHEAP_S if number % 4 else COSTLY_S
        now = serve(queue, profile, took_s, now)
    return queue, now


def test_costs_of_one_kind_are_expected_as_they_were_seen() -> None:
    queue, now = warm_queue(3)
    assert 0.04 < queue.expected_s(READ, now) < 0.075
    assert 0.3 < queue.expected_s(EXPORT, now) < 0.7


def test_backlog_is_the_work_that_is_left() -> None:
    """As many requests are a long backlog if costly, or a short one."""
    backlogs_s = []
    for profile in (READ, EXPORT):
        queue, now = warm_queue(1)
        patient = dataclasses.replace(profile, target_s=9.0, time_left_s=9.0)
        for _ in range(3):
            queue.submit(patient, now)
        queue.start_next(now)
        backlogs_s.append(queue.backlog_s(now))
    assert 0.1 < backlogs_s[0] < 0.3
    assert 1.0 < backlogs_s[1] < 2.0


def test_idle_server_has_no_backlog() -> None:
    queue, now = warm_queue(2)
    assert isinstance(queue.submit(EXPORT, now), server_queue.QueueEntry)
    queue.start_next(now)
    assert queue.backlog_s(now) == 0.0


def test_request_is_rejected_if_dear_ones_are_ahead() -> None:
    """What can't be served within its target is rejected on arrival."""
    decisions = []
    for ahead in (READ, EXPORT):
        queue, now = warm_queue(1)
        for _ in range(3):
            queue.submit(dataclasses.replace(ahead, target_s=0.5), now)
            queue.start_next(now)
        decisions.append(queue.submit(READ, now))
    assert isinstance(decisions[0], server_queue.QueueEntry)
    assert isinstance(decisions[1], server_queue.Rejected)


def test_cost_that_became_too_high_is_corrected() -> None:
    """Guards against features whose requests are given up for ever.

    Other requests of the kind go on and keep its mean up to date.
    """
    queue, now = warm_queue(1)
    urgent = dataclasses.replace(EXPORT, time_left_s=0.2)
    served = 0
    for _ in range(60):
        now += 0.5
        now = serve(queue, READ, CHEAP_S, now)
        entry = queue.submit(urgent, now)
        assert isinstance(entry, server_queue.QueueEntry)
        if entry in queue.remove_expired(now):
            continue
        assert queue.start_next(now) == [entry]
        now += CHEAP_S
        queue.remove(entry, now, True)
        served += 1
    # After the first second all of them are served.
    assert served >= 55


def test_server_that_fails_at_once_does_not_look_fast() -> None:
    queue, now = warm_queue(3)
    before_s, expected_s = queue.overall_mean_s(), queue.expected_s(READ, now)
    for _ in range(100):
        now = serve(queue, READ, 0.001, now, failed=True)
    assert queue.overall_mean_s() > 1.5 * before_s
    assert queue.expected_s(READ, now) == pytest.approx(expected_s, rel=0.01)
    for _ in range(200):
        now = serve(queue, READ, CHEAP_S, now)
    assert queue.overall_mean_s() < before_s


def test_server_that_gets_dear_requests_does_not_look_slow() -> None:
    """Guards against costly requests that drive each other away."""
    means_s = []
    for cost in (0.2, 5.0):
        queue = server_queue.ServerQueue(3, 0.0)
        profile = dataclasses.replace(READ, relative_cost=cost)
        for number in range(50):
            serve(queue, profile, 0.1 * cost, float(number))
        means_s.append(queue.overall_mean_s())
    assert means_s[0] == pytest.approx(means_s[1])


def speed_after(
    run_time: collections.abc.Callable[[float, random.Random], float],
) -> tuple[reported_speed.ReportedSpeed, float]:
    """Return the speed learned from runs of one server, and the time.

    ``run_time`` returns the run time at a reported slowness.
    """
    rng = random.Random(1)
    queue = server_queue.ServerQueue(1, 0.0)
    now = 0.0
    for _ in range(400):
        slowness = rng.choice((0.5, 1.0, 3.0))
        queue.speed.report(slowness, now)
        now = serve(queue, READ, run_time(slowness, rng), now)
    return queue.speed, now


def test_reports_of_a_slow_server_count_at_once_if_they_proved_true() -> None:
    speed, now = speed_after(
        lambda slowness, rng: CHEAP_S * slowness * rng.lognormvariate(0.0, 0.3)
    )
    speed.report(3.0, now)
    slow = speed.factor(now)
    speed.report(0.5, now)
    assert slow > 1.5
    assert speed.factor(now) < 0.7


def test_lying_reports_do_not_count() -> None:
    speed, now = speed_after(
        lambda _, rng: CHEAP_S * rng.lognormvariate(0.0, 0.3)
    )
    speed.report(3.0, now)
    assert speed.factor(now) == 1.0


def test_stale_reports_do_not_count() -> None:
    speed, now = speed_after(lambda slowness, _: CHEAP_S * slowness)
    speed.report(3.0, now)
    assert speed.factor(now + reported_speed.FRESH_S) > 1.5
    assert speed.factor(now + 2 * reported_speed.FRESH_S) == 1.0


FREE: typing.Final = load_balancing.Candidate(
    ids.MemberId("free"), 3, 2, 0.2, cold=False, same_zone=True
)


def chosen(
    *candidates: load_balancing.Candidate, relative_cost: float = 1.0
) -> set[str]:
    rng = random.Random(1)
    return {
        str(load_balancing.choose_server(candidates, rng, relative_cost))
        for _ in range(100)
    }


def test_dear_request_waits_for_a_fast_server() -> None:
    fast = dataclasses.replace(
        FREE,
        member=ids.MemberId("fast"),
        outstanding=3,
        service_s=0.07,
        backlog_s=0.15,
    )
    assert chosen(FREE, fast, relative_cost=0.1) == {"free"}
    assert chosen(FREE, fast, relative_cost=5.0) == {"fast"}


def test_backlog_counts_more_than_the_number_of_requests() -> None:
    few_dear = dataclasses.replace(
        FREE, member=ids.MemberId("costly"), outstanding=4, backlog_s=2.0
    )
    many_cheap = dataclasses.replace(
        FREE, member=ids.MemberId("cheap"), outstanding=5, backlog_s=0.1
    )
    assert chosen(few_dear, many_cheap) == {"cheap"}


def test_requests_sent_since_the_report_count() -> None:
    reported_idle = dataclasses.replace(
        FREE, member=ids.MemberId("sent"), outstanding=9, sent_since=9
    )
    assert chosen(reported_idle, FREE) == {"free"}
    # The new one and six of them wait for one of three slots.
    start_s = load_balancing.expected_start_s(reported_idle, 0.2)
    assert start_s == pytest.approx(7 * 0.2 / 3)


def test_server_of_an_older_release_is_judged_by_its_requests() -> None:
    full = dataclasses.replace(
        FREE, member=ids.MemberId("old"), outstanding=12
    )
    short_s = load_balancing.expected_start_s(FREE, 0.2)
    assert load_balancing.expected_start_s(full, 0.2) > short_s + 0.5


SPEEDS: typing.Final = (0.5, 1.0, 1.0, 1.0, 1.0, 2.0) * 3
SLOTS: typing.Final = 3
PROCESSES: typing.Final = 40
STATUS_S: typing.Final = 0.5
RATE_PER_S: typing.Final = 380.0
COSTLY_SHARE: typing.Final = 0.1
SECONDS: typing.Final = 20.0


@dataclasses.dataclass
class Known:
    """What the processes know of a server from its last status."""

    outstanding: int = 0
    service_s: float = 0.0
    backlog_s: float = 0.0


def share_out_of_time(learns: bool, seed: int) -> float:
    """Simulate many processes and servers; return the share not in time.

    The servers differ in speed, the requests by ten in cost, and each process
    knows the servers by statuses of up to ``STATUS_S`` ago.  Unless the
    processes learn, they choose by the number of requests at each server and
    their mean service time.  A rejected request is out of time.
    """
    rng = random.Random(seed)
    max_values = expected_cost.DEFAULT_MAX_VALUES if learns else 0
    costs = expected_cost.CostModel(max_values)
    queues = [
        server_queue.ServerQueue(
            SLOTS, 0.0, costs=expected_cost.CostModel(max_values)
        )
        for _ in SPEEDS
    ]
    known = [Known() for _ in SPEEDS]
    sent = [[0] * len(SPEEDS) for _ in range(PROCESSES)]
    numbers = itertools.count()
    events: list[tuple[float, int, typing.Any]] = []

    def schedule(at: float, event: typing.Any) -> None:
        heapq.heappush(events, (at, next(numbers), event))

    def choose(relative_cost: float) -> int:
        own_sent = rng.choice(sent)
        candidates = [
            load_balancing.Candidate(
                ids.MemberId(str(server)),
                SLOTS,
                status.outstanding + own_sent[server],
                status.service_s,
                False,
                True,
                status.backlog_s if learns else 0.0,
                own_sent[server] if learns else 0,
            )
            for server, status in enumerate(known)
        ]
        choice = load_balancing.choose_server(candidates, rng, relative_cost)
        server = int(str(choice))
        own_sent[server] += 1
        return server

    def start_next(server: int, now: float) -> None:
        queue = queues[server]
        queue.remove_expired(now)
        for entry in queue.start_next(now):
            costly = entry.profile.features == COSTLY
            took_s = (COSTLY_S if costly else CHEAP_S) / SPEEDS[server]
            took_s *= rng.lognormvariate(0.0, 0.3)
            schedule(now + took_s, (server, entry))

    at = 0.0
    arrivals = in_time = 0
    while (at := at + rng.expovariate(RATE_PER_S)) < SECONDS:
        costly = rng.random() < COSTLY_SHARE
        schedule(at, EXPORT if costly else READ)
        arrivals += 1
    for server in range(len(SPEEDS)):
        for number in range(int(SECONDS / STATUS_S)):
            schedule((rng.random() + number) * STATUS_S, server)
    while events:
        now, _, event = heapq.heappop(events)
        match event:
            case int():
                queue = queues[event]
                known[event] = Known(
                    queue.outstanding(),
                    queue.overall_mean_s(),
                    queue.backlog_s(now),
                )
                for sent_by_process in sent:
                    sent_by_process[event] = 0
            case server_queue.RequestProfile():
                relative = costs.factor("service", event.features, now)
                server = choose(relative)
                profile = dataclasses.replace(event, relative_cost=relative)
                queues[server].submit(profile, now)
                start_next(server, now)
            case (server, entry):
                mean_s = queues[server].overall_mean_s()
                queues[server].remove(entry, now, True)
                if mean_s:
                    costs.record(
                        "service",
                        entry.profile.features,
                        entry.run_s / mean_s,
                        now,
                    )
                in_time += now <= entry.target_time
                start_next(server, now)
    return 1 - in_time / arrivals


def test_more_requests_are_in_time_if_costs_are_learned() -> None:
    """Many processes with outdated knowledge, servers of unequal speeds."""
    for seed in (1, 2, 3):
        after = share_out_of_time(True, seed)
        assert after < share_out_of_time(False, seed)
        assert after < 0.05
