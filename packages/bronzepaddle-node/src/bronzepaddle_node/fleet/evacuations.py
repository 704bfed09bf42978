"""Availability zones whose backend servers must get no requests.

The operator evacuates a zone by an entry in the store, and takes it back by
removing the entry.  A few processes watch the entries, and some process lists
them before what is known is too old (``fleet_checks``); the others learn the
zones from statuses.  So the number of calls to the store does not grow with
the fleet.  Only the processes in an evacuated zone act: each of them treats
its own server as draining.  Its status says so, which keeps requests away and
moves the server's keys, with their data, to other zones.

docs/design/0010 says what was weighed.
"""

import collections.abc
import random
import typing

import xxhash
from bronzepaddle import clocks, ids, logs, store_versions
from bronzepaddle.load import fleet_checks
from bronzepaddle_backend import server_tracker
from bronzepaddle_peers import statuses
from bronzepaddle_store import store

from bronzepaddle_node import peer_table, tasks

FOLDER: typing.Final = "evacuations"
"""Folder of the store with one entry for each evacuated zone."""

WATCHERS: typing.Final = 5
"""Number of processes that watch the entries.

A watch may be told nothing of a change; it only makes it known sooner.
"""

CHECK_FACTOR: typing.Final = 0.2
"""Age of the newest list from which the entries are listed again, as a
multiple of the time in which a change must take effect.

Admitted requests are still sent for a while after the change is known.
"""

START_SPREAD_S: typing.Final = 1.0
"""Time after the start within which the entries are first listed."""

POLL_S: typing.Final = 0.5
"""Interval at which a process checks whether it should watch."""

RETRY_S: typing.Final = (0.15, 0.45)
"""Range of the random pause after a failed call to the store, and before a
watch."""


class ZoneStore(typing.Protocol):
    """The calls to the store that are needed here."""

    async def list_names(self, folder: str) -> store.FolderNames:
        """Return the names of all objects of a folder.

        Raises ``store.StoreUnavailableError``.
        """
        ...

    async def watch_folder(
        self, folder: str, since: store_versions.StoreVersion, timeout_s: float
    ) -> store_versions.StoreVersion | None:
        """Wait for a change of a folder since a version.

        Returns the version from which to watch on, or None if there was a
        change or may have been one.  Raises ``store.StoreUnavailableError``.
        """
        ...


