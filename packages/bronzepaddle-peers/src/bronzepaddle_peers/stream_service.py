"""Serves the streams on which other processes send their requests.

The receiving side of ``stream_client``: one task for each stream, and one for
each request on it.  Small answers go past large ones (see ``pacing``).
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools
import typing

import grpclib.const
import grpclib.server
from bronzepaddle import verdicts

from bronzepaddle_peers import (
    codec,
    pacing,
    rpc_client,
    statuses,
    stream_client,
    stream_messages,
)

Handle: typing.TypeAlias = collections.abc.Callable[
    [stream_messages.ForwardedRequest],
    collections.abc.Awaitable[stream_client.Reply],
]
"""Serves one request; cancelled when its answer is not wanted any more."""

Describe: typing.TypeAlias = collections.abc.Callable[[], statuses.Status]
"""Returns the status of this process as of now."""

Config: typing.TypeAlias = collections.abc.Callable[
    [statuses.ConfigRequest], statuses.ConfigReply
]


Ownership: typing.TypeAlias = collections.abc.Callable[
    [statuses.OwnershipRequest], statuses.OwnershipReply
]


@dataclasses.dataclass(frozen=True)
class RequestHandlers:
    """Where answers to peers come from."""

    handle: Handle
    config: Config
    ownership: Ownership
    describe: Describe


class Service:
    """The receiving side: serves the requests of peers."""

    def __init__(self, sources: RequestHandlers, pacer: pacing.Pacer) -> None:
        self.sources = sources
        self.pacer = pacer

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by path, as grpclib asks for them."""
        return {
            stream_client.PATH + "Exchange": grpclib.const.Handler(
                self.exchange,
                grpclib.const.Cardinality.STREAM_STREAM,
                stream_messages.Upward,
                stream_messages.Downward,
            ),
            stream_client.PATH + "PullConfig": grpclib.const.Handler(
                self.pull_config,
                grpclib.const.Cardinality.UNARY_UNARY,
                statuses.ConfigRequest,
                statuses.ConfigReply,
            ),
            stream_client.PATH + "PullOwnership": grpclib.const.Handler(
                self.pull_ownership,
                grpclib.const.Cardinality.UNARY_UNARY,
                statuses.OwnershipRequest,
                statuses.OwnershipReply,
            ),
        }

    async def pull_config(self, stream: typing.Any) -> None:
        """Answer ``Client.pull_config``."""
        request = await stream.recv_message()
        await stream.send_message(self.sources.config(request))

    async def pull_ownership(self, stream: typing.Any) -> None:
        """Answer ``Client.pull_ownership``."""
        request = await stream.recv_message()
        await stream.send_message(self.sources.ownership(request))

    async def exchange(self, stream: typing.Any) -> None:
        """Serve one peer's stream until it ends."""
        out: asyncio.Queue[stream_messages.Downward] = asyncio.Queue()
        running: dict[int, asyncio.Task[None]] = {}
        writing = asyncio.create_task(_write_out(stream, out))
        try:
            while (message := await stream.recv_message()) is not None:
                match message:
                    case stream_messages.ForwardedRequest(number=number):
                        task = asyncio.create_task(self._serve(message, out))
                        running[number] = task
                        task.add_done_callback(
                            functools.partial(_forget, running, number)
                        )
                    case stream_messages.Cancel(number):
                        if number in running:
                            running[number].cancel()
                    case stream_messages.Ping():
                        out.put_nowait(message)
                    case stream_messages.AskStatus():
                        out.put_nowait(
                            stream_messages.Told(self.sources.describe())
                        )
        finally:
            # The asker is gone: nobody wants these answers any more.
            for task in [*running.values(), writing]:
                task.cancel()

    async def _serve(
        self,
        ask: stream_messages.ForwardedRequest,
        out: "asyncio.Queue[stream_messages.Downward]",
    ) -> None:
        with self.pacer.promise(ask.route) as promise:
            reply = await self.sources.handle(ask)
            messages = list(_messages(ask.number, reply))
            left = sum(len(message.piece) for message in messages)
            if reply.answer.verdict is verdicts.Verdict.RAN:
                self.pacer.measure(ask.route, left)
            for message in messages:
                promise.set(left)
                await self.pacer.wait(len(message.piece))
                out.put_nowait(message)
                left -= len(message.piece)


def _forget(
    running: dict[int, asyncio.Task[None]],
    number: int,
    _task: asyncio.Task[None],
) -> None:
    running.pop(number, None)


async def _write_out(
    stream: typing.Any, out: "asyncio.Queue[stream_messages.Downward]"
) -> None:
    # The reader of the same stream ends too, and with it what it serves;
    # the asker logs the loss.
    with contextlib.suppress(*rpc_client.CONNECTION_ERRORS):
        while True:
            await stream.send_message(await out.get())


def _messages(
    number: int, reply: stream_client.Reply
) -> collections.abc.Iterator[stream_messages.Head | stream_messages.Piece]:
    """Yield an answer's messages; its body is cut into pieces."""
    answer = reply.answer
    body = b"".join(answer.body)
    size = stream_messages.PIECE_BYTES
    yield stream_messages.Head(
        number=number,
        status=answer.status,
        headers=answer.headers,
        verdict=answer.verdict.value,
        reason=answer.reason.value,
        retry_after_s=answer.retry_after_s,
        detail=answer.detail,
        outstanding=reply.outstanding,
        service_s=reply.service_s,
        piece=body[:size],
        more=len(body) > size,
    )
    for start in range(size, len(body), size):
        yield stream_messages.Piece(
            number, body[start : start + size], start + size < len(body)
        )


def server(service: Service) -> grpclib.server.Server:
    """Return the grpclib server of a process, not yet listening."""
    return grpclib.server.Server([service], codec=codec.MsgpackCodec())
