"""Cold servers: how many requests they are sent, and what that saves.

The load is a restart of all servers of a service under the load of before.  A
cold server crashes when it is sent many more requests in one second than it
tolerates, and then starts again, cold again.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

import pytest
from bronzepaddle.load import cold_servers, server_queue

COLD_PER_S: typing.Final = 5.0
CRASHES_ABOVE_PER_S: typing.Final = 15
"""Number of requests in a second above which a cold server crashes."""


SERVERS: typing.Final = 6
SLOTS: typing.Final = 5
SERVICE_S: typing.Final = 0.2
COLD_S: typing.Final = 4.0
DOWN_S: typing.Final = 2.0
ARRIVALS_PER_S: typing.Final = 18.0
"""Arrivals per second and server: less than a warm server can serve."""

RESTART_AT: typing.Final = 5.0
END_S: typing.Final = 40.0

READ: typing.Final = server_queue.RequestProfile(0, "read", 1.0, 3.0, True)
CALL: typing.Final = server_queue.RequestProfile(0, "call", 0.3, 0.8, True)
REPORT: typing.Final = server_queue.RequestProfile(2, "report", 1.0, 3.0, True)


def limit_at(
    now: float, rate: float = COLD_PER_S, cold_s: float = 1000.0
) -> cold_servers.StartLimit:
    """Return the limit of a process that has been running for long."""
    limit = cold_servers.StartLimit(now - 100.0, random.Random(1))
    limit.rate = rate
    limit.set_cold(cold_s, now)
    return limit


def most_in_a_second(starts: list[float]) -> int:
    """Return the largest number of starts within any one second."""
    most = first = 0
    for index, start in enumerate(starts):
        while starts[first] <= start - 1.0:
            first += 1
        most = max(most, index - first + 1)
    return most


class SimulatedServer:
    """A server that crashes if it is sent too much while it is cold."""

    def __init__(self, limited: bool) -> None:
        self.limit = cold_servers.StartLimit(-100.0, random.Random(2))
        self.limit.rate = COLD_PER_S if limited else 0.0
        self.queue = server_queue.ServerQueue(SLOTS, 0.0, self.limit)
        self.cold_until = 0.0
        self.down_until = 0.0
        self.starts: list[float] = []
        self.run = 0

    def restart(self, now: float, down_s: float) -> None:
        """Lose all requests; be back after a while, and cold then."""
        self.run += 1
        self.down_until = now + down_s
        self.cold_until = self.down_until + COLD_S
        self.limit.set_cold(self.cold_until - now, now)
        self.queue = server_queue.ServerQueue(SLOTS, now, self.limit)
        self.starts = []

    def start(self, now: float) -> list[server_queue.QueueEntry]:
        """Start requests; crash if there are too many of them."""
        started = self.queue.start_next(now)
        self.starts.extend(now for _ in started)
        if now < self.cold_until:
            recent = [start for start in self.starts if start > now - 1.0]
            if len(recent) > CRASHES_ABOVE_PER_S:
                self.restart(now, DOWN_S)
                return []
        return started


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of a caller; ``attempt`` counts from 1."""

    profile: server_queue.RequestProfile
    attempt: int


@dataclasses.dataclass(frozen=True)
class End:
    """The end of a request at a server in one of its runs."""

    server: SimulatedServer
    run: int
    entry: server_queue.QueueEntry


@dataclasses.dataclass(frozen=True)
class Wakeup:
    """The time at which the queue of a server has to be asked again."""

    server: SimulatedServer


@dataclasses.dataclass
class Outcome:
    """The shares of the requests that were served, by second of arrival."""

    served: collections.Counter[int]
    arrived: collections.Counter[int]
    crashes: int

    def share(self, start_s: float, end_s: float) -> float:
        """Return the share that was served in a period."""
        seconds = range(int(start_s), int(end_s))
        return sum(self.served[second] for second in seconds) / sum(
            self.arrived[second] for second in seconds
        )


