"""Isolates requests that are suspected of crashing backend servers.

``ExclusiveGate`` is passed before a request is dispatched: ordinary requests
run concurrently, a suspect runs while nothing else does, or not at all.
``SuspectReplicator`` sends a new suspect to all other processes of the cell,
the group of processes that divide the keys among themselves.  It does so
before the request gets its response, because its caller may then retry it
there.
"""

import asyncio
import contextlib
import threading
import typing

from bronzepaddle import cells, clocks, suspects
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import state

EXCLUSIVE_WAIT_S: typing.Final = 0.25
"""Limit of each of the two waits of a suspect.

It waits for another suspect to end, then for the ordinary requests to end.
During the second wait, no ordinary request may start.
"""

REPLICATION_TIMEOUT_S: typing.Final = 2.0
"""Maximum time for which a response waits until all processes are notified."""

REPLICATION_ATTEMPTS: typing.Final = 3
"""Attempts to send a notice to one process."""


class ExclusiveGate:
    """Lets ordinary requests run concurrently and a suspect exclusively."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        # The number of ordinary requests that run, and whether a suspect runs
        # or waits for them to end.
        self.shared_count = 0
        self.exclusive_taken = False

    def enter(self, exclusive: bool) -> bool:
        """Wait until a request may run; return whether it may.

        Ordinary requests wait until no suspect runs or waits for them to end.
        Each of the two waits of a suspect is limited to ``EXCLUSIVE_WAIT_S``.
        """
        with self.changed:
            if not exclusive:
                self.changed.wait_for(lambda: not self.exclusive_taken)
                self.shared_count += 1
                return True
            if not self.changed.wait_for(
                lambda: not self.exclusive_taken, EXCLUSIVE_WAIT_S
            ):
                return False
            self.exclusive_taken = True
            acquired = self.changed.wait_for(
                lambda: not self.shared_count, EXCLUSIVE_WAIT_S
            )
            if not acquired:
                self.exclusive_taken = False
                self.changed.notify_all()
            return acquired

    def leave(self, exclusive: bool) -> None:
        """Record that a request that passed the gate has ended."""
        with self.changed:
            if exclusive:
                self.exclusive_taken = False
            else:
                self.shared_count -= 1
            self.changed.notify_all()


class SuspectReplicator:
    """Keeps the known suspects and sends changes to the cell's members."""

    def __init__(
        self,
        node_state: state.NodeState,
        peer_calls: rpc.PeerCalls,
        loop: asyncio.AbstractEventLoop,
        clock: clocks.Clock,
    ) -> None:
        self.state = node_state
        self.peer_calls = peer_calls
        self.loop = loop
        self.clock = clock
        self.suspects = suspects.Suspects()

    def crashes(self, fingerprint: suspects.Fingerprint) -> int:
        """Return the number of crashes that a request was in flight at."""
        return self.suspects.crashes(fingerprint, self.clock.now())

    def record_crash(self, fingerprint: suspects.Fingerprint) -> None:
        """Count one more crash of a request, in all processes.

        For worker threads: blocks until the others are notified.
        """
        self._replicate(fingerprint, self.crashes(fingerprint) + 1)

    def clear(self, fingerprint: suspects.Fingerprint) -> None:
        """Clear a suspect that was served, in all processes.

        For worker threads: blocks until the others are notified.
        """
        self._replicate(fingerprint, 0)

    def _replicate(
        self, fingerprint: suspects.Fingerprint, crashes: int
    ) -> None:
        """Apply a change here and send it to the others.

        Waits at most ``REPLICATION_TIMEOUT_S`` until all have received it.
        """
        notice = messages.SuspectNotice(fingerprint, crashes)
        self.apply_notice(notice)
        replication = asyncio.run_coroutine_threadsafe(
            self._send_to_peers(notice), self.loop
        )
        with contextlib.suppress(TimeoutError):
            replication.result(timeout=REPLICATION_TIMEOUT_S)

    def apply_notice(self, notice: messages.SuspectNotice) -> None:
        """Apply a notice; a count of 0 crashes clears the request."""
        fingerprint = suspects.Fingerprint(notice.fingerprint)
        if notice.crashes:
            self.suspects.record(fingerprint, notice.crashes, self.clock.now())
        else:
            self.suspects.clear(fingerprint)

    async def _send_to_peers(self, notice: messages.SuspectNotice) -> None:
        """Send a notice to all other members of the cell concurrently."""
        calls = [
            self._send_to_peer(member.address, notice)
            for _, member in self.state.others()
        ]
        await asyncio.gather(*calls)

    async def _send_to_peer(
        self, address: cells.Address, notice: messages.SuspectNotice
    ) -> None:
        """Send a notice to one member; repeat it if that fails."""
        for _ in range(REPLICATION_ATTEMPTS):
            with contextlib.suppress(rpc.PeerError):
                await self.peer_calls.report_suspect(address, notice)
                return
