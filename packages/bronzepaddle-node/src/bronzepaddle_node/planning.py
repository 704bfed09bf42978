"""Decides when the keys of a service are reassigned, and by which member.

The members of a service are the processes on the VMs of its backend servers.
Each of them regularly sends the others its status, with the state and load of
its server.  The ownership object of the service, which is kept in the
platform's object store, assigns each range of keys to a member and to the
current run of its server (from one start to the next).  Only under a lease may
a member grant its server the keys that the object assigns to it, or write a
new assignment.  A read of the object renews the lease, and so does a read that
a peer made and reports in its status, if it found the version that the member
knows.

One member of the service, the first live one by name, is the planner.  It
reassigns keys when members are lost, leave or join, and moves keys to balance
the load.  ``reconciler`` calls the planner periodically and writes the result;
``key_assignment`` in the core package computes the assignment.
"""

import collections.abc
import typing

from bronzepaddle import ids, key_assignment, key_ranges, logs
from bronzepaddle_peers import statuses

from bronzepaddle_node import peer_table

FIRST_PLAN_DELAY_S: typing.Final = 3.0
"""Time after the start in which members discover each other before the first
plan; correcting that plan later would move keys."""

MEMBER_LOST_S: typing.Final = 2.0
"""Time without a message from a member after which its keys are reassigned."""

REBALANCE_INTERVAL_S: typing.Final = 0.9
"""Minimum time from any plan to one that balances the load: the servers' loads
must reflect the earlier plan first."""

RECENT_READ_S: typing.Final = 2.5
"""Age of a member's last known read of the ownership object up to which it is
assumed to reach the store: the interval between reads plus that of one or two
statuses."""


class Planner:
    """Computes the next assignment in one member; for the event loop only.

    ``first_start`` is set when the whole system starts for the first time.  If
    it is not set, a member that finds no ownership object plans at once; in
    all other cases it first waits for ``FIRST_PLAN_DELAY_S``.
    """

    def __init__(
        self,
        name: ids.MemberId,
        service: ids.ServiceName,
        first_start: bool,
        peers: peer_table.PeerTable,
        started_at: float,
    ) -> None:
        self.name = name
        self.service = service
        self.first_start = first_start
        self.peer_table = peers
        self.started_at = started_at
        self.planned_at = float("-inf")
        # Whether this member was the planner at the last call of
        # ``next_ownership``.
        self.is_planner = False
        self.ranges_moved = 0

    def next_ownership(
        self,
        ownership: key_ranges.Ownership | None,
        now: float,
        read_at: collections.abc.Mapping[ids.MemberId, float],
        lease_since: float,
    ) -> key_ranges.Ownership | None:
        """Return the ownership to write next, or None for no change.

        ``read_at`` maps each other member to the time of its last known
        read of the object.  ``lease_since`` is when the lease of this member
        began.  For ``RECENT_READ_S`` after that, missing reads of others are
        ignored: when an outage for all members ends, the statuses that report
        their reads arrive a little later than the lease begins.
        """
        just_started = now - self.started_at < FIRST_PLAN_DELAY_S
        if just_started and (ownership is not None or self.first_start):
            return None
        members = self._live_members(now)
        readers = members
        if ownership is not None and now - lease_since >= RECENT_READ_S:
            # An object that does not exist yet has not been read by anyone.
            readers = {
                member
                for member in members
                if member == self.name
                or now - read_at.get(member, float("-inf")) < RECENT_READ_S
                or self._reaches_store(member)
            }
        self.is_planner = self._is_first_by_name(now, readers)
        if not self.is_planner:
            return None
        rebalance_due = now - self.planned_at >= REBALANCE_INTERVAL_S
        rebalance = rebalance_due and readers == members
        return key_assignment.plan(
            ownership,
            self.service,
            list(self._member_loads(now, readers, rebalance)),
        )

    def _reaches_store(self, member: ids.MemberId) -> bool:
        """Return whether a member that reads seldom can read when it must.

        It says so itself, since its last read may have been long ago.
        """
        status = self.peer_table.peers[member].status
        return status.store_reached and status.store_version.revision > 0

    def rank(self, now: float) -> int:
        """Return the number of live members before this one by name."""
        return sum(
            peer.status.sender < self.name
            and not peer.status.leaving
            and self.peer_table.is_alive(peer, now)
            for peer in self.peer_table.of_service(self.service)
        )

    def _live_members(self, now: float) -> set[ids.MemberId]:
        """Return the live members of the service."""
        return {
            peer.status.sender
            for peer in self.peer_table.of_service(self.service)
            if self.peer_table.is_alive(peer, now)
        }

    def record_written(self, after: key_ranges.Ownership, now: float) -> None:
        """Record that a plan was written to the store."""
        self.planned_at = now
        # The unreleased ranges are those that moved recently: a range is
        # marked as released only once no earlier holder can serve its keys.
        self.ranges_moved += sum(
            not key_range.released for key_range in after.ranges
        )
        logs.planned(self.service, after)

    def _is_first_by_name(
        self, now: float, readers: collections.abc.Container[ids.MemberId]
    ) -> bool:
        """Return whether this is the first member by name that can plan.

        If all members that can read the object are leaving, each of them may
        plan.  Two members may believe that they are the first for a while; the
        conditional write lets only one of their plans take effect.
        """
        candidates = [
            peer.status.sender
            for peer in self.peer_table.of_service(self.service)
            if peer.status.sender in readers and not peer.status.leaving
        ]
        return not candidates or min(candidates) == self.name

    def _member_loads(
        self,
        now: float,
        readers: collections.abc.Container[ids.MemberId],
        rebalance: bool,
    ) -> collections.abc.Iterator[key_assignment.MemberLoad]:
        """Yield the state and load of each member.

        A member that can't read the object keeps its keys: its lease is
        renewed by the reads that its peers make, as long as these find the
        version that it knows.  It gets no further keys, since it would not
        learn of them, and meanwhile no new version is written merely to
        balance the load.
        """
        for peer in self.peer_table.of_service(self.service):
            status = peer.status
            can_read = status.sender in readers
            ready = status.state is statuses.ServerState.READY
            silent_s = (
                0.0 if status.sender == self.name else now - peer.heard_at
            )
            # ``run`` is empty until a process has received an announcement
            # of its server.  While it is empty, perhaps only the process has
            # restarted, and the server still runs and holds its keys.
            server_gone = not ready and bool(status.run)
            # The share of the server's slots that one request per second
            # occupies.  Each slot processes one request at a time;
            # ``service_s`` is the mean time that it takes.
            utilization_per_rps = status.service_s / max(1, status.slots)
            yield key_assignment.MemberLoad(
                key_ranges.Holder(status.sender, status.run),
                usable=can_read and ready and not status.leaving,
                lost=silent_s > MEMBER_LOST_S or server_gone or status.leaving,
                utilization=status.request_rate * utilization_per_rps,
                utilization_per_rps=utilization_per_rps,
                hot=status.hot_keys if rebalance else (),
            )
