"""Leases that a majority of the members of a cell confirms.

These leases do not depend on the store.  Each member sends heartbeats, and
other members acknowledge a heartbeat by echoing its sequence number.  A lease
starts when the owner *sent* the heartbeat that a majority acknowledged.

``OwnerLease`` is the side that holds the lease, ``HeartbeatAcks`` the side
that acknowledges heartbeats, and ``lease_expiry`` computes how long a takeover
has to wait.  ``docs/design/0002-ownership.md`` shows why this is safe.
"""

import collections
import dataclasses
import typing

from bronzepaddle import cells, ids

HEARTBEATS_KEPT: typing.Final = 64
"""Number of heartbeats whose sending times the owner remembers."""


@dataclasses.dataclass(frozen=True)
class LeaseTimes:
    """Lease times in seconds; all members of a cell use the same values.

    A lease lasts for ``lease_s``, and heartbeats are sent every
    ``heartbeat_s``.  A member that was not heard from, or had no lease, for
    ``suspicion_timeout_s`` is suspected to have failed.  ``drift`` is the
    fraction by which a clock may run faster or slower than true time.  The
    owner stops accepting requests ``stop_margin_s`` before its lease expires.
    """

    lease_s: float = 2.5
    heartbeat_s: float = 0.5
    suspicion_timeout_s: float = 1.5
    drift: float = 0.05
    stop_margin_s: float = 0.1

    @property
    def wait_s(self) -> float:
        """Return the wait after an ack until the lease from it has expired.

        The owner's clock may be slow while the clock that measures the wait
        is fast.
        """
        return self.lease_s * (1 + self.drift) / (1 - self.drift)


class OwnerLease:
    """The lease under which this process may act as an owner.

    Heartbeats are numbered from ``first_sequence``, a random number chosen at
    each start: a late echo of a heartbeat from before a restart must not
    match one from after it.  ``acked_sent_at`` is the sending time of the
    newest heartbeat that each member has acknowledged.  Safe to read from any
    thread, because readers use a single float.
    """

    def __init__(self, times: LeaseTimes, first_sequence: int) -> None:
        self.times = times
        self.valid_until = float("-inf")
        self.sequence = first_sequence
        self.membership_version = ids.MembershipVersion(0)
        self.sending_times: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.acked_sent_at: dict[ids.MemberId, float] = {}

    def next_heartbeat(self, now: float) -> int:
        """Record that a heartbeat is sent now; return its number."""
        self.sequence += 1
        self.sending_times[self.sequence] = now
        while len(self.sending_times) > HEARTBEATS_KEPT:
            self.sending_times.popitem(last=False)
        return self.sequence

    def apply_cell(self, cell: cells.Cell, own_name: ids.MemberId) -> None:
        """Apply a new version of the cell object.

        Acks count for one membership version only.  The current lease stays
        valid, unless this member has been suspended.
        """
        if cell.membership != self.membership_version:
            self.membership_version = cell.membership
            self.acked_sent_at.clear()
        member = cell.members.get(own_name)
        if member is None or member.state is cells.MemberState.SUSPENDED:
            self.end()

    def end(self) -> None:
        """End the lease; heartbeats sent before now no longer count."""
        self.valid_until = float("-inf")
        self.sending_times.clear()
        self.acked_sent_at.clear()

    def record_ack(
        self,
        sender: ids.MemberId,
        sequence: int,
        membership_version: ids.MembershipVersion,
        cell: cells.Cell,
    ) -> None:
        """Count an ack for one of the heartbeats sent.

        It is ignored if its heartbeat is unknown or too old, if it is for
        another membership version, or if its sender is not a member.
        """
        sent_at = self.sending_times.get(sequence)
        if sent_at is None or membership_version != self.membership_version:
            return
        if sender not in cell.members:
            return
        previous = self.acked_sent_at.get(sender, float("-inf"))
        self.acked_sent_at[sender] = max(previous, sent_at)
        self._extend(cell)

    def renew_alone(self, cell: cells.Cell, now: float) -> None:
        """Renew the lease of a cell's only member."""
        if cell.majority == 1:
            self.valid_until = max(self.valid_until, now + self.times.lease_s)

    def _extend(self, cell: cells.Cell) -> None:
        """Renew the lease from the newest heartbeat that a majority acked."""
        # This member is part of the majority, so it needs one ack fewer.
        acks_needed = cell.majority - 1
        ack_times = sorted(self.acked_sent_at.values(), reverse=True)
        if len(ack_times) < acks_needed or acks_needed == 0:
            return
        until = ack_times[acks_needed - 1] + self.times.lease_s
        self.valid_until = max(self.valid_until, until)

    def holds(self, now: float) -> bool:
        """Return whether new requests may be accepted."""
        return now < self.valid_until - self.times.stop_margin_s


class HeartbeatAcks:
    """The times at which this process last acknowledged each member.

    They are lost in a restart.  The process therefore assumes that it
    acknowledged a heartbeat of every member just before it started.  It
    assumes the same when a new membership version arrives, because it does
    not know which majorities it was part of before.  ``assumed_ack_at`` is
    the time of that ack.
    """

    def __init__(self, started: float) -> None:
        self.assumed_ack_at = started
        self.membership_version = ids.MembershipVersion(0)
        self.last_ack_at: dict[ids.MemberId, float] = {}

    def apply_cell(self, cell: cells.Cell, now: float) -> None:
        """Apply a new version of the cell object."""
        if cell.membership != self.membership_version:
            self.membership_version = cell.membership
            self.assumed_ack_at = now

    def may_ack(
        self,
        cell: cells.Cell,
        member: ids.MemberId,
        incarnation: ids.Incarnation,
    ) -> bool:
        """Return whether a member's heartbeat may be acknowledged."""
        recorded = cell.members.get(member)
        if recorded is None or recorded.incarnation != incarnation:
            return False
        return recorded.state is not cells.MemberState.SUSPENDED

    def record_ack_sent(self, member: ids.MemberId, now: float) -> None:
        """Record an ack; must be called before it is sent."""
        self.last_ack_at[member] = now

    def last_ack_age_s(self, member: ids.MemberId, now: float) -> float:
        """Return the time since the last ack may have been sent."""
        return now - max(
            self.last_ack_at.get(member, 0.0), self.assumed_ack_at
        )


def lease_expiry(
    times: LeaseTimes, last_ack_age_s: float, answered_at: float
) -> float:
    """Return the time at which the lease from an ack has expired.

    ``last_ack_age_s`` is the age of the ack, measured by the clock of the
    member that sent it.  ``answered_at`` is the arrival time of that member's
    reply, by the clock of the process that waits.
    """
    return answered_at + max(0.0, times.wait_s - last_ack_age_s)
