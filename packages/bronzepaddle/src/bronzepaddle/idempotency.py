"""Deduplication of requests by idempotency key.

The owner of a hash slot keeps a window of idempotency keys (UUIDv7).  For each
key it records that the request is running, or its result.  A window is
complete back to its horizon, a time in milliseconds since the Unix epoch.  The
request of a key that was created before the horizon and is not in the window
may have run before, with a result that was dropped from the full window or
recorded by an earlier owner whose window is lost.  It is not run, unless the
caller asserts that it has not sent it before.

A planned move hands the window over with its horizon.  A takeover starts with
an empty window whose horizon is the time of the takeover.
"""

import collections
import concurrent.futures
import dataclasses
import threading
import typing
import uuid

from bronzepaddle import http_messages, ids, verdicts

KEYS_KEPT: typing.Final = 4096
"""Maximum number of keys in the window of one hash slot."""

BODY_BYTES_KEPT: typing.Final = 16 * 1024
"""Maximum size of a response body that is kept for repeated requests."""

CLOCK_SKEW_MS: typing.Final = 500
"""Maximum difference between the wall clocks of a caller and a process."""

_UUID_VERSION: typing.Final = 7


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a request; ``body`` is None if it is not kept.

    ``verdict`` says whether the request ran at a backend server.
    """

    status: int
    headers: http_messages.Headers
    body: bytes | None
    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True)
class Run:
    """The key is new: run the request, then call ``Window.finish``."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request has run: return its recorded result."""

    result: Result


@dataclasses.dataclass(frozen=True)
class Running:
    """The first request with this key is still running."""

    future: concurrent.futures.Future[Result | None]


@dataclasses.dataclass(frozen=True)
class Reject:
    """The request must not run."""

    reason: verdicts.Reason
    verdict: verdicts.Verdict


Decision: typing.TypeAlias = Run | Replay | Running | Reject


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The contents of a window, for handover to the next owner."""

    horizon_ms: int
    results: tuple[tuple[ids.IdempotencyKey, Result], ...]


def created_at_ms(key: ids.IdempotencyKey) -> int | None:
    """Return the creation time in a UUIDv7; None if it is not one."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != _UUID_VERSION:
        return None
    return value.int >> 80


class Window:
    """The idempotency keys of one hash slot; thread-safe."""

    def __init__(self, horizon_ms: int) -> None:
        self.horizon_ms = horizon_ms
        self.lock = threading.Lock()
        self.results: collections.OrderedDict[ids.IdempotencyKey, Result] = (
            collections.OrderedDict()
        )
        self.running: dict[
            ids.IdempotencyKey, concurrent.futures.Future[Result | None]
        ] = {}

    def begin(
        self, key: ids.IdempotencyKey, wall_ms: int, first_attempt: bool
    ) -> Decision:
        """Decide what to do with a request that carries a key.

        ``first_attempt`` is the caller's assertion that it has not sent the
        request before; such a request may run however old its key is.
        """
        created_ms = created_at_ms(key)
        if created_ms is None or created_ms > wall_ms + CLOCK_SKEW_MS:
            return Reject(
                verdicts.Reason.BAD_REQUEST, verdicts.Verdict.NOT_RUN
            )
        with self.lock:
            result = self.results.get(key)
            if result is not None:
                return Replay(result)
            running = self.running.get(key)
            if running is not None:
                return Running(running)
            if created_ms < self.horizon_ms and not first_attempt:
                return Reject(
                    verdicts.Reason.OLD_ID, verdicts.Verdict.MAY_HAVE_RUN
                )
            self.running[key] = concurrent.futures.Future()
            return Run()

    def finish(self, key: ids.IdempotencyKey, result: Result | None) -> None:
        """Record the result of a request; None if it certainly did not run."""
        with self.lock:
            pending = self.running.pop(key)
            if result is not None:
                self.results[key] = result
            while len(self.results) > KEYS_KEPT:
                oldest, _ = self.results.popitem(last=False)
                self._advance_horizon(oldest)
        pending.set_result(result)

    def _advance_horizon(self, key: ids.IdempotencyKey) -> None:
        """Move the horizon past a key that is no longer in the window."""
        created_ms = created_at_ms(key) or 0
        self.horizon_ms = max(self.horizon_ms, created_ms + 1)

    def snapshot(self) -> Snapshot:
        """Return the results; no request of the slot may be running."""
        with self.lock:
            return Snapshot(self.horizon_ms, tuple(self.results.items()))


def restore(snapshot: Snapshot) -> Window:
    """Return a window with the contents handed over by an earlier owner."""
    window = Window(snapshot.horizon_ms)
    window.results.update(snapshot.results)
    return window


def initial_horizon_ms(wall_ms: int) -> int:
    """Return the horizon for a window that starts empty.

    Requests with keys created until now may have run elsewhere, and a
    caller's clock may be ahead by the allowed skew.
    """
    return wall_ms + CLOCK_SKEW_MS
