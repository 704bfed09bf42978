"""Interfaces of the calls between processes: client and server side."""

import typing

from bronzepaddle import cells

from bronzepaddle_peers import messages


class PeerError(Exception):
    """A call to a peer failed: it got no reply or an error."""


class PeerCalls(typing.Protocol):
    """Calls to peers; all but ``heartbeat`` raise ``PeerError`` on failure."""

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Send a heartbeat; it may be lost without an error."""
        ...

    async def pull_cell(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Fetch the peer's cell object if newer than ``newer_than``."""
        ...

    async def pull_bundle(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Fetch the peer's bundle if newer than ``newer_than``."""
        ...

    async def query_silence(
        self, to: cells.Address, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Ask a peer how long ago it last heard from another member."""
        ...

    async def hand_over(
        self, to: cells.Address, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Ask an owner to hand slots over to other members."""
        ...

    async def report_suspect(
        self, to: cells.Address, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Report or clear a request that may crash backend servers."""
        ...

    async def transfer_windows(
        self, to: cells.Address, request: messages.TransferWindowsRequest
    ) -> messages.Done:
        """Send the idempotency windows of slots to their next owner."""
        ...


class PeerCallHandlers(typing.Protocol):
    """Handlers of the calls that peers make to a process."""

    async def on_pull_cell(
        self, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Handle ``PeerCalls.pull_cell``."""
        ...

    async def on_pull_bundle(
        self, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Handle ``PeerCalls.pull_bundle``."""
        ...

    async def on_silence(
        self, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Handle ``PeerCalls.query_silence``."""
        ...

    async def on_hand_over(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Handle ``PeerCalls.hand_over``."""
        ...

    async def on_report_suspect(
        self, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Handle ``PeerCalls.report_suspect``."""
        ...

    async def on_transfer_windows(
        self, request: messages.TransferWindowsRequest
    ) -> messages.Done:
        """Handle ``PeerCalls.transfer_windows``."""
        ...
