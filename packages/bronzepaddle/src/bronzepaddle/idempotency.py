"""Windows of idempotency keys: what makes a request run at most once.

The owner of a slot keeps, for each key (a UUIDv7), that its request runs or
what came of it.  A window is complete back to its horizon.  A key made
before the horizon and not in the window may have run under an earlier owner
whose window is lost, so it is never run.

A planned move hands the window over with its horizon; a takeover starts an
empty one whose horizon is the moment of the takeover.
"""

import collections
import concurrent.futures
import dataclasses
import threading
import typing
import uuid

from bronzepaddle import http_messages, ids, verdicts

KEYS_KEPT: typing.Final = 4096
"""Keys that the window of one slot holds at most."""

BODY_BYTES_KEPT: typing.Final = 16 * 1024
"""The largest body kept for callers that repeat a request."""

CLOCK_SKEW_MS: typing.Final = 500
"""How far callers' wall clocks may differ from a process's."""

_UUID_VERSION: typing.Final = 7


@dataclasses.dataclass(frozen=True)
class Result:
    """What came of one request; ``body`` None if it is not kept."""

    status: int
    headers: http_messages.Headers
    body: bytes | None
    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True)
class Run:
    """The key is new: run the request and ``finish`` it."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request ran: answer the same again."""

    result: Result


@dataclasses.dataclass(frozen=True)
class Running:
    """The first request with this key still runs."""

    result: concurrent.futures.Future[Result | None]


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The request must not run."""

    reason: verdicts.Reason
    verdict: verdicts.Verdict


Decision: typing.TypeAlias = Run | Replay | Running | Refuse


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A window as it is handed to the next owner."""

    horizon_ms: int
    results: tuple[tuple[ids.IdempotencyKey, Result], ...]


def made_at_ms(key: ids.IdempotencyKey) -> int | None:
    """Return when a UUIDv7 was made, or None if it is none."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != _UUID_VERSION:
        return None
    return value.int >> 80


class Window:
    """The keys of one slot; safe to use from any thread."""

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

        A first attempt, on its caller's word, ran nowhere before, however
        old its key is.
        """
        made = made_at_ms(key)
        if made is None or made > wall_ms + CLOCK_SKEW_MS:
            return Refuse(
                verdicts.Reason.BAD_REQUEST, verdicts.Verdict.NOT_RUN
            )
        with self.lock:
            kept = self.results.get(key)
            if kept is not None:
                return Replay(kept)
            running = self.running.get(key)
            if running is not None:
                return Running(running)
            if made < self.horizon_ms and not first_attempt:
                return Refuse(
                    verdicts.Reason.OLD_ID, verdicts.Verdict.MAY_HAVE_RUN
                )
            self.running[key] = concurrent.futures.Future()
            return Run()

    def finish(self, key: ids.IdempotencyKey, result: Result | None) -> None:
        """Note what came of a request; None if it certainly did not run."""
        with self.lock:
            waiting = self.running.pop(key)
            if result is not None:
                self.results[key] = result
            while len(self.results) > KEYS_KEPT:
                oldest, _ = self.results.popitem(last=False)
                self._forget_before(oldest)
        waiting.set_result(result)

    def _forget_before(self, key: ids.IdempotencyKey) -> None:
        """Move the horizon past a key that is no longer kept."""
        made = made_at_ms(key) or 0
        self.horizon_ms = max(self.horizon_ms, made + 1)

    def snapshot(self) -> Snapshot:
        """Return the window for the next owner; nothing may be running."""
        with self.lock:
            return Snapshot(self.horizon_ms, tuple(self.results.items()))


def restored(snapshot: Snapshot) -> Window:
    """Return the window that an earlier owner handed over."""
    window = Window(snapshot.horizon_ms)
    window.results.update(snapshot.results)
    return window


def fresh_horizon_ms(wall_ms: int) -> int:
    """Return the horizon of a window that starts with nothing known.

    Keys made until now may have run elsewhere; a caller's clock may be
    ahead of this one by the skew that is allowed.
    """
    return wall_ms + CLOCK_SKEW_MS
