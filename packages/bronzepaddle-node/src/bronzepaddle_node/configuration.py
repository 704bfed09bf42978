"""Keeps the configuration of this process up to date.

The configuration is one object in the platform's object store ("the store"),
which this process watches.  It is also pulled from any peer that broadcasts a
status with a newer version, so that a process that can't reach the store gets
it too.  The version in effect never decreases.

A watch that reports nothing is no proof that nothing has changed.  It only
makes a change known sooner; ``fleet_checks`` decides which process reads the
object, and when, so that each change is known in time without watches.
"""

import collections.abc
import random
import typing

from bronzepaddle import (
    clocks,
    config_logs,
    ids,
    logs,
    route_table,
    store_versions,
)
from bronzepaddle.load import fleet_checks
from bronzepaddle_peers import rpc_client, statuses, stream_client
from bronzepaddle_store import store

from bronzepaddle_node import peer_pulls, tasks

CHECK_AGE_S: typing.Final = 0.5
"""Age of the newest read for the fleet from which the object is read again."""

RETRY_S: typing.Final = (0.15, 0.45)
"""Range of the random pause after a failed call, after a watch without a
change, and before an absent object is read again."""

READ_FOR_PULL_S: typing.Final = 0.5
"""Shortest time between two reads that failed pulls lead to."""

REAPPLY_S: typing.Final = (0.75, 1.25)
"""Range of the random pause before a version that a listener could not apply
is applied again."""

Decode: typing.TypeAlias = collections.abc.Callable[[bytes], route_table.Table]
"""Decodes a configuration document; raises ``InvalidConfigError``."""

Listener: typing.TypeAlias = collections.abc.Callable[
    [route_table.Table], None
]