def restart_all(limited: bool, seed: int) -> Outcome:
    """Simulate that all servers restart under the load of before.

    A rejected request comes again once, after its Retry-After.
    """
    rng = random.Random(seed)
    servers = [SimulatedServer(limited) for _ in range(SERVERS)]
    outcome = Outcome(collections.Counter(), collections.Counter(), 0)
    numbers = itertools.count()
    events: list[tuple[float, int, typing.Any]] = []

    def schedule(at: float, event: typing.Any) -> None:
        heapq.heappush(events, (at, next(numbers), event))

    def wake(server: SimulatedServer, now: float) -> None:
        server.queue.remove_expired(now)
        for entry in server.start(now):
            ends_at = now + rng.lognormvariate(0.0, 0.4) * SERVICE_S
            schedule(ends_at, End(server, server.run, entry))
        server.queue.remove_unstarted(now)
        next_at = server.queue.next_change_at(now)
        if next_at is not None:
            schedule(max(next_at, now + 0.001), Wakeup(server))

    at = 0.0
    while (at := at + rng.expovariate(ARRIVALS_PER_S * SERVERS)) < END_S:
        outcome.arrived[int(at)] += 1
        schedule(at, Arrival(READ, 1))
    restarted = False
    while events:
        now, _, event = heapq.heappop(events)
        if now >= RESTART_AT and not restarted:
            restarted = True
            for server in servers:
                server.restart(now, 0.0)
        match event:
            case Arrival(profile, attempt):
                server = rng.choice(servers)
                decision = (
                    server.queue.submit(profile, now)
                    if now >= server.down_until
                    else server_queue.Rejected(0.0, 0.5)
                )
                if isinstance(decision, server_queue.QueueEntry):
                    wake(server, now)
                elif attempt == 1:
                    left_s = profile.time_left_s
                    after_s = min(decision.retry_after_s, left_s / 3)
                    schedule(now + after_s, Arrival(profile, 2))
            case End(server, run, entry):
                if run == server.run:
                    server.queue.remove(entry, now, True)
                    outcome.served[int(now)] += 1
                    wake(server, now)
            case Wakeup(server):
                wake(server, now)
    outcome.crashes = sum(server.run - 1 for server in servers)
    return outcome


@pytest.mark.parametrize("seed", range(3))
def test_restart_of_all_servers_converges_to_served_load(seed: int) -> None:
    """Without the limit, the servers go on crashing under the same load."""
    baseline = restart_all(False, seed)
    limited = restart_all(True, seed)
    assert baseline.crashes > SERVERS
    assert limited.crashes == 0
    # While cold, a server serves about its rate.
    cold_share = limited.share(RESTART_AT + 1, RESTART_AT + COLD_S)
    assert cold_share > 0.8 * COLD_PER_S / ARRIVALS_PER_S
    warm_from = RESTART_AT + COLD_S + 1
    assert limited.share(warm_from, END_S - 1) > 0.95
    assert baseline.share(warm_from, END_S - 1) < 0.7


def test_requests_of_the_second_before_it_turned_cold_count() -> None:
    limit = limit_at(10.0, cold_s=0.0)
    for number in range(20):
        limit.record_start(10.0 + number / 100)
    limit.set_cold(5.0, 10.2)
    assert limit.earliest_start(10.2) == pytest.approx(11.15)
    assert limit.earliest_start(11.16) == 11.16


def test_a_new_process_does_not_assume_that_nothing_was_sent() -> None:
    """The process before it may have sent all that the server tolerates.

    Both together would send twice the rate in one second, which is more than
    a server with a high rate tolerates.
    """
    rate = 20.0
    earlier, later = (
        cold_servers.StartLimit(created_at, random.Random(1))
        for created_at in (0.0, 50.0)
    )
    starts = []
    for limit, now in ((earlier, 49.9), (later, 50.1)):
        limit.rate = rate
        limit.set_cold(60.0, now)
        for _ in range(2 * int(rate)):
            if (at := limit.earliest_start(now)) < now + 0.5:
                limit.record_start(at)
                starts.append(at)
    assert most_in_a_second(starts) <= rate
    assert later.earliest_start(50.1) == 51.0


def test_warm_server_and_service_without_a_rate_have_no_limit() -> None:
    for limit in (limit_at(0.0, rate=0.0), limit_at(0.0, cold_s=0.0)):
        for _ in range(100):
            limit.record_start(1.0)
        assert limit.earliest_start(1.0) == 1.0
        assert limit.starts_per_s(1.0) == 0.0


