"""Reconciles the backend server's key grants with the ownership object.

Runs in every process whose backend server belongs to a service that is sharded
by key; these processes are the members of the service.  The ownership object
in the store assigns each range of keys to a member.  ``OwnershipReconciler``
periodically reads the object (``ownership_view``), brings the grants of the
server in line with it (``server_grants``), records in the object which keys
were released, and, in the first member of the service by name, writes the next
assignment, which ``planning`` computes.  When the store has come back from a
copy, it writes the newest ownership that the members know (``restoration``).
"""

import asyncio
import collections.abc
import typing

from bronzepaddle import (
    clocks,
    key_ranges,
    logs,
    restored_ownership,
    route_table,
)
from bronzepaddle_backend import key_grants, key_reports, server_tracker
from bronzepaddle_peers import statuses
from bronzepaddle_store import store

from bronzepaddle_node import held_keys, peer_table, planning, tasks
from bronzepaddle_node.keys import (
    member_settings,
    ownership_view,
    server_grants,
)

TICK_S: typing.Final = 0.1
"""Interval at which the grants are compared with the ownership."""


class OwnershipReconciler:
    """Keeps one backend server's key grants in line with the ownership."""

    def __init__(
        self,
        settings: member_settings.MemberSettings,
        object_store: store.Store,
        tracker: server_tracker.Tracker,
        held: held_keys.HeldKeys,
        peers: peer_table.PeerTable,
        get_commands: collections.abc.Callable[
            [], key_grants.KeyGrantCommands | None
        ],
        on_held_changed: collections.abc.Callable[[], None],
        on_version_changed: collections.abc.Callable[[], None],
        pull_ownership: ownership_view.PullOwnership,
        clock: clocks.Clock,
    ) -> None:
        self.settings = settings
        self.tracker = tracker
        self.held = held
        self.clock = clock
        self.started_at = clock.now()
        self.tokens_used_up = False
        self.wakeup = asyncio.Event()
        held.renewals.on_wanted = self.wakeup.set
        self.view = ownership_view.OwnershipView(
            settings,
            object_store,
            peers,
            on_version_changed,
            pull_ownership,
            self.wakeup,
            clock,
        )
        self.grants = server_grants.ServerGrants(
            settings,
            self.view,
            tracker,
            held,
            get_commands,
            on_held_changed,
            self.wakeup,
            clock,
        )
        self.planner = planning.Planner(
            settings.name,
            settings.service,
            settings.first_start,
            peers,
            self.started_at,
        )
        self.lease_was_held = False
        self.lease_since = float("-inf")
        # The seconds for which own keys were not held by the server, weighted
        # by their share of all keys, and the time up to which they are
        # counted.
        self.unheld_s = 0.0
        self.unheld_counted_at = self.started_at

    async def run(
        self, get_table: collections.abc.Callable[[], route_table.Table | None]
    ) -> None:
        """Reconcile periodically while the service is sharded by key."""
        while True:
            current_table = get_table()
            service_rules = current_table and current_table.services.get(
                self.settings.service
            )
            if service_rules and service_rules.keyed:
                await tasks.log_exceptions(self._step(), "keys")
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wakeup.wait()
            except TimeoutError:
                continue
            self.wakeup.clear()

    async def _step(self) -> None:
        now = self.clock.now()
        self._count_unheld(now)
        if self.view.read_is_due(self.planner.is_planner):
            await self.view.read_store()
        self._log_lease_change()
        await self._restore()
        if self.view.latest is None:
            return
        ownership = self.view.latest.ownership
        if ownership is not None:
            await self._reconcile(ownership)
        await self._plan(ownership)

    def _log_lease_change(self) -> None:
        """Log when the lease has started or expired."""
        now = self.clock.now()
        held = self.view.lease.holds(now)
        if held != self.lease_was_held:
            self.lease_was_held = held
            self.lease_since = now
            logs.lease(
                held, self.view.lease.remaining_s(now), self.view.version
            )

    def _count_unheld(self, now: float) -> None:
        """Increase ``unheld_s`` for the time since the last call.

        The time is weighted by the share of all keys that this member owns
        although its server does not hold them.
        """
        elapsed_s, self.unheld_counted_at = now - self.unheld_counted_at, now
        owned = sum(key_range.size for key_range in self.view.own_ranges)
        unheld = max(0, owned - self.held.size(now))
        self.unheld_s += elapsed_s * unheld / route_table.KEY_COUNT

    def on_status(self, status: statuses.Status) -> None:
        """Process what a peer's status reports of the ownership object."""
        self.view.on_status(status, self.planner.is_planner)

    def on_report(
        self, report: key_reports.KeyReport
    ) -> key_reports.HoldOrder | None:
        """Return what the server may hold after its newest report."""
        return self.grants.on_report(report)

    async def _reconcile(self, ownership: key_ranges.Ownership) -> None:
        """Bring the server's grants in line with an ownership."""
        now = self.clock.now()
        run = self.held.run
        if not run:
            return
        # Ranges of an earlier run must be assigned to this run in the object
        # before they are granted to it.
        if self.tracker.ready(now) and any(
            key_range.holder.run != run for key_range in self.view.own_ranges
        ):
            holder = key_ranges.Holder(self.settings.name, run)
            after = key_ranges.regrant_to_new_run(ownership, holder)
            # Added before the write, which may take effect without a response.
            self.grants.regrant_tokens.add(ownership.next_token)
            if after is not None and await self.view.write(after):
                return
            if self.held.run != run:
                # Announced while the write was waiting.
                return
        if await self._renew_tokens(ownership):
            return
        own_ranges = self.grants.apply(ownership, run)
        if not self.grants.takes_grants_by_report():
            await self.grants.grant_all(own_ranges)
        self.grants.record_expired()
        await self._write_releases()

    async def _renew_tokens(self, ownership: key_ranges.Ownership) -> bool:
        """Write new tokens if the server may run anew under its id.

        Returns whether they were written.
        """
        holder = key_ranges.Holder(self.settings.name, self.held.run)
        after = self.grants.renew_tokens(ownership, holder)
        return after is not None and await self.view.write(after)

    async def _write_releases(self) -> None:
        """Mark keys as released by earlier holders, all in one write."""
        latest = self.view.latest
        if latest is None or latest.ownership is None:
            return
        after = self.grants.mark_releases(latest.ownership)
        if after is latest.ownership or await self.view.write(after):
            self.grants.forget_old_releases()

    async def _plan(self, ownership: key_ranges.Ownership | None) -> None:
        """Write the next assignment, if this member is the planner."""
        now = self.clock.now()
        if not self.view.lease.holds(now):
            return
        after = self.planner.next_ownership(
            ownership, now, self.view.peers_read_at, self.lease_since
        )
        if self.planner.is_planner:
            after = self._allow_long_grants(after or ownership) or after
        if after is not None and await self.view.write(after):
            self.planner.record_written(after, now)

    def _allow_long_grants(
        self, ownership: key_ranges.Ownership | None
    ) -> key_ranges.Ownership | None:
        """Return an ownership that allows longer grants, None for no change.

        Only the planner writes that; the servers of a service have similar
        work.
        """
        if ownership is None or self.grants.takes_grants_by_report():
            return None
        return self.grants.hold_times.allow_long_grants(ownership)

    async def _restore(self) -> None:
        """Write the newest known ownership if a new store era has lost it.

        Only once no lease can be in force any more (``restoration``).
        """
        if self.view.restoration.outdated is None:
            return
        now = self.clock.now()
        outdated = self.view.restoration.due(now, self.planner.rank(now))
        if outdated is None or self.view.store_unreachable:
            return
        latest = self.view.latest
        known = None if latest is None else latest.ownership
        newest = restored_ownership.newest((known, outdated.ownership))
        if newest is None:
            newest = self.planner.next_ownership(
                None, now, self.view.peers_read_at, self.lease_since
            )
        if newest is None:
            return
        after = restored_ownership.restore(newest, outdated.version)
        if after is None:
            if not self.tokens_used_up:
                self.tokens_used_up = True
                logs.tokens_used_up(self.settings.name, outdated.version)
            return
        if await self.view.replace(outdated.version, after):
            logs.ownership_restored(
                self.settings.name, after, newest.next_token, newest is known
            )

    async def stop(self) -> None:
        """Cancel the running pulls and releases."""
        await self.view.stop()
        await self.grants.stop()
