"""Deliberately broken builds of the store's leases, to be caught.

Each variant leaves out one thing that sole ownership rests on.
"""

import collections.abc
import contextlib
import typing
import unittest.mock

from bronzepaddle import ids, key_ranges, store_leases
from bronzepaddle_node import issued_grants, reconciler
from bronzepaddle_peers import statuses

_Patches: typing.TypeAlias = list[typing.Any]


def _no_wait() -> _Patches:
    """Take keys over without a wait for the holder before."""
    none = property(lambda self: 0.0)
    return [
        unittest.mock.patch.object(
            store_leases.StoreLeaseTimes, "wait_s", none
        )
    ]


def _short_wait() -> _Patches:
    """Wait for half a lease."""
    half = property(lambda self: self.lease_s / 2)
    return [
        unittest.mock.patch.object(
            store_leases.StoreLeaseTimes, "wait_s", half
        )
    ]


def _endless_lease() -> _Patches:
    """Act on a read for as long as no newer one comes."""

    def renew(self: store_leases.StoreLease, _read_sent_at: float) -> None:
        self.valid_until = float("inf")

    return [
        unittest.mock.patch.object(store_leases.StoreLease, "renew", renew)
    ]


def _no_doubt() -> _Patches:
    """Call keys released while a lost grant may still be carried out."""
    never = property(lambda self: float("-inf"), lambda self, _value: None)
    return [
        unittest.mock.patch.object(
            reconciler.OwnershipReconciler,
            "uncertain_until",
            never,
            create=True,
        )
    ]


def _release_any() -> _Patches:
    """Call keys released whoever holds them by now."""

    def released(
        now: key_ranges.Ownership,
        first: int,
        last: int,
        token: ids.Token,
        handover: str = "",
    ) -> key_ranges.Ownership | None:
        return original(now, first, last, token, handover)

    original = key_ranges.mark_released

    def mark(
        self: issued_grants.ReleasedGrant, now: key_ranges.Ownership
    ) -> key_ranges.Ownership:
        for one in now.ranges:
            if self.first <= one.first and one.last <= self.last:
                now = (
                    released(
                        now, one.first, one.last, one.token, self.handover
                    )
                    or now
                )
        return now

    return [
        unittest.mock.patch.object(
            issued_grants.ReleasedGrant, "mark_released_in", mark
        )
    ]


def _unreleased_after_restart() -> _Patches:
    """Take a restart of the server for the end of every earlier holder."""

    def restarted(
        now: key_ranges.Ownership, holder: key_ranges.Holder
    ) -> key_ranges.Ownership | None:
        after = original(now, holder)
        for one in now.owned_by(holder.member):
            if after is not None:
                after = (
                    key_ranges.mark_released(
                        after,
                        one.first,
                        one.last,
                        ids.Token(after.next_token - 1),
                    )
                    or after
                )
        return after

    original = key_ranges.regrant_to_new_run
    return [
        unittest.mock.patch.object(
            key_ranges, "regrant_to_new_run", restarted
        ),
    ]


def _forgetful() -> _Patches:
    """Trust that an earlier run of the process left no grant under way."""
    original = reconciler.OwnershipReconciler.__init__

    def init(
        self: reconciler.OwnershipReconciler, *arguments: typing.Any
    ) -> None:
        original(self, *arguments)
        self.uncertain_until = float("-inf")

    return [
        unittest.mock.patch.object(
            reconciler.OwnershipReconciler, "__init__", init
        )
    ]


def _relayed_from_arrival() -> _Patches:
    """Count a lease by a peer's read from the arrival of its status."""

    def heard(
        self: reconciler.OwnershipReconciler, status: statuses.Status
    ) -> None:
        original(self, status)
        if status.read and status.read.version == self.version:
            self.lease.renew(self.time.now())

    original = reconciler.OwnershipReconciler.on_status
    return [
        unittest.mock.patch.object(
            reconciler.OwnershipReconciler, "on_status", heard
        )
    ]


VARIANTS: typing.Final[dict[str, collections.abc.Callable[[], _Patches]]] = {
    "no-wait": _no_wait,
    "short-wait": _short_wait,
    "endless-lease": _endless_lease,
    "no-doubt": _no_doubt,
    "forgetful": _forgetful,
    "relayed-from-arrival": _relayed_from_arrival,
    "release-any": _release_any,
    "released-by-restart": _unreleased_after_restart,
}


@contextlib.contextmanager
def patched(variant: str) -> collections.abc.Iterator[None]:
    """Break one thing for a while; an empty name breaks nothing."""
    with contextlib.ExitStack() as stack:
        for patch in VARIANTS[variant]() if variant else []:
            stack.enter_context(patch)
        yield
