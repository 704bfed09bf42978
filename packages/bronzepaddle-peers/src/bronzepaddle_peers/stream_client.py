"""Sends requests to peers over one long-lived stream per peer.

For each peer, one task writes requests and another reads responses.
``stream_service`` is the receiving side.  When a stream breaks, a request that
was written to it may have run; a request not yet written has not run.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import grpclib.client
import msgspec
from bronzepaddle import (
    bounded_http,
    cells,
    held_body,
    http_messages,
    ids,
    keepalive,
    logs,
    verdicts,
)
from bronzepaddle.load import body_budget

from bronzepaddle_peers import codec, rpc_client, statuses, stream_messages

PATH_PREFIX: typing.Final = "/bronzepaddle.Requests/"
"""Prefix of the gRPC paths of the service's methods."""

PING_AFTER_S: typing.Final = 1.0
"""Silence of a peer with outstanding requests after which it is pinged."""

CLOSE_AFTER_S: typing.Final = 2.5
"""Silence after which the stream is closed.

A connection can stop delivering data without ever being reset.
"""

CONNECT_TIMEOUT_S: typing.Final = 0.4
PULL_TIMEOUT_S: typing.Final = 0.7

UNREACHABLE_RETRY_AFTER_S: typing.Final = 0.5
"""Retry-After of a request that was not written to a stream in time."""

