"""Deliberately broken builds of key ownership under the store's leases.

Each variant disables one safeguard by patching the code; the simulated fleet
must then violate an invariant.
"""

import collections.abc
import contextlib
import typing
import unittest.mock

from bronzepaddle import ids, key_ranges, store_leases
from bronzepaddle_backend import connections, key_grants, key_reports
from bronzepaddle_node import issued_grants, reconciler, reported_grants
from bronzepaddle_node.keys import (
    hold_times,
    ownership_view,
    server_grants,
    token_runs,
)
from bronzepaddle_peers import statuses

_Patches: typing.TypeAlias = list[typing.Any]

EARLY_S: typing.Final = 2.0
"""Time by which the variant ``expires-early`` is early."""


def _no_wait() -> _Patches:
    """Take keys over without waiting for the lease of the earlier holder."""
    no_wait = property(lambda self: 0.0)
    return [
        unittest.mock.patch.object(
            store_leases.StoreLeaseTimes, "wait_s", no_wait
        )
    ]


def _short_wait() -> _Patches:
    """Wait only for half the lease of the earlier holder."""
    half_lease = property(lambda self: self.lease_s / 2)
    return [
        unittest.mock.patch.object(
            store_leases.StoreLeaseTimes, "wait_s", half_lease
        )
    ]


def _endless_lease() -> _Patches:
    """Let the lease from a read of the store never expire."""

    def renew(self: store_leases.StoreLease, _read_sent_at: float) -> None:
        self.valid_until = float("inf")

    return [
        unittest.mock.patch.object(store_leases.StoreLease, "renew", renew)
    ]


def _no_uncertainty() -> _Patches:
    """Record keys as released although a lost grant may take effect late."""
    never = property(lambda self: float("-inf"), lambda self, _value: None)
    return [
        unittest.mock.patch.object(
            server_grants.ServerGrants,
            "uncertain_until",
            never,
            create=True,
        )
    ]


def _release_any() -> _Patches:
    """Record keys as released under any later grant of them.

    Only the grant that directly replaced the released one may be marked:
    before a later grant, another member may have held the keys.
    """

    def mark_released(
        ownership: key_ranges.Ownership,
        first: int,
        last: int,
        token: ids.Token,
        handover: str = "",
    ) -> key_ranges.Ownership | None:
        return original(ownership, first, last, token, handover)

    original = key_ranges.mark_released

    def mark_released_in(
        self: issued_grants.ReleasedGrant, ownership: key_ranges.Ownership
    ) -> key_ranges.Ownership:
        for key_range in ownership.ranges:
            if self.first <= key_range.first and key_range.last <= self.last:
                ownership = (
                    mark_released(
                        ownership,
                        key_range.first,
                        key_range.last,
                        key_range.token,
                        self.handover,
                    )
                    or ownership
                )
        return ownership

    return [
        unittest.mock.patch.object(
            issued_grants.ReleasedGrant, "mark_released_in", mark_released_in
        )
    ]


def _released_by_restart() -> _Patches:
    """Record the keys of a restarted server as released by all holders.

    The restart only shows that the earlier run of this server holds none.
    """

    def regrant_to_new_run(
        ownership: key_ranges.Ownership, holder: key_ranges.Holder
    ) -> key_ranges.Ownership | None:
        after = original(ownership, holder)
        for key_range in ownership.owned_by(holder.member):
            if after is not None:
                after = (
                    key_ranges.mark_released(
                        after,
                        key_range.first,
                        key_range.last,
                        ids.Token(after.next_token - 1),
                    )
                    or after
                )
        return after

    original = key_ranges.regrant_to_new_run
    return [
        unittest.mock.patch.object(
            key_ranges, "regrant_to_new_run", regrant_to_new_run
        ),
    ]


def _forgetful_restart() -> _Patches:
    """Assume that no grant of an earlier run of the process is in transit."""
    original = server_grants.ServerGrants.__init__

    def init(self: server_grants.ServerGrants, *arguments: typing.Any) -> None:
        original(self, *arguments)
        self.uncertain_until = float("-inf")

    return [
        unittest.mock.patch.object(
            server_grants.ServerGrants, "__init__", init
        )
    ]


