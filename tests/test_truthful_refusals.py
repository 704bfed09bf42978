"""Tests that what reached no server is answered as not run, and in time.

The process that holds a request answers it before the process that forwarded
it gives up, since that one can't know whether the request has run.
"""

import asyncio
import contextlib
import random
import socket
import time
import typing

import pytest
from bronzepaddle import cells, clocks, ids, verdicts
from bronzepaddle_backend import connections
from bronzepaddle_node import peer_table, router
from bronzepaddle_peers import stream_client
from support import local_processes, sample_status, scripted_server

HOP_S: typing.Final = 0.05
"""Time that a refusal may take to the process that forwarded the request."""


async def refusal_of_waiting_request(
    time_left_s: float, clock: clocks.Clock
) -> stream_client.Reply:
    """Return the reply to a request that gets no slot until its deadline."""
    backend = local_processes.backend(clock, slots=1)
    run = backend.server_run
    assert run is not None
    # A request that takes longer than the deadline of the next one.
    run.queue.running = 1
    async with asyncio.timeout(time_left_s - HOP_S):
        return await backend.handle(
            local_processes.forwarded_request(time_left_s=time_left_s)
        )


@pytest.mark.parametrize("time_left_s", [0.5, 2.0, 5.0])
def test_request_that_gets_no_slot_is_refused_before_its_deadline(
    time_left_s: float,
) -> None:
    """Nothing happened at the server meanwhile that woke the queue."""
    reply = local_processes.run_simulated(
        lambda clock: refusal_of_waiting_request(time_left_s, clock)
    )
    response = reply.response
    assert (response.verdict, response.status) == (
        verdicts.Verdict.NOT_RUN,
        503,
    )
    assert response.retry_after_s is not None


def test_connection_that_is_not_accepted_is_given_up_before_the_deadline() -> (
    None
):
    with contextlib.ExitStack() as stack:
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        stack.enter_context(listener)
        # Connections beyond the backlog are not answered.
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        pool = scripted_server.connection_pool(listener.getsockname()[1])
        stack.enter_context(contextlib.closing(pool))
        deadline = time.monotonic() + 0.4
        response = pool.send(
            scripted_server.backend_request(deadline=deadline),
            connections.Cancellation(),
        )
        left_s = deadline - time.monotonic()
    assert response.reason is verdicts.Reason.CONNECT_FAILED
    assert response.verdict is verdicts.Verdict.NOT_RUN
    assert left_s > HOP_S


class UnconnectedStreams(stream_client.Client):
    """Streams whose connections are not accepted."""

    def _stream_to(
        self, member: ids.MemberId, address: cells.Address
    ) -> typing.Any:
        return UnconnectedStream()


class UnconnectedStream:
    """A stream that writes nothing."""

    def __init__(self) -> None:
        self.pending: dict[int, typing.Any] = {}
        self.outgoing: asyncio.Queue[typing.Any] = asyncio.Queue()

    def send(self, pending: typing.Any) -> None:
        self.pending[pending.request.number] = pending


class SilentStream(UnconnectedStream):
    """A stream that writes everything and receives nothing."""

    def send(self, pending: typing.Any) -> None:
        super().send(pending)
        pending.sent = True


class SilentStreams(stream_client.Client):
    """Streams on which requests are written and never answered."""

    def _stream_to(
        self, member: ids.MemberId, address: cells.Address
    ) -> typing.Any:
        return SilentStream()


@pytest.mark.parametrize(
    ("streams", "verdict", "status"),
    [
        (UnconnectedStreams, verdicts.Verdict.NOT_RUN, 503),
        (SilentStreams, verdicts.Verdict.MAY_HAVE_RUN, 504),
    ],
)
def test_only_what_was_written_to_a_peer_may_have_run_at_the_deadline(
    streams: type[stream_client.Client],
    verdict: verdicts.Verdict,
    status: int,
) -> None:
    unused: typing.Any = None
    table = peer_table.PeerTable(ids.MemberId("me"), ids.ZoneName("zone"))

    async def send(clock: clocks.Clock) -> typing.Any:
        table.update(sample_status.PLAIN, clock.now())
        peer = table.peers[sample_status.PLAIN.sender]
        sender = router.Router(
            ids.MemberId("me"),
            ids.ServiceName("shop"),
            table,
            unused,
            streams(),
            unused,
            unused,
            clock,
            random.Random(1),
        )
        reply = await sender._send(
            peer, local_processes.forwarded_request(time_left_s=0.3)
        )
        assert peer.in_flight == 0
        return reply.response

    response = local_processes.run_simulated(send)
    assert (response.verdict, response.status) == (verdict, status)


def test_request_in_its_last_moment_still_runs_if_a_slot_is_free() -> None:
    """A request that can start at once is not refused for the margin."""

    async def start(clock: clocks.Clock) -> int:
        backend = local_processes.backend(clock, slots=1)
        run = backend.server_run
        assert run is not None
        sending = asyncio.ensure_future(
            backend.handle(local_processes.forwarded_request(time_left_s=0.08))
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        running = run.queue.running
        sending.cancel()
        return running

    assert local_processes.run_simulated(start) == 1
