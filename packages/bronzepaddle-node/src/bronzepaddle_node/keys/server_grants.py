"""Grants of keys to the backend server on the same VM, until they end.

``ServerGrants`` grants the server the ranges that ``OwnershipView`` assigns to
this member, for a limited time and only once no earlier holder can serve them,
and renews these grants.  It tells the server to release ranges that were
reassigned.  A grant counts as over only once the server has confirmed its
release or its time has ended (``issued_grants``); ``reconciler`` then records
that in the ownership object.

A server takes its grants either by command or from the responses to its
reports (``reported_grants``).
"""

import asyncio
import collections.abc
import typing

from bronzepaddle import clocks, ids, key_ranges, logs
from bronzepaddle.load import grant_times
from bronzepaddle_backend import (
    connections,
    key_grants,
    key_reports,
    server_tracker,
)

from bronzepaddle_node import (
    held_keys,
    issued_grants,
    reported_grants,
    tasks,
)
from bronzepaddle_node.keys import (
    hold_times,
    member_settings,
    ownership_view,
    token_runs,
)

MIN_HOLD_S: typing.Final = 0.1
"""Minimum duration of a grant; a shorter one is not worth a command."""

RELEASE_RETRY_S: typing.Final = 0.5
"""Pause before a release that the server didn't answer is sent again."""


