"""Statuses on the request streams between processes."""

import asyncio
import typing

from bronzepaddle import cells, clocks, ids, verdicts
from bronzepaddle_node import listening, roster
from bronzepaddle_peers import (
    exchanges,
    pacing,
    statuses,
    streams,
    streamservice,
)
from support import sample_status

WAIT_S: typing.Final = 30.0
STATUS: typing.Final = sample_status.status(sequence=9)
UNPACED: typing.Final = pacing.Pacer(None, clocks.BootClock())


def test_peer_that_is_asked_tells_its_status() -> None:
    async def handle(_ask: exchanges.Ask) -> streams.Reply:
        raise NotImplementedError

    def config(_request: statuses.ConfigRequest) -> statuses.ConfigReply:
        raise NotImplementedError

    def ownership(
        _request: statuses.OwnershipRequest,
    ) -> statuses.OwnershipReply:
        raise NotImplementedError

    async def exchange_status() -> statuses.Status:
        received: asyncio.Future[statuses.Status] = asyncio.Future()
        server = streamservice.server(
            streamservice.Service(
                streamservice.Sources(
                    handle, config, ownership, lambda: STATUS
                ),
                UNPACED,
            )
        )
        socket = listening.tcp_socket("127.0.0.1", 0)
        await server.start(sock=socket)
        client = streams.Client()
        client.hear = received.set_result
        host, port = socket.getsockname()
        client.ask_status(STATUS.sender, cells.Address(host, port))
        try:
            async with asyncio.timeout(WAIT_S):
                return await received
        finally:
            await client.close()
            server.close()

    assert asyncio.run(exchange_status()) == STATUS


def test_reply_counts_as_sign_of_life_but_not_as_status() -> None:
    known = roster.Roster(ids.MemberId("a"), ids.ZoneName("zone"))
    known.learn(sample_status.PLAIN, 0.0)
    peer = known.peers[sample_status.PLAIN.sender]
    answer = typing.cast(typing.Any, verdicts.Verdict.RAN)
    known.note_reply(peer, streams.Reply(answer, 1, 0.1, True), 5.0)
    assert known.alive(peer, 5.5)
    assert peer.status_at == 0.0
