"""Tests that each token reaches one run of a server only.

A server may restart at its address between two grants, even under its id, and
be heard of late.
"""

import asyncio
import collections.abc
import contextlib
import random
import socket
import time
import typing

import pytest
from bronzepaddle import ids, verdicts
from bronzepaddle_backend import connections, key_grants
from bronzepaddle_platform import grant_commands, header_names
from support import (
    broken_reconcilers,
    fake_servers,
    key_holding_servers,
    owner_observer,
    scripted_server,
    simulated_cell,
    simulated_fleet,
    small_http,
)

SCHEDULE_LENGTH: typing.Final = 12
SEEDS: typing.Final = range(1, 13)


class AskedServer(key_holding_servers.KeyHoldingServer):
    """A server that counts the health requests to it.

    With ``closes`` it asks to close each connection after its response.
    """

    health_requests = 0
    closes = False

    async def _handle(
        self, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        self.health_requests += (
            request.start[1] == key_holding_servers.HEALTH_PATH
        )
        response = await super()._handle(request)
        if self.closes and isinstance(response, bytes):
            return response.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        return response


class Rig:
    """A server, and the commands to the run that it started first."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        self.server = AskedServer(
            "n",
            f"127.0.0.1:{port}",
            True,
            owner_observer.History(),
            key_holding_servers.Clock(),
            random.Random(1),
        )
        self.skipped_s = 0.0
        self.pool = connections.Connections(
            ids.MemberId("me"),
            "127.0.0.1",
            port,
            header_names.SERVER_HEADERS,
            lambda: time.monotonic() + self.skipped_s,
        )
        self.threads = grant_commands.CommandThreads()
        recipient = connections.Recipient("i-n-1", "/health")
        self.commands = grant_commands.GrantCommands(
            self.pool, self.threads, recipient
        )

    def grant(self) -> key_grants.KeyGrant:
        """Return a grant of some keys."""
        return key_grants.KeyGrant(
            0, 99, ids.Token(7), 2.5, self.pool.time_now(), ""
        )

    async def restart(self, same_id: bool) -> None:
        """Restart the server at its address."""
        self.server.crash()
        await asyncio.sleep(0.05)
        await self.server.start(2, same_id=same_id)

    def granted(self) -> int:
        """Return the number of grants that the current run holds."""
        assert self.server.current is not None
        return len(self.server.current.held)


@contextlib.asynccontextmanager
async def running_rig() -> collections.abc.AsyncIterator[Rig]:
    rig = Rig()
    await rig.server.start(1)
    try:
        yield rig
    finally:
        rig.pool.close()
        rig.threads.close()
        rig.server.crash()


@pytest.mark.parametrize("same_id", (False, True))
def test_grant_does_not_reach_the_next_run(same_id: bool) -> None:
    """Guards against a next run that takes keys under a token of before."""

    async def play() -> None:
        async with running_rig() as rig:
            first = await rig.commands.grant(rig.grant())
            await rig.restart(same_id)
            with pytest.raises(connections.OtherRunError) as raised:
                await rig.commands.grant(rig.grant(), first.reached)
            assert (raised.value.reached is not None) == same_id
            assert not rig.granted()

    asyncio.run(play())


def test_first_grant_does_not_reach_a_run_with_another_id() -> None:
    """Guards against a process that has restarted as well as its server."""

    async def play() -> None:
        async with running_rig() as rig:
            await rig.restart(same_id=False)
            with pytest.raises(connections.OtherRunError):
                await rig.commands.grant(rig.grant())
            assert not rig.granted()

    asyncio.run(play())


def test_release_by_another_run_is_not_confirmed() -> None:
    """Guards against a next run whose answer ends the grants of the last."""

    async def play() -> None:
        async with running_rig() as rig:
            first = await rig.commands.grant(rig.grant())
            await rig.restart(same_id=True)
            with pytest.raises(connections.OtherRunError):
                await rig.commands.release(0, 99, ids.Token(7), first.reached)

    asyncio.run(play())


def test_new_connection_to_the_same_run_is_known_by_an_open_one() -> None:
    """Guards against health requests, or new tokens, while nothing ends."""

    async def play() -> None:
        async with running_rig() as rig:
            first = await rig.commands.grant(rig.grant())
            for _ in range(3):
                # Too long for the connection to be used again.
                rig.skipped_s += connections.MAX_IDLE_NOT_IDEMPOTENT_S
                again = await rig.commands.grant(rig.grant(), first.reached)
                assert again.done
            await rig.commands.release(0, 99, ids.Token(7), first.reached)
            assert rig.server.health_requests == 1

    asyncio.run(play())


@pytest.mark.parametrize("same_id", (False, True))
def test_server_that_closes_connections_keeps_its_grants(
    same_id: bool,
) -> None:
    """Guards against renewals that end, or go on after a restart."""

    async def play() -> None:
        async with running_rig() as rig:
            rig.server.closes = True
            first = await rig.commands.grant(rig.grant())
            for _ in range(3):
                again = await rig.commands.grant(rig.grant(), first.reached)
                assert again.done
            await rig.restart(same_id)
            with pytest.raises(connections.OtherRunError):
                await rig.commands.grant(rig.grant(), first.reached)

    asyncio.run(play())


def test_refused_requests_leave_the_run_known() -> None:
    """Guards against new tokens, and waits for them, while a server sheds.

    Each refusal ends the use of a connection, also of that of the grants.
    """

    async def play() -> None:
        async with running_rig() as rig:
            first = await rig.commands.grant(rig.grant())
            for _ in range(3):
                refused = await asyncio.to_thread(
                    rig.pool.send,
                    scripted_server.backend_request(
                        server_id="i-other", deadline=rig.pool.time_now() + 9
                    ),
                    connections.Cancellation(),
                )
                assert refused.verdict is verdicts.Verdict.NOT_RUN
            again = await rig.commands.grant(rig.grant(), first.reached)
            assert again.done
            assert rig.server.health_requests == 1

    asyncio.run(play())


def play_restarts(
    seed: int, server_type: type[fake_servers.FakeServer]
) -> None:
    scenario = simulated_fleet.random_scenario(
        random.Random(seed), SCHEDULE_LENGTH, simulated_fleet.RESTART_ACTIONS
    )
    simulated_fleet.run_scenario(scenario, seed, server_type)


@pytest.mark.parametrize(
    "server_type", (fake_servers.FakeServer, fake_servers.ReportingServer)
)
@pytest.mark.parametrize("seed", SEEDS)
def test_random_restarts_break_no_rule(
    seed: int, server_type: type[fake_servers.FakeServer]
) -> None:
    play_restarts(seed, server_type)


@pytest.mark.parametrize("variant", broken_reconcilers.RESTART_VARIANTS)
def test_random_restarts_catch_a_broken_build(variant: str) -> None:
    with (
        broken_reconcilers.patched(variant),
        pytest.raises(simulated_cell.Violation, match="got token"),
    ):
        for seed in SEEDS:
            play_restarts(seed, fake_servers.FakeServer)
