"""Decides when the keys of a service are dealt anew, and by whom.

One member of the service, the first live one by name, plans for whoever was
lost, left or came, and moves busy keys.  ``reconciler`` asks again and again
and writes the result; ``key_assignment`` in the core is the plan itself.
"""

import collections.abc
import typing

from bronzepaddle import ids, key_assignment, key_ranges, logs
from bronzepaddle_peers import statuses

from bronzepaddle_node import peer_table

FIRST_PLAN_S: typing.Final = 3.0
"""Time after the start in which members find each other before the first
plan; a later correction would move keys."""

LOST_S: typing.Final = 2.0
"""Silence of a member after which its keys go to others."""

EVEN_OUT_EVERY_S: typing.Final = 0.9
"""Time between two plans that move busy keys: the counts of the servers
must have followed the last one."""


READ_S: typing.Final = 2.5
"""Time since a member's last read, as far as known, within which it is taken
to reach the store: a pause between reads, and that of a status or two."""


class Planner:
    """The planning of one member; for the event loop only."""

    def __init__(
        self,
        name: ids.MemberId,
        service: ids.ServiceName,
        first_start: bool,
        known: peer_table.PeerTable,
        started: float,
    ) -> None:
        self.name = name
        self.service = service
        self.first_start = first_start
        self.peer_table = known
        self.started = started
        self.planned_at = float("-inf")
        # Whether this was the member that plans when it last looked.
        self.plans = False
        self.ranges_moved = 0

    def next(
        self,
        ownership: key_ranges.Ownership | None,
        now: float,
        read_at: collections.abc.Mapping[ids.MemberId, float],
        lease_since: float,
    ) -> key_ranges.Ownership | None:
        """Return what should be written next, None to leave it.

        ``read_at`` says when each other member has read the object, as far
        as known, ``lease_since`` since when this one's lease holds: after an
        outage for all, what the others read is heard of a little later.
        """
        early = now - self.started < FIRST_PLAN_S
        if early and (ownership is not None or self.first_start):
            return None
        members = self._members(now)
        readers = members
        if ownership is not None and now - lease_since >= READ_S:
            # Before there is an object, nobody is known to have read it.
            readers = {
                member
                for member in members
                if member == self.name
                or now - read_at.get(member, float("-inf")) < READ_S
            }
        self.plans = self._is_first(now, readers)
        if not self.plans:
            return None
        rested = now - self.planned_at >= EVEN_OUT_EVERY_S
        even_out = rested and readers == members
        return key_assignment.plan(
            ownership,
            self.service,
            list(self._standings(now, readers, even_out)),
        )

    def _members(self, now: float) -> set[ids.MemberId]:
        """Return the live members of the service."""
        return {
            peer.status.sender
            for peer in self.peer_table.of_service(self.service)
            if self.peer_table.alive(peer, now)
        }

    def written(self, after: key_ranges.Ownership, now: float) -> None:
        """Note that a plan was written."""
        self.planned_at = now
        self.ranges_moved += sum(not one.released for one in after.ranges)
        logs.planned(self.service, after)

    def _is_first(
        self, now: float, readers: collections.abc.Container[ids.MemberId]
    ) -> bool:
        """Tell whether this is the first by name that can plan.

        Two may think so for a while; only one of their writes is done.
        """
        able = [
            peer.status.sender
            for peer in self.peer_table.of_service(self.service)
            if peer.status.sender in readers and not peer.status.leaving
        ]
        return not able or min(able) == self.name

    def _standings(
        self,
        now: float,
        readers: collections.abc.Container[ids.MemberId],
        even_out: bool,
    ) -> collections.abc.Iterator[key_assignment.MemberLoad]:
        """Yield how members stand.

        One that can't read the object keeps what it has, by its peers' reads
        of the version that it knows; it gets nothing, since it would not
        learn of it, and no new version is written only to even out.
        """
        for peer in self.peer_table.of_service(self.service):
            status = peer.status
            reads = status.sender in readers
            ready = status.state is statuses.ServerState.READY
            silent_s = (
                0.0 if status.sender == self.name else now - peer.heard_at
            )
            # A process that has not heard of its server yet may have been
            # started anew beside one that holds its keys still.
            server_gone = not ready and bool(status.run)
            each = status.service_s / max(1, status.slots)
            yield key_assignment.MemberLoad(
                key_ranges.Holder(status.sender, status.run),
                usable=reads and ready and not status.leaving,
                lost=silent_s > LOST_S or server_gone or status.leaving,
                utilization=status.request_rate * each,
                utilization_per_rps=each,
                hot=status.hot_keys if even_out else (),
            )
