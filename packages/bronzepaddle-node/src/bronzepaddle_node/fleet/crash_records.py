"""Keeps the requests that crash servers in the store.

``crash_detector`` counts the crashes during a request in memory, and processes
tell each other of changes.  A process that starts anew knows nothing of them,
so the others tell it all that they know; but if all processes end at the same
moment, nobody does.  So each process also writes the crashes of its own server
to one object in the store, and reads that object once after its start.
Neither holds anything up: while the store is away, both are tried again later.

The object is bounded in size.  Records are dropped once they are too old to
matter, and once their request has been served.
"""

import asyncio
import collections.abc
import contextlib
import heapq
import typing

import msgspec
from bronzepaddle import (
    clocks,
    documents,
    ids,
    logs,
    store_versions,
    suspects,
)
from bronzepaddle_peers import statuses
from bronzepaddle_store import store

from bronzepaddle_node import crash_detector

OBJECT_NAME: typing.Final = "crashes/requests"

MAX_RECORDS: typing.Final = 128
"""Requests in the object: those with the most crashes, then the latest."""

RETRY_S: typing.Final = 1.0
"""Pause after a failed call to the store."""

CLEAR_DELAY_S: typing.Final = 5.0
"""Time after a write until the requests that were served are taken out.

Most of those that were in flight at a crash are served within this time.
"""


class StoredCrash(msgspec.Struct, frozen=True, array_like=True):
    """The number of crashes during a request, and when the last one was.

    ``last_crash_ms`` is a Unix time in milliseconds.
    """

    fingerprint: suspects.Fingerprint
    crashes: documents.Count
    last_crash_ms: documents.Integer


class StoredCrashes(msgspec.Struct, frozen=True):
    """The object in the store."""

    crashes: tuple[StoredCrash, ...] = ()


class CrashRecords:
    """The stored crashes, as far as this process knows; event loop only."""

    def __init__(
        self,
        detector: crash_detector.CrashDetector,
        object_store: store.Store,
        clock: clocks.Clock,
    ) -> None:
        self.detector = detector
        self.object_store = object_store
        self.clock = clock
        # The run of each process that was heard of last.
        self.incarnations: dict[ids.MemberId, ids.Incarnation] = {}
        self.crashed = asyncio.Event()
        detector.on_crash = self.crashed.set

    def on_status(self, status: statuses.Status) -> None:
        """Tell a process that has started since of all suspects."""
        known = self.incarnations.get(status.sender)
        if known != status.incarnation:
            self.incarnations[status.sender] = status.incarnation
            self.detector.report_all()

    async def run(self) -> None:
        """Read the object once, then write each crash, until cancelled."""
        await self._repeat(self._read)
        while True:
            await self.crashed.wait()
            while self.crashed.is_set():
                self.crashed.clear()
                await self._repeat(self._write)
                await self._wait_for_crash(CLEAR_DELAY_S)
            await self._repeat(self._write)

    async def _wait_for_crash(self, timeout_s: float) -> None:
        """Wait for a crash, for a limited time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.crashed.wait()

    async def _repeat(
        self,
        call: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Make a call until it succeeds."""
        while True:
            try:
                await call()
                return
            except store.StoreError as error:
                logs.call_failed(OBJECT_NAME, repr(error))
            await self.clock.sleep(RETRY_S)

    async def _read(self) -> None:
        """Learn of the crashes of before; raises ``StoreError``."""
        await self._stored()

    async def _write(self) -> None:
        """Write what is known now, unless the store has just that.

        Raises ``StoreError``, also if another process wrote meanwhile.
        """
        version, before = await self._stored()
        after = StoredCrashes(tuple(self._known()))
        if after != before:
            await self.object_store.put(
                OBJECT_NAME, msgspec.json.encode(after), version
            )

    async def _stored(
        self,
    ) -> tuple[store_versions.StoreVersion, StoredCrashes]:
        """Return the object with its version, after learning of its content.

        Raises ``StoreError``.
        """
        stored = await self.object_store.get(OBJECT_NAME)
        if stored is None:
            return store_versions.NO_VERSION, StoredCrashes()
        try:
            content = documents.decode(stored.body, StoredCrashes)
        except msgspec.DecodeError as error:
            logs.bad_document(OBJECT_NAME, str(error))
            content = StoredCrashes()
        now, wall_ms = self.clock.now(), self.clock.wall_ms()
        for record in content.crashes:
            age_s = max(0.0, (wall_ms - record.last_crash_ms) / 1000)
            self.detector.learn(
                record.fingerprint, record.crashes, now - age_s
            )
        return stored.version, content

    def _known(self) -> collections.abc.Iterator[StoredCrash]:
        """Yield the records to be kept, in a fixed order."""
        now, wall_ms = self.clock.now(), self.clock.wall_ms()
        known = (
            (record.crashes, record.last_crash_at, fingerprint)
            for fingerprint, record in self.detector.suspects.current(now)
        )
        for crashes, at, fingerprint in heapq.nlargest(MAX_RECORDS, known):
            yield StoredCrash(
                fingerprint, crashes, wall_ms - int((now - at) * 1000)
            )
