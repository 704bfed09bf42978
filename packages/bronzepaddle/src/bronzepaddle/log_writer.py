"""Writes log lines without blocking the process.

``Writer.enqueue`` is an eliot destination.  Lines go into a bounded buffer,
from which a separate thread writes them.  If the reader of the log stops
reading, lines are dropped and requests are not affected.  Each message type
has its own rate limit, so that a flood of one type does not displace the
others.  Dropped lines are counted, and the counts are logged.
"""

import collections
import collections.abc
import dataclasses
import os
import threading
import time
import typing

import msgspec

TYPE_FIELD: typing.Final = "message_type"
"""Field of a line that contains its message type."""

DROPPED: typing.Final = "lines-dropped"
"""Message type of the lines that count dropped lines."""

FLUSH_S: typing.Final = 0.05
"""Pause after each write; the lines of this time are written together."""

WRITE_BYTES: typing.Final = 4096
"""Maximum size of one write; pipes accept this size atomically."""

Line: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of a writer.

    ``lines_per_s`` bounds the average rate of each message type, ``burst`` the
    number of its lines that may exceed this rate at once.  ``buffered`` bounds
    the lines of all types that wait to be written.
    """

    lines_per_s: float = 100.0
    burst: float = 300.0
    buffered: int = 2000


@dataclasses.dataclass
class _TokenBucket:
    """The rate limit of one message type: each line takes one token."""

    tokens: float
    updated_at: float


class Writer:
    """The buffer and the thread that writes it; thread-safe."""

    def __init__(
        self,
        write: collections.abc.Callable[[bytes], object],
        bounds: Bounds,
        now: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.write = write
        self.bounds = bounds
        self.now = now
        self.changed = threading.Condition()
        self.lines: list[Line] = []
        self.buckets: dict[str, _TokenBucket] = {}
        # Dropped lines by message type, since their counts were last logged
        # and since the start.
        self.dropped: collections.Counter[str] = collections.Counter()
        self.dropped_total: collections.Counter[str] = collections.Counter()
        self.closing = False
        self.thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self.thread.start()

    def enqueue(self, line: Line) -> None:
        """Buffer a line or drop it; never blocks on the reader."""
        message_type = str(line.get(TYPE_FIELD, ""))
        with self.changed:
            full = len(self.lines) >= self.bounds.buffered
            if full or not self._take_token(message_type):
                self._count_dropped([line])
                return
            self.lines.append(line)
            if len(self.lines) == 1:
                self.changed.notify()

    def _take_token(self, message_type: str) -> bool:
        now = self.now()
        bucket = self.buckets.get(message_type)
        if bucket is None:
            bucket = _TokenBucket(self.bounds.burst, now)
            self.buckets[message_type] = bucket
        refill = (now - bucket.updated_at) * self.bounds.lines_per_s
        bucket.tokens = min(self.bounds.burst, bucket.tokens + refill)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _run(self) -> None:
        while self._write_buffered():
            time.sleep(FLUSH_S)

    def _write_buffered(self) -> bool:
        """Write the buffered lines; return False when closed and empty."""
        with self.changed:
            self.changed.wait_for(lambda: self.lines or self.closing)
            lines, self.lines = self.lines, []
            dropped, self.dropped = self.dropped, collections.Counter()
        if dropped:
            lines.append(
                {
                    TYPE_FIELD: DROPPED,
                    "timestamp": time.time(),
                    "counts": dict(dropped),
                }
            )
        if lines:
            try:
                self.write(b"".join(_encode(line) for line in lines))
            except OSError:
                # The reader is gone, so this can't be logged either.
                self._count_dropped(lines)
        return bool(lines)

    def _count_dropped(self, lines: list[Line]) -> None:
        message_types = collections.Counter(
            str(line.get(TYPE_FIELD, "")) for line in lines
        )
        with self.changed:
            self.dropped += message_types
            self.dropped_total += message_types

    def close(self, wait_s: float) -> None:
        """Stop, and wait at most ``wait_s`` for the rest to be written."""
        with self.changed:
            self.closing = True
            self.changed.notify()
        self.thread.join(wait_s)


def to_descriptor(
    descriptor: int,
) -> collections.abc.Callable[[bytes], None]:
    """Return a function that writes data to a file descriptor."""

    def write(data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[
                os.write(descriptor, remaining[:WRITE_BYTES]) :
            ]

    return write


def _encode(line: Line) -> bytes:
    return msgspec.json.encode(line, enc_hook=str) + b"\n"
