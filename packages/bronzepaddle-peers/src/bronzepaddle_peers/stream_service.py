"""Serves the request streams of other processes.

The receiving side of ``stream_client``.  Each stream has a reading and a
writing task and one task per request.  Small responses overtake large ones
(see ``pacing``).
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools
import typing

import grpclib.const
from bronzepaddle import held_body, http_messages, ids, logs, verdicts
from bronzepaddle.load import body_budget

from bronzepaddle_peers import (
    incoming_bodies,
    pacing,
    peer_server,
    rpc_client,
    statuses,
    stream_client,
    stream_messages,
)

MAX_QUEUED_PIECES: typing.Final = 8
"""Pieces of responses that wait on a stream to be written.

The rest of their bodies stays where it is held.
"""

Serve: typing.TypeAlias = collections.abc.Callable[
    [stream_messages.ForwardedRequest],
    collections.abc.Awaitable[stream_client.Reply],
]
"""Serves one request; cancelled if its response is no longer needed."""

AddLoad: typing.TypeAlias = collections.abc.Callable[
    [http_messages.Response], stream_client.Reply
]
"""Returns a reply with the current load of this process."""

StatusSource: typing.TypeAlias = collections.abc.Callable[[], statuses.Status]
"""Returns the current status of this process."""

ConfigSource: typing.TypeAlias = collections.abc.Callable[
    [statuses.ConfigRequest], statuses.ConfigReply
]
"""Returns this process's configuration; an empty reply if not newer."""

OwnershipSource: typing.TypeAlias = collections.abc.Callable[
    [statuses.OwnershipRequest], statuses.OwnershipReply
]
"""Returns a service's ownership object; an empty reply if not newer."""


@dataclasses.dataclass(frozen=True)
class RequestHandlers:
    """Handlers of the requests, status requests and pull calls of peers.

    ``add_load`` is used for requests that are refused for their bodies.
    """

    serve: Serve
    config: ConfigSource
    ownership: OwnershipSource
    current_status: StatusSource
    add_load: AddLoad = stream_client.Reply