_Stream: typing.TypeAlias = typing.Any


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete response from a peer, with the peer's load.

    ``outstanding``, ``service_s``, ``backlog_s`` and ``starts_per_s`` are the
    load, as in ``statuses.Status``.  ``run_s`` is the time that the backend
    server took for the request, 0 if it did not serve it.
    ``has_load`` is not set if the stream broke: the response is then a
    rejection made by this process, without the peer's load.
    """

    response: http_messages.Response
    outstanding: int = 0
    service_s: float = 0.0
    has_load: bool = False
    backlog_s: float = 0.0
    run_s: float = 0.0
    starts_per_s: float = 0.0


class _Pending:
    """A request that has no complete response yet.

    ``in_parts`` is set if its body may be sent in parts.
    """

    def __init__(
        self,
        request: stream_messages.ForwardedRequest,
        in_parts: bool,
        reply_future: "asyncio.Future[Reply]",
    ) -> None:
        self.request = request
        self.in_parts = (
            in_parts and len(request.body) > stream_messages.PART_BYTES
        )
        self.reply_future = reply_future
        self.head: stream_messages.ResponseHead | None = None
        # The body of a response with more than one piece.
        self.body: held_body.HeldBody | None = None
        # Set once the peer may have got the request.  It doesn't run one
        # of which it has only parts.
        self.sent = False


@dataclasses.dataclass(frozen=True)
class _QueuedRequest:
    """A request to be written, with the bytes of its body sent before.

    The queue doesn't contain the body, so that it is dropped at once when the
    request is given up.
    """

    number: int
    sent_bytes: int = 0


StatusCallback: typing.TypeAlias = collections.abc.Callable[
    [statuses.Status], None
]
"""Called with a status received on a stream."""


class _PeerStream:
    """The stream to one run of a peer, with its outstanding requests."""

    def __init__(
        self,
        member: ids.MemberId,
        address: cells.Address,
        on_status: StatusCallback,
        budget: body_budget.BodyBudget,
    ) -> None:
        self.member = member
        self.budget = budget
        self.on_status = on_status
        self.channel = grpclib.client.Channel(
            address.host, address.port, codec=codec.MsgpackCodec()
        )
        self.pending: dict[int, _Pending] = {}
        self.outgoing: asyncio.Queue[
            stream_messages.ClientMessage | _QueuedRequest
        ] = asyncio.Queue()
        self.last_received_at = asyncio.get_running_loop().time()
        self.closed = False
        self.task = asyncio.create_task(self._run(), name=f"to {member}")

    def send(self, pending: _Pending) -> None:
        """Queue a request for writing."""
        number = pending.request.number
        if not self.pending:
            self.last_received_at = asyncio.get_running_loop().time()
        self.pending[number] = pending
        self.outgoing.put_nowait(_QueuedRequest(number))

    async def _run(self) -> None:
        """Connect and run the stream until it breaks or is cancelled."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connected = await self.channel.__connect__()
            _enable_keepalive(connected)
            method: typing.Any = grpclib.client.StreamStreamMethod(
                self.channel,
                PATH_PREFIX + "Exchange",
                typing.cast(typing.Any, stream_messages.ClientMessage),
                typing.cast(typing.Any, stream_messages.ServerMessage),
            )
            async with method.open() as stream:
                await stream.send_request()
                await self._run_stream_tasks(stream)
        except rpc_client.CONNECTION_ERRORS as error:
            self._fail_pending(error)
        finally:
            self._fail_pending(TimeoutError("the stream was closed"))
            self.channel.close()

    async def _run_stream_tasks(self, stream: _Stream) -> None:
        """Write, read and ping until one of these tasks fails.

        Raises its error.
        """
        writing = asyncio.create_task(self._write(stream))
        pinging = asyncio.create_task(self._ping_if_silent())
        reading = asyncio.create_task(self._read(stream))
        tasks = (writing, pinging, reading)
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
            # Nothing of a request is kept while this waits for the next one.
            await self._write_message(stream, await self.outgoing.get())

    async def _write_message(
        self,
        stream: _Stream,
        message: "stream_messages.ClientMessage | _QueuedRequest",
    ) -> None:
        match message:
            case _QueuedRequest():
                pending = self.pending.get(message.number)
                if pending is not None:
                    await self._write_request(stream, pending, message)
            case _:
                await stream.send_message(message)

    async def _write_request(
        self, stream: _Stream, pending: _Pending, queued: _QueuedRequest
    ) -> None:
        """Write a request, or one part of its body."""
        request, start = pending.request, queued.sent_bytes
        if not pending.in_parts:
            pending.sent = True
            await stream.send_message(request)
            return
        size = len(request.body)
        if start >= size:
            pending.sent = True
            await stream.send_message(
                msgspec.structs.replace(request, body=b"", parts_size=size)
            )
            return
        end = start + stream_messages.PART_BYTES
        await stream.send_message(
            stream_messages.RequestPart(
                request.number,
                start,
                size,
                bytes(memoryview(request.body)[start:end]),
            )
        )
        self.outgoing.put_nowait(_QueuedRequest(request.number, end))

    async def _ping_if_silent(self) -> None:
        """Ping a silent peer while requests to it are outstanding.

        Raises ``TimeoutError`` after ``CLOSE_AFTER_S``.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PING_AFTER_S / 2)
            silent_s = loop.time() - self.last_received_at
            if not self.pending or silent_s < PING_AFTER_S:
                continue
            if silent_s > CLOSE_AFTER_S:
                raise TimeoutError(f"{self.member} stopped responding")
            self.outgoing.put_nowait(stream_messages.Ping(0))

    async def _read(self, stream: _Stream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            message = await stream.recv_message()
            if message is None:
                raise TimeoutError("the peer closed the stream")
            self.last_received_at = loop.time()
            match message:
                case stream_messages.ResponseHead():
                    self._on_head(message)
                case stream_messages.BodyPiece():
                    self._on_piece(message)
                case stream_messages.StatusReply(status):
                    self.on_status(status)

    def _on_head(self, head: stream_messages.ResponseHead) -> None:
        pending = self.pending.get(head.number)
        if pending is None:
            return
        pending.head = head
        self._append_piece(head.number, pending, head.piece, head.more)

    def _on_piece(self, piece: stream_messages.BodyPiece) -> None:
        pending = self.pending.get(piece.number)
        if pending is not None:
            self._append_piece(piece.number, pending, piece.piece, piece.more)

    def _append_piece(
        self, number: int, pending: _Pending, piece: bytes, more: bool
    ) -> None:
        """Append a piece of a body; complete the reply after the last one.

        If there is no room for the body, the reply is a rejection.
        """
        body: bytes | memoryview = piece
        if more or pending.body is not None:
            if pending.body is None:
                pending.body = held_body.HeldBody(
                    self.budget,
                    bounded_http.MAX_BODY_BYTES,
                    body_budget.RESPONSE_SHARE,
                )
            try:
                pending.body.append(piece)
            except (held_body.NoRoomError, ValueError) as error:
                self._give_up(number, pending, error)
                return
            body = pending.body.received()
        if more:
            return
        del self.pending[number]
        if pending.head is not None and not pending.reply_future.done():
            pending.reply_future.set_result(_reply(pending.head, body))

    def _give_up(
        self, number: int, pending: _Pending, error: Exception
    ) -> None:
        """Discard a response that can't be received."""
        del self.pending[number]
        pending.body = None
        self.outgoing.put_nowait(stream_messages.Cancel(number))
        if not pending.reply_future.done():
            response = http_messages.rejection(
                verdicts.Reason.TRUNCATED,
                self.member,
                verdicts.Verdict.MAY_HAVE_RUN,
                detail=str(error),
            )
            pending.reply_future.set_result(Reply(response))

    def _fail_pending(self, error: Exception) -> None:
        """Mark the stream closed and fail all outstanding requests.

        Those that were written may have run.
        """
        if self.pending:
            logs.call_failed(
                f"stream to {self.member}",
                f"{len(self.pending)} requests outstanding: {error!r}",
            )
        self.closed = True
        for pending in self.pending.values():
            if pending.reply_future.done():
                continue
            if pending.sent:
                reason = verdicts.Reason.PEER_LOST
                verdict = verdicts.Verdict.MAY_HAVE_RUN
            else:
                reason = verdicts.Reason.PEER_UNREACHABLE
                verdict = verdicts.Verdict.NOT_RUN
            response = http_messages.rejection(
                reason, self.member, verdict, detail=repr(error)
            )
            pending.reply_future.set_result(Reply(response))
        self.pending.clear()


