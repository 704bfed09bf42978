"""The interface through which a process calls its peers, and is called."""

import typing

from bronzepaddle import cells

from bronzepaddle_peers import messages


class PeerError(Exception):
    """A call to a peer brought no answer."""


class PeerCalls(typing.Protocol):
    """Calls to peers; each raises ``PeerError`` when no answer comes."""

    def heartbeat(
        self, to: cells.Address, heartbeat: messages.Heartbeat
    ) -> None:
        """Send a heartbeat, which may get lost."""
        ...

    async def pull_cell(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Ask for a newer cell object."""
        ...

    async def pull_bundle(
        self, to: cells.Address, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Ask for a newer bundle."""
        ...

    async def silence(
        self, to: cells.Address, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Ask what a peer knows of another's silence."""
        ...

    async def hand_over(
        self, to: cells.Address, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Ask an owner to hand slots over."""
        ...

    async def report_suspect(
        self, to: cells.Address, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Tell of a request that may crash backend servers."""
        ...

    async def transfer_windows(
        self, to: cells.Address, request: messages.WindowRequest
    ) -> messages.Done:
        """Give the next owner of slots their idempotency windows."""
        ...


class PeerCallHandlers(typing.Protocol):
    """What a process answers to its peers' calls."""

    async def on_pull_cell(
        self, request: messages.VersionRequest
    ) -> messages.CellReply:
        """Answer ``PeerCalls.pull_cell``."""
        ...

    async def on_pull_bundle(
        self, request: messages.VersionRequest
    ) -> messages.BundleReply:
        """Answer ``PeerCalls.pull_bundle``."""
        ...

    async def on_silence(
        self, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        """Answer ``PeerCalls.silence``."""
        ...

    async def on_hand_over(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Answer ``PeerCalls.hand_over``."""
        ...

    async def on_report_suspect(
        self, notice: messages.SuspectNotice
    ) -> messages.Done:
        """Answer ``PeerCalls.report_suspect``."""
        ...

    async def on_transfer_windows(
        self, request: messages.WindowRequest
    ) -> messages.Done:
        """Answer ``PeerCalls.transfer_windows``."""
        ...
