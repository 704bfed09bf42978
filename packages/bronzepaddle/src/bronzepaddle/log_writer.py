"""Writes log lines without ever making the process wait for its reader.

``Writer.enqueue`` is an eliot destination.  Lines go into a bounded buffer
that a thread of its own writes out; if whoever reads them stops, lines are
lost, not requests.  Each kind of line has a rate of its own, so that a flood
of one hides no other.  Lines that are dropped are counted, and the counts
logged.
"""

import collections
import collections.abc
import dataclasses
import os
import threading
import time
import typing

import msgspec

KIND: typing.Final = "message_type"
DROPPED: typing.Final = "lines-dropped"

FLUSH_S: typing.Final = 0.05
"""Pause after a write: lines of that time are written together."""

WRITE_BYTES: typing.Final = 4096
"""Most that one write hands to a pipe: so much it takes whole."""

Line: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Lines a second of each kind, how many at once, and in the buffer."""

    lines_per_s: float = 100.0
    burst: float = 300.0
    buffered: int = 2000


@dataclasses.dataclass
class _Allowance:
    """What is left for one kind of line, as of a moment."""

    left: float
    at: float


class Writer:
    """The buffer and its thread; safe from any thread."""

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
        self.allowances: dict[str, _Allowance] = {}
        # Since the last line that told of them, and since the start.
        self.dropped: collections.Counter[str] = collections.Counter()
        self.dropped_total: collections.Counter[str] = collections.Counter()
        self.closing = False
        self.thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self.thread.start()

    def enqueue(self, line: Line) -> None:
        """Take one line in, or drop it; never waits for a reader."""
        kind = str(line.get(KIND, ""))
        with self.changed:
            full = len(self.lines) >= self.bounds.buffered
            if full or not self._allowed(kind):
                self._count_dropped([line])
                return
            self.lines.append(line)
            if len(self.lines) == 1:
                self.changed.notify()

    def _allowed(self, kind: str) -> bool:
        now = self.now()
        found = self.allowances.get(kind)
        if found is None:
            found = _Allowance(self.bounds.burst, now)
            self.allowances[kind] = found
        earned = (now - found.at) * self.bounds.lines_per_s
        found.left = min(self.bounds.burst, found.left + earned)
        found.at = now
        if found.left < 1.0:
            return False
        found.left -= 1.0
        return True

    def _run(self) -> None:
        while self._write_some():
            time.sleep(FLUSH_S)

    def _write_some(self) -> bool:
        """Write what has gathered; False once closed and all is written."""
        with self.changed:
            self.changed.wait_for(lambda: self.lines or self.closing)
            lines, self.lines = self.lines, []
            dropped, self.dropped = self.dropped, collections.Counter()
        if dropped:
            lines.append(
                {
                    KIND: DROPPED,
                    "timestamp": time.time(),
                    "counts": dict(dropped),
                }
            )
        if lines:
            try:
                self.write(b"".join(_encoded(line) for line in lines))
            except OSError:
                # Nobody reads any more; where to could that be logged?
                self._count_dropped(lines)
        return bool(lines)

    def _count_dropped(self, lines: list[Line]) -> None:
        kinds = collections.Counter(str(line.get(KIND, "")) for line in lines)
        with self.changed:
            self.dropped += kinds
            self.dropped_total += kinds

    def close(self, wait_s: float) -> None:
        """Write what is left, for a while at most."""
        with self.changed:
            self.closing = True
            self.changed.notify()
        self.thread.join(wait_s)


def to_descriptor(
    descriptor: int,
) -> collections.abc.Callable[[bytes], None]:
    """Return a function that writes all of its argument to a descriptor."""

    def write(data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest[:WRITE_BYTES]) :]

    return write


def _encoded(line: Line) -> bytes:
    return msgspec.json.encode(line, enc_hook=str) + b"\n"