def _enable_keepalive(protocol: typing.Any) -> None:
    """Enable TCP keepalive.

    It closes a dead connection while no request is outstanding and therefore
    no pings are sent.
    """
    # grpclib has no public access to the socket of a channel.
    transport = protocol.connection._transport
    sock = transport.get_extra_info("socket")
    if sock is not None:
        keepalive.set_options(sock)


def _rejection_at_deadline(
    member: ids.MemberId, sent: bool
) -> http_messages.Response:
    """Return the rejection of a request without a reply at its deadline."""
    if sent:
        return http_messages.rejection(
            verdicts.Reason.DEADLINE, member, verdicts.Verdict.MAY_HAVE_RUN
        )
    return http_messages.rejection(
        verdicts.Reason.PEER_UNREACHABLE,
        member,
        retry_after_s=UNREACHABLE_RETRY_AFTER_S,
        detail="the request was not written to the stream",
    )


def _reply(
    head: stream_messages.ResponseHead, body: bytes | memoryview
) -> Reply:
    return Reply(
        http_messages.Response(
            status=head.status,
            headers=head.headers,
            body=held_body.Pieces(body),
            verdict=verdicts.Verdict(head.verdict),
            reason=verdicts.Reason(head.reason),
            # Streams don't carry it: callers get this name only in cells.
            server=ids.MemberId(""),
            retry_after_s=head.retry_after_s,
            detail=head.detail,
        ),
        head.outstanding,
        head.service_s,
        True,
        backlog_s=head.backlog_s,
        run_s=head.run_s,
        starts_per_s=head.starts_per_s,
    )


