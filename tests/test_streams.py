"""Tests of statuses on the request streams between processes."""

import asyncio
import typing

import msgspec
import pytest
from bronzepaddle import (
    cells,
    clocks,
    held_body,
    http_messages,
    ids,
    verdicts,
)
from bronzepaddle.load import body_budget
from bronzepaddle_node import listen_sockets, peer_table
from bronzepaddle_peers import (
    incoming_bodies,
    pacing,
    statuses,
    stream_client,
    stream_messages,
    stream_service,
)
from support import sample_status

WAIT_S: typing.Final = 30.0
STATUS: typing.Final = sample_status.status(sequence=9)
UNPACED: typing.Final = pacing.Pacer(None, clocks.BootClock())


def test_peer_replies_to_status_request() -> None:
    async def serve(
        _request: stream_messages.ForwardedRequest,
    ) -> stream_client.Reply:
        raise NotImplementedError

    def config(_request: statuses.ConfigRequest) -> statuses.ConfigReply:
        raise NotImplementedError

    def ownership(
        _request: statuses.OwnershipRequest,
    ) -> statuses.OwnershipReply:
        raise NotImplementedError

    async def exchange_status() -> statuses.Status:
        received: asyncio.Future[statuses.Status] = asyncio.Future()
        server = stream_service.server(
            stream_service.Service(
                stream_service.RequestHandlers(
                    serve, config, ownership, lambda: STATUS
                ),
                UNPACED,
            )
        )
        socket = listen_sockets.tcp_socket("127.0.0.1", 0)
        await server.start(sock=socket)
        client = stream_client.Client()
        client.on_status = received.set_result
        host, port = socket.getsockname()
        client.request_status(STATUS.sender, cells.Address(host, port))
        try:
            async with asyncio.timeout(WAIT_S):
                return await received
        finally:
            await client.close()
            server.close()

    assert asyncio.run(exchange_status()) == STATUS


def test_reply_counts_as_sign_of_life_but_not_as_status() -> None:
    table = peer_table.PeerTable(ids.MemberId("a"), ids.ZoneName("zone"))
    table.update(sample_status.PLAIN, 0.0)
    peer = table.peers[sample_status.PLAIN.sender]
    unused_response = typing.cast(typing.Any, verdicts.Verdict.RAN)
    table.record_reply(
        peer, stream_client.Reply(unused_response, 1, 0.1, True), 5.0
    )
    assert table.is_alive(peer, 5.5)
    assert peer.status_received_at == 0.0


LARGE_BODY: typing.Final = bytes(range(256)) * 8192
"""A body of two MiB, which is sent in many parts."""


STREAM_IDLE_S: typing.Final = 0.1
OUTSTANDING: typing.Final = 7
SERVICE_S: typing.Final = 0.5


def forward_large_body(
    service_budget: body_budget.BodyBudget,
    client_budget: body_budget.BodyBudget,
    in_parts: bool,
) -> tuple[http_messages.Response, list[bytes]]:
    """Return the response to ``exchange_large_body`` and the bodies served."""
    reply, served = exchange_large_body(
        service_budget, client_budget, in_parts
    )
    return reply.response, served


def exchange_large_body(
    service_budget: body_budget.BodyBudget,
    client_budget: body_budget.BodyBudget,
    in_parts: bool,
) -> tuple[stream_client.Reply, list[bytes]]:
    """Send a request with a large body to a peer that returns it.

    Returns the reply and the bodies that were served.
    """
    served: list[bytes] = []

    async def serve(
        request: stream_messages.ForwardedRequest,
    ) -> stream_client.Reply:
        served.append(bytes(request.body))
        return stream_client.Reply(
            http_messages.Response(
                200,
                (),
                held_body.Pieces(request.body),
                verdicts.Verdict.RAN,
                verdicts.Reason.SERVED,
                ids.MemberId("peer"),
            ),
            has_load=True,
        )

    async def exchange() -> stream_client.Reply:
        handlers = stream_service.RequestHandlers(
            serve,
            typing.cast(stream_service.ConfigSource, None),
            typing.cast(stream_service.OwnershipSource, None),
            lambda: STATUS,
            lambda response: stream_client.Reply(
                response, OUTSTANDING, SERVICE_S, True
            ),
        )
        server = stream_service.server(
            stream_service.Service(handlers, UNPACED, service_budget)
        )
        socket = listen_sockets.tcp_socket("127.0.0.1", 0)
        await server.start(sock=socket)
        client = stream_client.Client(client_budget)
        host, port = socket.getsockname()
        try:
            async with asyncio.timeout(WAIT_S):
                reply = await client.send(
                    STATUS.sender,
                    cells.Address(host, port),
                    forwarded_request(LARGE_BODY),
                    in_parts,
                )
            # Lets both sides of the stream wait for the next message.
            await asyncio.sleep(STREAM_IDLE_S)
            held_on_idle_streams.append(service_budget.held_bytes)
            return reply
        finally:
            await client.close()
            server.close()

    return asyncio.run(exchange()), served


