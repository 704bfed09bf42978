"""Deliberately broken builds of cell membership and slot ownership.

Each variant disables one safeguard by patching the code; the simulated cell
must then violate an invariant.
"""

import collections.abc
import contextlib
import typing
import unittest.mock

from bronzepaddle import (
    cells,
    clocks,
    ids,
    quorum_leases,
    slot_assignment,
    store_versions,
)
from bronzepaddle_node import heartbeats, quorum, takeover
from bronzepaddle_store import store, updates

_Patches: typing.TypeAlias = list[typing.Any]


def _no_wait() -> _Patches:
    """Take over as soon as a majority has replied."""

    def lease_expiry(
        times: quorum_leases.LeaseTimes,
        last_ack_age_s: float,
        answered_at: float,
    ) -> float:
        return answered_at

    return [
        unittest.mock.patch.object(quorum_leases, "lease_expiry", lease_expiry)
    ]


def _no_drift_margin() -> _Patches:
    """Wait for the lease as if all clocks ran at the same rate."""
    without_drift = property(lambda self: self.lease_s)
    return [
        unittest.mock.patch.object(
            quorum_leases.LeaseTimes, "wait_s", without_drift
        )
    ]


def _suspension_in_memory() -> _Patches:
    """Remember only in memory whose heartbeats must not be acknowledged.

    A restart forgets it.  A second safeguard would prevent the violation by
    itself, so it is disabled as well: an acknowledgement counts only if it is
    from the run of its sender that is recorded in the cell.
    """
    original_apply_cell = quorum_leases.HeartbeatAcks.apply_cell

    def apply_cell(self: typing.Any, cell: cells.Cell, now: float) -> None:
        earlier_states = self.__dict__.setdefault("earlier_states", {})
        suspended = self.__dict__.setdefault("suspended", set())
        for name, member in cell.members.items():
            if member.state is not cells.MemberState.SUSPENDED:
                suspended.discard(name)
            elif earlier_states.get(name, member.state) is not member.state:
                suspended.add(name)
            earlier_states[name] = member.state
        original_apply_cell(self, cell, now)

    def may_ack(
        self: typing.Any,
        cell: cells.Cell,
        member: ids.MemberId,
        incarnation: ids.Incarnation,
    ) -> bool:
        return cell.is_current(member, incarnation) and (
            member not in self.__dict__.get("suspended", ())
        )

    return [
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "apply_cell", apply_cell
        ),
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "may_ack", may_ack
        ),
        unittest.mock.patch.object(
            heartbeats.Heartbeats, "is_current_run", lambda *_: True
        ),
    ]


def _last_ack_forgotten() -> _Patches:
    """Reply after a restart as if no heartbeat was acknowledged before it."""
    original_init = quorum_leases.HeartbeatAcks.__init__

    def init(self: quorum_leases.HeartbeatAcks, started: float) -> None:
        original_init(self, started - 1000.0)

    def apply_cell(
        self: quorum_leases.HeartbeatAcks, cell: cells.Cell, now: float
    ) -> None:
        self.membership_version = cell.membership

    return [
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "__init__", init
        ),
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "apply_cell", apply_cell
        ),
    ]


async def _write_unconditionally(
    object_store: store.Store,
    name: ids.CellId,
    change: updates.Change,
    clock: clocks.Clock,
) -> updates.Outcome:
    """Apply a change to the cell and overwrite any later version with it."""
    current = await updates.read(object_store, name)
    changed = change(None if current is None else current.cell)
    if changed is None or current is None:
        return updates.Declined(current)
    while True:
        try:
            latest = await updates.read(object_store, name)
            assert latest is not None
            version = await object_store.put(
                updates.object_name(name),
                cells.encode(changed),
                store_versions.of_first_era(latest.version),
            )
        except store.ConflictError:
            continue
        except store.StoreError as error:
            return updates.Unavailable(True, str(error))
        return updates.Written(cells.VersionedCell(version.revision, changed))


