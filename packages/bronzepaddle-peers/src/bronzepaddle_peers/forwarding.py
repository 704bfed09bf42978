"""Forwards callers' requests to other members of a cell.

Bridges threads and the event loop: the caller's request is served by a thread
of the HTTP server, while the gRPC stream to the peer belongs to the event
loop.  One task per request runs the stream; the thread waits for the parts of
the response that the task passes to it.
"""

import asyncio
import collections.abc
import concurrent.futures
import contextlib
import typing

import grpclib.client
import grpclib.exceptions
from bronzepaddle import cells, clocks, http_messages, ids, verdicts

from bronzepaddle_peers import messages, rpc_client, rpc_service

MAX_QUEUED_CHUNKS: typing.Final = 4
"""Chunks of a body that may be queued between the thread and the task."""

GRACE_S: typing.Final = 0.5
"""Time after a request's deadline in which a rejection may still arrive."""

_Stream: typing.TypeAlias = typing.Any


class Forwarder:
    """Forwards requests to peers over the channels of this process."""

    def __init__(
        self,
        channels: rpc_client.Channels,
        loop: asyncio.AbstractEventLoop,
        clock: clocks.Clock,
    ) -> None:
        self.channels = channels
        self.loop = loop
        self.clock = clock
        self.exchanges: set[_Exchange] = set()

    def cancel_requests_to(self, members: set[ids.MemberId]) -> None:
        """Cancel all running requests to members; called on the event loop."""
        for exchange in [
            candidate
            for candidate in self.exchanges
            if candidate.member in members
        ]:
            exchange.cancel()

    def forward(
        self,
        member: ids.MemberId,
        address: cells.Address,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Send a request to a member and return the response.

        Called on an HTTP server thread.  If the member doesn't respond in time
        or the stream breaks, the response is a rejection whose verdict is
        NOT_RUN only if the request certainly hasn't run.
        """
        exchange = _Exchange(member, request, self.loop)
        chunk, more = exchange.first_chunk(body)
        head = _request_head(request, chunk, more, self.clock.now())
        stream_future = asyncio.run_coroutine_threadsafe(
            self._run(address, head, exchange), self.loop
        )
        exchange.stream_future = stream_future
        try:
            if more:
                exchange.feed(body)
            timeout_s = request.deadline - self.clock.now() + GRACE_S
            return exchange.response_future.result(timeout=max(timeout_s, 0.0))
        except TimeoutError:
            stream_future.cancel()
            return http_messages.rejection(
                verdicts.Reason.DEADLINE,
                member,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        except BaseException:
            stream_future.cancel()
            raise

    async def _run(
        self,
        address: cells.Address,
        head: messages.RequestHead,
        exchange: "_Exchange",
    ) -> None:
        """Run a request's stream; list it in ``exchanges`` while it runs."""
        self.exchanges.add(exchange)
        try:
            await self._send_and_receive(address, head, exchange)
        finally:
            self.exchanges.discard(exchange)

    async def _send_and_receive(
        self,
        address: cells.Address,
        head: messages.RequestHead,
        exchange: "_Exchange",
    ) -> None:
        """Send the request and receive the response on a new stream."""
        method: typing.Any = grpclib.client.StreamStreamMethod(
            self.channels.channel_to(address),
            rpc_service.PATH_PREFIX + "Forward",
            typing.cast(typing.Any, messages.ClientMessage),
            typing.cast(typing.Any, messages.ServerMessage),
        )
        try:
            async with method.open() as stream:
                # Nothing has reached the peer before the stream is open.
                await stream.send_request()
                sending = asyncio.create_task(exchange.send(stream, head))
                try:
                    await exchange.receive(stream)
                finally:
                    sending.cancel()
        except rpc_client.CONNECTION_ERRORS as error:
            exchange.fail(error)
        except asyncio.CancelledError:
            exchange.fail(TimeoutError("cancelled"))
            raise


class _Exchange:
    """The state that a caller's thread and a stream's task share."""

    def __init__(
        self,
        member: ids.MemberId,
        request: http_messages.Request,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.member = member
        self.request = request
        self.loop = loop
        # Set once any part of the request may have reached the peer.
        self.sent = False
        self.response_future: concurrent.futures.Future[
            http_messages.Response
        ] = concurrent.futures.Future()
        # None makes ``send`` end the request body after an early response.
        self.request_chunks: asyncio.Queue[messages.Chunk | None] = (
            asyncio.Queue(MAX_QUEUED_CHUNKS)
        )
        self.response_chunks: asyncio.Queue[messages.Chunk | Exception] = (
            asyncio.Queue(MAX_QUEUED_CHUNKS)
        )
        self.stream_future: concurrent.futures.Future[None] | None = None

    # Called on the thread of the caller's request.

    def first_chunk(
        self, body: collections.abc.Iterator[bytes]
    ) -> tuple[bytes, bool]:
        """Return the first chunk of the body and whether more may follow."""
        chunk = next(body, b"")
        length = self.request.body_length
        return chunk, length is None or len(chunk) < length

    def feed(self, body: collections.abc.Iterator[bytes]) -> None:
        """Queue the rest of the body for sending.

        Blocks while the queue is full.  Stops if the response arrives first.
        """
        for chunk in body:
            if not self._enqueue(messages.Chunk(chunk, True)):
                return
        self._enqueue(messages.Chunk(b"", False))

    def _enqueue(self, chunk: messages.Chunk) -> bool:
        """Queue a chunk; return False if the response arrives first."""
        put_future = asyncio.run_coroutine_threadsafe(
            self.request_chunks.put(chunk), self.loop
        )
        while True:
            with contextlib.suppress(TimeoutError):
                put_future.result(timeout=0.1)
                return True
            if self.response_future.done():
                put_future.cancel()
                return False

    def next_chunk(self) -> messages.Chunk:
        """Return the next chunk of the response.

        Raises ``IncompleteBodyError`` if the stream broke.
        """
        chunk = asyncio.run_coroutine_threadsafe(
            self.response_chunks.get(), self.loop
        ).result()
        if isinstance(chunk, Exception):
            raise http_messages.IncompleteBodyError(str(chunk))
        return chunk

    def cancel(self) -> None:
        """Cancel the stream if it is still running."""
        if self.stream_future is not None:
            self.stream_future.cancel()

    # Called on the event loop.

    async def send(self, stream: _Stream, head: messages.RequestHead) -> None:
        """Send the request chunk by chunk, until the peer responds.

        The peer reads the stream to its end, so an empty last chunk is sent
        after an early response.
        """
        self.sent = True
        await stream.send_message(head, end=not head.more)
        more = head.more
        while more:
            chunk = await self.request_chunks.get()
            if chunk is None or self.response_future.done():
                chunk = messages.Chunk(b"", False)
            more = chunk.more
            await stream.send_message(chunk, end=not more)

    async def receive(self, stream: _Stream) -> None:
        """Receive the response and pass it to the caller's thread.

        Raises ``TimeoutError``, one of ``rpc_client.CONNECTION_ERRORS``, if
        the stream ends before the response is complete.
        """
        head = await stream.recv_message()
        if not isinstance(head, messages.ResponseHead):
            raise TimeoutError("the peer closed the stream without a response")
        self.response_future.set_result(self._response(head))
        if self.request_chunks.empty():
            self.request_chunks.put_nowait(None)
        more = head.more
        while more:
            chunk = await stream.recv_message()
            if not isinstance(chunk, messages.Chunk):
                raise TimeoutError("the response body ended early")
            more = chunk.more
            await self.response_chunks.put(chunk)
        await stream.recv_trailing_metadata()

    def _response(self, head: messages.ResponseHead) -> http_messages.Response:
        return http_messages.Response(
            status=head.status,
            headers=head.headers,
            body=_ResponseBody(self, head.chunk, head.more),
            verdict=verdicts.Verdict(head.verdict),
            reason=verdicts.Reason(head.reason),
            server=head.server,
            retry_after_s=head.retry_after_s,
            detail=head.detail,
        )

    def fail(self, error: Exception) -> None:
        """Pass the error of a broken stream to the caller's thread.

        Before the response has arrived, the response becomes a rejection;
        afterwards, reading its body raises ``IncompleteBodyError``.
        """
        if self.response_future.done():
            # A queued chunk is useless without those that follow it.
            if self.response_chunks.full():
                self.response_chunks.get_nowait()
            self.response_chunks.put_nowait(error)
            return
        refused = (
            isinstance(error, grpclib.exceptions.GRPCError)
            and error.status is rpc_service.NOT_RUN_STATUS
        )
        if self.sent and not refused:
            reason, verdict = (
                verdicts.Reason.PEER_LOST,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        else:
            reason = verdicts.Reason.PEER_UNREACHABLE
            verdict = verdicts.Verdict.NOT_RUN
        self.response_future.set_result(
            http_messages.rejection(
                reason, self.member, verdict, detail=repr(error)
            )
        )


class _ResponseBody:
    """The body of a response, iterated on the caller's thread."""

    def __init__(self, exchange: _Exchange, chunk: bytes, more: bool) -> None:
        self.exchange = exchange
        self.chunk = chunk
        self.more = more

    def __iter__(self) -> "_ResponseBody":
        return self

    def __next__(self) -> bytes:
        if self.chunk:
            chunk, self.chunk = self.chunk, b""
            return chunk
        if not self.more:
            raise StopIteration
        message = self.exchange.next_chunk()
        self.more = message.more
        return message.data

    def close(self) -> None:
        """Cancel the stream to the peer if it hasn't ended."""
        if self.more:
            self.exchange.cancel()


def _request_head(
    request: http_messages.Request, chunk: bytes, more: bool, now: float
) -> messages.RequestHead:
    return messages.RequestHead(
        request_id=request.request_id,
        caller=request.caller,
        service=request.service,
        priority=request.priority,
        method=request.method,
        target=request.target,
        headers=request.headers,
        key=request.key,
        slot=request.slot,
        time_left_s=max(request.deadline - now, 0.001),
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        first_attempt=request.first_attempt,
        body_length=request.body_length,
        chunk=chunk,
        more=more,
    )
