"""Deliberately broken builds, which the checks must catch.

Each variant leaves out one thing that safety rests on.
"""

import collections.abc
import contextlib
import typing
import unittest.mock

from bronzepaddle import cells, clocks, ids, quorum_leases, slot_assignment
from bronzepaddle_node import heartbeats, quorum, takeover
from bronzepaddle_store import store, updates

_Patches: typing.TypeAlias = list[typing.Any]


def _no_wait() -> _Patches:
    """Take over as soon as a majority has answered."""

    def at_once(
        times: quorum_leases.LeaseTimes, silent_for: float, answered_at: float
    ) -> float:
        return answered_at

    return [unittest.mock.patch.object(quorum_leases, "lease_expiry", at_once)]


def _no_drift_margin() -> _Patches:
    """Wait for the lease as if all clocks ran alike."""
    exact = property(lambda self: self.lease_s)
    return [
        unittest.mock.patch.object(quorum_leases.LeaseTimes, "wait_s", exact)
    ]


def _suspension_in_memory() -> _Patches:
    """Forget over a restart whom not to vouch for.

    A vouch also counts only from the run of the voucher that its receiver
    knows, which by itself stops this; that guard is taken away as well.
    """
    learn = quorum_leases.HeartbeatAcks.apply_cell

    def remember(self: typing.Any, view: cells.Cell, now: float) -> None:
        before = self.__dict__.setdefault("standing", {})
        known = self.__dict__.setdefault("suspended", set())
        for name, member in view.members.items():
            if member.state is not cells.MemberState.SUSPENDED:
                known.discard(name)
            elif before.get(name, member.state) is not member.state:
                known.add(name)
            before[name] = member.state
        learn(self, view, now)

    def may_ack(
        self: typing.Any,
        view: cells.Cell,
        member: ids.MemberId,
        incarnation: ids.Incarnation,
    ) -> bool:
        return view.is_current(member, incarnation) and (
            member not in self.__dict__.get("suspended", ())
        )

    return [
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "apply_cell", remember
        ),
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "may_ack", may_ack
        ),
        unittest.mock.patch.object(
            heartbeats.Heartbeats, "is_current_run", lambda *_: True
        ),
    ]


def _last_vouch_forgotten() -> _Patches:
    """Answer after a restart as if one had never vouched for anybody."""
    start = quorum_leases.HeartbeatAcks.__init__

    def forget(self: quorum_leases.HeartbeatAcks, started: float) -> None:
        start(self, started - 1000.0)

    def learn(
        self: quorum_leases.HeartbeatAcks, view: cells.Cell, now: float
    ) -> None:
        self.membership = view.membership

    return [
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "__init__", forget
        ),
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "apply_cell", learn
        ),
    ]


async def _forced(
    objects: store.Store,
    name: ids.CellId,
    change: updates.Change,
    time: clocks.Clock,
) -> updates.Outcome:
    """Write without the condition that the version be the newest."""
    now = await updates.read(objects, name)
    changed = change(None if now is None else now.cell)
    if changed is None or now is None:
        return updates.Refused(now)
    while True:
        try:
            newest = await updates.read(objects, name)
            assert newest is not None
            version = await objects.put(
                updates.object_name(name),
                cells.encode(changed),
                newest.version,
            )
        except store.ConflictError:
            continue
        except store.StoreError as error:
            return updates.Unavailable(True, str(error))
        return updates.Written(cells.VersionedCell(version, changed))


