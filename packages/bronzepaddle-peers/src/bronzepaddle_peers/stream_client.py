"""Carries requests to peers over one kept stream each.

One task per peer reads its answers, another writes.  ``stream_service`` is the
receiving side.  When a stream breaks, a request that was written to it may
have run; one that was not has not.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import grpclib.client
from bronzepaddle import cells, http_messages, ids, keepalive, logs, verdicts

from bronzepaddle_peers import codec, rpc_client, statuses, stream_messages

PATH: typing.Final = "/bronzepaddle.Requests/"

PING_AFTER_S: typing.Final = 1.0
"""Silence of a peer that owes an answer, after which it is asked."""

BROKEN_AFTER_S: typing.Final = 2.5
"""Silence after which the stream is given up; a connection may fall silent
for good without a reset."""

CONNECT_TIMEOUT_S: typing.Final = 0.4
PULL_TIMEOUT_S: typing.Final = 0.7

_Stream: typing.TypeAlias = typing.Any


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer from a peer, whole, with the peer's load.

    ``reported`` tells whether the load is the peer's word.
    """

    answer: http_messages.Response
    outstanding: int = 0
    service_s: float = 0.0
    reported: bool = False


class _Pending:
    """One request without its whole answer yet."""

    def __init__(self, reply: "asyncio.Future[Reply]") -> None:
        self.reply = reply
        self.head: stream_messages.Head | None = None
        self.pieces: list[bytes] = []
        self.sent = False


Hear: typing.TypeAlias = collections.abc.Callable[[statuses.Status], None]
"""Takes in a status that came by a stream."""