class Client:
    """The streams of this process to its peers.

    ``on_status`` is called with each status received; it has to be set by
    users of ``request_status``.  ``budget`` is the memory for bodies.  To be
    used on the event loop only.
    """

    def __init__(self, budget: body_budget.BodyBudget | None = None) -> None:
        self.budget = budget or body_budget.BodyBudget()
        self.on_status: StatusCallback = lambda _status: None
        self.streams: dict[ids.MemberId, _PeerStream] = {}
        self.addresses: dict[ids.MemberId, cells.Address] = {}
        self.last_number = 0

    def next_number(self) -> int:
        """Return an unused request number."""
        self.last_number += 1
        return self.last_number

    async def send(
        self,
        member: ids.MemberId,
        address: cells.Address,
        request: stream_messages.ForwardedRequest,
        in_parts: bool = False,
    ) -> Reply:
        """Send a request and return the reply.

        ``in_parts`` is set if the peer takes large bodies in parts.  If the
        stream breaks, or there is no reply within the request's time, the
        reply contains a rejection.  It says that the request has not run only
        if it was not written.  Cancelling this call, or the end of that time,
        cancels the request at the peer.
        """
        stream = self._stream_to(member, address)
        pending = _Pending(
            request, in_parts, asyncio.get_running_loop().create_future()
        )
        stream.send(pending)
        try:
            async with asyncio.timeout(request.time_left_s):
                return await pending.reply_future
        except TimeoutError:
            return Reply(_rejection_at_deadline(member, pending.sent))
        finally:
            if stream.pending.pop(request.number, None) is not None:
                stream.outgoing.put_nowait(
                    stream_messages.Cancel(request.number)
                )

    def request_status(
        self, member: ids.MemberId, address: cells.Address
    ) -> None:
        """Ask a peer for its status.

        ``on_status`` is called with the reply.
        """
        stream = self._stream_to(member, address)
        stream.outgoing.put_nowait(stream_messages.StatusRequest())

    def _stream_to(
        self, member: ids.MemberId, address: cells.Address
    ) -> _PeerStream:
        """Return the stream to a peer; open one if necessary."""
        stream = self.streams.get(member)
        if (
            stream is None
            or stream.closed
            or self.addresses[member] != address
        ):
            self.forget(member)
            stream = _PeerStream(
                member,
                address,
                lambda status: self.on_status(status),
                self.budget,
            )
            self.streams[member] = stream
            self.addresses[member] = address
        return stream

    def forget(self, member: ids.MemberId) -> None:
        """Close the stream to a peer, if there is one."""
        stream = self.streams.pop(member, None)
        if stream is not None:
            stream.task.cancel()

    async def pull_config(
        self, address: cells.Address, request: statuses.ConfigRequest
    ) -> statuses.ConfigReply:
        """Fetch a peer's configuration if newer than ``newer_than``.

        Raises one of ``rpc_client.CONNECTION_ERRORS``.
        """
        return await _pull(
            address, "PullConfig", request, statuses.ConfigReply
        )

    async def pull_ownership(
        self, address: cells.Address, request: statuses.OwnershipRequest
    ) -> statuses.OwnershipReply:
        """Fetch a peer's ownership object if newer than ``newer_than``.

        Raises as ``pull_config`` does.
        """
        return await _pull(
            address, "PullOwnership", request, statuses.OwnershipReply
        )

    async def close(self) -> None:
        """Close all streams."""
        tasks = [stream.task for stream in self.streams.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.streams.clear()


_Message = typing.TypeVar("_Message")


async def _pull(
    address: cells.Address,
    name: str,
    request: object,
    reply_type: type[_Message],
) -> _Message:
    """Make one call on a new connection and return the reply."""
    channel = grpclib.client.Channel(
        address.host, address.port, codec=codec.MsgpackCodec()
    )
    try:
        method: typing.Any = grpclib.client.UnaryUnaryMethod(
            channel, PATH_PREFIX + name, type(request), reply_type
        )
        async with asyncio.timeout(PULL_TIMEOUT_S):
            reply: _Message = await method(request)
        return reply
    finally:
        channel.close()