def _relayed_from_arrival() -> _Patches:
    """Start the lease from a peer's read at the arrival of its status.

    It must start when the status was sent that the peer received before it
    read.
    """

    def on_status(
        self: reconciler.OwnershipReconciler, status: statuses.Status
    ) -> None:
        original(self, status)
        if status.read and status.read.store_version == self.view.version:
            self.view.lease.renew(self.clock.now())

    original = reconciler.OwnershipReconciler.on_status
    return [
        unittest.mock.patch.object(
            reconciler.OwnershipReconciler, "on_status", on_status
        )
    ]


def _hold_from_sending() -> _Patches:
    """Grant the keys for the whole time, however late the command is sent."""

    def remaining_hold_s(self: key_grants.KeyGrant, _now: float) -> float:
        return self.hold_s

    return [
        unittest.mock.patch.object(
            key_grants.KeyGrant, "remaining_hold_s", remaining_hold_s
        )
    ]


VARIANTS: typing.Final[dict[str, collections.abc.Callable[[], _Patches]]] = {
    "no-wait": _no_wait,
    "short-wait": _short_wait,
    "endless-lease": _endless_lease,
    "no-doubt": _no_uncertainty,
    "forgetful": _forgetful_restart,
    "relayed-from-arrival": _relayed_from_arrival,
    "release-any": _release_any,
    "released-by-restart": _released_by_restart,
    "hold-from-sending": _hold_from_sending,
}


def _hold_outlasts_lease() -> _Patches:
    """Grant keys by report for the whole time of a lease from now on."""

    def grant_duration_s(
        self: store_leases.StoreLease, _now: float, _max_s: float
    ) -> float:
        return self.times.lease_s

    return [
        unittest.mock.patch.object(
            store_leases.StoreLease, "grant_duration_s", grant_duration_s
        )
    ]


def _missing_is_released() -> _Patches:
    """Take keys that a report doesn't show for released."""

    def record(
        self: reported_grants.ReportedGrants,
        report: key_reports.KeyReport,
        now: float,
    ) -> list[reported_grants.ReportedRelease]:
        original(self, report, now)
        shown = {(row.first, row.last, row.token) for row in report.held}
        return [
            reported_grants.ReportedRelease(grant, "")
            for grant in self.pending
            if grant not in shown
        ]

    original = reported_grants.ReportedGrants.record
    return [
        unittest.mock.patch.object(
            reported_grants.ReportedGrants, "record", record
        )
    ]


REPORT_VARIANTS: typing.Final[
    dict[str, collections.abc.Callable[[], _Patches]]
] = {
    "no-wait": _no_wait,
    "short-wait": _short_wait,
    "hold-outlasts-lease": _hold_outlasts_lease,
    "missing-is-released": _missing_is_released,
}
"""Variants that matter where grants travel in reports."""


def _refusal_ends_grant() -> _Patches:
    """Take a release that the server refuses for a release it has made."""

    async def try_release(
        self: server_grants.ServerGrants, grant: issued_grants.IssuedGrant
    ) -> bool:
        commands = self.get_commands()
        if commands is None:
            return False
        handover = ""
        try:
            handover = (await commands.release(*grant)).handover
        except connections.CommandLostError:
            return False
        except connections.CommandNotSentError:
            pass
        self._confirm_release(grant, handover)
        return True

    return [
        unittest.mock.patch.object(
            server_grants.ServerGrants, "_try_release", try_release
        )
    ]


def _new_run_ends_grant() -> _Patches:
    """Record all grants to a run as released once another is announced."""
    original = server_grants.ServerGrants.apply

    def apply(
        self: server_grants.ServerGrants,
        ownership: key_ranges.Ownership,
        run: str,
    ) -> list[key_ranges.Range]:
        issued = self.issued_grants
        if issued.run != run:
            for grant, until in issued.held_until.items():
                self._record_released(
                    grant, "", issued_grants.Evidence.RELEASED, until
                )
            for ending in issued.ending:
                self._record_released(
                    ending.grant,
                    "",
                    issued_grants.Evidence.RELEASED,
                    ending.held_until,
                )
            self.issued_grants = issued_grants.IssuedGrants()
        return original(self, ownership, run)

    return [
        unittest.mock.patch.object(server_grants.ServerGrants, "apply", apply)
    ]


def _expires_early() -> _Patches:
    """Assume that the server holds a grant for much less than its time."""

    def add(
        self: issued_grants.IssuedGrants,
        key_range: key_ranges.Range,
        held_until: float,
    ) -> None:
        original(self, key_range, held_until - EARLY_S)

    original = issued_grants.IssuedGrants.add
    return [unittest.mock.patch.object(issued_grants.IssuedGrants, "add", add)]