class _BlindTakeover(takeover.Takeover):
    """Takes over by what it knew before the wait."""

    conditional = True
    checks_suspension = True

    async def take_over(
        self,
        lost: collections.abc.Sequence[ids.MemberId],
        suspension: ids.SuspensionId,
    ) -> bool:
        view = self.state.view
        assert view is not None
        heirs = {
            one: slot_assignment.new_owners_for(view.cell, one) for one in lost
        }
        stale = view.cell
        if not await self.quorum_queries.wait_for_lease_expiry(
            lost, suspension
        ):
            return False

        def change(now: cells.Cell | None) -> cells.Cell | None:
            if now is None:
                return None
            changed = now if self.conditional else stale
            for one in lost:
                standing = changed.members.get(one)
                stands = standing and standing.suspension == suspension
                if self.checks_suspension and not stands:
                    return None
                changed = cells._issue_grants(changed, heirs[one])
            return changed

        if self.conditional:
            return await self.writer.write_confirmed(change)
        outcome = await _forced(
            self.writer.objects,
            self.state.identity.cell,
            change,
            self.state.time,
        )
        if isinstance(outcome, updates.Written):
            self.state.adopt(outcome.now)
            self.writer.heartbeats.send_round()
            return True
        return False


class _UnconditionalTakeover(_BlindTakeover):
    conditional = False


def _unconditional_write() -> _Patches:
    """Write the new owners whatever the version is."""
    return [
        unittest.mock.patch.object(
            takeover, "Takeover", _UnconditionalTakeover
        )
    ]


def _blind_to_owner() -> _Patches:
    """Write the new owners while the suspension stands, whoever owns."""
    return [unittest.mock.patch.object(takeover, "Takeover", _BlindTakeover)]


def _lease_from_arrival() -> _Patches:
    """Count the lease from the moment a vouch arrives."""
    count = quorum_leases.OwnerLease.record_ack

    def arrived(
        self: typing.Any,
        voucher: ids.MemberId,
        sequence: int,
        membership: ids.MembershipVersion,
        view: cells.Cell,
    ) -> None:
        if sequence in self.sent and self.clock_now is not None:
            self.sent[sequence] = self.clock_now()
        count(self, voucher, sequence, membership, view)

    return [
        unittest.mock.patch.object(
            quorum_leases.OwnerLease, "record_ack", arrived
        ),
        unittest.mock.patch.object(
            quorum_leases.OwnerLease, "clock_now", None, create=True
        ),
    ]


def _membership_ignored() -> _Patches:
    """Count vouches and answers of any membership version."""

    def any_version(
        self: quorum_leases.OwnerLease,
        voucher: ids.MemberId,
        sequence: int,
        membership: ids.MembershipVersion,
        view: cells.Cell,
    ) -> None:
        sent_at = self.sent.get(sequence)
        if sent_at is not None:
            earlier = self.acked_sent_at.get(voucher, float("-inf"))
            self.acked_sent_at[voucher] = max(earlier, sent_at)
            self._extend(view)

    def learn(
        self: quorum_leases.HeartbeatAcks, view: cells.Cell, now: float
    ) -> None:
        self.membership = view.membership

    async def always(self: quorum.QuorumQueries, view: cells.Cell) -> bool:
        return True

    return [
        unittest.mock.patch.object(
            quorum_leases.OwnerLease, "record_ack", any_version
        ),
        unittest.mock.patch.object(
            quorum_leases.HeartbeatAcks, "apply_cell", learn
        ),
        unittest.mock.patch.object(
            quorum.QuorumQueries, "majority_knows", always
        ),
    ]


VARIANTS: typing.Final[dict[str, collections.abc.Callable[[], _Patches]]] = {
    "no-wait": _no_wait,
    "no-drift-margin": _no_drift_margin,
    "suspension-in-memory": _suspension_in_memory,
    "last-vouch-forgotten": _last_vouch_forgotten,
    "unconditional-write": _unconditional_write,
    "blind-to-owner": _blind_to_owner,
    "lease-from-arrival": _lease_from_arrival,
    "membership-ignored": _membership_ignored,
}


@contextlib.contextmanager
def patched(variant: str) -> collections.abc.Iterator[None]:
    """Run under a broken variant; the empty name is the sound build."""
    with contextlib.ExitStack() as stack:
        for patch in VARIANTS[variant]() if variant else []:
            stack.enter_context(patch)
        yield
