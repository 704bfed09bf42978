"""The socket of a caller's connection, whose waits are bounded.

A worker thread that has to wait for a caller asks ``slow_callers`` first.  It
gives up if the caller is too slow, or is woken if the caller is closed in
favour of others.
"""

import contextlib
import math
import select
import socket
import time
import typing

from bronzepaddle import logs
from bronzepaddle.load import slow_callers

WAIT_SLICE_S: typing.Final = 1.0
"""Longest wait after which a thread looks whether its caller is closed."""

TIMED_OUT: typing.Final = "timed out"
"""Text of the error by which cheroot recognizes a timeout."""


class GuardedSocket(socket.socket):
    """A connection to a caller that doesn't wait longer than allowed.

    Reading and writing raise ``TimeoutError`` if the caller is to be closed.
    """

    waiting_threads: slow_callers.WaitingThreads
    transfer: slow_callers.Transfer
    wait_ends_at = math.inf
    waits_to_read = False

    def limit_waits(self, time_s: float) -> None:
        """Wait no longer than for ``time_s`` in all from now on."""
        self.wait_ends_at = time.monotonic() + time_s

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Read bytes once there are some."""
        while True:
            if not self.transfer.closed:
                with contextlib.suppress(BlockingIOError):
                    count = super().recv_into(*args, **kwargs)
                    self.transfer.record_bytes(count)
                    return count
            self._wait(select.POLLIN)

    def send(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Write bytes once the caller has read enough.

        The response that tells a caller that it is closed is still written.
        """
        while True:
            with contextlib.suppress(BlockingIOError):
                count = super().send(*args, **kwargs)
                self.transfer.record_bytes(count)
                return count
            self._wait(select.POLLOUT)

    def _wait(self, event: int) -> None:
        """Wait until the socket is ready; raise ``TimeoutError`` if not."""
        transfer = self.transfer
        poll = select.poll()
        poll.register(self, event)
        short_wait_s = slow_callers.SHORT_WAIT_S - transfer.lag_s
        if not transfer.closed and short_wait_s > 0:
            started_at = time.monotonic()
            is_ready = poll.poll(short_wait_s * 1000)
            transfer.record_wait(time.monotonic() - started_at)
            if is_ready:
                return
        self._wait_longer(poll, event)

    def _wait_longer(self, poll: select.poll, event: int) -> None:
        """Wait as one of the threads that wait for slow callers."""
        transfer = self.transfer
        self.waits_to_read = event == select.POLLIN
        now = time.monotonic()
        decision = self.waiting_threads.begin(
            transfer, now, may_refuse=self.waits_to_read
        )
        match decision:
            case slow_callers.GiveUp(reason):
                self._give_up(reason)
            case slow_callers.Wait(timeout_s, slowest):
                if slowest is not None:
                    slowest.close()
                ends_at = min(now + timeout_s, self.wait_ends_at)
                try:
                    is_ready = self._poll_until(poll, ends_at)
                finally:
                    self.waiting_threads.end(transfer, time.monotonic())
                if transfer.closed:
                    self._give_up("other callers need the thread or memory")
                if not is_ready:
                    transfer.closed = True
                    self._give_up("the caller is too slow")
            case _:
                typing.assert_never(decision)

    def _poll_until(self, poll: select.poll, ends_at: float) -> bool:
        """Wait until the socket is ready; False if the wait has ended."""
        while not self.transfer.closed:
            left_s = ends_at - time.monotonic()
            if poll.poll(max(0.0, min(left_s, WAIT_SLICE_S)) * 1000):
                return True
            if left_s <= 0:
                return False
        return False

    def _give_up(self, reason: str) -> typing.NoReturn:
        logs.slow_caller(reason, self.transfer.lag_s)
        raise TimeoutError(TIMED_OUT)

    def wake(self) -> None:
        """Wake the thread that waits for this caller.

        What the caller sends from now on is not read.  It gets no further
        bytes either if it doesn't read them.
        """
        with contextlib.suppress(OSError):
            self.shutdown(
                socket.SHUT_RD if self.waits_to_read else socket.SHUT_RDWR
            )


def guard(
    accepted: socket.socket, waiting_threads: slow_callers.WaitingThreads
) -> GuardedSocket:
    """Return an accepted connection as a ``GuardedSocket``."""
    guarded = GuardedSocket(
        accepted.family,
        accepted.type,
        accepted.proto,
        fileno=accepted.detach(),
    )
    # Waits are made by the methods of the class.
    guarded.setblocking(False)
    guarded.waiting_threads = waiting_threads
    guarded.transfer = slow_callers.Transfer(guarded.wake)
    return guarded
