#!/usr/bin/env python
"""The decisions on load against plain baselines, under the loads they answer.

A service of four servers that differ in speed, replayed with seeds: each
load once with every line (who waits, who is turned away) and every choice of
a server.  Counts, by rank, the share answered in its target time, the share
answered at all and the time of 99 in 100 of the answers.  Prints a table and
writes bench/results/decisions.json; docs/design/0005 quotes it.
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

from bronzepaddle import ids, load_balancing, server_queue

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
RESULTS: typing.Final = ROOT / "bench" / "results" / "decisions.json"

SPEEDS: typing.Final = (0.6, 1.0, 1.0, 1.4)
SLOTS: typing.Final = 9
LENGTH_S: typing.Final = 30.0
FLOOD: typing.Final = (8.0, 18.0)
MOST_TRIES: typing.Final = 3
SEEDS: typing.Final = (1, 2, 3)


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of work; times in seconds, arrivals a second."""

    name: str
    rank: int
    work_s: float
    target_s: float
    deadline_s: float
    idempotent: bool
    rate: float


READ: typing.Final = Kind("read", 0, 0.09, 0.25, 2.0, True, 180.0)
ENROL: typing.Final = Kind("enrol", 1, 0.12, 0.4, 2.5, False, 50.0)
REPORT: typing.Final = Kind("report", 2, 0.36, 2.0, 6.0, True, 15.0)
KINDS: typing.Final = (READ, ENROL, REPORT)


@dataclasses.dataclass(frozen=True)
class Load:
    """A load pattern: what changes during the flood's time."""

    name: str
    times: dict[str, float] = dataclasses.field(default_factory=dict)
    slow_server: float = 1.0
    restart: bool = False
    retry_at_once: bool = False


LOADS: typing.Final = (
    Load("usual"),
    Load("flood of the least urgent", {"report": 8.0}),
    Load("flood of the most urgent", {"read": 2.2}),
    Load("slow server", slow_server=5.0),
    Load("all servers start cold", restart=True),
    Load("retry storm", {"read": 1.6}, retry_at_once=True),
)


class LineKind(enum.Enum):
    """Who waits and who is turned away."""

    FIFO = "one FIFO"
    DECISION = "decision"


class ChoiceKind(enum.Enum):
    """Which server a request goes to."""

    ROUND_ROBIN = "round robin"
    LEAST_OUTSTANDING = "least outstanding"
    DECISION = "decision"


class FifoLine(server_queue.ServerQueue):
    """Takes everything in, first come, first served."""

    def submit(
        self, work: server_queue.RequestProfile, now: float
    ) -> server_queue.QueueEntry | server_queue.Rejected:
        """Take a request in, whatever its chances."""
        self._decay_counters(now)
        place = server_queue.QueueEntry(work, now)
        self.waiting.append(place)
        return place

    def start_next(self, now: float) -> list[server_queue.QueueEntry]:
        """Return what starts now, in order of arrival."""
        found = []
        while self.waiting and self.running < self.slots:
            place = self.waiting.pop(0)
            place.state = server_queue.State.RUNNING
            place.started = now
            self.running += 1
            found.append(place)
        return found


@dataclasses.dataclass
class Request:
    """One request of a caller, with its tries so far."""

    kind: Kind
    began: float
    tries: int = 0

    @property
    def deadline(self) -> float:
        """Return when its caller gives it up."""
        return self.began + self.kind.deadline_s


