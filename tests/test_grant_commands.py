"""Tests of the commands that grant keys, against a scripted server.

The server counts the time of a grant from the arrival of the command, so the
command must not contain time that has passed before it is sent.
"""

import asyncio
import contextlib
import threading
import typing
import unittest.mock

import msgspec
import pytest
from bronzepaddle import bounded_http, ids
from bronzepaddle_backend import connections, key_grants
from bronzepaddle_platform import grant_commands, header_names
from support import scripted_server

DECIDED_AT: typing.Final = 1000.0
GRANT: typing.Final = key_grants.KeyGrant(
    0, 99, ids.Token(7), 2.5, DECIDED_AT, "text"
)
ACCEPTED: typing.Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class SlowConnections(connections.Connections):
    """Connections of which each one takes a time on a fake clock."""

    def __init__(self, port: int) -> None:
        self.now = DECIDED_AT
        self.connect_s = 0.0
        super().__init__(
            ids.MemberId("me"),
            "127.0.0.1",
            port,
            header_names.SERVER_HEADERS,
            lambda: self.now,
        )

    def _connect(self, timeout_s: float) -> bounded_http.Connection:
        """Return a new connection, after ``connect_s`` on the fake clock."""
        self.now += self.connect_s
        return super()._connect(timeout_s)


@pytest.fixture
def server() -> scripted_server.ScriptedServer:
    return scripted_server.ScriptedServer([ACCEPTED, ACCEPTED])


@pytest.fixture
def pool(
    server: scripted_server.ScriptedServer,
) -> typing.Iterator[SlowConnections]:
    with contextlib.closing(SlowConnections(server.port)) as slow_pool:
        yield slow_pool


def send(
    pool: connections.Connections, threads: grant_commands.CommandThreads
) -> key_grants.CommandResult:
    commands = grant_commands.GrantCommands(pool, threads)
    with contextlib.closing(threads):
        return asyncio.run(commands.grant(GRANT))


def hold_ms(request: bytes) -> int:
    body = request.partition(b"\r\n\r\n")[2]
    command = msgspec.json.decode(body, type=grant_commands.Grant)
    return command.hold_ms


def test_time_of_a_grant_is_not_prolonged_by_a_slow_connect(
    server: scripted_server.ScriptedServer, pool: SlowConnections
) -> None:
    pool.connect_s = 0.75
    assert send(pool, grant_commands.CommandThreads()).done
    assert hold_ms(server.requests[0]) == 1750


def test_time_of_a_grant_is_not_prolonged_by_a_wait_for_the_thread(
    server: scripted_server.ScriptedServer, pool: SlowConnections
) -> None:
    threads = grant_commands.CommandThreads()
    is_free = threading.Event()
    threads.grants.submit(is_free.wait, 20)

    submit = threads.grants.submit

    def submit_before_a_wait(*call: typing.Any) -> typing.Any:
        future = submit(*call)
        pool.now += 1.25
        is_free.set()
        return future

    with unittest.mock.patch.object(
        threads.grants, "submit", submit_before_a_wait
    ):
        assert send(pool, threads).done
    assert hold_ms(server.requests[0]) == 1250


def test_grant_is_not_sent_once_its_time_is_over(
    server: scripted_server.ScriptedServer, pool: SlowConnections
) -> None:
    pool.connect_s = 2.5
    with pytest.raises(connections.CommandNotSentError):
        send(pool, grant_commands.CommandThreads())
    pool.close()
    assert server.closed.wait(20)
    assert not server.requests


def test_connection_of_a_grant_that_was_not_sent_is_kept(
    server: scripted_server.ScriptedServer, pool: SlowConnections
) -> None:
    pool.connect_s = 2.5
    with pytest.raises(connections.CommandNotSentError):
        send(pool, grant_commands.CommandThreads())
    pool.now = DECIDED_AT
    assert send(pool, grant_commands.CommandThreads()).done
    assert hold_ms(server.requests[0]) == 2500
