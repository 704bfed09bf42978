"""Queries the members of the cell for what they know about one another.

The leases are those of ``quorum_leases``: a member has one while a majority
acknowledges its heartbeats.  ``wait_for_lease_expiry`` returns once no lease
of suspended members can be valid any more: a majority has answered from a
version of the cell object that shows the suspension, and any lease that can
follow from the last acknowledgements that this majority sent has expired.
"""

import asyncio
import collections.abc
import typing

from bronzepaddle import cells, ids, quorum_leases
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import state

RETRY_INTERVAL_S: typing.Final = 0.1

_Replies: typing.TypeAlias = dict[ids.MemberId, "ReceivedReply"]


class ReceivedReply(typing.NamedTuple):
    """A member's reply with the time of its arrival."""

    reply: messages.SilenceReply
    received_at: float


class QuorumQueries:
    """Queries to the members, and the decisions that need a majority."""

    def __init__(
        self, node_state: state.NodeState, peer_calls: rpc.PeerCalls
    ) -> None:
        self.state = node_state
        self.peer_calls = peer_calls

    def own_reply(self, member: ids.MemberId) -> messages.SilenceReply:
        """Return the reply of this process to a query about a member."""
        known_cell = self.state.known_cell
        now = self.state.clock.now()
        return messages.SilenceReply(
            member=self.state.name,
            cell_version=self.state.cell_version,
            membership=(
                ids.MembershipVersion(0)
                if known_cell is None or not self.state.joined
                else known_cell.cell.membership
            ),
            vouched_ago_s=self.state.heartbeat_acks.last_ack_age_s(
                member, now
            ),
            heard_ago_s=self.state.heartbeat_age_s(member),
            leased_ago_s=self.state.lease_report_age_s(member),
        )

    async def query(
        self, cell: cells.Cell, about: ids.MemberId
    ) -> collections.abc.Sequence[ReceivedReply]:
        """Return the replies of this process and of the reachable members.

        The member that the query is about is left out.
        """
        request = messages.SilenceRequest(about)
        calls = [
            self._query_one(cell.members[name].address, request)
            for name in self._members_to_query(cell, about)
        ]
        replies = [
            received for received in await asyncio.gather(*calls) if received
        ]
        if about != self.state.name and self.state.name in cell.members:
            own_reply = ReceivedReply(
                self.own_reply(about), self.state.clock.now()
            )
            replies.append(own_reply)
        return replies

    def _members_to_query(
        self, cell: cells.Cell, about: ids.MemberId
    ) -> list[ids.MemberId]:
        """Return the members to query.

        Members that are silent themselves would delay the result until the
        call times out, so they are queried only if the others are too few for
        a majority.  This process counts only if ``query`` adds its own reply,
        which it doesn't while it joins.
        """
        not_stopped = [
            name
            for name, member in cell.members.items()
            if name not in (self.state.name, about)
            and member.state is not cells.MemberState.STOPPED
        ]
        responsive = [
            name
            for name in not_stopped
            if self.state.heartbeat_age_s(name)
            < self.state.times.suspicion_timeout_s
        ]
        replies_itself = (
            about != self.state.name and self.state.name in cell.members
        )
        expected_replies = len(responsive) + replies_itself
        return responsive if expected_replies >= cell.majority else not_stopped

    async def _query_one(
        self, address: cells.Address, request: messages.SilenceRequest
    ) -> ReceivedReply | None:
        try:
            reply = await self.peer_calls.query_silence(address, request)
        except rpc.PeerError:
            return None
        return ReceivedReply(reply, self.state.clock.now())

    async def majority_knows(self, cell: cells.Cell) -> bool:
        """Return whether a majority knows the membership of ``cell``.

        A member that has stopped acknowledges no heartbeats of any membership
        version, so it is counted too.
        """
        # The query is not about any member: only the membership versions in
        # the replies are used.  The empty name excludes no member from it.
        replies = await self.query(cell, ids.MemberId(""))
        knowing_members = {
            received.reply.member
            for received in replies
            if received.reply.membership >= cell.membership
        }
        stopped = {
            name
            for name, member in cell.members.items()
            if member.state is cells.MemberState.STOPPED
        }
        counted = (knowing_members | stopped) & set(cell.members)
        return len(counted) >= cell.majority

    async def wait_for_lease_expiry(
        self,
        lost: collections.abc.Sequence[ids.MemberId],
        suspension: ids.SuspensionId,
    ) -> bool:
        """Wait until no lease of ``lost`` can be valid; return True.

        Returns False as soon as the suspension is no longer recorded for one
        of them.
        """
        results = await asyncio.gather(
            *(self._last_lease_expiry(member, suspension) for member in lost)
        )
        expiries = [result for result in results if result is not None]
        if len(expiries) < len(results):
            return False
        await self.state.clock.sleep(max(expiries) - self.state.clock.now())
        return True

    async def _last_lease_expiry(
        self, member: ids.MemberId, suspension: ids.SuspensionId
    ) -> float | None:
        """Return the time at which a member's last lease has expired.

        Repeats the query until enough members have replied.  Returns None if
        the suspension is not recorded any more.
        """
        while True:
            known_cell = self.state.known_cell
            if known_cell is None or not _is_suspended_by(
                known_cell.cell, member, suspension
            ):
                return None
            replies = await self.query(known_cell.cell, member)
            expires_at = self._majority_expiry(known_cell, member, replies)
            if expires_at is not None:
                return expires_at
            await self.state.clock.sleep(RETRY_INTERVAL_S)

    def _majority_expiry(
        self,
        known_cell: cells.VersionedCell,
        member: ids.MemberId,
        replies: collections.abc.Sequence[ReceivedReply],
    ) -> float | None:
        """Return the earliest time at which a majority rules out a lease.

        Returns None if too few replies count.  A reply counts only if its
        sender knows the suspension, so that it can't acknowledge heartbeats
        any more, and if it is from the membership whose majority is counted
        here.
        """
        expiry_times = sorted(
            quorum_leases.lease_expiry(
                self.state.times,
                received.reply.vouched_ago_s,
                received.received_at,
            )
            for received in replies
            if received.reply.cell_version >= known_cell.version
            and received.reply.membership == known_cell.cell.membership
            and received.reply.member in known_cell.cell.members
            and received.reply.member != member
        )
        needed = self._replies_needed(known_cell.cell, member)
        if len(expiry_times) < needed:
            return None
        return expiry_times[needed - 1] if needed else self.state.clock.now()

    def _replies_needed(self, cell: cells.Cell, member: ids.MemberId) -> int:
        """Return how many replies are needed to rule out a lease.

        Usually a majority that does not include the member itself, so that
        every majority that ever acknowledged the member's heartbeats includes
        at least one of those that replied.  To rule out leases of its own
        earlier runs, a process needs no more replies than there are other
        members: those runs have ended, since it has bound their address.
        """
        if member != self.state.name:
            return cell.majority
        return min(cell.majority, len(cell.members) - 1)


def _is_suspended_by(
    cell: cells.Cell, member: ids.MemberId, suspension: ids.SuspensionId
) -> bool:
    record = cell.members.get(member)
    return record is not None and record.suspension == suspension