class ServerGrants:
    """The grants to one backend server; for the event loop only.

    ``wakeup`` is set when a release is to be recorded.  ``on_held_changed`` is
    called when the ranges that requests may use have changed.
    """

    def __init__(
        self,
        settings: member_settings.MemberSettings,
        view: ownership_view.OwnershipView,
        tracker: server_tracker.Tracker,
        held: held_keys.HeldKeys,
        get_commands: collections.abc.Callable[
            [], key_grants.KeyGrantCommands | None
        ],
        on_held_changed: collections.abc.Callable[[], None],
        wakeup: asyncio.Event,
        clock: clocks.Clock,
    ) -> None:
        self.settings = settings
        self.view = view
        self.tracker = tracker
        self.held = held
        self.get_commands = get_commands
        self.on_held_changed = on_held_changed
        self.wakeup = wakeup
        self.clock = clock
        self.started_at = clock.now()
        self.hold_times = hold_times.HoldTimes(settings, view, held)
        self.token_runs = token_runs.TokenRuns()
        # When a command last found no connection to the server, or perhaps
        # another run of it.
        self.not_connected_at = float("-inf")
        # The tokens of the ranges that were granted to another run of the
        # server since the start.
        self.regrant_tokens: set[ids.Token] = set()
        # Until then a grant whose response did not arrive may still take
        # effect.  An earlier run of this process may have sent such grants.
        self.uncertain_until = self.started_at + settings.times.wait_s
        self.released_grants: list[issued_grants.ReleasedGrant] = []
        self.releasing: set[issued_grants.IssuedGrant] = set()
        self.issued_grants = issued_grants.IssuedGrants()
        self.reported_grants = reported_grants.ReportedGrants()
        # The ownership that was last compared with the server's grants.
        self.applied_ownership: key_ranges.Ownership | None = None
        self.background_tasks = tasks.Tasks()

    def apply(
        self, ownership: key_ranges.Ownership, run: str
    ) -> list[key_ranges.Range]:
        """Stop using what an ownership has reassigned.

        Returns the ranges that it assigns to this run of the server.
        """
        self.issued_grants.set_run(run)
        if self.reported_grants.run != run:
            self.reported_grants = reported_grants.ReportedGrants(run)
        own_ranges = [
            key_range
            for key_range in self.view.own_ranges
            if key_range.holder.run == run
        ]
        if ownership is not self.applied_ownership:
            self.applied_ownership = ownership
            self._drop_reassigned(ownership, own_ranges)
        return own_ranges

    def takes_grants_by_report(self) -> bool:
        """Return whether the server reports its keys and takes no commands."""
        latest = self.tracker.latest
        return latest is not None and latest.announcement.keys is not None

    async def grant_all(self, own_ranges: list[key_ranges.Range]) -> None:
        """Send the commands that grant ranges to the server."""
        held = {
            (current.first, current.last, current.token): current
            for current in self.held.ranges
        }
        self._record_renewed_time()
        renewals = self.held.renewals
        wanted = renewals.wanted()
        for key_range in sorted(
            own_ranges,
            key=lambda own: grant_times.most_urgent(
                wanted, own.first, own.last
            ),
        ):
            if not self._announced_since_refusal():
                return
            if not self.view.owns(key_range, self.held.run):
                # Reassigned, or another run was announced, since the last
                # grant was sent.
                continue
            if key_range.token in self.token_runs.outdated:
                # Its new token has not been written yet.
                continue
            await self._grant_if_due(
                key_range,
                held.get((key_range.first, key_range.last, key_range.token)),
            )
            renewals.record_tried(wanted, key_range.first, key_range.last)
        # The rest are for keys that this server doesn't hold any more.
        renewals.record_tried(wanted, 0, key_ranges.LAST_KEY)

    def _record_renewed_time(self) -> None:
        """Record how long a grant would last that is renewed now."""
        renewals = self.held.renewals
        renewals.fresh_s = self.hold_times.longest_hold_s()
        renewals.renewed_s = self.view.lease.grant_duration_s(
            self.clock.now(), renewals.fresh_s
        )

    def _announced_since_refusal(self) -> bool:
        """Return whether the server was heard of after a command failed.

        It refused the command then, or another run may have answered, which
        must not get the grants of this one.
        """
        latest = self.tracker.latest
        return latest is not None and (
            latest.received_at > self.not_connected_at
        )

    def renew_tokens(
        self, ownership: key_ranges.Ownership, holder: key_ranges.Holder
    ) -> key_ranges.Ownership | None:
        """Return an ownership in which no own token is outdated.

        None if nothing changes.
        """
        if not self.token_runs.outdated:
            return None
        return key_ranges.renew_tokens(
            ownership, holder, self.token_runs.outdated
        )

    def on_report(
        self, report: key_reports.KeyReport
    ) -> key_reports.HoldOrder | None:
        """Return what the server may hold after the newest report of its run.

        The grants count from the sending of the report, so they end before
        the lease, which counts on from now.  None if there is no lease.
        """
        now, run = self.clock.now(), self.held.run
        ownership = (
            None if self.view.latest is None else self.view.latest.ownership
        )
        hold_s = self.view.lease.grant_duration_s(
            now, self.settings.max_hold_s
        )
        own_ranges = [] if ownership is None else self.apply(ownership, run)
        for release in self.reported_grants.record(report, now):
            logs.keys_released(*release.grant, "reported")
            self._confirm_release(release.grant, release.handover)
        if ownership is None or hold_s < MIN_HOLD_S:
            return None
        free = [
            key_range
            for key_range in own_ranges
            if self._is_free(key_range, now)
        ]
        self._use_ordered(free, report, now + hold_s)
        grants = tuple(
            key_grants.KeyGrant(
                key_range.first,
                key_range.last,
                key_range.token,
                hold_s,
                now,
                key_range.handover,
            )
            for key_range in free
        )
        return key_reports.HoldOrder(grants, hold_s)

    def _use_ordered(
        self,
        ordered: list[key_ranges.Range],
        report: key_reports.KeyReport,
        until: float,
    ) -> None:
        """Let requests use the ranges of an order, as far as accepted."""
        order_s = until - self.clock.now()
        held_before = {
            (held.first, held.last, held.token) for held in self.held.ranges
        }
        usable = []
        for key_range in ordered:
            self._record_issued(
                key_range, until + order_s * self.settings.times.drift
            )
            grant = (key_range.first, key_range.last, key_range.token)
            if self.reported_grants.accepted(grant, report):
                usable.append(held_keys.GrantedRange(*grant, until))
                if grant not in held_before:
                    logs.keys_granted(*grant, until - self.clock.now())
        self.reported_grants.ordered = {
            (key_range.first, key_range.last, key_range.token)
            for key_range in ordered
        }
        if len(usable) < len(ordered):
            # Perhaps the server has seen a higher token.
            self.view.read_soon()
        self.held.set(usable)
        if held_before != {
            (held.first, held.last, held.token) for held in usable
        }:
            self.on_held_changed()

    def _drop_reassigned(
        self,
        ownership: key_ranges.Ownership,
        own_ranges: list[key_ranges.Range],
    ) -> None:
        """Send no more requests for reassigned ranges, and release them."""
        held_before = self.held.ranges
        kept = [
            held_keys.GrantedRange(*shared, key_range.token, held_range.until)
            for key_range in own_ranges
            for held_range in held_before
            if held_range.token == key_range.token
            and (
                shared := key_ranges.overlap(
                    key_range.first,
                    key_range.last,
                    held_range.first,
                    held_range.last,
                )
            )
        ]
        if kept != held_before:
            self.held.set(kept)
            self.on_held_changed()
        for grant in self.issued_grants.pop_replaced(ownership):
            if self.takes_grants_by_report():
                until = self.clock.now() + self.settings.times.wait_s
                self.reported_grants.await_release(grant, until)
            elif grant not in self.releasing:
                self.releasing.add(grant)
                self.background_tasks.start(self._release(grant), "release")

    def _confirm_release(
        self, grant: issued_grants.IssuedGrant, handover: str
    ) -> None:
        """Record a release that the server has confirmed.

        ``handover`` is the data that it passes to the next holder.  While a
        grant of unknown outcome may still take effect after the release, only
        the end of its time shows that the grant is over.
        """
        if self.clock.now() < self.uncertain_until:
            return
        held_until = self.issued_grants.confirm_release(grant)
        self._record_released(
            grant, handover, issued_grants.Evidence.RELEASED, held_until
        )

    def _record_released(
        self,
        grant: issued_grants.IssuedGrant,
        handover: str,
        evidence: issued_grants.Evidence,
        held_until: float,
    ) -> None:
        """Let the next write mark an earlier grant as released."""
        now = self.clock.now()
        first, last, token = grant
        logs.grant_ended(
            first, last, token, evidence.value, max(0.0, held_until - now)
        )
        until = now + self.settings.times.wait_s
        self.released_grants.append(
            issued_grants.ReleasedGrant(first, last, token, handover, until)
        )
        self.wakeup.set()

    def record_expired(self) -> None:
        """Let the next write mark the grants whose time is over as released.

        Not while a grant of unknown outcome may still take effect.
        """
        now = self.clock.now()
        if now < self.uncertain_until:
            return
        for grant in self.issued_grants.pop_expired(now):
            self._record_released(
                grant, "", issued_grants.Evidence.EXPIRED, now
            )

    async def _release(self, grant: issued_grants.IssuedGrant) -> None:
        """Tell the server to release keys until it answers.

        Gives up once the time of the grant is over, the server has another
        run, or its keys are assigned to this member again.
        """
        try:
            while (
                self.issued_grants.is_ending(grant, self.held.run)
                and not self._owns_any(grant)
                and not await self._try_release(grant)
            ):
                await self.clock.sleep(RELEASE_RETRY_S)
        finally:
            self.releasing.discard(grant)

    def _owns_any(self, grant: issued_grants.IssuedGrant) -> bool:
        """Return whether any key of a grant is assigned to this member."""
        first, last, _ = grant
        return any(
            key_ranges.overlap(first, last, own.first, own.last) is not None
            for own in self.view.own_ranges
        )

    async def _try_release(self, grant: issued_grants.IssuedGrant) -> bool:
        """Tell the server to release keys; return whether it has answered."""
        commands = self.get_commands()
        if commands is None:
            return False
        first, last, token = grant
        try:
            outcome = await commands.release(
                first, last, token, self.token_runs.run_of(token)
            )
        except (
            connections.CommandNotSentError,
            connections.CommandLostError,
        ) as error:
            logs.order_failed("release", first, last, repr(error))
            self._record_not_connected(error)
            return False
        logs.keys_released(first, last, token, outcome.detail)
        if not self.issued_grants.is_ending(grant, self.held.run):
            # The answer may be that of another run.
            return True
        if outcome.done:
            self._confirm_release(grant, outcome.handover)
        return outcome.done

    async def _grant_if_due(
        self,
        key_range: key_ranges.Range,
        current: held_keys.GrantedRange | None,
    ) -> None:
        """Grant a range to the server, or renew its grant, if that is due.

        ``current`` is the grant of exactly this range, if there is one.
        """
        now = self.clock.now()
        if not self._is_free(key_range, now):
            return
        longest_hold_s = self.hold_times.longest_hold_s()
        hold_s = self.view.lease.grant_duration_s(now, longest_hold_s)
        if (
            current is not None
            and not self.held.renewals.is_wanted(current.first, current.last)
            and current.until - now
            > grant_times.renew_below_s(
                longest_hold_s, self.held.work_times.longest_needed_s()
            )
        ):
            return
        if hold_s < MIN_HOLD_S or (
            current is not None and now + hold_s <= current.until
        ):
            return
        await self._grant(key_range, hold_s, now)

    def _is_free(self, key_range: key_ranges.Range, now: float) -> bool:
        """Return whether no earlier holder can serve an own range any more.

        An earlier run of this member's server counts as one too.
        """
        if self.issued_grants.held_by_earlier_run(key_range, now):
            return False
        if (
            key_range.token in self.regrant_tokens
            and now < self.started_at + self._longest_wait_s()
        ):
            # An earlier process may have granted them to the earlier run.
            return False
        first_seen_at = self.view.first_seen_at.get(key_range.token, now)
        wait_ends_at = first_seen_at + self.settings.times.wait_s
        return key_range.released or now >= wait_ends_at

    def _longest_wait_s(self) -> float:
        """Return the wait after which all grants of an earlier process end."""
        times = self.settings.times
        return (
            times.wait_s
            if self.takes_grants_by_report()
            else times.command_wait_s(self.hold_times.recorded_longest_s())
        )

    async def _grant(
        self, key_range: key_ranges.Range, hold_s: float, now: float
    ) -> None:
        """Grant a range to the server, and record the outcome.

        ``hold_s`` was determined for the time ``now``.
        """
        commands = self.get_commands()
        if commands is None:
            return
        grant = key_grants.KeyGrant(
            key_range.first,
            key_range.last,
            key_range.token,
            hold_s,
            now,
            key_range.handover,
        )
        longest_hold_s = hold_s * (1 + self.settings.times.drift)
        held_until_before = dict(self.issued_grants.held_until)
        self.issued_grants.add(key_range, now + longest_hold_s)
        reached = self.token_runs.run_of(key_range.token)
        try:
            outcome = await commands.grant(grant, reached)
        except connections.CommandNotSentError as error:
            self.issued_grants.held_until = held_until_before
            self._record_not_connected(error)
            logs.order_failed(
                "grant", key_range.first, key_range.last, repr(error)
            )
            return
        except connections.CommandLostError as error:
            # Its bytes have left by now, if ever.
            self.token_runs.record(key_range.token, error.reached)
            held_until = self.clock.now() + longest_hold_s
            self._record_issued(key_range, held_until)
            self.uncertain_until = max(self.uncertain_until, held_until)
            logs.order_failed(
                "grant", key_range.first, key_range.last, repr(error)
            )
            return
        self.token_runs.record(key_range.token, outcome.reached)
        held_until = self.clock.now() + longest_hold_s
        self._record_issued(key_range, held_until)
        self._log_if_late(key_range, held_until)
        if not outcome.done:
            logs.order_failed(
                "grant", key_range.first, key_range.last, outcome.detail
            )
            self.view.read_soon()
            return
        if self.view.owns(key_range, self.held.run):
            self._record_grant(key_range, now + hold_s)

    def _record_not_connected(self, error: Exception) -> None:
        """Record when a command didn't find the run that it is for."""
        match error:
            case connections.NotConnectedError():
                self.not_connected_at = self.clock.now()
            case connections.OtherRunError() if error.reached is None:
                self.not_connected_at = self.clock.now()
            case connections.OtherRunError():
                assert error.reached is not None
                self.token_runs.record_other(error.reached)
                self.wakeup.set()

    def _record_issued(
        self, key_range: key_ranges.Range, held_until: float
    ) -> None:
        """Record a grant that the server may hold until ``held_until``.

        An earlier release of the same grant doesn't count any more.
        """
        self.issued_grants.add(key_range, held_until)
        self.released_grants = [
            released
            for released in self.released_grants
            if released.token != key_range.token
            or key_ranges.overlap(
                released.first, released.last, key_range.first, key_range.last
            )
            is None
        ]

    def _log_if_late(
        self, key_range: key_ranges.Range, held_until: float
    ) -> None:
        """Log a grant that may outlast the lease, as of its response."""
        late_s = held_until - self.view.lease.valid_until
        if late_s > 0:
            logs.grant_late(
                key_range.first, key_range.last, key_range.token, late_s
            )

    def _record_grant(self, key_range: key_ranges.Range, until: float) -> None:
        """Let requests use a range, whose grant the server has confirmed."""
        disjoint = [
            held
            for held in self.held.ranges
            if held.last < key_range.first or key_range.last < held.first
        ]
        newly_held = len(disjoint) == len(self.held.ranges)
        granted_range = held_keys.GrantedRange(
            key_range.first, key_range.last, key_range.token, until
        )
        self.held.set([*disjoint, granted_range])
        if newly_held:
            hold_s = until - self.clock.now()
            logs.keys_granted(
                key_range.first, key_range.last, key_range.token, hold_s
            )
            self.on_held_changed()

    def mark_releases(
        self, ownership: key_ranges.Ownership
    ) -> key_ranges.Ownership:
        """Return an ownership in which keys are marked as released.

        Marks the keys that this process has released, for their next owners.
        Also marks its own keys once the wait for earlier holders is over, so
        that it need not wait for them again after a restart.
        """
        after = ownership
        for released in self.released_grants:
            after = released.mark_released_in(after)
        now = self.clock.now()
        for key_range in after.owned_by(self.settings.name):
            first_seen_at = self.view.first_seen_at.get(key_range.token, now)
            wait_is_over = now >= first_seen_at + self.settings.times.wait_s
            held = self.held.holds(key_range.first, now)
            if wait_is_over and held and not key_range.released:
                after = (
                    key_ranges.mark_released(
                        after, key_range.first, key_range.last, key_range.token
                    )
                    or after
                )
        return after

    def forget_old_releases(self) -> None:
        """Forget the releases that need not be recorded any more."""
        now = self.clock.now()
        self.released_grants = [
            released
            for released in self.released_grants
            if released.until > now
        ]

    async def stop(self) -> None:
        """Cancel the running releases."""
        await self.background_tasks.stop()
