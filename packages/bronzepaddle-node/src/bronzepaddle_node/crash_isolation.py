"""Keeps a request that crashes backend servers from taking many down.

``ExclusiveGate`` stands in front of the dispatch: ordinary requests pass side
by side, a suspect passes alone or not at all.  ``SuspectReplicator`` tells
every other process of a suspect before the answer that could bring it to them
is given.
"""

import asyncio
import contextlib
import threading
import typing

from bronzepaddle import cells, clocks, suspects
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import state

ALONE_WAIT_S: typing.Final = 0.25
"""Time that a suspect may hold ordinary work up to get the server alone."""

SHARE_WAIT_S: typing.Final = 2.0
SHARE_TRIES: typing.Final = 3


class ExclusiveGate:
    """Lets ordinary requests run side by side and a suspect alone."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.together = 0
        self.alone = False

    def enter(self, alone: bool) -> bool:
        """Let a request pass; False if a suspect can't have the server."""
        with self.changed:
            if not alone:
                self.changed.wait_for(lambda: not self.alone)
                self.together += 1
                return True
            if not self.changed.wait_for(lambda: not self.alone, ALONE_WAIT_S):
                return False
            self.alone = True
            free = self.changed.wait_for(
                lambda: not self.together, ALONE_WAIT_S
            )
            if not free:
                self.alone = False
                self.changed.notify_all()
            return free

    def leave(self, alone: bool) -> None:
        """Count a request out."""
        with self.changed:
            if alone:
                self.alone = False
            else:
                self.together -= 1
            self.changed.notify_all()


class SuspectReplicator:
    """The suspects of this process, shared with all others of the cell."""

    def __init__(
        self,
        node_state: state.NodeState,
        peers: rpc.PeerCalls,
        loop: asyncio.AbstractEventLoop,
        time: clocks.Clock,
    ) -> None:
        self.state = node_state
        self.peers = peers
        self.loop = loop
        self.time = time
        self.known = suspects.Suspects()

    def crashes(self, one: suspects.Fingerprint) -> int:
        """Return the crashes that a request was in flight at."""
        return self.known.crashes(one, self.time.now())

    def record_crash(self, one: suspects.Fingerprint) -> None:
        """Count a crash and tell the others, from a worker thread."""
        self._share(one, self.crashes(one) + 1)

    def clear(self, one: suspects.Fingerprint) -> None:
        """Forget a suspect that came through, here and elsewhere."""
        self._share(one, 0)

    def _share(self, one: suspects.Fingerprint, crashes: int) -> None:
        notice = messages.SuspectNotice(one, crashes)
        self.apply_notice(notice)
        sharing = asyncio.run_coroutine_threadsafe(
            self._tell(notice), self.loop
        )
        with contextlib.suppress(TimeoutError):
            sharing.result(timeout=SHARE_WAIT_S)

    def apply_notice(self, notice: messages.SuspectNotice) -> None:
        """Take in what another process tells."""
        one = suspects.Fingerprint(notice.fingerprint)
        if notice.crashes:
            self.known.record(one, notice.crashes, self.time.now())
        else:
            self.known.clear(one)

    async def _tell(self, notice: messages.SuspectNotice) -> None:
        calls = [
            self._tell_one(member.address, notice)
            for _, member in self.state.others()
        ]
        await asyncio.gather(*calls)

    async def _tell_one(
        self, at: cells.Address, notice: messages.SuspectNotice
    ) -> None:
        for _ in range(SHARE_TRIES):
            with contextlib.suppress(rpc.PeerError):
                await self.peers.report_suspect(at, notice)
                return
