"""Tests that grants are as long as the work that runs under them.

The fleets are simulated ones.  In some of them all work is long, so that all
grants last as long as they may.
"""

import asyncio
import collections.abc
import concurrent.futures
import contextlib
import random
import typing
import unittest.mock

import pytest
from bronzepaddle import http_messages, ids, store_leases, verdicts
from bronzepaddle.load import cold_servers, expected_cost, grant_times
from bronzepaddle_node import crash_detector, local_backend
from bronzepaddle_node.keys import keyed_work
from bronzepaddle_peers import pacing, stream_client, stream_messages
from bronzepaddle_platform import header_names
from support import (
    broken_reconcilers,
    server_faults,
    simulated_cell,
    simulated_fleet,
)

LONG_WORK_S: typing.Final = 1.4
TOO_LONG_WORK_S: typing.Final = 5.0
"""Longer than any grant by command."""

ROUTE: typing.Final = "order"
KEY: typing.Final = 7
SCHEDULE_LENGTH: typing.Final = 40
SETTLE_S: typing.Final = 6.0
"""Time after a fault in which the keys settle: longer than a lease."""

LITTLE_LEFT_S: typing.Final = 0.9
"""Rest of a grant that is too short for the long work."""


SHORT_WAIT_S: typing.Final = 1.9
"""Longest time without servers after a restart of all, if the work is short:
that of a grant, and some checks of the reconcilers."""


@contextlib.contextmanager
def long_work() -> collections.abc.Iterator[None]:
    """Let all servers have long work."""
    with unittest.mock.patch.object(
        grant_times.WorkTimes, "longest_needed_s", lambda _self: LONG_WORK_S
    ):
        yield


class RecordingExecutor(concurrent.futures.Executor):
    """Runs each request for ``work_s``; records what was left of its grant.

    The responses have the status ``status``.
    """

    def __init__(self, process: simulated_fleet.Process) -> None:
        self.process = process
        self.left_s: list[float] = []
        self.work_s = 0.0
        self.status = 200

    def submit(
        self,
        function: collections.abc.Callable[..., typing.Any],
        /,
        *_arguments: typing.Any,
        **_options: typing.Any,
    ) -> concurrent.futures.Future[typing.Any]:
        """Respond after the work, without calling the function."""
        now = self.process.clock.now()
        self.left_s.append(self.process.held.left_s(KEY, now))
        future: concurrent.futures.Future[typing.Any] = (
            concurrent.futures.Future()
        )
        response = http_messages.Response(
            self.status,
            (),
            iter(()),
            verdicts.Verdict.RAN,
            verdicts.Reason.SERVED,
            self.process.name,
        )
        loop = self.process.fleet.loop
        loop.call_later(self.work_s, future.set_result, response)
        return future


class Sender:
    """Sends requests to the server that holds ``KEY``."""

    def __init__(self, fleet: simulated_fleet.SimulatedFleet) -> None:
        self.process = next(
            process
            for process in fleet.processes.values()
            if process.held.holds(KEY, process.clock.now())
        )
        self.executor = RecordingExecutor(self.process)
        clock = self.process.clock
        self.backend = local_backend.LocalBackend(
            self.process.name,
            header_names.SERVER_HEADERS,
            self.process.tracker,
            self.process.held,
            self.executor,
            crash_detector.CrashDetector(clock, lambda: None),
            pacing.Pacer(None, clock),
            cold_servers.unlimited(clock.now()),
            clock,
            lambda: None,
            expected_cost.CostModel(),
        )
        latest = self.process.tracker.latest
        assert latest is not None
        self.announcement = latest.announcement
        self.backend.on_announcement(self.announcement)

    def left_s(self) -> float:
        """Return what is left of the grant of the key."""
        return self.process.held.left_s(KEY, self.process.clock.now())

    async def wait_until_left_s_is_below(self, bound_s: float) -> None:
        while not 0 < self.left_s() < bound_s:
            await asyncio.sleep(0.005)

    def learn_long_work(self) -> None:
        for _ in range(50):
            self.process.held.work_times.record(ROUTE, LONG_WORK_S / 1.1)

    async def send(self) -> http_messages.Response:
        request = stream_messages.ForwardedRequest(
            1,
            ids.RequestId("r1"),
            ids.ServiceName(""),
            self.announcement.service,
            ROUTE,
            self.announcement.run,
            "POST",
            "/",
            (),
            KEY,
            0,
            False,
            10.0,
            5.0,
            False,
            b"",
        )
        reply: stream_client.Reply = await self.backend.handle(request)
        return reply.response


