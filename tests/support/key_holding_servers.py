"""Backend servers that run requests only for keys that they were granted.

``ServerRun`` is one run of a server: what it holds and executes.
``KeyHoldingServer`` is the port at which its runs are reached.  Grants and
requests are recorded in an ``owner_observer.History``.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import itertools
import json
import random
import typing

from bronzepaddle_platform import grant_commands, header_names

from support import owner_observer, small_http

MAX_CLOCK_DRIFT: typing.Final = 0.02
"""Share by which the clock of a server is slow at most."""

LINK_HEALED_SLACK_S: typing.Final = 0.3
"""A grant that arrives this soon after its sender resumed doesn't count."""

LATE_READ_S: typing.Final = 0.05
"""If the loop was busy for so long, commands may have arrived before."""

CLOCK_TICK_S: typing.Final = 0.01
SLOTS: typing.Final = 8
WORK_S: typing.Final = (0.01, 0.02, 0.05, 0.1, 0.4)
"""Durations of requests; one is drawn for each."""

HEALTH_PATH: typing.Final = "/health"


class Clock:
    """Seconds since the start of a rig, and how late its loop has run."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.ticked_at = self.started_at
        self.late_since = self.started_at
        self.late_until = self.started_at
        self.longest_delay_s = 0.0

    def now(self) -> float:
        """Return the seconds since the start."""
        return self.loop.time() - self.started_at

    async def run(self) -> None:
        """Measure how late the loop runs."""
        while True:
            await asyncio.sleep(CLOCK_TICK_S)
            now = self.loop.time()
            if now - self.ticked_at > LATE_READ_S:
                self.late_since = self.ticked_at
                self.late_until = now + LATE_READ_S
            self.longest_delay_s = max(
                self.longest_delay_s, now - self.ticked_at
            )
            self.ticked_at = now

    def arrival(self) -> float:
        """Return the earliest time at which what is read now has arrived.

        A hold that counts from then is not longer than that of a server that
        reads its commands at once.
        """
        now = self.loop.time()
        if now < self.late_until:
            now = self.late_since
        elif now - self.ticked_at > LATE_READ_S:
            now = self.ticked_at
        return now - self.started_at


class Delay(enum.Enum):
    """Where a command is held up."""

    ON_THE_WAY = "on the way"
    IN_SERVER = "in the server"


@dataclasses.dataclass(frozen=True)
class CommandFaults:
    """Faults of the commands to a server; None or empty if there is none.

    A command is held up for a time drawn from ``delays_s``.  With ``lost`` it
    is executed without a response.
    """

    delay: Delay | None = None
    delays_s: tuple[float, float] = (0.0, 0.0)
    lost: small_http.NoResponse | None = None


NO_FAULTS: typing.Final = CommandFaults()


@dataclasses.dataclass
class HeldRange:
    """Keys that a run holds until ``until``, by its own clock."""

    first: int
    last: int
    token: int
    until: float


class ServerRun:
    """What one run of a server holds, has seen and executes."""

    def __init__(
        self, name: str, born_ms: int, drift: float, clock: Clock
    ) -> None:
        self.server_id = name
        self.born_ms = born_ms
        self.run = owner_observer.Run(f"{name}@{born_ms}")
        self.drift = drift
        self.clock = clock
        self.up = True
        self.sequence = itertools.count(1)
        self.held: list[HeldRange] = []
        self.seen: list[HeldRange] = []
        self.executing: list[int] = []

    def holds_until(self, key: int) -> float:
        """Return until when the run holds a key; 0 if it doesn't."""
        ends = (
            held.until for held in self.held if held.first <= key <= held.last
        )
        until = max(ends, default=0.0)
        return until if until > self.clock.now() else 0.0

    def is_superseded(self, command: grant_commands.Grant) -> bool:
        """Return whether a higher token was seen on one of the keys."""
        return any(
            seen.token > command.fence
            and seen.first <= command.target
            and command.first <= seen.last
            for seen in self.seen
        )

    def take(self, command: grant_commands.Grant, until: float) -> None:
        """Hold the keys of a grant until its end."""
        taken = HeldRange(command.first, command.target, command.fence, until)
        self.release(command.first, command.target)
        self.held.append(taken)
        self.seen = [
            seen
            for seen in self.seen
            if seen.first < taken.first
            or taken.last < seen.last
            or seen.token > taken.token
        ]
        self.seen.append(taken)

    def release(self, first: int, last: int) -> None:
        """Hold these keys no more."""
        now = self.clock.now()
        self.held = [
            part
            for held in self.held
            if now < held.until
            for part in _parts_outside(held, first, last)
        ]


def _parts_outside(
    held: HeldRange, first: int, last: int
) -> collections.abc.Iterator[HeldRange]:
    """Return what is left of a held range without the keys of another."""
    if held.last < first or last < held.first:
        yield held
        return
    if held.first < first:
        yield dataclasses.replace(held, last=first - 1)
    if last < held.last:
        yield dataclasses.replace(held, first=last + 1)


