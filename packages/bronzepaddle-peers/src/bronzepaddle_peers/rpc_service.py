"""The grpclib service of a process: peer calls and forwarded requests."""

import asyncio
import collections.abc
import concurrent.futures
import typing

import grpclib.const
import grpclib.exceptions
import grpclib.server
from bronzepaddle import clocks, http_messages, ids

from bronzepaddle_peers import codec, messages, rpc

PATH: typing.Final = "/bronzepaddle.Peers/"

NOT_RUN_STATUS: typing.Final = grpclib.const.Status.UNAVAILABLE
"""gRPC status of a forwarded request that has certainly not run."""

Serve: typing.TypeAlias = collections.abc.Callable[
    [http_messages.Request, collections.abc.Iterator[bytes]],
    http_messages.Response,
]
"""Serves a request on the calling thread and returns its response."""

_Stream: typing.TypeAlias = typing.Any
_CARDINALITY: typing.Final = grpclib.const.Cardinality


class PeerService:
    """Dispatches the methods of the service to a process's handlers.

    ``serve`` is run on ``threads``.  Forwarded requests are refused once
    ``closed`` is set.
    """

    def __init__(
        self,
        handlers: rpc.PeerCallHandlers,
        serve: Serve,
        threads: concurrent.futures.Executor,
        clock: clocks.Clock,
        cell_version: collections.abc.Callable[[], ids.ObjectVersion],
    ) -> None:
        self.handlers = handlers
        self.serve = serve
        self.threads = threads
        self.clock = clock
        self.cell_version = cell_version
        self.closed = False

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by path, in the form that grpclib expects."""
        calls = self.handlers
        return {
            PATH + "Forward": grpclib.const.Handler(
                self.forward,
                _CARDINALITY.STREAM_STREAM,
                messages.ClientMessage,
                messages.ServerMessage,
            ),
            PATH + "PullCell": _unary(
                calls.on_pull_cell, messages.VersionRequest, messages.CellReply
            ),
            PATH + "PullBundle": _unary(
                calls.on_pull_bundle,
                messages.VersionRequest,
                messages.BundleReply,
            ),
            PATH + "Silence": _unary(
                calls.on_silence,
                messages.SilenceRequest,
                messages.SilenceReply,
            ),
            PATH + "HandOver": _unary(
                calls.on_hand_over,
                messages.HandOverRequest,
                messages.HandOverReply,
            ),
            PATH + "Suspect": _unary(
                calls.on_report_suspect, messages.SuspectNotice, messages.Done
            ),
            PATH + "TakeWindows": _unary(
                calls.on_transfer_windows,
                messages.TransferWindowsRequest,
                messages.Done,
            ),
        }

    async def forward(self, stream: _Stream) -> None:
        """Serve one forwarded request and stream its response back.

        Raises ``GRPCError``: with ``NOT_RUN_STATUS`` if the process is
        shutting down, INVALID_ARGUMENT if the first message is not the head
        of a request, DATA_LOSS if a body ends early while the response is
        sent.
        """
        head = await stream.recv_message()
        if self.closed:
            raise grpclib.exceptions.GRPCError(
                NOT_RUN_STATUS, "the process is shutting down"
            )
        if not isinstance(head, messages.RequestHead):
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT,
                "the first message is not the head of a request",
            )
        loop = asyncio.get_running_loop()
        upload = _Upload(stream, head, loop)
        request = _to_request(head, self.clock.now())
        response = await loop.run_in_executor(
            self.threads, self.serve, request, iter(upload)
        )
        chunks = _with_more_flag(response.body)
        try:
            chunk, more = await loop.run_in_executor(
                self.threads, next, chunks
            )
            await stream.send_message(
                self._response_head(response, chunk, more)
            )
            while more:
                chunk, more = await loop.run_in_executor(
                    self.threads, next, chunks
                )
                await stream.send_message(messages.Chunk(chunk, more))
            await upload.drain()
        except http_messages.IncompleteBodyError as error:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.DATA_LOSS, str(error)
            ) from error
        finally:
            close = getattr(response.body, "close", None)
            if close is not None:
                close()

    def _response_head(
        self, response: http_messages.Response, chunk: bytes, more: bool
    ) -> messages.ResponseHead:
        return messages.ResponseHead(
            status=response.status,
            headers=response.headers,
            verdict=response.verdict.value,
            reason=response.reason.value,
            server=response.server,
            retry_after_s=response.retry_after_s,
            detail=response.detail,
            cell_version=self.cell_version(),
            chunk=chunk,
            more=more,
        )


def _unary(
    handler: collections.abc.Callable[
        [typing.Any], collections.abc.Awaitable[typing.Any]
    ],
    request_type: type,
    reply_type: type,
) -> grpclib.const.Handler:
    """Return the handler of a call with one request and one reply."""

    async def call(stream: _Stream) -> None:
        request = await stream.recv_message()
        await stream.send_message(await handler(request))

    return grpclib.const.Handler(
        call, _CARDINALITY.UNARY_UNARY, request_type, reply_type
    )


def _to_request(
    head: messages.RequestHead, now: float
) -> http_messages.Request:
    return http_messages.Request(
        request_id=head.request_id,
        caller=head.caller,
        service=head.service,
        priority=head.priority,
        method=head.method,
        target=head.target,
        headers=head.headers,
        key=head.key,
        slot=head.slot,
        deadline=now + head.time_left_s,
        idempotent=head.idempotent,
        idempotency_key=head.idempotency_key,
        first_attempt=head.first_attempt,
        body_length=head.body_length,
    )


class _Upload:
    """The body of a forwarded request, iterated on a worker thread."""

    def __init__(
        self,
        stream: _Stream,
        head: messages.RequestHead,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.stream = stream
        self.loop = loop
        self.chunk = head.chunk
        self.more = head.more

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        if self.chunk:
            yield self.chunk
        while self.more:
            chunk_future = asyncio.run_coroutine_threadsafe(
                self._receive(), self.loop
            )
            yield chunk_future.result()

    async def _receive(self) -> bytes:
        """Receive the next chunk; raises ``IncompleteBodyError``."""
        message = await self.stream.recv_message()
        if not isinstance(message, messages.Chunk):
            raise http_messages.IncompleteBodyError(
                "the request body ended early"
            )
        self.more = message.more
        return message.data

    async def drain(self) -> None:
        """Read and discard the rest of the body after an early response.

        The stream ends without an error only if everything has been read.
        """
        while self.more:
            await self._receive()


def _with_more_flag(
    chunks: collections.abc.Iterator[bytes],
) -> collections.abc.Iterator[tuple[bytes, bool]]:
    """Yield each chunk and whether more follow; ``(b"", False)`` if none."""
    previous = next(chunks, b"")
    for chunk in chunks:
        yield previous, True
        previous = chunk
    yield previous, False


def server(service: PeerService) -> grpclib.server.Server:
    """Return the grpclib server of a process, which doesn't listen yet."""
    return grpclib.server.Server([service], codec=codec.MsgpackCodec())
