"""Calls to peers over grpclib, one kept connection for each peer."""

import typing

import grpclib.client
import grpclib.exceptions
from bronzepaddle import cells

from bronzepaddle_peers import codec, datagrams, messages, rpc, rpc_service

CALL_TIMEOUT_S: typing.Final = 0.7
"""Bound on a control call: several of them must fit into a takeover."""

CONNECTION_ERRORS: typing.Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)
"""What a call raises when the peer or the way to it is lost."""


_Reply = typing.TypeVar("_Reply")


class Channels:
    """The open connections of this process to its peers."""

    def __init__(self) -> None:
        self.channels: dict[cells.Address, grpclib.client.Channel] = {}

    def to(self, address: cells.Address) -> grpclib.client.Channel:
        """Return the channel to a peer; it connects at its first call."""
        channel = self.channels.get(address)
        if channel is None:
            channel = grpclib.client.Channel(
                address.host, address.port, codec=codec.MsgpackCodec()
            )
            self.channels[address] = channel
        return channel

    def keep_only(self, addresses: set[cells.Address]) -> None:
        """Close the connections to all other peers."""
        for address in set(self.channels) - addresses:
            self.channels.pop(address).close()

    def close(self) -> None:
        """Close every connection."""
        self.keep_only(set())


class GrpcPeerCalls:
    """The link to real peers: heartbeats by UDP, calls by grpclib."""

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
        """Send a heartbeat, which may get lost."""
        self.socket.send(to, heartbeat)

    async def pull_cell(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Ask for a newer cell object."""
        return await self._call(to, "PullCell", request, messages.CellReply)

    async def pull_bundle(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Ask for a newer bundle."""
        return await self._call(
            to, "PullBundle", request, messages.BundleReply
        )

    async def silence(
        self, to: cells.Address, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Ask what a peer knows of another's silence."""
        return await self._call(to, "Silence", request, messages.SilenceReply)

    async def hand_over(
        self, to: cells.Address, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Ask an owner to hand slots over."""
        return await self._call(
            to, "HandOver", request, messages.HandOverReply
        )

    async def report_suspect(
        self, to: cells.Address, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Tell of a request that may crash backend servers."""
        return await self._call(to, "Suspect", notice, messages.Done)

    async def transfer_windows(
        self, to: cells.Address, request: messages.WindowRequest
    ) -> messages.Done:
        """Give the next owner of slots their idempotency windows."""
        return await self._call(to, "TakeWindows", request, messages.Done)

    async def _call(
        self,
        to: cells.Address,
        name: str,
        request: object,
        reply_type: type[_Reply],
    ) -> _Reply:
        method = grpclib.client.UnaryUnaryMethod(
            self.channels.to(to),
            rpc_service.PATH + name,
            type(request),
            reply_type,
        )
        try:
            reply: _Reply = await method(request, timeout=CALL_TIMEOUT_S)
        except CONNECTION_ERRORS as error:
            raise rpc.PeerError(f"{name} to {to}: {error!r}") from error
        return reply