async def request_arrives_when_little_is_left(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    sender = Sender(fleet)
    await sender.wait_until_left_s_is_below(LITTLE_LEFT_S)
    sender.learn_long_work()
    response = await sender.send()
    assert response.verdict is verdicts.Verdict.RAN
    assert sender.executor.left_s[0] > LONG_WORK_S
    assert sender.process.held.renewals.waits == 1


@pytest.mark.parametrize("seed", range(1, 4))
def test_request_waits_for_the_renewal_of_its_grant(seed: int) -> None:
    simulated_fleet.run_scenario(request_arrives_when_little_is_left, seed)


async def work_outlasts_its_grant(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Let work outlast its grants until its times are known.

    A server's own failure doesn't count.
    """
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    sender = Sender(fleet)
    sender.executor.status = 500
    await sender.send()
    renewals = sender.process.held.renewals
    assert renewals.cut_off == 0
    sender.executor.work_s = LONG_WORK_S + 0.2
    unknown_runs = int(grant_times.MIN_RUNS) + 1
    for count in range(1, unknown_runs + 1):
        await sender.send()
        assert renewals.cut_off == count
    needed_s = sender.process.held.work_times.needed_s(ROUTE)
    assert needed_s > sender.executor.work_s
    await asyncio.sleep(SETTLE_S)
    sent = len(sender.executor.left_s)
    assert (await sender.send()).verdict is verdicts.Verdict.RAN
    assert len(sender.executor.left_s) == sent + 1
    assert renewals.cut_off == unknown_runs


@pytest.mark.parametrize("seed", range(1, 4))
def test_work_that_outlasts_its_grant_is_learned(seed: int) -> None:
    simulated_fleet.run_scenario(work_outlasts_its_grant, seed)


async def server_becomes_fast_again(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Learn work that no grant is long enough for, then short work."""
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    sender = Sender(fleet)
    for _ in range(50):
        sender.process.held.work_times.record(ROUTE, TOO_LONG_WORK_S)
    await asyncio.sleep(SETTLE_S)
    for _ in range(200):
        response = await sender.send()
        assert response.verdict is verdicts.Verdict.RAN
        await asyncio.sleep(0.05)
    assert sender.process.held.work_times.typical_s(ROUTE) < 0.1


@pytest.mark.parametrize("seed", range(1, 4))
def test_server_that_becomes_fast_again_is_served(seed: int) -> None:
    simulated_fleet.run_scenario(server_becomes_fast_again, seed)


async def commands_are_delayed(fleet: simulated_fleet.SimulatedFleet) -> None:
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    sender = Sender(fleet)
    await sender.wait_until_left_s_is_below(LITTLE_LEFT_S)
    fleet.send_delays_s[sender.process.name] = 1.0
    sender.learn_long_work()
    started_at = fleet.loop.time()
    assert (await sender.send()).verdict is verdicts.Verdict.NOT_RUN
    waited_s = fleet.loop.time() - started_at
    assert waited_s <= keyed_work.MAX_RENEWAL_WAIT_S + 0.01
    assert (await sender.send()).verdict is verdicts.Verdict.NOT_RUN
    assert fleet.loop.time() - started_at == pytest.approx(waited_s)


@pytest.mark.parametrize("seed", range(1, 4))
def test_only_one_request_waits_while_commands_are_delayed(seed: int) -> None:
    simulated_fleet.run_scenario(commands_are_delayed, seed)


async def request_arrives_when_the_lease_ends(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    sender = Sender(fleet)
    await simulated_fleet.apply_event(fleet, "store-down", "a")
    await sender.wait_until_left_s_is_below(0.3)
    sender.learn_long_work()
    response = await sender.send()
    assert response.verdict is verdicts.Verdict.NOT_RUN
    assert response.reason is verdicts.Reason.NOT_OWNER
    assert sender.executor.left_s == []


@pytest.mark.parametrize("seed", range(1, 4))
def test_request_is_rejected_without_a_renewal(seed: int) -> None:
    simulated_fleet.run_scenario(request_arrives_when_the_lease_ends, seed)


@pytest.mark.parametrize("seed", range(1, 13))
@pytest.mark.parametrize(
    "random_scenario",
    [simulated_fleet.random_scenario, server_faults.random_scenario],
    ids=["members", "servers"],
)
def test_schedule_with_long_work(
    random_scenario: collections.abc.Callable[
        [random.Random, int], simulated_fleet.Scenario
    ],
    seed: int,
) -> None:
    scenario = random_scenario(random.Random(seed), SCHEDULE_LENGTH)
    with long_work():
        simulated_fleet.run_scenario(scenario, seed)


async def process_restarts_after_a_long_grant(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Start a process and a server anew; an earlier run holds the keys."""
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    accepted = fleet.servers["a"].accepted
    shortest_s = store_leases.StoreLeaseTimes().command_hold_s
    while accepted[-1].valid_until - fleet.loop.time() <= shortest_s + 0.3:
        await asyncio.sleep(0.001)
    await fleet.kill("a")
    fleet.move_server("a")
    fleet.start("a")
    await fleet.wait_until_served(SETTLE_S)


@pytest.mark.parametrize("seed", range(1, 6))
def test_restarted_process_waits_for_long_grants(seed: int) -> None:
    with long_work():
        simulated_fleet.run_scenario(process_restarts_after_a_long_grant, seed)


async def restart_after_short_work(
    fleet: simulated_fleet.SimulatedFleet,
) -> None:
    """Check that keys wait no longer than grants for short work last."""
    await simulated_fleet.start_all(fleet)
    await asyncio.sleep(SETTLE_S)
    for name in simulated_fleet.MEMBERS:
        await fleet.kill(name)
    for name in simulated_fleet.MEMBERS:
        fleet.start_server(name)
        fleet.start(name)
    assert await fleet.wait_until_served(SETTLE_S) <= SHORT_WAIT_S


@pytest.mark.parametrize("seed", range(1, 6))
def test_restart_is_not_delayed_by_long_grants_that_nobody_had(
    seed: int,
) -> None:
    simulated_fleet.run_scenario(restart_after_short_work, seed)


CAUGHT_BY: typing.Final = {
    "short-restart-wait": 1,
    "unrecorded-long-grants": 1,
}
"""For each broken build, the seed that must detect it."""


@pytest.mark.parametrize("variant", broken_reconcilers.LONG_WORK_VARIANTS)
def test_broken_build_is_caught(variant: str) -> None:
    with (
        long_work(),
        broken_reconcilers.patched(variant),
        pytest.raises(simulated_cell.Violation, match=r"\) and \("),
    ):
        simulated_fleet.run_scenario(
            process_restarts_after_a_long_grant, CAUGHT_BY[variant]
        )
