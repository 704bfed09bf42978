"""Calls to peers over grpclib, with one persistent connection per peer."""

import typing

import grpclib.client
import grpclib.exceptions
from bronzepaddle import cells

from bronzepaddle_peers import codec, datagrams, messages, rpc, rpc_service

CALL_TIMEOUT_S: typing.Final = 0.7
"""Timeout of a call; short, because a takeover makes several calls."""

CONNECTION_ERRORS: typing.Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)
"""Exceptions that a call raises if the peer or its connection is lost."""


_Reply = typing.TypeVar("_Reply")


class Channels:
    """The gRPC channels of this process to its peers."""

    def __init__(self) -> None:
        self.channels: dict[cells.Address, grpclib.client.Channel] = {}

    def channel_to(self, address: cells.Address) -> grpclib.client.Channel:
        """Return the channel to a peer; it connects on the first call."""
        channel = self.channels.get(address)
        if channel is None:
            channel = grpclib.client.Channel(
                address.host, address.port, codec=codec.MsgpackCodec()
            )
            self.channels[address] = channel
        return channel

    def keep_only(self, addresses: set[cells.Address]) -> None:
        """Close the channels to all addresses but these."""
        for address in set(self.channels) - addresses:
            self.channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(set())


class GrpcPeerCalls:
    """Implements ``rpc.PeerCalls``: heartbeats by UDP, calls by grpclib."""

    def __init__(
        self,
        channels: Channels,
        socket: datagrams.DatagramSocket[messages.Heartbeat],
    ) -> None:
        self.channels = channels
        self.socket = socket

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Send a heartbeat; it may be lost without an error."""
        self.socket.send(to, heartbeat)

    async def pull_cell(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Fetch the peer's cell object if newer than ``newer_than``."""
        return await self._call(to, "PullCell", request, messages.CellReply)

    async def pull_bundle(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Fetch the peer's bundle if newer than ``newer_than``."""
        return await self._call(
            to, "PullBundle", request, messages.BundleReply
        )

    async def query_silence(
        self, to: cells.Address, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Ask a peer how long ago it last heard from another member."""
        return await self._call(to, "Silence", request, messages.SilenceReply)

    async def hand_over(
        self, to: cells.Address, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Ask an owner to hand slots over to other members."""
        return await self._call(
            to, "HandOver", request, messages.HandOverReply
        )

    async def report_suspect(
        self, to: cells.Address, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Report or clear a request that may crash backend servers."""
        return await self._call(to, "Suspect", notice, messages.Done)

    async def transfer_windows(
        self, to: cells.Address, request: messages.TransferWindowsRequest
    ) -> messages.Done:
        """Send the idempotency windows of slots to their next owner."""
        return await self._call(to, "TakeWindows", request, messages.Done)

    async def _call(
        self,
        to: cells.Address,
        name: str,
        request: object,
        reply_type: type[_Reply],
    ) -> _Reply:
        """Make a call and return its reply; raises ``rpc.PeerError``."""
        method = grpclib.client.UnaryUnaryMethod(
            self.channels.channel_to(to),
            rpc_service.PATH + name,
            type(request),
            reply_type,
        )
        try:
            reply: _Reply = await method(request, timeout=CALL_TIMEOUT_S)
        except CONNECTION_ERRORS as error:
            raise rpc.PeerError(f"{name} to {to}: {error!r}") from error
        return reply