held_on_idle_streams: list[int] = []
"""Bytes held at the receiver of each exchange, while its stream was open."""


def test_idle_stream_holds_no_body() -> None:
    """Guards against a receiver that keeps the last body of each stream.

    It would be refused room for others until the next request came.
    """
    held_on_idle_streams.clear()
    forward_large_body(
        body_budget.BodyBudget(), body_budget.BodyBudget(), True
    )
    assert held_on_idle_streams == [0]


def forwarded_request(body: bytes) -> stream_messages.ForwardedRequest:
    """Return a request that is forwarded to a peer."""
    return stream_messages.ForwardedRequest(
        number=1,
        request_id=ids.RequestId("r"),
        caller_service=ids.ServiceName("shop"),
        service=ids.ServiceName("shop"),
        route="route",
        run="run",
        method="POST",
        target="/a",
        headers=(),
        key=-1,
        rank=0,
        idempotent=False,
        time_left_s=WAIT_S,
        target_s=WAIT_S,
        late=False,
        body=body,
    )


@pytest.mark.parametrize("in_parts", [False, True])
def test_large_body_reaches_a_peer_and_comes_back(in_parts: bool) -> None:
    """A peer of an earlier release gets the body in one message."""
    response, served = forward_large_body(
        body_budget.BodyBudget(), body_budget.BodyBudget(), in_parts
    )
    assert served == [LARGE_BODY]
    assert b"".join(response.body) == LARGE_BODY


@pytest.mark.parametrize("in_parts", [False, True])
def test_peer_without_room_does_not_run_a_request(in_parts: bool) -> None:
    response, served = forward_large_body(
        body_budget.BodyBudget(0), body_budget.BodyBudget(), in_parts
    )
    # Earlier releases don't know the reason of today's refusal.
    assert response.reason is (
        verdicts.Reason.MEMORY_FULL if in_parts else verdicts.Reason.QUEUE_FULL
    )
    assert response.verdict is verdicts.Verdict.NOT_RUN
    assert response.retry_after_s is not None
    assert not served


def test_refusal_by_a_peer_without_room_carries_its_load() -> None:
    """Guards against a peer that is taken for idle because it has no room."""
    reply = exchange_large_body(
        body_budget.BodyBudget(0), body_budget.BodyBudget(), True
    )[0]
    assert (reply.outstanding, reply.service_s) == (OUTSTANDING, SERVICE_S)


def test_response_without_room_may_have_run() -> None:
    """Guards against a promise that a request has not run, which did."""
    response, served = forward_large_body(
        body_budget.BodyBudget(), body_budget.BodyBudget(0), True
    )
    assert response.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert served == [LARGE_BODY]


def test_request_whose_parts_are_missing_is_not_complete() -> None:
    bodies = incoming_bodies.IncomingBodies(body_budget.BodyBudget())
    bodies.add(stream_messages.RequestPart(1, 0, 10, b"12345"))
    bodies.add(stream_messages.RequestPart(2, 5, 10, b"67890"))
    for number in (1, 2):
        announced = msgspec.structs.replace(
            forwarded_request(b""), number=number, parts_size=10
        )
        assert bodies.complete(announced) is None
    assert bodies.budget.held_bytes == 0
