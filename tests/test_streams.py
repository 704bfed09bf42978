"""Tests of statuses on the request streams between processes."""

import asyncio
import typing

from bronzepaddle import cells, clocks, ids, verdicts
from bronzepaddle_node import listen_sockets, peer_table
from bronzepaddle_peers import (
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