class Evacuations:
    """The evacuated zones, as far as this process knows; event loop only.

    ``tracker`` tracks the server on this VM, which is in ``own_zone``.
    ``on_change`` is called when the zones have changed, ``on_check`` after
    each list of the entries for the whole fleet.  A change is to be known
    everywhere within ``within_s`` seconds.
    """

    def __init__(
        self,
        own_zone: ids.ZoneName,
        zone_store: ZoneStore,
        peers: peer_table.PeerTable,
        tracker: server_tracker.Tracker,
        on_change: collections.abc.Callable[[], None],
        on_check: collections.abc.Callable[[], None],
        within_s: float,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.own_zone = own_zone
        self.zone_store = zone_store
        self.peer_table = peers
        self.tracker = tracker
        self.on_change = on_change
        self.on_check = on_check
        self.clock = clock
        self.rng = rng
        self.checks = fleet_checks.FleetChecks(
            CHECK_FACTOR * within_s, clock.now(), rng
        )
        self.known: statuses.Evacuations | None = None
        # The version from which the next watch starts, None if the entries
        # have to be listed first.
        self.watched_from: store_versions.StoreVersion | None = None
        # Whether the last call to the store failed.
        self.store_unreachable = False

    def reported(self) -> statuses.Evacuations | None:
        """Return what the status of this process says of the zones.

        A process that can't reach the store reports nothing, so that another
        one watches in its place.
        """
        return None if self.store_unreachable else self.known

    def reported_age_s(self) -> float | None:
        """Return the age of the last list of this process, for the peers."""
        if self.reported() is None:
            return None
        return self.checks.own_age_s(self.clock.now())

    def on_status(self, status: statuses.Status) -> None:
        """Learn the zones that a peer reports, if they are newer."""
        if status.evacuations is not None:
            self._adopt(status.evacuations, f"peer {status.sender}")
            self.checks.record_report(
                status.evacuations_age_s, self.clock.now()
            )

    async def run(self) -> None:
        """Watch the entries, while this process should, until cancelled."""
        await self.clock.sleep(self.rng.uniform(0.0, START_SPREAD_S))
        while True:
            await tasks.log_exceptions(self._follow(), "evacuations")
            await self._pause()

    async def run_checks(self) -> None:
        """List the entries whenever the fleet needs it, until cancelled."""
        while True:
            await self.checks.wait_for_look(self.clock, self._fleet_size)
            # As long as no zones are known, ``run`` lists the entries.
            if self.known and self.checks.is_due(self.clock.now()):
                await tasks.log_exceptions(self._check(), "evacuations")

    def _fleet_size(self) -> int:
        return self.peer_table.alive_count(self.clock.now())

    async def _check(self) -> None:
        """List the entries once, and tell the peers of it."""
        try:
            await self._list()
        except store.StoreError as error:
            logs.call_failed(FOLDER, repr(error))
            return
        self.on_check()

    async def _pause(self) -> None:
        await self.clock.sleep(self.rng.uniform(*RETRY_S))

    async def _follow(self) -> None:
        while True:
            if not self._is_watcher():
                self.watched_from = None
                self.store_unreachable = False
                await self.clock.sleep(POLL_S)
                continue
            try:
                await self._list_or_watch()
                self.store_unreachable = False
                if self.watched_from is not None:
                    await self._pause()
            except store.StoreError as error:
                self.store_unreachable = True
                self.watched_from = None
                logs.call_failed(FOLDER, repr(error))
                await self._pause()

    def _is_watcher(self) -> bool:
        """Return whether this process is one of those that watch.

        They are the first by the hash of their name of the live processes
        that know the zones.
        """
        now = self.clock.now()
        own_rank = _rank(self.peer_table.own_name)
        earlier = sum(
            peer.status.evacuations is not None
            and _rank(peer.status.sender) < own_rank
            and self.peer_table.is_alive(peer, now)
            for peer in self.peer_table.peers.values()
            if peer.status.sender != self.peer_table.own_name
        )
        return earlier < WATCHERS

    async def _list_or_watch(self) -> None:
        """List the entries, or wait until they have changed."""
        if self.watched_from is None:
            self.watched_from = await self._list()
            return
        self.watched_from = await self.zone_store.watch_folder(
            FOLDER,
            self.watched_from,
            self.rng.uniform(*fleet_checks.WATCH_S),
        )

    async def _list(self) -> store_versions.StoreVersion:
        """List the entries and adopt them; return the version to watch from.

        Raises ``store.StoreError``.
        """
        began_at = self.clock.now()
        listed = await self.zone_store.list_names(FOLDER)
        self.checks.record_read(began_at)
        zones = tuple(ids.ZoneName(name) for name in sorted(listed.names))
        self._adopt(
            statuses.Evacuations(
                listed.version.era, listed.version.revision, zones
            ),
            "store",
        )
        return listed.version

    def _adopt(self, seen: statuses.Evacuations, source: str) -> None:
        """Apply the zones as of a revision, unless it is outdated."""
        known = self.known
        if known is not None and (seen.era, seen.revision) <= (
            known.era,
            known.revision,
        ):
            return
        self.known = seen
        if seen.zones == (() if known is None else known.zones):
            return
        logs.zones_evacuated(seen.zones, seen.revision, source)
        if self.own_zone in seen.zones:
            self.tracker.evacuate(self.clock.now())
        else:
            self.tracker.end_evacuation()
        self.on_change()


def _rank(member: ids.MemberId) -> int:
    return xxhash.xxh64_intdigest(member.encode())
