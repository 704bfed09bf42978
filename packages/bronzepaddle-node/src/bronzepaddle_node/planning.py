"""Decides when the keys of a service are dealt anew, and by whom.

One member of the service, the first live one by name, plans for whoever was
lost, left or came, and moves busy keys.  ``keeping`` asks again and again
and writes the result; ``keyplan`` in the core is the plan itself.
"""

import collections.abc
import typing

from bronzepaddle import ids, keyplan, keyranges, logs
from bronzepaddle_peers import statuses

from bronzepaddle_node import roster

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
        known: roster.Roster,
        started: float,
    ) -> None:
        self.name = name
        self.service = service
        self.first_start = first_start
        self.roster = known
        self.started = started
        self.planned_at = float("-inf")
        self.ranges_moved = 0

    def next(
        self,
        ownership: keyranges.Ownership | None,
        now: float,
        read_at: collections.abc.Mapping[ids.MemberId, float],
    ) -> keyranges.Ownership | None:
        """Return what should be written next, None to leave it.

        ``read_at`` says since when each other member is known to have read
        the object at the latest.
        """
        early = now - self.started < FIRST_PLAN_S
        if early and (ownership is not None or self.first_start):
            return None
        if not self._is_first(now):
            return None
        even_out = now - self.planned_at >= EVEN_OUT_EVERY_S and (
            self._all_read(now, read_at)
        )
        return keyplan.plan(
            ownership, self.service, list(self._standings(now, even_out))
        )

    def written(self, after: keyranges.Ownership, now: float) -> None:
        """Note that a plan was written."""
        self.planned_at = now
        self.ranges_moved += sum(not one.released for one in after.ranges)
        logs.planned(self.service, after)

    def _is_first(self, now: float) -> bool:
        """Tell whether this is the first live member by name."""
        alive = [
            peer.status.sender
            for peer in self.roster.of_service(self.service)
            if self.roster.alive(peer, now) and not peer.status.leaving
        ]
        return not alive or min(alive) == self.name

    def _all_read(
        self,
        now: float,
        read_at: collections.abc.Mapping[ids.MemberId, float],
    ) -> bool:
        """Tell whether every live member reads the object by itself.

        One that can't reach the store goes on by its peers' reads of the
        version that it knows; a new version, just to even out, would end
        its lease.
        """
        return all(
            now - read_at.get(peer.status.sender, float("-inf")) < READ_S
            for peer in self.roster.of_service(self.service)
            if self.roster.alive(peer, now) and peer.status.sender != self.name
        )

    def _standings(
        self, now: float, even_out: bool
    ) -> collections.abc.Iterator[keyplan.Standing]:
        for peer in self.roster.of_service(self.service):
            status = peer.status
            alive = self.roster.alive(peer, now)
            ready = status.state is statuses.ServerState.READY
            silent_s = (
                0.0 if status.sender == self.name else now - peer.heard_at
            )
            # A process that has not heard of its server yet may have been
            # started anew beside one that holds its keys still.
            server_gone = not ready and bool(status.run)
            each = status.service_s / max(1, status.slots)
            yield keyplan.Standing(
                keyranges.Holder(status.sender, status.run),
                usable=alive and ready and not status.leaving,
                lost=silent_s > LOST_S or server_gone or status.leaving,
                demand=status.asked_rate * each,
                each=each,
                hot=status.hot if even_out else (),
            )