class Service:
    """Four servers, their lines and the way requests choose."""

    def __init__(
        self, line: LineKind, choice: ChoiceKind, load: Load, seed: int
    ) -> None:
        self.choice = choice
        self.load = load
        self.rng = random.Random(seed)
        made = FifoLine if line is LineKind.FIFO else server_queue.ServerQueue
        self.lines = [made(SLOTS, 0.0) for _ in SPEEDS]
        self.places: dict[server_queue.QueueEntry, tuple[int, Request]] = {}
        self.turn = itertools.count()
        self.events: list[tuple[float, int, typing.Any]] = []
        self.number = itertools.count()
        self.asked: collections.Counter[str] = collections.Counter()
        self.times: dict[str, list[float]] = collections.defaultdict(list)

    def at(self, when: float, what: typing.Any) -> None:
        """Have something happen."""
        heapq.heappush(self.events, (when, next(self.number), what))

    def run(self) -> None:
        """Play the load to its end."""
        for kind in KINDS:
            for when in self._arrivals(kind):
                self.asked[kind.name] += 1
                self.at(when, Request(kind, when))
        while self.events:
            now, _, what = heapq.heappop(self.events)
            if isinstance(what, Request):
                self._send(what, now)
            else:
                self._done(what, now)

    def _arrivals(self, kind: Kind) -> collections.abc.Iterator[float]:
        now = 0.0
        while True:
            flooded = FLOOD[0] <= now < FLOOD[1]
            times = self.load.times.get(kind.name, 1.0) if flooded else 1.0
            now += self.rng.expovariate(kind.rate * times)
            if now >= LENGTH_S:
                return
            yield now

    def _send(self, request: Request, now: float) -> None:
        request.tries += 1
        kind = request.kind
        left_s = request.deadline - now
        if left_s <= 0:
            return
        work = server_queue.RequestProfile(
            kind.rank,
            kind.name,
            kind.target_s,
            left_s,
            kind.idempotent,
            now - request.began > kind.target_s,
        )
        retry_after_s = 0.0
        untried = list(range(len(SPEEDS)))
        while untried:
            server = self._choose(untried)
            untried.remove(server)
            match self.lines[server].submit(work, now):
                case server_queue.Rejected(_, retry_after_s):
                    continue
                case server_queue.QueueEntry() as place:
                    self.places[place] = (server, request)
                    self._fill(server, now)
                    return
        if request.tries < MOST_TRIES:
            after_s = min(retry_after_s, left_s / 3)
            if self.load.retry_at_once:
                after_s = 0.05
            self.at(now + after_s, request)

    def _choose(self, untried: list[int]) -> int:
        match self.choice:
            case ChoiceKind.ROUND_ROBIN:
                return untried[next(self.turn) % len(untried)]
            case ChoiceKind.LEAST_OUTSTANDING:
                return min(
                    untried,
                    key=lambda one: (
                        self.lines[one].outstanding(),
                        self.rng.random(),
                    ),
                )
            case ChoiceKind.DECISION:
                candidates = [
                    load_balancing.Candidate(
                        ids.MemberId(str(number)),
                        SLOTS,
                        self.lines[number].outstanding(),
                        self.lines[number].mean_of_all_s(),
                        False,
                        True,
                    )
                    for number in untried
                ]
                return int(
                    load_balancing.choose_server(candidates, self.rng) or 0
                )
            case never:
                typing.assert_never(never)

    def _fill(self, server: int, now: float) -> None:
        line = self.lines[server]
        for place in line.remove_expired(now):
            self.places.pop(place, None)
        for place in line.start_next(now):
            kind = self.places[place][1].kind
            took_s = self.rng.lognormvariate(0.0, 0.5) * kind.work_s
            self.at(now + took_s / self._speed(server, now), place)

    def _speed(self, server: int, now: float) -> float:
        speed = SPEEDS[server]
        flooded = FLOOD[0] <= now < FLOOD[1]
        if flooded and server == 1:
            speed /= self.load.slow_server
        if self.load.restart and now < 4.0:
            speed /= 2.0
        return speed

    def _done(self, place: server_queue.QueueEntry, now: float) -> None:
        server, request = self.places.pop(place)
        self.lines[server].remove(place, now, True)
        if now <= request.deadline:
            self.times[request.kind.name].append(now - request.began)
        self._fill(server, now)


def figures(
    line: LineKind, choice: ChoiceKind, load: Load
) -> dict[str, dict[str, float]]:
    """Return, by kind of work, shares and the time of 99 in 100."""
    asked: collections.Counter[str] = collections.Counter()
    times: dict[str, list[float]] = collections.defaultdict(list)
    for seed in SEEDS:
        service = Service(line, choice, load, seed)
        service.run()
        asked += service.asked
        for name, some in service.times.items():
            times[name].extend(some)
    found = {}
    for kind in KINDS:
        took = sorted(times[kind.name])
        in_time = sum(one <= kind.target_s for one in took)
        found[kind.name] = {
            "in_time": round(in_time / asked[kind.name], 3),
            "answered": round(len(took) / asked[kind.name], 3),
            "p99_s": round(took[int(0.99 * (len(took) - 1))], 2),
        }
    return found


def main() -> None:
    rows = []
    for load in LOADS:
        for line in LineKind:
            for choice in ChoiceKind:
                found = figures(line, choice, load)
                rows.append(
                    {
                        "load": load.name,
                        "line": line.value,
                        "choice": choice.value,
                        "kinds": found,
                    }
                )
                shares = "  ".join(
                    f"{name} {one['in_time']:.3f} {one['answered']:.3f} "
                    f"{one['p99_s']:5.2f}"
                    for name, one in found.items()
                )
                print(
                    f"{load.name:26} {line.value:9} {choice.value:18} {shares}"
                )
    RESULTS.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