@pytest.mark.parametrize("seed", range(20))
def test_no_second_gets_more_than_the_rate(seed: int) -> None:
    """Random requests, retries, new runs and servers that turn cold again."""
    rng = random.Random(seed)
    rate = rng.choice([0.4, 1.0, 4.9, 12.0])
    allowed = max(1, round(rate))
    limit = cold_servers.StartLimit(0.0, rng)
    limit.rate = rate
    queue = server_queue.ServerQueue(SLOTS, 0.0, limit)
    running: list[server_queue.QueueEntry] = []
    starts: list[float] = []
    now = cold_until = 0.0
    while now < 60.0:
        now += rng.expovariate(30.0)
        event = rng.random()
        if event < 0.02:
            # Cold for some time, again, or warm before it was expected.
            left_s = rng.choice([0.0, 1.5, 4.0])
            limit.set_cold(left_s, now)
            cold_until = now + left_s
        elif event < 0.03:
            # A new run of the server.
            queue = server_queue.ServerQueue(SLOTS, now, limit)
            running = []
        elif event < 0.7:
            queue.submit(rng.choice([READ, CALL, REPORT]), now)
        elif running:
            ended = running.pop(rng.randrange(len(running)))
            queue.remove(ended, now, rng.random() < 0.9)
        queue.remove_expired(now)
        for entry in queue.start_next(now):
            running.append(entry)
            starts.append(now)
            recent = sum(start > now - 1.0 for start in starts)
            assert now >= cold_until or recent <= allowed
        queue.remove_unstarted(now)


def test_calls_start_before_new_requests_at_a_cold_server() -> None:
    limit = limit_at(0.0)
    queue = server_queue.ServerQueue(SLOTS, 0.0, limit)
    for _ in range(5):
        limit.record_start(0.0)
    for profile in (REPORT, READ, CALL):
        entry = server_queue.QueueEntry(profile, 0.85)
        queue.waiting.append(entry)
    started = [entry.profile.kind for entry in queue.start_next(1.0)]
    assert started == ["call", "read", "report"]
    assert queue.next_change_at(1.0) is None


def test_rejected_requests_learn_when_there_is_room_and_are_spread() -> None:
    limit = limit_at(0.0)
    queue = server_queue.ServerQueue(100, 0.0, limit)
    decisions = [queue.submit(READ, 0.0) for _ in range(40)]
    queue.start_next(0.0)
    decisions += [queue.submit(READ, 0.0) for _ in range(40)]
    rejected = [
        decision
        for decision in decisions
        if isinstance(decision, server_queue.Rejected)
    ]
    assert limit.rejected == len(rejected) > 20
    assert all(decision.starts_per_s == 5.0 for decision in rejected)
    assert "5 requests per second, room in" in str(rejected[0])
    delays = sorted(decision.retry_after_s for decision in rejected)
    assert delays[0] > 0.0
    # Spread over the seconds in which the server can be sent all of them.
    assert delays[-1] - delays[0] > 0.5 * len(rejected) / COLD_PER_S


def test_more_urgent_requests_take_the_rate_first() -> None:
    """Two in three requests are urgent, and fewer than the rate."""
    rng = random.Random(5)
    limit = limit_at(0.0)
    queue = server_queue.ServerQueue(SLOTS, 0.0, limit)
    queue.mean_service_s_by_kind = {"read": 0.01, "report": 0.01}
    arrived: collections.Counter[str] = collections.Counter()
    started: collections.Counter[str] = collections.Counter()
    now = 0.0
    while now < 60.0:
        now += 0.01
        for profile, rate in ((READ, 3.5), (REPORT, 12.0)):
            if rng.random() < rate * 0.01:
                arrived[profile.kind] += 1
                queue.submit(profile, now)
        for entry in queue.start_next(now):
            started[entry.profile.kind] += 1
            queue.remove(entry, now + 0.01, True)
        queue.remove_expired(now)
    assert started["read"] > 0.9 * arrived["read"]
    assert started.total() > 0.8 * COLD_PER_S * 60.0