class _Exchange:
    """The stream of one peer: its requests and the messages to be written.

    ``tasks`` serve the requests, by number.
    """

    def __init__(
        self, stream: typing.Any, budget: body_budget.BodyBudget
    ) -> None:
        self.stream = stream
        self.bodies = incoming_bodies.IncomingBodies(budget)
        self.room_for_pieces = asyncio.Semaphore(MAX_QUEUED_PIECES)
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.outgoing: asyncio.Queue[stream_messages.ServerMessage] = (
            asyncio.Queue()
        )
        self.is_writing = False

    async def write(self) -> None:
        """Write queued messages until the connection is lost."""
        # If the connection is lost, ``Service.exchange`` ends as well and
        # cancels the requests; the peer logs the loss.
        with contextlib.suppress(*rpc_client.CONNECTION_ERRORS):
            while True:
                message = await self.outgoing.get()
                self.is_writing = True
                await self.stream.send_message(message)
                self.is_writing = False
                match message:
                    case (
                        stream_messages.ResponseHead()
                        | stream_messages.BodyPiece()
                    ):
                        self.room_for_pieces.release()

    async def put(
        self,
        message: stream_messages.ResponseHead | stream_messages.BodyPiece,
    ) -> None:
        """Queue a piece of a response once few pieces wait."""
        await self.room_for_pieces.acquire()
        self.outgoing.put_nowait(message)

    def start(
        self, number: int, serving: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Start to serve a request."""
        task = asyncio.create_task(serving)
        self.tasks[number] = task
        task.add_done_callback(
            functools.partial(_remove_task, self.tasks, number)
        )

    def is_serving(self) -> bool:
        """Return whether a request runs or its response is on its way.

        What the kernel has not sent yet is lost if the process ends.
        """
        if self.tasks or self.is_writing or not self.outgoing.empty():
            return True
        # grpclib has no public access to the transport of a stream.
        return peer_server.has_unsent(
            self.stream._stream.connection._transport
        )


class Service:
    """The gRPC service that peers send their requests to.

    ``budget`` is the memory for bodies.
    """

    def __init__(
        self,
        handlers: RequestHandlers,
        pacer: pacing.Pacer,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self.handlers = handlers
        self.pacer = pacer
        self.budget = budget or body_budget.BodyBudget()
        self.exchanges: set[_Exchange] = set()
        self.without_room = asyncio.Lock()

    def is_serving(self) -> bool:
        """Return whether a request runs or its response is on its way.

        What the kernel has not sent yet is lost if the process ends.
        """
        return any(exchange.is_serving() for exchange in self.exchanges)

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the handlers by path, in the form that grpclib expects."""
        return {
            stream_client.PATH_PREFIX + "Exchange": grpclib.const.Handler(
                self.exchange,
                grpclib.const.Cardinality.STREAM_STREAM,
                stream_messages.ClientMessage,
                stream_messages.ServerMessage,
            ),
            stream_client.PATH_PREFIX + "PullConfig": grpclib.const.Handler(
                self.pull_config,
                grpclib.const.Cardinality.UNARY_UNARY,
                statuses.ConfigRequest,
                statuses.ConfigReply,
            ),
            stream_client.PATH_PREFIX + "PullOwnership": grpclib.const.Handler(
                self.pull_ownership,
                grpclib.const.Cardinality.UNARY_UNARY,
                statuses.OwnershipRequest,
                statuses.OwnershipReply,
            ),
        }

    async def pull_config(self, stream: typing.Any) -> None:
        """Handle ``stream_client.Client.pull_config``."""
        peer_server.limit_messages(stream, self.budget, self.without_room)
        request = await stream.recv_message()
        await stream.send_message(self.handlers.config(request))

    async def pull_ownership(self, stream: typing.Any) -> None:
        """Handle ``stream_client.Client.pull_ownership``."""
        peer_server.limit_messages(stream, self.budget, self.without_room)
        request = await stream.recv_message()
        await stream.send_message(self.handlers.ownership(request))

    async def exchange(self, stream: typing.Any) -> None:
        """Serve the stream of one peer until it ends."""
        peer_server.limit_messages(stream, self.budget, self.without_room)
        exchange = _Exchange(stream, self.budget)
        writing = asyncio.create_task(exchange.write())
        self.exchanges.add(exchange)
        try:
            while (message := await stream.recv_message()) is not None:
                self._on_message(exchange, message)
                # Nothing of it is kept while this waits for the next one.
                del message
        finally:
            # The stream has ended: the responses can't be delivered any more.
            self.exchanges.discard(exchange)
            for task in [*exchange.tasks.values(), writing]:
                task.cancel()

    def _on_message(
        self, exchange: _Exchange, message: stream_messages.ClientMessage
    ) -> None:
        """Process one message of a peer."""
        match message:
            case stream_messages.RequestPart():
                self._on_part(exchange, message)
            case stream_messages.ForwardedRequest(number=number):
                request = exchange.bodies.complete(message)
                if request is not None:
                    exchange.start(number, self._serve(exchange, request))
            case stream_messages.Cancel(number):
                exchange.bodies.drop(number)
                if number in exchange.tasks:
                    exchange.tasks[number].cancel()
            case stream_messages.Ping():
                exchange.outgoing.put_nowait(message)
            case stream_messages.StatusRequest():
                exchange.outgoing.put_nowait(
                    stream_messages.StatusReply(self.handlers.current_status())
                )
            case _:
                typing.assert_never(message)

    def _on_part(
        self, exchange: _Exchange, part: stream_messages.RequestPart
    ) -> None:
        """Add a part to its body; refuse the request if there is no room."""
        try:
            exchange.bodies.add(part)
        except held_body.NoRoomError as error:
            refusing = self._refuse(
                exchange,
                part.number,
                ids.RequestId(""),
                verdicts.Reason.MEMORY_FULL,
                str(error),
            )
            exchange.start(part.number, refusing)

    async def _serve(
        self, exchange: _Exchange, request: stream_messages.ForwardedRequest
    ) -> None:
        """Serve one request and queue its response for writing."""
        is_counted = isinstance(request.body, memoryview)
        with (
            self.pacer.reserve(request.route) as reservation,
            self.budget.open(body_budget.REQUEST_SHARE) as held,
        ):
            decision = held.grow(0 if is_counted else len(request.body))
            match decision:
                case body_budget.Refused():
                    # Peers of earlier releases send whole requests, and know
                    # only this reason.
                    await self._refuse(
                        exchange,
                        request.number,
                        request.request_id,
                        verdicts.Reason.QUEUE_FULL,
                        str(decision),
                    )
                    return
                case body_budget.Granted():
                    reply = await self.handlers.serve(request)
                case _:
                    typing.assert_never(decision)
            body = _whole_body(reply.response)
            unsent_bytes = len(body)
            if reply.response.verdict is verdicts.Verdict.RAN:
                self.pacer.record_size(request.route, unsent_bytes)
            for message in _response_messages(request.number, reply, body):
                reservation.set_remaining(unsent_bytes)
                await self.pacer.wait(len(message.piece))
                await exchange.put(message)
                unsent_bytes -= len(message.piece)

    async def _refuse(
        self,
        exchange: _Exchange,
        number: int,
        request_id: ids.RequestId,
        reason: verdicts.Reason,
        detail: str,
    ) -> None:
        """Refuse a request for whose body there is no room.

        ``request_id`` is empty while only parts of it have come.
        """
        response = http_messages.rejection(
            reason,
            ids.MemberId(""),
            retry_after_s=body_budget.RETRY_AFTER_S,
            detail=detail,
        )
        logs.body_refused(
            request_id,
            response,
            self.budget.held_bytes,
            self.budget.limit_bytes,
        )
        reply = self.handlers.add_load(response)
        for message in _response_messages(number, reply, memoryview(b"")):
            await exchange.put(message)


def _remove_task(
    tasks: dict[int, asyncio.Task[None]],
    number: int,
    _task: asyncio.Task[None],
) -> None:
    tasks.pop(number, None)


def _whole_body(response: http_messages.Response) -> memoryview:
    """Return the body of a response, without a copy of a large one."""
    if isinstance(response.body, held_body.Pieces):
        return response.body.body
    return memoryview(b"".join(response.body))


def _response_messages(
    number: int, reply: stream_client.Reply, body: memoryview
) -> collections.abc.Iterator[
    stream_messages.ResponseHead | stream_messages.BodyPiece
]:
    """Yield the messages of a response, with its body cut into pieces."""
    response = reply.response
    size = stream_messages.PIECE_BYTES
    yield stream_messages.ResponseHead(
        number=number,
        status=response.status,
        headers=response.headers,
        verdict=response.verdict.value,
        reason=response.reason.value,
        retry_after_s=response.retry_after_s,
        detail=response.detail,
        outstanding=reply.outstanding,
        service_s=reply.service_s,
        piece=bytes(body[:size]),
        more=len(body) > size,
        starts_per_s=reply.starts_per_s,
        backlog_s=reply.backlog_s,
        run_s=reply.run_s,
    )
    for start in range(size, len(body), size):
        yield stream_messages.BodyPiece(
            number,
            bytes(body[start : start + size]),
            start + size < len(body),
        )


def server(
    service: Service, max_connections: int = peer_server.MAX_CONNECTIONS
) -> peer_server.PeerServer:
    """Return the gRPC server of a process, which doesn't listen yet."""
    return peer_server.PeerServer([service], max_connections)