class _Line:
    """The stream to one run of a peer, with what is outstanding on it."""

    def __init__(
        self, member: ids.MemberId, address: cells.Address, hear: Hear
    ) -> None:
        self.member = member
        self.hear = hear
        self.channel = grpclib.client.Channel(
            address.host, address.port, codec=codec.MsgpackCodec()
        )
        self.pending: dict[int, _Pending] = {}
        self.out: asyncio.Queue[stream_messages.Upward] = asyncio.Queue()
        self.heard_at = asyncio.get_running_loop().time()
        self.closed = False
        self.task = asyncio.create_task(self._run(), name=f"to {member}")

    def ask(
        self, ask: stream_messages.ForwardedRequest, pending: _Pending
    ) -> None:
        """Queue a request to be written."""
        if not self.pending:
            self.heard_at = asyncio.get_running_loop().time()
        self.pending[ask.number] = pending
        self.out.put_nowait(ask)

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connected = await self.channel.__connect__()
            _guard(connected)
            method: typing.Any = grpclib.client.StreamStreamMethod(
                self.channel,
                PATH + "Exchange",
                typing.cast(typing.Any, stream_messages.Upward),
                typing.cast(typing.Any, stream_messages.Downward),
            )
            async with method.open() as stream:
                await stream.send_request()
                await self._work(stream)
        except rpc_client.CONNECTION_ERRORS as error:
            self._fail(error)
        finally:
            self._fail(TimeoutError("the stream was closed"))
            self.channel.close()

    async def _work(self, stream: _Stream) -> None:
        writing = asyncio.create_task(self._write(stream))
        watching = asyncio.create_task(self._watch())
        reading = asyncio.create_task(self._read(stream))
        tasks = (writing, watching, reading)
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, stream: _Stream) -> None:
        while True:
            message = await self.out.get()
            if isinstance(message, stream_messages.ForwardedRequest):
                pending = self.pending.get(message.number)
                if pending is None:
                    continue
                pending.sent = True
            await stream.send_message(message)

    async def _watch(self) -> None:
        """Give up on a peer that owes an answer and is silent."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PING_AFTER_S / 2)
            silent_s = loop.time() - self.heard_at
            if not self.pending or silent_s < PING_AFTER_S:
                continue
            if silent_s > BROKEN_AFTER_S:
                raise TimeoutError(f"{self.member} is silent")
            self.out.put_nowait(stream_messages.Ping(0))

    async def _read(self, stream: _Stream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            message = await stream.recv_message()
            if message is None:
                raise TimeoutError("the peer closed the stream")
            self.heard_at = loop.time()
            match message:
                case stream_messages.Head():
                    self._begin(message)
                case stream_messages.Piece():
                    self._go_on(message)
                case stream_messages.Told(status):
                    self.hear(status)

    def _begin(self, head: stream_messages.Head) -> None:
        pending = self.pending.get(head.number)
        if pending is None:
            return
        pending.head = head
        self._take(head.number, pending, head.piece, head.more)

    def _go_on(self, piece: stream_messages.Piece) -> None:
        pending = self.pending.get(piece.number)
        if pending is not None:
            self._take(piece.number, pending, piece.piece, piece.more)

    def _take(
        self, number: int, pending: _Pending, piece: bytes, more: bool
    ) -> None:
        pending.pieces.append(piece)
        if more:
            return
        del self.pending[number]
        if pending.head is not None and not pending.reply.done():
            pending.reply.set_result(_reply(pending.head, pending.pieces))

    def _fail(self, error: Exception) -> None:
        """Answer what is outstanding: what was written may have run."""
        if self.pending:
            logs.call_failed(
                f"stream to {self.member}",
                f"{len(self.pending)} outstanding: {error!r}",
            )
        self.closed = True
        for pending in self.pending.values():
            if pending.reply.done():
                continue
            if pending.sent:
                why = verdicts.Reason.PEER_LOST
                ran = verdicts.Verdict.MAY_HAVE_RUN
            else:
                why = verdicts.Reason.PEER_UNREACHABLE
                ran = verdicts.Verdict.NOT_RUN
            answer = http_messages.refusal(
                why, self.member, ran, detail=repr(error)
            )
            pending.reply.set_result(Reply(answer))
        self.pending.clear()


def _guard(protocol: typing.Any) -> None:
    """Have a connection end that falls silent while nothing is owed."""
    # The library has no public way to the socket of a channel.
    transport = protocol.connection._transport
    found = transport.get_extra_info("socket")
    if found is not None:
        keepalive.set_options(found)


def _reply(head: stream_messages.Head, pieces: list[bytes]) -> Reply:
    return Reply(
        http_messages.Response(
            status=head.status,
            headers=head.headers,
            body=iter(pieces),
            verdict=verdicts.Verdict(head.verdict),
            reason=verdicts.Reason(head.reason),
            server=ids.MemberId(""),
            retry_after_s=head.retry_after_s,
            detail=head.detail,
        ),
        head.outstanding,
        head.service_s,
        True,
    )


class Client:
    """The streams of this process to its peers; for the event loop only.

    ``on_status`` is set by whoever asks for statuses.
    """

    def __init__(self) -> None:
        self.on_status: Hear = lambda _status: None
        self.lines: dict[ids.MemberId, _Line] = {}
        self.places: dict[ids.MemberId, cells.Address] = {}
        self.number = 0

    def next_number(self) -> int:
        """Return the number of a new exchange."""
        self.number += 1
        return self.number

    async def send(
        self,
        member: ids.MemberId,
        address: cells.Address,
        ask: stream_messages.ForwardedRequest,
    ) -> Reply:
        """Return the peer's reply; cancelling it cancels the request."""
        line = self._line(member, address)
        pending = _Pending(asyncio.get_running_loop().create_future())
        line.ask(ask, pending)
        try:
            return await pending.reply
        finally:
            if line.pending.pop(ask.number, None) is not None:
                line.out.put_nowait(stream_messages.Cancel(ask.number))

    def ask_status(self, member: ids.MemberId, address: cells.Address) -> None:
        """Ask a peer how it is.

        ``on_status`` takes the answer, if one comes.
        """
        line = self._line(member, address)
        line.out.put_nowait(stream_messages.AskStatus())

    def _line(self, member: ids.MemberId, address: cells.Address) -> _Line:
        """Return the stream to a peer, a new one if there is none."""
        line = self.lines.get(member)
        if line is None or line.closed or self.places[member] != address:
            self.forget(member)
            line = _Line(
                member, address, lambda status: self.on_status(status)
            )
            self.lines[member] = line
            self.places[member] = address
        return line

    def forget(self, member: ids.MemberId) -> None:
        """Close the stream to a peer that is gone or has a new address."""
        line = self.lines.pop(member, None)
        if line is not None:
            line.task.cancel()

    async def pull_config(
        self, address: cells.Address, request: statuses.ConfigRequest
    ) -> statuses.ConfigReply:
        """Ask a peer for a newer configuration.

        Raises one of ``rpc_client.CONNECTION_ERRORS``.
        """
        return await _pull(
            address, "PullConfig", request, statuses.ConfigReply
        )

    async def pull_ownership(
        self, address: cells.Address, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        """Ask a peer for a newer ownership; raises like ``pull_config``."""
        return await _pull(
            address, "PullOwnership", request, statuses.OwnershipReply
        )

    async def close(self) -> None:
        """Close every stream."""
        tasks = [line.task for line in self.lines.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.lines.clear()


_Message = typing.TypeVar("_Message")


async def _pull(
    address: cells.Address,
    name: str,
    request: object,
    reply_type: type[_Message],
) -> _Message:
    """Return the reply to one call, made on a connection of its own."""
    channel = grpclib.client.Channel(
        address.host, address.port, codec=codec.MsgpackCodec()
    )
    try:
        method: typing.Any = grpclib.client.UnaryUnaryMethod(
            channel, PATH + name, type(request), reply_type
        )
        async with asyncio.timeout(PULL_TIMEOUT_S):
            reply: _Message = await method(request)
        return reply
    finally:
        channel.close()