class Configuration:
    """The configuration in effect in one process, with its document.

    ``listeners`` are called with each new route table.  ``fleet_size``
    returns the number of processes that watch the same object and reach each
    other.  ``on_check`` is called after each read for all of them, to tell the
    peers.
    """

    def __init__(
        self,
        object_name: str,
        object_store: store.Store,
        decode: Decode,
        listeners: collections.abc.Sequence[Listener],
        peer_streams: stream_client.Client,
        clock: clocks.Clock,
        fleet_size: collections.abc.Callable[[], int],
        rng: random.Random,
        on_check: collections.abc.Callable[[], None],
    ) -> None:
        self.object_name = object_name
        self.object_store = object_store
        self.decode = decode
        self.listeners = listeners
        self.peer_streams = peer_streams
        self.clock = clock
        self.fleet_size = fleet_size
        self.rng = rng
        self.on_check = on_check
        self.route_table: route_table.Table | None = None
        # The error of the newest document, if that is invalid.
        self.refused: route_table.InvalidConfigError | None = None
        self.document = b""
        # The version of the object in the store, as last read.
        self.stored_version = store_versions.NO_VERSION
        # The newest version that a listener could not apply.
        self.unapplied_version = ids.BundleVersion(0)
        self.checks = fleet_checks.FleetChecks(CHECK_AGE_S, clock.now(), rng)
        # When a failed pull last led to a read of the object.
        self.read_for_pull_at = float("-inf")
        self.background_tasks = tasks.Tasks()
        self.pulls = peer_pulls.PeerPulls(self._is_newer, self._pull)

    @property
    def version(self) -> ids.BundleVersion:
        """Return the version in effect, 0 if there is none."""
        if self.route_table is None:
            return ids.BundleVersion(0)
        return self.route_table.version

    def adopt(self, document: bytes, source: str) -> None:
        """Put a document into effect if it is valid and newer.

        An invalid document is refused as a whole: the version before it stays
        in effect.  So it does while a listener fails to apply the new one,
        which is tried again.  ``source`` says in the log where the document
        comes from.
        """
        try:
            table = self.decode(document)
        except route_table.InvalidConfigError as error:
            self._refuse(error)
            return
        if table.version <= self.version:
            return
        if self.refused and (self.refused.version or 0) < table.version:
            self.refused = None
        if not self._apply(table):
            self._apply_later(table, document, source)
            return
        self.route_table = table
        self.document = document
        config_logs.in_force(table.version, source)

    def _apply(self, table: route_table.Table) -> bool:
        """Call all listeners; return whether none of them has failed."""
        applied = True
        for listener in self.listeners:
            try:
                listener(table)
            except Exception as error:
                config_logs.config_not_applied(table.version, error)
                applied = False
        return applied

    def _apply_later(
        self, table: route_table.Table, document: bytes, source: str
    ) -> None:
        """Adopt a document again after a pause, unless a newer one comes."""
        if self.unapplied_version > table.version:
            return
        self.unapplied_version = table.version

        async def adopt_again() -> None:
            await self.clock.sleep(self.rng.uniform(*REAPPLY_S))
            if self.unapplied_version == table.version:
                self.adopt(document, source)

        self.background_tasks.start(adopt_again(), "configuration")

    def reported_age_s(self) -> float | None:
        """Return the age of the last read of the store, for the peers.

        Returns None if this process has read nothing, or has read a version
        that is not in effect: then its version says nothing of that read.
        """
        if self.unapplied_version > self.version:
            return None
        return self.checks.own_age_s(self.clock.now())

    def _refuse(self, error: route_table.InvalidConfigError) -> None:
        """Log an invalid document, and keep its error if it is the newest."""
        config_logs.config_refused(error.version, error.problem, self.version)
        if error.version is None or error.version > self.version:
            self.refused = error

    async def run(self) -> None:
        """Read and watch the object in the store until cancelled."""
        while True:
            await tasks.log_exceptions(self._follow(), "configuration")
            await self._pause()

    async def run_checks(self) -> None:
        """Read the object whenever the fleet needs it, until cancelled."""
        while True:
            await self.checks.wait_for_look(self.clock, self.fleet_size)
            # As long as no version is known, ``run`` reads the object.
            is_known = self.stored_version != store_versions.NO_VERSION
            if is_known and self.checks.is_due(self.clock.now()):
                await tasks.log_exceptions(self._check(), "configuration")

    async def _check(self) -> None:
        """Read the object once, and tell the peers of it."""
        try:
            stored = await self._read()
        except store.StoreError as error:
            logs.call_failed(self.object_name, repr(error))
            return
        if stored is not None:
            self._adopt_stored(stored)
        self.on_check()

    async def _pause(self) -> None:
        await self.clock.sleep(self.rng.uniform(*RETRY_S))

    async def _follow(self) -> None:
        while True:
            try:
                stored = await self._read_or_watch()
            except store.StoreError as error:
                logs.call_failed(self.object_name, repr(error))
                await self._pause()
                continue
            if stored is None:
                await self._pause()
            else:
                self._adopt_stored(stored)

    def _adopt_stored(self, stored: store.StoredObject) -> None:
        """Adopt a version of the object unless it or a newer one is known."""
        if stored.version > self.stored_version:
            self.stored_version = stored.version
            self.refused = None
            self.adopt(stored.body, "store")

    async def _read_or_watch(self) -> store.StoredObject | None:
        """Return the object, or None if it is absent or unchanged.

        Reads it until a version is known, then waits for a newer one.
        """
        if self.stored_version == store_versions.NO_VERSION:
            return await self._read()
        return await self._ask(
            config_logs.Question.WATCH,
            self.object_store.watch(
                self.object_name,
                self.stored_version,
                self.rng.uniform(*fleet_checks.WATCH_S),
            ),
        )

    async def _read(self) -> store.StoredObject | None:
        """Return the object, or None if it is absent; record the read."""
        began_at = self.clock.now()
        stored = await self._ask(
            config_logs.Question.READ, self.object_store.get(self.object_name)
        )
        self.checks.record_read(began_at)
        return stored

    async def _ask(
        self,
        question: config_logs.Question,
        call: collections.abc.Awaitable[store.StoredObject | None],
    ) -> store.StoredObject | None:
        """Make a call to the store, and log it with its outcome."""
        asked_at, since = self.clock.now(), self.stored_version
        outcome, found = config_logs.Outcome.FAILED, None
        try:
            stored = await call
            outcome = config_logs.Outcome.NOTHING_NEWER
            if stored is not None and stored.version > since:
                outcome, found = config_logs.Outcome.FOUND, stored.version
            return stored
        finally:
            config_logs.config_asked(
                question, since, self.clock.now() - asked_at, outcome, found
            )

    def on_status(self, status: statuses.Status) -> None:
        """Record a peer's read, and pull its configuration if it is newer.

        What the peer read counts only where it is in effect here too.
        """
        if status.table_version <= self.version:
            self.checks.record_report(status.config_age_s, self.clock.now())
        self.pulls.offer(status)

    def _is_newer(self, status: statuses.Status) -> bool:
        """Return whether a peer's version is neither known nor applied here.

        A version that could not be applied is tried again without a pull.
        """
        return status.table_version > max(self.version, self.unapplied_version)

    async def _pull(self, status: statuses.Status) -> None:
        """Pull and adopt the document of the peer that sent a status."""
        asked_at = self.clock.now()
        received: ids.BundleVersion | None = None
        try:
            reply = await self.peer_streams.pull_config(
                status.address, statuses.ConfigRequest(self.version)
            )
            received = reply.version
            if reply.document:
                self.adopt(reply.document, f"peer {status.sender}")
        except rpc_client.CONNECTION_ERRORS as error:
            # Retried at the next status with a newer version.
            logs.call_failed(f"config of {status.sender}", repr(error))
            if self._is_newer(status):
                self._read_for_pull()
        finally:
            config_logs.config_pulled(
                status.sender,
                status.table_version,
                received,
                self.clock.now() - asked_at,
            )

    def _read_for_pull(self) -> None:
        """Read the object in place of a pull, if that wasn't just done."""
        now = self.clock.now()
        if now < self.read_for_pull_at + READ_FOR_PULL_S:
            return
        self.read_for_pull_at = now
        self.background_tasks.start(self._check(), "configuration")

    def on_pull(self, request: statuses.ConfigRequest) -> statuses.ConfigReply:
        """Return the reply to a peer's request for a newer document."""
        if self.version <= request.newer_than:
            return statuses.ConfigReply(self.version, b"")
        return statuses.ConfigReply(self.version, self.document)

    async def stop(self) -> None:
        """Cancel the running pulls, if any."""
        await self.pulls.stop()
        await self.background_tasks.stop()
