"""Forwards a caller's request to the owner's process and brings its answer.

Runs between two worlds: the caller's request stands on a thread of the HTTP
server, the stream to the peer on the event loop.  One task for each request
runs the stream straight down; the thread waits for what the task hands it.
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

CHUNKS_AHEAD: typing.Final = 4
"""Pieces of a body that may wait between the two worlds."""

GRACE_S: typing.Final = 0.5
"""Time beyond its deadline that a request has to bring its own refusal."""

_Stream: typing.TypeAlias = typing.Any


class Forwarder:
    """Sends requests to peers over the process's channels."""

    def __init__(
        self,
        channels: rpc_client.Channels,
        loop: asyncio.AbstractEventLoop,
        time: clocks.Clock,
    ) -> None:
        self.channels = channels
        self.loop = loop
        self.time = time
        self.running: set[_Exchange] = set()

    def cancel_requests_to(self, lost: set[ids.MemberId]) -> None:
        """Wait no longer for members that were lost; on the event loop."""
        for exchange in [one for one in self.running if one.member in lost]:
            exchange.stop()

    def forward(
        self,
        member: ids.MemberId,
        address: cells.Address,
        request: http_messages.Request,
        body: collections.abc.Iterator[bytes],
    ) -> http_messages.Response:
        """Return the owner's answer; called on a caller's thread."""
        exchange = _Exchange(member, request, self.loop)
        chunk, more = exchange.first_chunk(body)
        head = _head(request, chunk, more, self.time.now())
        running = asyncio.run_coroutine_threadsafe(
            self._run(address, head, exchange), self.loop
        )
        exchange.running = running
        try:
            if more:
                exchange.feed(body)
            left = request.deadline - self.time.now() + GRACE_S
            return exchange.answer.result(timeout=max(left, 0.0))
        except TimeoutError:
            running.cancel()
            return http_messages.refusal(
                verdicts.Reason.DEADLINE,
                member,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        except BaseException:
            running.cancel()
            raise

    async def _run(
        self,
        address: cells.Address,
        head: messages.ForwardHead,
        exchange: "_Exchange",
    ) -> None:
        """Run one stream: the request up, then the answer down."""
        self.running.add(exchange)
        try:
            await self._stream(address, head, exchange)
        finally:
            self.running.discard(exchange)

    async def _stream(
        self,
        address: cells.Address,
        head: messages.ForwardHead,
        exchange: "_Exchange",
    ) -> None:
        method: typing.Any = grpclib.client.StreamStreamMethod(
            self.channels.to(address),
            rpc_service.PATH + "Forward",
            typing.cast(typing.Any, messages.Upstream),
            typing.cast(typing.Any, messages.Downstream),
        )
        try:
            async with method.open() as stream:
                # Until the stream is open nothing has reached the peer.
                await stream.send_request()
                sending = asyncio.create_task(exchange.send(stream, head))
                try:
                    await exchange.receive(stream)
                finally:
                    sending.cancel()
        except rpc_client.CONNECTION_ERRORS as error:
            exchange.broken(error)
        except asyncio.CancelledError:
            exchange.broken(TimeoutError("cancelled"))
            raise


class _Exchange:
    """What the caller's thread and the stream's task hand each other."""

    def __init__(
        self,
        member: ids.MemberId,
        request: http_messages.Request,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.member = member
        self.request = request
        self.loop = loop
        self.sent = False
        self.answer: concurrent.futures.Future[http_messages.Response] = (
            concurrent.futures.Future()
        )
        self.up: asyncio.Queue[messages.Chunk | None] = asyncio.Queue(
            CHUNKS_AHEAD
        )
        self.down: asyncio.Queue[messages.Chunk | Exception] = asyncio.Queue(
            CHUNKS_AHEAD
        )
        self.running: concurrent.futures.Future[None] | None = None

    # On the caller's thread.

    def first_chunk(
        self, body: collections.abc.Iterator[bytes]
    ) -> tuple[bytes, bool]:
        """Return the first piece of the body and whether more may come."""
        chunk = next(body, b"")
        length = self.request.body_length
        return chunk, length is None or len(chunk) < length

    def feed(self, body: collections.abc.Iterator[bytes]) -> None:
        """Hand the rest of the body to the stream, as fast as it goes."""
        for chunk in body:
            if not self._offer(messages.Chunk(chunk, True)):
                return
        self._offer(messages.Chunk(b"", False))

    def _offer(self, chunk: messages.Chunk) -> bool:
        waiting = asyncio.run_coroutine_threadsafe(
            self.up.put(chunk), self.loop
        )
        while True:
            with contextlib.suppress(TimeoutError):
                waiting.result(timeout=0.1)
                return True
            if self.answer.done():
                waiting.cancel()
                return False

    def next_chunk(self) -> messages.Chunk:
        """Return the next piece of the answer.

        Raises ``IncompleteBodyError``.
        """
        found = asyncio.run_coroutine_threadsafe(
            self.down.get(), self.loop
        ).result()
        if isinstance(found, Exception):
            raise http_messages.IncompleteBodyError(str(found))
        return found

    def stop(self) -> None:
        """Give the stream up, if it still runs."""
        if self.running is not None:
            self.running.cancel()

    # On the event loop.

    async def send(self, stream: _Stream, head: messages.ForwardHead) -> None:
        """Send the request, piece by piece, until the peer has answered.

        The peer reads to the end of the stream, so an early answer is
        followed by an empty last piece.
        """
        self.sent = True
        await stream.send_message(head, end=not head.more)
        more = head.more
        while more:
            chunk = await self.up.get()
            if chunk is None or self.answer.done():
                chunk = messages.Chunk(b"", False)
            more = chunk.more
            await stream.send_message(chunk, end=not more)

    async def receive(self, stream: _Stream) -> None:
        """Take the answer in and hand it to the caller's thread."""
        head = await stream.recv_message()
        if not isinstance(head, messages.AnswerHead):
            raise TimeoutError("the peer closed the stream with no answer")
        self.answer.set_result(self._answer(head))
        if self.up.empty():
            self.up.put_nowait(None)
        more = head.more
        while more:
            chunk = await stream.recv_message()
            if not isinstance(chunk, messages.Chunk):
                raise TimeoutError("the answer ended early")
            more = chunk.more
            await self.down.put(chunk)
        await stream.recv_trailing_metadata()

    def _answer(self, head: messages.AnswerHead) -> http_messages.Response:
        return http_messages.Response(
            status=head.status,
            headers=head.headers,
            body=_Body(self, head.chunk, head.more),
            verdict=verdicts.Verdict(head.verdict),
            reason=verdicts.Reason(head.reason),
            server=head.server,
            retry_after_s=head.retry_after_s,
            detail=head.detail,
        )

    def broken(self, error: Exception) -> None:
        """Tell the thread that the stream broke."""
        if self.answer.done():
            # A piece that waits is worth nothing without those after it.
            if self.down.full():
                self.down.get_nowait()
            self.down.put_nowait(error)
            return
        refused = (
            isinstance(error, grpclib.exceptions.GRPCError)
            and error.status is rpc_service.NOT_RUN_STATUS
        )
        if self.sent and not refused:
            why, ran = verdicts.Reason.PEER_LOST, verdicts.Verdict.MAY_HAVE_RUN
        else:
            why = verdicts.Reason.PEER_UNREACHABLE
            ran = verdicts.Verdict.NOT_RUN
        self.answer.set_result(
            http_messages.refusal(why, self.member, ran, detail=repr(error))
        )


class _Body:
    """The body of an answer; closing it gives up the rest."""

    def __init__(self, exchange: _Exchange, chunk: bytes, more: bool) -> None:
        self.exchange = exchange
        self.chunk = chunk
        self.more = more

    def __iter__(self) -> "_Body":
        return self

    def __next__(self) -> bytes:
        if self.chunk:
            chunk, self.chunk = self.chunk, b""
            return chunk
        if not self.more:
            raise StopIteration
        found = self.exchange.next_chunk()
        self.more = found.more
        return found.data

    def close(self) -> None:
        """Let the stream to the peer go."""
        if self.more:
            self.exchange.stop()


def _head(
    request: http_messages.Request, chunk: bytes, more: bool, now: float
) -> messages.ForwardHead:
    return messages.ForwardHead(
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
