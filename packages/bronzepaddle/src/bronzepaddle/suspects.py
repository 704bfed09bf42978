"""Requests suspected of crashing backend servers ("queries of death").

Every request that was in flight when a backend server crashed is a suspect in
all processes.  A suspect runs only while its server runs nothing else.  If it
completes, it is cleared; if a second server crashes, it is rejected.  The
table is bounded, and its entries expire.
"""

import collections
import collections.abc
import threading
import typing

import xxhash

from bronzepaddle import ids

CRASHES_BEFORE_REJECTION: typing.Final = 2
"""Number of crashes after which a suspect is rejected."""

EXPIRY_S: typing.Final = 3600.0
"""Time after the last crash for which a suspect is remembered."""

MAX_SUSPECTS: typing.Final = 1024

Fingerprint = typing.NewType("Fingerprint", str)
"""Hash by which two attempts of the same request are recognized."""


class CrashRecord(typing.NamedTuple):
    """The number of crashes during a request, and the time of the last."""

    crashes: int
    last_crash_at: float


def fingerprint(
    service: ids.ServiceName,
    method: str,
    target: str,
    body: bytes | memoryview,
) -> Fingerprint:
    """Return the fingerprint of a request.

    ``body`` is the start of its body.
    """
    text = f"{service}\0{method}\0{target}\0"
    digest = xxhash.xxh3_128(text.encode())
    # A large body is not copied.
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class Suspects:
    """The suspects known to this process; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.records: collections.OrderedDict[Fingerprint, CrashRecord] = (
            collections.OrderedDict()
        )

    def crashes(self, suspect: Fingerprint, now: float) -> int:
        """Return the number of crashes while a request was in flight."""
        record = self.find(suspect, now)
        return 0 if record is None else record.crashes

    def find(self, suspect: Fingerprint, now: float) -> CrashRecord | None:
        """Return the record of a suspect; None for any other request."""
        with self.lock:
            record = self.records.get(suspect)
        if record is None or now - record.last_crash_at > EXPIRY_S:
            return None
        return record

    def record(self, suspect: Fingerprint, crashes: int, now: float) -> None:
        """Record the number of crashes during which a request was in flight.

        A lower count than the recorded one does not replace it.
        """
        with self.lock:
            record = self.records.get(suspect)
            if record is not None and now - record.last_crash_at <= EXPIRY_S:
                crashes = max(crashes, record.crashes)
            self.records[suspect] = CrashRecord(crashes, now)
            self.records.move_to_end(suspect)
            while len(self.records) > MAX_SUSPECTS:
                self.records.popitem(last=False)

    def current(
        self, now: float
    ) -> collections.abc.Iterator[tuple[Fingerprint, CrashRecord]]:
        """Yield the suspects whose last crash is not too old."""
        with self.lock:
            records = list(self.records.items())
        for suspect, record in records:
            if now - record.last_crash_at <= EXPIRY_S:
                yield suspect, record

    def clear(self, suspect: Fingerprint) -> None:
        """Remove a suspect that ran alone and completed."""
        with self.lock:
            self.records.pop(suspect, None)