class _UncheckedTakeover(takeover.Takeover):
    """Writes the new owners that it computed before the wait.

    It does not check who owns the slots by then.
    """

    conditional = True
    checks_suspension = True

    async def take_over(
        self,
        lost: collections.abc.Sequence[ids.MemberId],
        suspension: ids.SuspensionId,
    ) -> bool:
        known_cell = self.state.known_cell
        assert known_cell is not None
        new_owners = {
            member: slot_assignment.new_owners_for(known_cell.cell, member)
            for member in lost
        }
        outdated_cell = known_cell.cell
        if not await self.quorum_queries.wait_for_lease_expiry(
            lost, suspension
        ):
            return False

        def change(current: cells.Cell | None) -> cells.Cell | None:
            if current is None:
                return None
            changed = current if self.conditional else outdated_cell
            for member in lost:
                record = changed.members.get(member)
                suspended = record and record.suspension == suspension
                if self.checks_suspension and not suspended:
                    return None
                changed = cells._issue_grants(changed, new_owners[member])
            return changed

        if self.conditional:
            return await self.writer.write_confirmed(change)
        outcome = await _write_unconditionally(
            self.writer.object_store,
            self.state.identity.cell,
            change,
            self.state.clock,
        )
        if isinstance(outcome, updates.Written):
            self.state.adopt_cell(outcome.latest)
            self.writer.heartbeats.send_heartbeats()
            return True
        return False


class _UnconditionalTakeover(_UncheckedTakeover):
    conditional = False


def _unconditional_write() -> _Patches:
    """Write the new owners over any version of the cell object."""
    return [
        unittest.mock.patch.object(
            takeover, "Takeover", _UnconditionalTakeover
        )
    ]


def _owner_not_checked() -> _Patches:
    """Write the new owners if the suspension still holds.

    The lost member need not own the slots any more.  No test runs this
    variant; ``bench/schedules.py`` can.
    """
    return [
        unittest.mock.patch.object(takeover, "Takeover", _UncheckedTakeover)
    ]


def _lease_from_arrival() -> _Patches:
    """Start the lease at the arrival of an acknowledgement.

    It must start when the acknowledged heartbeat was sent.
    """
    original_record_ack = quorum_leases.OwnerLease.record_ack

    def record_ack(
        self: typing.Any,
        sender: ids.MemberId,
        sequence: int,
        membership: ids.MembershipVersion,
        cell: cells.Cell,
    ) -> None:
        if sequence in self.sending_times and self.clock_now is not None:
            self.sending_times[sequence] = self.clock_now()
        original_record_ack(self, sender, sequence, membership, cell)

    return [
        unittest.mock.patch.object(
            quorum_leases.OwnerLease, "record_ack", record_ack
        ),
        unittest.mock.patch.object(
            quorum_leases.OwnerLease, "clock_now", None, create=True
        ),
    ]


def _membership_ignored() -> _Patches:
    """Count acknowledgements and replies of any membership version."""

    def record_ack(
        self: quorum_leases.OwnerLease,
        sender: ids.MemberId,
        sequence: int,
        membership: ids.MembershipVersion,
        cell: cells.Cell,
    ) -> None:
        sent_at = self.sending_times.get(sequence)
        if sent_at is not None:
            earlier = self.acked_sent_at.get(sender, float("-inf"))
            self.acked_sent_at[sender] = max(earlier, sent_at)
            self._extend(cell)

    def apply_cell(
        self: quorum_leases.HeartbeatAcks, cell: cells.Cell, now: float
    ) -> None:
        self.membership_version = cell.membership

    async def majority_knows(
        self: quorum.QuorumQueries, cell: cells.Cell
    ) -> bool:
        return True

    return [
        unittest.mock.patch.object(
            quorum_leases.OwnerLease, "record_ack", record_ack
        ),
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "apply_cell", apply_cell
        ),
        unittest.mock.patch.object(
            quorum.QuorumQueries, "majority_knows", majority_knows
        ),
    ]


VARIANTS: typing.Final[dict[str, collections.abc.Callable[[], _Patches]]] = {
    "no-wait": _no_wait,
    "no-drift-margin": _no_drift_margin,
    "suspension-in-memory": _suspension_in_memory,
    "last-vouch-forgotten": _last_ack_forgotten,
    "unconditional-write": _unconditional_write,
    "blind-to-owner": _owner_not_checked,
    "lease-from-arrival": _lease_from_arrival,
    "membership-ignored": _membership_ignored,
}


@contextlib.contextmanager
def patched(variant: str) -> collections.abc.Iterator[None]:
    """Apply the patches of a variant; an empty name applies none."""
    with contextlib.ExitStack() as stack:
        for patch in VARIANTS[variant]() if variant else []:
            stack.enter_context(patch)
        yield
