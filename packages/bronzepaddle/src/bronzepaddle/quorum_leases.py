"""Leases that the members of a cell vouch for, away from the store.

Each member sends heartbeats.  Another member vouches for it by echoing the
number of the heartbeat; the owner counts its lease from the moment at which
it *sent* the heartbeat that a majority echoed.  ``OwnerLease`` is the
owner's side, ``HeartbeatAcks`` the other's, and ``lease_expiry`` says how long
whoever takes over has to wait.  ``docs/design/0002-ownership.md`` argues why
this is safe.
"""

import collections
import dataclasses
import typing

from bronzepaddle import cells, ids

HEARTBEATS_KEPT: typing.Final = 64
"""Heartbeats whose sending time the owner remembers."""


@dataclasses.dataclass(frozen=True)
class LeaseTimes:
    """The times that all members of a cell agree on, in seconds.

    ``drift`` is how much faster or slower than true time a clock may run,
    as a share of 1.
    """

    lease_s: float = 2.5
    heartbeat_s: float = 0.5
    suspicion_timeout_s: float = 1.5
    drift: float = 0.05
    stop_margin_s: float = 0.1

    @property
    def wait_s(self) -> float:
        """Return the wait after a vouch that outlasts any lease from it.

        The owner's clock may be slow and the waiting one fast at once.
        """
        return self.lease_s * (1 + self.drift) / (1 - self.drift)


class OwnerLease:
    """How long this process may act as an owner.

    Heartbeats are numbered from ``first_sequence``, drawn at random at each
    start: an echo of an earlier run's heartbeat that arrives late must not
    match one of this run.  Safe to read from any thread: readers see one
    float.
    """

    def __init__(self, times: LeaseTimes, first_sequence: int) -> None:
        self.times = times
        self.valid_until = float("-inf")
        self.sequence = first_sequence
        self.membership = ids.MembershipVersion(0)
        self.sent: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.vouched: dict[ids.MemberId, float] = {}

    def next_heartbeat(self, now: float) -> int:
        """Note that a heartbeat is sent now and return its number."""
        self.sequence += 1
        self.sent[self.sequence] = now
        while len(self.sent) > HEARTBEATS_KEPT:
            self.sent.popitem(last=False)
        return self.sequence

    def learn(self, view: cells.Cell, myself: ids.MemberId) -> None:
        """Take in a new version of the cell object.

        Vouches count for one membership version only.  A lease that was
        already earned runs on; a suspension ends it.
        """
        if view.membership != self.membership:
            self.membership = view.membership
            self.vouched.clear()
        found = view.members.get(myself)
        if found is None or found.state is cells.MemberState.SUSPENDED:
            self.end()

    def end(self) -> None:
        """Give the lease up: heartbeats sent before now no longer count."""
        self.valid_until = float("-inf")
        self.sent.clear()
        self.vouched.clear()

    def record_ack(
        self,
        voucher: ids.MemberId,
        sequence: int,
        membership: ids.MembershipVersion,
        view: cells.Cell,
    ) -> None:
        """Count a vouch for one of the heartbeats sent."""
        sent_at = self.sent.get(sequence)
        if sent_at is None or membership != self.membership:
            return
        if voucher not in view.members:
            return
        earlier = self.vouched.get(voucher, float("-inf"))
        self.vouched[voucher] = max(earlier, sent_at)
        self._extend(view)

    def renew_alone(self, view: cells.Cell, now: float) -> None:
        """Renew the lease of a cell's only member."""
        if view.majority == 1:
            self.valid_until = max(self.valid_until, now + self.times.lease_s)

    def _extend(self, view: cells.Cell) -> None:
        # The member counts itself, so one fewer of the others is needed.
        others = view.majority - 1
        times = sorted(self.vouched.values(), reverse=True)
        if len(times) < others or others == 0:
            return
        until = times[others - 1] + self.times.lease_s
        self.valid_until = max(self.valid_until, until)

    def holds(self, now: float) -> bool:
        """Tell whether a new request may be taken."""
        return now < self.valid_until - self.times.stop_margin_s


class HeartbeatAcks:
    """Whom this process vouches for, and when it last did.

    A process forgets over a restart, so it takes its start as its last
    vouch to everyone; likewise the moment at which it learned of a new
    membership, since it can't tell whose majority it was part of before.
    """

    def __init__(self, started: float) -> None:
        self.unknown_before = started
        self.membership = ids.MembershipVersion(0)
        self.last: dict[ids.MemberId, float] = {}

    def learn(self, view: cells.Cell, now: float) -> None:
        """Take in a new version of the cell object."""
        if view.membership != self.membership:
            self.membership = view.membership
            self.unknown_before = now

    def may_ack(
        self,
        view: cells.Cell,
        member: ids.MemberId,
        incarnation: ids.Incarnation,
    ) -> bool:
        """Tell whether a member's heartbeat may be echoed."""
        found = view.members.get(member)
        if found is None or found.incarnation != incarnation:
            return False
        return found.state is not cells.MemberState.SUSPENDED

    def record_ack_sent(self, member: ids.MemberId, now: float) -> None:
        """Note a vouch, before it is sent."""
        self.last[member] = now

    def last_ack_age_s(self, member: ids.MemberId, now: float) -> float:
        """Return how long ago the last vouch may have been sent."""
        return now - max(self.last.get(member, 0.0), self.unknown_before)


def lease_expiry(
    times: LeaseTimes, last_ack_age_s: float, answered_at: float
) -> float:
    """Return the moment from which a vouch gives no lease any more.

    ``last_ack_age_s`` is the age of the last vouch on the voucher's clock and
    ``answered_at`` the arrival of its answer on the clock of who waits.
    """
    return answered_at + max(0.0, times.wait_s - last_ack_age_s)
