"""Tests that TCP keepalive is set on each kind of connection."""

import asyncio
import errno
import socket
import time
import typing

import pytest
from bronzepaddle import cells, ids, verdicts
from bronzepaddle_backend import connections
from bronzepaddle_node import listen_sockets
from bronzepaddle_peers import stream_client, stream_messages
from bronzepaddle_platform import header_names, object_store
from bronzepaddle_store import http_calls

MAX_SILENCE_S: typing.Final = 3.0
"""Upper limit of the time until the kernel closes a dead connection."""


def assert_keepalive(sock: socket.socket) -> None:
    """Assert that the kernel closes the connection in time if it is dead."""

    def option(name: int) -> int:
        return sock.getsockopt(socket.IPPROTO_TCP, name)

    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert 0 < option(socket.TCP_USER_TIMEOUT) <= MAX_SILENCE_S * 1000
    probes_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
    assert option(socket.TCP_KEEPIDLE) + probes_s <= MAX_SILENCE_S


def test_connection_to_the_store() -> None:
    client = object_store.ObjectStore(
        "127.0.0.1:1", 1.0, http_calls.CallBudget(1)
    )
    pool = client.calls.pool.connection_from_host("127.0.0.1", 1)
    with socket.create_server(("127.0.0.1", 0)) as server:
        connection: typing.Any = pool.ConnectionCls(
            *server.getsockname(), **pool.conn_kw
        )
        connection.connect()
        assert_keepalive(connection.sock)
        connection.close()
    client.close()


def test_connection_to_the_backend_server() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        connection_pool = connections.Connections(
            ids.MemberId("me"),
            host,
            port,
            header_names.SERVER_HEADERS,
            time.monotonic,
        )
        connection = connection_pool._acquire(1.0, 1.0)
        assert_keepalive(connection.sock)
        connection.close()


def test_both_ends_of_a_stream_between_processes() -> None:
    accepted: list[socket.socket] = []

    async def open_stream() -> None:
        listener = listen_sockets.tcp_socket("127.0.0.1", 0)
        listener.listen()
        host, port = listener.getsockname()
        client = stream_client.Client()
        sending = asyncio.create_task(
            client.send(
                ids.MemberId("b"),
                cells.Address(host, port),
                typing.cast(
                    stream_messages.ForwardedRequest, stream_messages.Ping(1)
                ),
            )
        )
        server_side, _ = await asyncio.get_running_loop().run_in_executor(
            None, listener.accept
        )
        accepted.append(server_side)
        await asyncio.sleep(0.1)
        stream = client.streams[ids.MemberId("b")]
        protocol: typing.Any = stream.channel._protocol
        assert_keepalive(
            protocol.connection._transport.get_extra_info("socket")
        )
        sending.cancel()
        await client.close()
        listener.close()

    asyncio.run(open_stream())
    assert_keepalive(accepted[0])
    accepted[0].close()


@pytest.mark.parametrize(
    ("left_s", "reason"),
    [
        (2.0, verdicts.Reason.BACKEND_LOST),
        (0.005, verdicts.Reason.DEADLINE),
    ],
)
def test_dead_connection_is_distinguished_from_a_deadline(
    monkeypatch: pytest.MonkeyPatch, left_s: float, reason: verdicts.Reason
) -> None:
    """Guards against mistaking one for the other.

    The kernel reports both by the same error, but only a request on a dead
    connection may be retried.
    """
    connection_pool = connections.Connections(
        ids.MemberId("me"),
        "127.0.0.1",
        1,
        header_names.SERVER_HEADERS,
        lambda: 100.0,
    )
    timed_out = OSError(errno.ETIMEDOUT, "Connection timed out")

    def time_out(*_: object) -> typing.NoReturn:
        raise timed_out

    monkeypatch.setattr(connection_pool, "_exchange", time_out)
    monkeypatch.setattr(
        connection_pool,
        "_acquire",
        lambda *_: typing.cast(typing.Any, _Closable()),
    )
    request = connections.BackendRequest(
        ids.RequestId("r"),
        ids.ServiceName("shop"),
        "i",
        "GET",
        "/",
        (),
        b"",
        100.0 + max(left_s, 0.02),
        True,
    )
    if reason is verdicts.Reason.DEADLINE:
        times = iter((100.0, 100.0 + 0.02))
        connection_pool.time_now = lambda: next(times, 100.02)
    response = connection_pool.send(request, connections.Cancellation())
    assert response.reason is reason
    assert response.verdict is verdicts.Verdict.MAY_HAVE_RUN


class _Closable:
    """A fake connection that can only be closed."""

    def close(self) -> None:
        """Do nothing."""
