#!/usr/bin/env python
"""Compares the router's queueing and load balancing with simple ones.

Simulates a service of four servers of different speeds.  Each load is
simulated with every kind of queue (which requests wait, which are rejected)
and every way to choose a server, with the same random seeds.  For each class
of requests, prints the share answered within the target time, the share
answered within the deadline, and the 99th percentile of the latency.  Writes
bench/results/decisions.json, which docs/design/0005 quotes.
"""

import collections
import collections.abc
import dataclasses
import enum
import heapq
import itertools
import json
import pathlib
import random
import typing

from bronzepaddle import ids
from bronzepaddle.load import (
    expected_cost,
    load_balancing,
    server_queue,
)

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
RESULTS: typing.Final = ROOT / "bench" / "results" / "decisions.json"

SPEEDS: typing.Final = (0.6, 1.0, 1.0, 1.4)
"""The speed of each server; 1.0 performs one second of work per second."""

SLOTS: typing.Final = 9
"""The number of requests that each server executes at once."""

ARRIVALS_END_S: typing.Final = 30.0
OVERLOAD_S: typing.Final = (8.0, 18.0)
"""Start and end of the time in which a load departs from the usual one."""

SERVICE: typing.Final = "service"
MAX_ATTEMPTS: typing.Final = 3
SEEDS: typing.Final = (1, 2, 3)


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One class of requests.

    ``work_s`` is the median service time at speed 1.0, ``target_s`` the time
    in which a request should finish, ``deadline_s`` that after which its
    caller gives up, and ``rate_per_s`` the mean number of arrivals.
    """

    name: str
    rank: int
    work_s: float
    target_s: float
    deadline_s: float
    idempotent: bool
    rate_per_s: float


READ: typing.Final = RequestClass("read", 0, 0.09, 0.25, 2.0, True, 180.0)
ENROL: typing.Final = RequestClass("enrol", 1, 0.12, 0.4, 2.5, False, 50.0)
REPORT: typing.Final = RequestClass("report", 2, 0.36, 2.0, 6.0, True, 15.0)
REQUEST_CLASSES: typing.Final = (READ, ENROL, REPORT)


@dataclasses.dataclass(frozen=True)
class Load:
    """A load: how arrivals and servers depart from the usual ones.

    During ``OVERLOAD_S``, ``rate_factors`` multiplies the arrivals of classes
    of requests, and the speed of the second server is divided by
    ``slowdown``.  With ``cold_start``, all servers run at half speed for the
    first four seconds.  With ``immediate_retry``, rejected requests are
    repeated after 50 ms.  With ``uneven_costs``, one path of each class costs
    ten times as much as the others, at the same mean.
    """

    name: str
    rate_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    slowdown: float = 1.0
    cold_start: bool = False
    immediate_retry: bool = False
    uneven_costs: bool = False


PATHS: typing.Final = 10
DEAR_PATH: typing.Final = 0
CHEAP_COST: typing.Final = PATHS / (PATHS - 1 + 10)
DEAR_COST: typing.Final = 10 * CHEAP_COST
"""Costs of the paths of a load with uneven costs; their mean is 1."""


LOADS: typing.Final = (
    Load("usual"),
    Load("flood of the least urgent", {"report": 8.0}),
    Load("flood of the most urgent", {"read": 2.2}),
    Load("slow server", slowdown=5.0),
    Load("all servers start cold", cold_start=True),
    Load("retry storm", {"read": 1.6}, immediate_retry=True),
    Load("uneven costs", uneven_costs=True),
    Load("uneven costs, slow server", slowdown=5.0, uneven_costs=True),
    Load("uneven costs, many reports", {"report": 3.0}, uneven_costs=True),
)


class QueueKind(enum.Enum):
    """Which requests wait and which are rejected.

    ``ROUTER`` is the router's own queue, ``ONE_MEAN`` the same with one mean
    service time for each class of requests.
    """

    FIFO = "one FIFO"
    ROUTER = "decision"
    ONE_MEAN = "one mean"


class BalancingKind(enum.Enum):
    """How the server of a request is chosen.

    ``ROUTER`` is the router's own load balancing, ``ONE_MEAN`` the same with
    nothing known but the number of requests and the mean service time.
    """

    ROUND_ROBIN = "round robin"
    LEAST_OUTSTANDING = "least outstanding"
    ROUTER = "decision"
    ONE_MEAN = "one mean"


COMBINATIONS: typing.Final = (
    *itertools.product(
        (QueueKind.FIFO, QueueKind.ROUTER),
        (
            BalancingKind.ROUND_ROBIN,
            BalancingKind.LEAST_OUTSTANDING,
            BalancingKind.ROUTER,
        ),
    ),
    (QueueKind.ONE_MEAN, BalancingKind.ONE_MEAN),
)
"""The compared combinations; the last one is that before costs were learned.
"""


class FifoQueue(server_queue.ServerQueue):
    """Accepts every request and starts them in the order of arrival."""

    def submit(
        self, profile: server_queue.RequestProfile, now: float
    ) -> server_queue.QueueEntry | server_queue.Rejected:
        """Queue a request, however long it will have to wait."""
        self._decay_counters(now)
        entry = server_queue.QueueEntry(profile, now)
        self.waiting.append(entry)
        return entry

    def start_next(self, now: float) -> list[server_queue.QueueEntry]:
        """Move requests to the free slots and return them."""
        started = []
        while self.waiting and self.running < self.slots:
            entry = self.waiting.pop(0)
            entry.state = server_queue.State.RUNNING
            entry.started = now
            self.running += 1
            self.running_entries.add(entry)
            started.append(entry)
        return started


@dataclasses.dataclass
class Request:
    """One request of a caller, with the number of its attempts so far."""

    request_class: RequestClass
    arrived_at: float
    path: int
    attempts: int = 0

    @property
    def features(self) -> expected_cost.Features:
        """Return the features by which costs may be learned."""
        return (self.request_class.name, self.path)

    @property
    def deadline(self) -> float:
        """Return the time at which the caller gives up."""
        return self.arrived_at + self.request_class.deadline_s


class Service:
    """The simulated service: its servers, their queues, the load balancing.

    ``arrivals`` counts the requests of each class, ``latencies_s`` holds the
    latencies of those answered within their deadline.
    """

    def __init__(
        self,
        queue_kind: QueueKind,
        balancing: BalancingKind,
        load: Load,
        seed: int,
    ) -> None:
        self.balancing = balancing
        self.load = load
        self.rng = random.Random(seed)
        self.path_rng = random.Random(seed)
        queue_class = (
            FifoQueue
            if queue_kind is QueueKind.FIFO
            else server_queue.ServerQueue
        )
        max_values = (
            0
            if queue_kind is QueueKind.ONE_MEAN
            else expected_cost.DEFAULT_MAX_VALUES
        )
        self.queues = [
            queue_class(SLOTS, 0.0, costs=expected_cost.CostModel(max_values))
            for _ in SPEEDS
        ]
        self.costs = expected_cost.CostModel(max_values)
        self.requests: dict[server_queue.QueueEntry, tuple[int, Request]] = {}
        self.round_robin = itertools.count()
        self.events: list[tuple[float, int, typing.Any]] = []
        self.event_numbers = itertools.count()
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.latencies_s: dict[str, list[float]] = collections.defaultdict(
            list
        )

    def schedule(self, time: float, event: typing.Any) -> None:
        """Schedule an attempt of a request or the end of a queue entry."""
        heapq.heappush(self.events, (time, next(self.event_numbers), event))

    def run(self) -> None:
        """Run the simulation until no request is left."""
        for request_class in REQUEST_CLASSES:
            for time in self._arrival_times(request_class):
                self.arrivals[request_class.name] += 1
                path = self.path_rng.randrange(PATHS)
                self.schedule(time, Request(request_class, time, path))
        while self.events:
            now, _, event = heapq.heappop(self.events)
            if isinstance(event, Request):
                self._send(event, now)
            else:
                self._finish(event, now)

    def _arrival_times(
        self, request_class: RequestClass
    ) -> collections.abc.Iterator[float]:
        """Yield random arrival times of a class of requests."""
        now = 0.0
        while True:
            in_overload = OVERLOAD_S[0] <= now < OVERLOAD_S[1]
            rate_factor = (
                self.load.rate_factors.get(request_class.name, 1.0)
                if in_overload
                else 1.0
            )
            now += self.rng.expovariate(request_class.rate_per_s * rate_factor)
            if now >= ARRIVALS_END_S:
                return
            yield now

    def _send(self, request: Request, now: float) -> None:
        """Queue a request at a server, or schedule its next attempt."""
        request.attempts += 1
        request_class = request.request_class
        left_s = request.deadline - now
        if left_s <= 0:
            return
        profile = server_queue.RequestProfile(
            request_class.rank,
            request_class.name,
            request_class.target_s,
            left_s,
            request_class.idempotent,
            now - request.arrived_at > request_class.target_s,
            request.features,
            self.costs.factor(SERVICE, request.features, now),
        )
        retry_after_s = 0.0
        untried = list(range(len(SPEEDS)))
        while untried:
            server = self._choose_server(untried, profile, now)
            untried.remove(server)
            match self.queues[server].submit(profile, now):
                case server_queue.Rejected(_, retry_after_s):
                    continue
                case server_queue.QueueEntry() as entry:
                    self.requests[entry] = (server, request)
                    self._start_requests(server, now)
                    return
        if request.attempts < MAX_ATTEMPTS:
            after_s = min(retry_after_s, left_s / 3)
            if self.load.immediate_retry:
                after_s = 0.05
            self.schedule(now + after_s, request)

    def _choose_server(
        self,
        untried: list[int],
        profile: server_queue.RequestProfile,
        now: float,
    ) -> int:
        """Return the server to try next."""
        match self.balancing:
            case BalancingKind.ROUND_ROBIN:
                return untried[next(self.round_robin) % len(untried)]
            case BalancingKind.LEAST_OUTSTANDING:
                return min(
                    untried,
                    key=lambda server: (
                        self.queues[server].outstanding(),
                        self.rng.random(),
                    ),
                )
            case BalancingKind.ROUTER:
                candidates = [
                    dataclasses.replace(
                        self._candidate(server),
                        backlog_s=self.queues[server].backlog_s(now),
                    )
                    for server in untried
                ]
                return int(
                    load_balancing.choose_server(
                        candidates, self.rng, profile.relative_cost
                    )
                    or 0
                )
            case BalancingKind.ONE_MEAN:
                return min(
                    untried,
                    key=lambda server: (
                        latency_by_one_mean_s(self._candidate(server))
                        * self.rng.uniform(0.9, 1.1)
                    ),
                )
            case never:
                typing.assert_never(never)

    def _candidate(self, server: int) -> load_balancing.Candidate:
        """Return what is known of a server without its backlog."""
        queue = self.queues[server]
        return load_balancing.Candidate(
            ids.MemberId(str(server)),
            SLOTS,
            queue.outstanding(),
            queue.overall_mean_s(),
            False,
            True,
        )

    def _start_requests(self, server: int, now: float) -> None:
        """Drop the expired requests of a server and start the next ones."""
        queue = self.queues[server]
        for entry in queue.remove_expired(now):
            self.requests.pop(entry, None)
        for entry in queue.start_next(now):
            request = self.requests[entry][1]
            took_s = (
                self.rng.lognormvariate(0.0, 0.5)
                * request.request_class.work_s
            )
            if self.load.uneven_costs:
                is_dear = request.path == DEAR_PATH
                took_s *= DEAR_COST if is_dear else CHEAP_COST
            self.schedule(now + took_s / self._speed(server, now), entry)

    def _speed(self, server: int, now: float) -> float:
        """Return the speed of a server at a time under this load."""
        speed = SPEEDS[server]
        in_overload = OVERLOAD_S[0] <= now < OVERLOAD_S[1]
        if in_overload and server == 1:
            speed /= self.load.slowdown
        if self.load.cold_start and now < 4.0:
            speed /= 2.0
        return speed

    def _finish(self, entry: server_queue.QueueEntry, now: float) -> None:
        """Record the latency of a request and free its slot."""
        server, request = self.requests.pop(entry)
        queue = self.queues[server]
        mean_s = queue.overall_mean_s()
        queue.remove(entry, now, True)
        if mean_s:
            self.costs.record(
                SERVICE, request.features, entry.run_s / mean_s, now
            )
        if now <= request.deadline:
            self.latencies_s[request.request_class.name].append(
                now - request.arrived_at
            )
        self._start_requests(server, now)


def latency_by_one_mean_s(candidate: load_balancing.Candidate) -> float:
    """Return the latency that was expected before costs were learned."""
    service_s = candidate.service_s or load_balancing.DEFAULT_SERVICE_S
    rounds = max(1.0, (candidate.outstanding + 1) / candidate.slots)
    return service_s * rounds * (1 + candidate.outstanding / candidate.slots)


def simulate(
    queue_kind: QueueKind, balancing: BalancingKind, load: Load
) -> dict[str, dict[str, float]]:
    """Return the results of all seeds together, by class of requests.

    ``in_time`` is the share of the requests that were answered within the
    target time, ``answered`` the share answered within the deadline, and
    ``p99_s`` the 99th percentile of the latencies.
    """
    arrivals: collections.Counter[str] = collections.Counter()
    latencies_s: dict[str, list[float]] = collections.defaultdict(list)
    for seed in SEEDS:
        service = Service(queue_kind, balancing, load, seed)
        service.run()
        arrivals += service.arrivals
        for name, seed_latencies_s in service.latencies_s.items():
            latencies_s[name].extend(seed_latencies_s)
    results = {}
    for request_class in REQUEST_CLASSES:
        class_latencies_s = sorted(latencies_s[request_class.name])
        in_time_count = sum(
            latency_s <= request_class.target_s
            for latency_s in class_latencies_s
        )
        results[request_class.name] = {
            "in_time": round(in_time_count / arrivals[request_class.name], 3),
            "answered": round(
                len(class_latencies_s) / arrivals[request_class.name], 3
            ),
            "p99_s": round(
                class_latencies_s[int(0.99 * (len(class_latencies_s) - 1))], 2
            ),
        }
    return results


def main() -> None:
    """Simulate every combination, print the table and write the results."""
    rows = []
    for load in LOADS:
        for queue_kind, balancing in COMBINATIONS:
            results = simulate(queue_kind, balancing, load)
            rows.append(
                {
                    "load": load.name,
                    "line": queue_kind.value,
                    "choice": balancing.value,
                    "kinds": results,
                }
            )
            shares = "  ".join(
                f"{name} {result['in_time']:.3f} {result['answered']:.3f} "
                f"{result['p99_s']:5.2f}"
                for name, result in results.items()
            )
            print(
                f"{load.name:26} {queue_kind.value:9} "
                f"{balancing.value:18} {shares}"
            )
    RESULTS.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