def _release_survives_regrant() -> _Patches:
    """Keep the release of a grant on record while the grant is made again."""

    def record_issued(
        self: server_grants.ServerGrants,
        key_range: key_ranges.Range,
        held_until: float,
    ) -> None:
        self.issued_grants.add(key_range, held_until)

    return [
        unittest.mock.patch.object(
            server_grants.ServerGrants, "_record_issued", record_issued
        )
    ]


def _regrant_at_once() -> _Patches:
    """Grant keys to a new run although an earlier run may hold them."""

    def held_by_earlier_run(
        _self: issued_grants.IssuedGrants,
        _key_range: key_ranges.Range,
        _now: float,
    ) -> bool:
        return False

    return [
        unittest.mock.patch.object(
            issued_grants.IssuedGrants,
            "held_by_earlier_run",
            held_by_earlier_run,
        )
    ]


def _renewed_by_any_read() -> _Patches:
    """Renew the lease by any read of a peer, whatever keys it showed."""

    def shows_own_keys(*_arguments: object) -> bool:
        return True

    return [
        unittest.mock.patch.object(
            ownership_view.OwnershipView, "_shows_own_keys", shows_own_keys
        )
    ]


READ_VARIANTS: typing.Final[
    dict[str, collections.abc.Callable[[], _Patches]]
] = {"renewed-by-any-read": _renewed_by_any_read}
"""Variants that matter where few members read."""


GRANT_END_VARIANTS: typing.Final[
    dict[str, collections.abc.Callable[[], _Patches]]
] = {
    "refusal-ends-grant": _refusal_ends_grant,
    "new-run-ends-grant": _new_run_ends_grant,
    "expires-early": _expires_early,
    "release-survives-regrant": _release_survives_regrant,
    "regrant-at-once": _regrant_at_once,
}
"""Variants that mistake when a grant is over."""


def _short_restart_wait() -> _Patches:
    """Wait after a restart only for grants of the shortest duration."""
    original = store_leases.StoreLeaseTimes.command_wait_s

    def command_wait_s(
        self: store_leases.StoreLeaseTimes, _longest_hold_s: float
    ) -> float:
        return original(self, 0.0)

    return [
        unittest.mock.patch.object(
            store_leases.StoreLeaseTimes, "command_wait_s", command_wait_s
        )
    ]


def _unrecorded_long_grants() -> _Patches:
    """Grant keys for longer than the ownership object allows."""

    def recorded_longest_s(self: hold_times.HoldTimes) -> float:
        return self.settings.times.work_hold_s

    def longest_wait_s(self: server_grants.ServerGrants) -> float:
        return self.settings.times.command_wait_s(0.0)

    def allow_long_grants(
        _self: hold_times.HoldTimes, _ownership: key_ranges.Ownership
    ) -> None:
        return None

    return [
        unittest.mock.patch.multiple(
            hold_times.HoldTimes,
            recorded_longest_s=recorded_longest_s,
            allow_long_grants=allow_long_grants,
        ),
        unittest.mock.patch.object(
            server_grants.ServerGrants, "_longest_wait_s", longest_wait_s
        ),
    ]


LONG_WORK_VARIANTS: typing.Final[
    dict[str, collections.abc.Callable[[], _Patches]]
] = {
    "short-restart-wait": _short_restart_wait,
    "unrecorded-long-grants": _unrecorded_long_grants,
}
"""Variants that forget that long work has longer grants."""


def _any_run() -> _Patches:
    """Send the grants under a token to whichever run has the announced id."""

    def run_of(_self: token_runs.TokenRuns, _token: ids.Token) -> None:
        return None

    return [unittest.mock.patch.object(token_runs.TokenRuns, "run_of", run_of)]


RESTART_VARIANTS: typing.Final[
    dict[str, collections.abc.Callable[[], _Patches]]
] = {"any-run": _any_run}
"""Variants that matter where servers restart between two renewals."""


@contextlib.contextmanager
def patched(variant: str) -> collections.abc.Iterator[None]:
    """Apply the patches of a variant; an empty name applies none."""
    with contextlib.ExitStack() as stack:
        variants = (
            VARIANTS
            | REPORT_VARIANTS
            | GRANT_END_VARIANTS
            | LONG_WORK_VARIANTS
            | READ_VARIANTS
            | RESTART_VARIANTS
        )
        for patch in variants[variant]() if variant else []:
            stack.enter_context(patch)
        yield
