"""Decides which slow callers lose their connections.

This module only decides; ``bronzepaddle_callers.guarded_socket`` carries the
decisions out.  It is built for these load patterns:

- *Requests that stop short of their end*, or arrive byte by byte.  A thread
  waits for each of these callers.  If too many threads do, the caller that is
  furthest behind is closed, so that the other threads stay free for ordinary
  callers.
- *Responses that are read slowly or not at all*.  One thread delivers all of
  them, so they only take memory: if that is short, those that make no progress
  are closed.
- *Any one of these callers*, at any load, is closed once it is
  ``max_lag_s`` behind ``MIN_BYTES_PER_S``.

The lag of a caller is the time that a thread has waited for it, less the time
that its bytes take at ``MIN_BYTES_PER_S``.  It is never negative: what a
caller has sent before does not allow it to stop.
"""

import collections.abc
import dataclasses
import threading
import typing

MIN_BYTES_PER_S: typing.Final = 16 * 1024
"""Rate below which the lag of a caller grows."""

MIN_LAG_S: typing.Final = 1.0
"""Lag from which a caller is closed if threads or memory are short."""

SHORT_WAIT_S: typing.Final = 0.1
"""Lag up to which a caller's thread doesn't count as waiting.

A header section and its body often arrive shortly one after the other.
"""

WAITING_SHARE: typing.Final = 0.75
"""Share of the threads that may wait for slow callers."""


class Transfer:
    """The progress of one caller's connection.

    ``lag_s`` is its lag at the end of the last wait; ``waiting_since`` is the
    time at which the current one began.  ``closed`` is set once it is to be
    closed; ``close`` then wakes its thread.
    """

    def __init__(self, close: collections.abc.Callable[[], None]) -> None:
        self.close = close
        self.lag_s = 0.0
        self.waiting_since: float | None = None
        self.closed = False

    def begin_request(self) -> None:
        """Forget the lag of the request before this one."""
        self.lag_s = 0.0

    def lag_at(self, now: float) -> float:
        """Return the lag at a time."""
        if self.waiting_since is None:
            return self.lag_s
        return self.lag_s + now - self.waiting_since

    def record_wait(self, waited_s: float) -> None:
        """Add the time of a wait to the lag."""
        self.lag_s += waited_s

    def record_bytes(self, count: int) -> None:
        """Subtract the time of transferred bytes from the lag."""
        self.lag_s = max(0.0, self.lag_s - count / MIN_BYTES_PER_S)


@dataclasses.dataclass(frozen=True)
class Wait:
    """The thread may wait for ``timeout_s``, and closes ``slowest`` first.

    Then it has to ask again.
    """

    timeout_s: float
    slowest: Transfer | None = None


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """The caller of the thread is closed; ``reason`` is for the log."""

    reason: str


class WaitingThreads:
    """The threads of a server that wait for callers; thread-safe.

    ``deliveries`` are the callers whose responses are being delivered, for
    which no thread waits.  ``closed_callers`` counts the callers that lost
    their connections.
    """

    def __init__(self, threads: int, max_lag_s: float) -> None:
        self.max_waiting = max(1, int(threads * WAITING_SHARE))
        self.max_lag_s = max_lag_s
        self.waiting: set[Transfer] = set()
        self.deliveries: set[Transfer] = set()
        self.closed_callers = 0
        self.lock = threading.Lock()

    def begin(
        self, transfer: Transfer, now: float, may_refuse: bool = True
    ) -> Wait | GiveUp:
        """Begin to wait for a caller, unless it is closed.

        Without ``may_refuse``, it is not closed merely since too many threads
        wait: its request has run, and it has not been slow so far.
        """
        with self.lock:
            timeout_s = self.max_lag_s - transfer.lag_s
            if transfer.closed or timeout_s <= 0:
                return self._give_up(transfer, "the caller is too slow")
            slowest = None
            if len(self.waiting) >= self.max_waiting:
                slowest = self._slowest(self.waiting, now)
                if slowest is not None:
                    self._mark_closed(slowest)
                elif may_refuse:
                    return self._give_up(
                        transfer, "too many threads wait for slow callers"
                    )
                else:
                    timeout_s = min(timeout_s, MIN_LAG_S)
            transfer.waiting_since = now
            self.waiting.add(transfer)
            return Wait(timeout_s, slowest)

    def begin_delivery(self, transfer: Transfer, now: float) -> None:
        """Begin to wait for a caller without a thread."""
        with self.lock:
            transfer.waiting_since = now
            self.deliveries.add(transfer)

    def is_late(self, transfer: Transfer, now: float) -> bool:
        """Return whether the caller of a delivery is to be closed."""
        with self.lock:
            if transfer.lag_at(now) >= self.max_lag_s:
                self._mark_closed(transfer)
            return transfer.closed

    def end(self, transfer: Transfer, now: float) -> None:
        """End the wait for a caller."""
        with self.lock:
            self.waiting.discard(transfer)
            self.deliveries.discard(transfer)
            transfer.lag_s = transfer.lag_at(now)
            transfer.waiting_since = None

    def stalled(self, now: float) -> list[Transfer]:
        """Return the callers to close because memory is short."""
        with self.lock:
            stalled = [
                transfer
                for transfer in self.waiting | self.deliveries
                if not transfer.closed and transfer.lag_at(now) >= MIN_LAG_S
            ]
            for transfer in stalled:
                self._mark_closed(transfer)
            return stalled

    def take_slowest(self, now: float) -> Transfer | None:
        """Return the caller to close in favour of a new connection, if any."""
        with self.lock:
            slowest = self._slowest(self.waiting | self.deliveries, now)
            if slowest is not None:
                self._mark_closed(slowest)
            return slowest

    def _slowest(
        self, transfers: collections.abc.Iterable[Transfer], now: float
    ) -> Transfer | None:
        """Return the caller furthest behind, if that may be closed."""
        slowest = max(
            (transfer for transfer in transfers if not transfer.closed),
            key=lambda transfer: transfer.lag_at(now),
            default=None,
        )
        if slowest is None or slowest.lag_at(now) < MIN_LAG_S:
            return None
        return slowest

    def _give_up(self, transfer: Transfer, reason: str) -> GiveUp:
        self._mark_closed(transfer)
        return GiveUp(reason)

    def _mark_closed(self, transfer: Transfer) -> None:
        if not transfer.closed:
            transfer.closed = True
            self.closed_callers += 1
