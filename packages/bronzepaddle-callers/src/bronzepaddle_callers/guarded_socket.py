"""The socket of a caller's connection, whose waits are bounded.

A worker thread that has to wait for a caller asks ``slow_callers`` first.  It
gives up if the caller is too slow, or is woken if the caller is closed in
favour of others.
"""

import contextlib
import math
import select
import socket
import struct
import time
import typing

from bronzepaddle import logs
from bronzepaddle.load import slow_callers

WAIT_SLICE_S: typing.Final = 1.0
"""Longest wait after which a thread looks whether its caller is closed."""

BODY_BUFFER_BYTES: typing.Final = 256 * 1024
"""Bytes that the kernel keeps of a body while a thread reads it."""

UNSENT_BYTES: typing.Final = 16 * 1024
"""Bytes that the kernel takes before it has sent what it has.

It takes one segment of up to 64 KiB in any case.
"""

ABORT_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` by which closing drops what has not been sent."""

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
    aborts_on_close = False

    def limit_waits(self, time_s: float) -> None:
        """Wait no longer than for ``time_s`` in all from now on."""
        self.wait_ends_at = time.monotonic() + time_s

    def set_buffer(self, size: int) -> None:
        """Set how many received bytes the kernel keeps from now on."""
        # The kernel doubles the value.
        with contextlib.suppress(OSError):
            self.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)

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

    def send_ready(self, data: memoryview) -> int:
        """Write bytes that the kernel takes at once; 0 if there are none."""
        with contextlib.suppress(BlockingIOError):
            count = super().send(data)
            self.transfer.record_bytes(count)
            return count
        return 0

    def send_shortly(self, data: memoryview) -> int:
        """Write bytes after a short wait; 0 if the caller takes longer."""
        while not (count := self.send_ready(data)):
            if not self._wait_shortly(self._poll_for(select.POLLOUT)):
                return 0
        return count

    def _wait(self, event: int) -> None:
        """Wait until the socket is ready; raise ``TimeoutError`` if not."""
        poll = self._poll_for(event)
        if not self._wait_shortly(poll):
            self._wait_longer(poll, event)

    def _poll_for(self, event: int) -> select.poll:
        poll = select.poll()
        poll.register(self, event)
        return poll

    def _wait_shortly(self, poll: select.poll) -> bool:
        """Wait without counting as a waiting thread; False if that is over."""
        transfer = self.transfer
        short_wait_s = slow_callers.SHORT_WAIT_S - transfer.lag_s
        if transfer.closed or short_wait_s <= 0:
            return False
        started_at = time.monotonic()
        is_ready = poll.poll(short_wait_s * 1000)
        transfer.record_wait(time.monotonic() - started_at)
        return bool(is_ready)

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
                if not is_ready and ends_at >= self.wait_ends_at:
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
        if not self.waits_to_read:
            self.abort_on_close()
        raise TimeoutError(TIMED_OUT)

    def abort_on_close(self) -> None:
        """Drop what has not been sent once the socket is closed.

        The kernel would keep it for minutes for a caller that doesn't read.
        """
        self.aborts_on_close = True
        with contextlib.suppress(OSError):
            self.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE
            )

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
    with contextlib.suppress(OSError):
        guarded.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
        )
    guarded.waiting_threads = waiting_threads
    guarded.transfer = slow_callers.Transfer(guarded.wake)
    return guarded