class KeyHoldingServer:
    """The server of one VM, over all of its runs.

    ``keyed`` is set if it runs requests only for the keys that it holds.
    ``resumed_at`` is when the process beside it was last resumed.
    """

    def __init__(
        self,
        name: str,
        address: str,
        keyed: bool,
        history: owner_observer.History,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self.name = name
        self.keyed = keyed
        self.history = history
        self.clock = clock
        self.randomness = randomness
        self.listener = small_http.Listener(address, self._handle)
        self.faults = NO_FAULTS
        self.resumed_at = float("-inf")
        self.current: ServerRun | None = None
        self.starts = 0
        self.uncounted_grants = 0

    async def start(self, born_ms: int, same_id: bool = False) -> ServerRun:
        """Start a run, which holds no keys."""
        if not same_id:
            self.starts += 1
        drift = self.randomness.uniform(0.0, MAX_CLOCK_DRIFT)
        server_id = f"i-{self.name}-{self.starts}"
        run = ServerRun(server_id, born_ms, drift, self.clock)
        self.current = run
        await self.listener.open()
        return run

    def crash(self) -> None:
        """End the run without a word."""
        if self.current is not None:
            self.current.up = False
            self.history.end(self.current.run, self.clock.now())
            self.current = None
        self.listener.close()
        self.listener.reset_connections()

    async def _handle(
        self, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        run = self.current
        if run is None:
            return small_http.NoResponse.RESET
        match request.start[1]:
            case grant_commands.GRANT_PATH | grant_commands.RELEASE_PATH:
                return await self._command(run, request)
            case path if path == HEALTH_PATH:
                headers = {"Instance-Id": run.server_id}
                return small_http.response(200, b"", headers)
            case _:
                return await self._execute(run, request)

    async def _command(
        self, run: ServerRun, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        """Hold up, execute and answer a command, as the faults say."""
        faults = self.faults
        arrived_at = self.clock.arrival()
        if faults.delay is not None:
            await asyncio.sleep(self.randomness.uniform(*faults.delays_s))
            if not run.up:
                return small_http.NoResponse.RESET
        if faults.delay is Delay.ON_THE_WAY:
            arrived_at = self.clock.now()
        if request.start[1] == grant_commands.GRANT_PATH:
            resumed = arrived_at < self.resumed_at + LINK_HEALED_SLACK_S
            counts = faults.delay is None and not resumed
            answer = self._grant(run, request.body, arrived_at, counts)
        else:
            answer = await self._release(run, request.body)
        return answer if faults.lost is None else faults.lost

    def _grant(
        self, run: ServerRun, body: bytes, arrived_at: float, counts: bool
    ) -> bytes:
        document = json.loads(body)
        command = grant_commands.Grant(
            document["from"],
            document["target"],
            document["fence"],
            document["hold_ms"],
        )
        if run.is_superseded(command):
            return small_http.response(409)
        now = self.clock.now()
        until = arrived_at + command.hold_ms / 1000 * (1 + run.drift)
        if until > now:
            run.take(command, until)
            self.uncounted_grants += not counts
            self.history.grant(
                run.run,
                command.first,
                command.target,
                command.fence,
                now,
                until,
                counts,
            )
        return small_http.response(200)

    async def _release(self, run: ServerRun, body: bytes) -> bytes:
        document = json.loads(body)
        first, last = document["from"], document["target"]
        run.release(first, last)
        self.history.cut(run.run, first, last, self.clock.now())
        while any(first <= key <= last for key in run.executing):
            await asyncio.sleep(CLOCK_TICK_S)
        handover = {header_names.HANDOVER: f"{run.server_id}x{first}"}
        return small_http.response(200, b"", handover)

    async def _execute(
        self, run: ServerRun, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        """Run a request, if the run holds its key and has a free slot."""
        headers = request.headers
        request_id = headers.get(header_names.REQUEST_ID.lower(), "")
        echo = {header_names.REQUEST_ID: request_id}
        refusal = {**echo, header_names.NOT_EXECUTED: "1"}
        expected = headers.get(header_names.EXPECTED_INSTANCE.lower())
        if expected not in (None, run.server_id):
            return small_http.response(421, b"", refusal)
        key = int(headers.get(header_names.SHARD_KEY.lower(), -1))
        if self.keyed and not run.holds_until(key):
            return small_http.response(421, b"", refusal)
        if len(run.executing) >= SLOTS:
            return small_http.response(503, b"", refusal)
        if not await self._work(run, key):
            return small_http.response(500, b"", echo)
        if not run.up:
            return small_http.NoResponse.RESET
        signature = {header_names.SERVER_SIGNATURE: f"{run.server_id}.ok"}
        return small_http.response(200, b"ok", {**echo, **signature})

    async def _work(self, run: ServerRun, key: int) -> bool:
        """Work for a while; return False if the hold ended before."""
        now = self.clock.now()
        work = self.history.begin(run.run, key, now) if self.keyed else None
        ends_at = now + self.randomness.choice(WORK_S)
        run.executing.append(key)
        # A hold may be renewed while the request runs.
        expires_at = run.holds_until(key) if self.keyed else ends_at
        while run.up and (now := self.clock.now()) < min(ends_at, expires_at):
            await asyncio.sleep(min(ends_at, expires_at) - now)
            expires_at = max(expires_at, run.holds_until(key))
        run.executing.remove(key)
        if work is not None:
            work.ended_at = min(work.ended_at, self.clock.now())
        return self.clock.now() >= ends_at
