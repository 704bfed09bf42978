"""Faults of processes, servers and their links, drawn by a seed."""

import collections.abc
import dataclasses
import random
import typing

from support import key_holding_servers, metadata_store, small_http

FAULTS_PER_S: typing.Final = 0.28
"""Rate of the faults of one VM, if all get the same number."""

MAX_FAULTS_PER_S: typing.Final = 6.0
"""Rate of all faults at most, so that many VMs are not all struck at once."""

FOCUS_S: typing.Final = 10.0
"""Time for which most faults strike the same few VMs, so that they overlap."""

FOCUS_SHARE: typing.Final = 0.6
FOCUS_DIVISOR: typing.Final = 4
"""One in so many VMs is in the focus, one at least."""


@dataclasses.dataclass(frozen=True)
class PauseProcess:
    """The process stops and continues after a time."""

    duration_s: float


@dataclasses.dataclass(frozen=True)
class EndProcess:
    """The process is killed, or told to stop, and started again."""

    killed: bool
    down_s: float


@dataclasses.dataclass(frozen=True)
class RefuseConnections:
    """A live server refuses connections; its open ones are reset or stay."""

    duration_s: float
    resets: bool


@dataclasses.dataclass(frozen=True)
class ResetConnections:
    """All connections of a live server are reset."""


@dataclasses.dataclass(frozen=True)
class CrashServer:
    """A server crashes and starts again, as the same id or another."""

    down_s: float
    same_id: bool


@dataclasses.dataclass(frozen=True)
class HoldUpReports:
    """A live server's reports arrive late, those of an earlier run meanwhile.

    ``earlier_per_s`` is the rate of the latter; ``same_address`` is set if
    they name the address of the live server.
    """

    duration_s: float
    earlier_per_s: float
    same_address: bool


@dataclasses.dataclass(frozen=True)
class DisturbCommands:
    """Commands to a server are held up or get no response."""

    duration_s: float
    faults: key_holding_servers.CommandFaults


@dataclasses.dataclass(frozen=True)
class DisturbStore:
    """The store serves one process badly."""

    duration_s: float
    fault: metadata_store.Fault


Fault: typing.TypeAlias = (
    PauseProcess
    | EndProcess
    | RefuseConnections
    | ResetConnections
    | CrashServer
    | HoldUpReports
    | DisturbCommands
    | DisturbStore
)


@dataclasses.dataclass(frozen=True)
class Moment:
    """A fault of a VM, ``at`` seconds after the first one may strike."""

    at: float
    vm: int
    fault: Fault


def plan(
    seed: int, vms: int, duration_s: float
) -> collections.abc.Iterator[Moment]:
    """Draw the faults of some VMs; those with low numbers are in all plans."""
    randomness = random.Random(seed)
    rate_per_s = min(vms * FAULTS_PER_S, MAX_FAULTS_PER_S)
    at = 0.0
    focus: list[int] = []
    focus_ends_at = 0.0
    while True:
        at += randomness.expovariate(rate_per_s)
        if at >= duration_s:
            return
        if at >= focus_ends_at:
            focus_ends_at = at + FOCUS_S
            focus = randomness.sample(range(vms), max(1, vms // FOCUS_DIVISOR))
        in_focus = randomness.random() < FOCUS_SHARE
        vm = randomness.choice(focus if in_focus else range(vms))
        yield Moment(at, vm, draw(randomness))


def draw(randomness: random.Random) -> Fault:
    """Draw one fault."""
    uniform = randomness.uniform
    match randomness.randrange(10):
        case 0 | 1:
            return PauseProcess(uniform(0.2, 8.0))
        case 2:
            return EndProcess(randomness.random() < 0.6, uniform(0.0, 3.0))
        case 3 | 4:
            return RefuseConnections(
                randomness.choice((0.05, 0.6, 4.0)) * uniform(0.5, 1.0),
                randomness.random() < 0.8,
            )
        case 5:
            return ResetConnections()
        case 6:
            return CrashServer(uniform(0.1, 4.0), randomness.random() < 0.3)
        case 7:
            return HoldUpReports(
                uniform(1.0, 7.0),
                randomness.choice((0.0, 2.0, 10.0)),
                randomness.random() < 0.7,
            )
        case 8:
            return DisturbCommands(
                uniform(0.5, 6.0), _draw_commands(randomness)
            )
        case _:
            return DisturbStore(
                uniform(0.5, 8.0),
                metadata_store.Fault(
                    randomness.choice(list(metadata_store.FaultKind)),
                    uniform(0.2, 5.0),
                ),
            )


def _draw_commands(
    randomness: random.Random,
) -> key_holding_servers.CommandFaults:
    if randomness.random() < 0.4:
        lost = randomness.choice(list(small_http.NoResponse))
        return key_holding_servers.CommandFaults(lost=lost)
    return key_holding_servers.CommandFaults(
        randomness.choice(list(key_holding_servers.Delay)),
        (0.1, randomness.choice((0.4, 2.0, 6.0))),
    )
