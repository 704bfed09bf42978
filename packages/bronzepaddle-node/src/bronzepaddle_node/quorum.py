"""Asks the members of the cell what they know of one another.

``wait_for_lease_expiry`` returns when no lease of suspended members can hold
any more: a majority has answered from a version of the cell object that shows
the suspension, and the longest lease from each one's last vouch is over.
"""

import asyncio
import collections.abc
import typing

from bronzepaddle import cells, ids, quorum_leases
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import state

ASK_AGAIN_S: typing.Final = 0.1

_Replies: typing.TypeAlias = dict[ids.MemberId, "Answered"]


class Answered(typing.NamedTuple):
    """A member's answer with the moment of its arrival."""

    reply: messages.SilenceReply
    at: float


class QuorumQueries:
    """Questions about silence, and the waits that follow from them."""

    def __init__(
        self, node_state: state.NodeState, peers: rpc.PeerCalls
    ) -> None:
        self.state = node_state
        self.peers = peers

    def answer(self, member: ids.MemberId) -> messages.SilenceReply:
        """Return what this process itself knows."""
        view = self.state.view
        now = self.state.time.now()
        return messages.SilenceReply(
            member=self.state.name,
            cell_version=self.state.version,
            membership=(
                ids.MembershipVersion(0)
                if view is None or not self.state.joined
                else view.cell.membership
            ),
            vouched_ago_s=self.state.vouching.last_ack_age_s(member, now),
            heard_ago_s=self.state.heard_ago(member),
            leased_ago_s=self.state.leased_ago(member),
        )

    async def ask(
        self, view: cells.Cell, about: ids.MemberId
    ) -> collections.abc.Sequence[Answered]:
        """Return the answers of this process and all that can be reached."""
        request = messages.SilenceRequest(about)
        calls = [
            self._ask_one(view.members[name].address, request)
            for name in self._worth_asking(view, about)
        ]
        found = [one for one in await asyncio.gather(*calls) if one]
        if about != self.state.name and self.state.name in view.members:
            mine = Answered(self.answer(about), self.state.time.now())
            found.append(mine)
        return found

    def _worth_asking(
        self, view: cells.Cell, about: ids.MemberId
    ) -> list[ids.MemberId]:
        """Return the members to ask.

        Members that are silent themselves would hold the answer up until
        the call's timeout, so they are asked only where the others are too
        few.
        """
        able = [
            name
            for name, member in view.members.items()
            if name not in (self.state.name, about)
            and member.state is not cells.MemberState.STOPPED
        ]
        heard = [
            name
            for name in able
            if self.state.heard_ago(name)
            < self.state.times.suspicion_timeout_s
        ]
        return heard if len(heard) + 1 >= view.majority else able

    async def _ask_one(
        self, at: cells.Address, request: messages.SilenceRequest
    ) -> Answered | None:
        try:
            reply = await self.peers.silence(at, request)
        except rpc.PeerError:
            return None
        return Answered(reply, self.state.time.now())

    async def majority_knows(self, view: cells.Cell) -> bool:
        """Tell whether a majority knows the membership of ``view``.

        A member that stopped vouches for nobody, under any membership, so
        it counts as one that knows.
        """
        answered = await self.ask(view, ids.MemberId(""))
        knowing = {
            one.reply.member
            for one in answered
            if one.reply.membership >= view.membership
        }
        stopped = {
            name
            for name, member in view.members.items()
            if member.state is cells.MemberState.STOPPED
        }
        members = (knowing | stopped) & set(view.members)
        return len(members) >= view.majority

    async def wait_for_lease_expiry(
        self,
        lost: collections.abc.Sequence[ids.MemberId],
        suspension: ids.SuspensionId,
    ) -> bool:
        """Wait until no lease of ``lost`` holds; False if it was lifted."""
        ends = await asyncio.gather(
            *(self._free_at(member, suspension) for member in lost)
        )
        known = [end for end in ends if end is not None]
        if len(known) < len(ends):
            return False
        await self.state.time.sleep(max(known) - self.state.time.now())
        return True

    async def _free_at(
        self, member: ids.MemberId, suspension: ids.SuspensionId
    ) -> float | None:
        """Return the moment at which a member's last lease is over."""
        while True:
            view = self.state.view
            if view is None or not _stands(view.cell, member, suspension):
                return None
            answered = await self.ask(view.cell, member)
            free_at = self._from_majority(view, member, answered)
            if free_at is not None:
                return free_at
            await self.state.time.sleep(ASK_AGAIN_S)

    def _from_majority(
        self,
        view: cells.VersionedCell,
        member: ids.MemberId,
        answered: collections.abc.Sequence[Answered],
    ) -> float | None:
        """Return the wait's end by the majority that gives the earliest.

        An answer counts only if it stands on the suspension, so that its
        member can't vouch any more, and on the membership counted here.
        """
        ends = sorted(
            quorum_leases.lease_expiry(
                self.state.times, one.reply.vouched_ago_s, one.at
            )
            for one in answered
            if one.reply.cell_version >= view.version
            and one.reply.membership == view.cell.membership
            and one.reply.member in view.cell.members
            and one.reply.member != member
        )
        needed = self._needed(view.cell, member)
        if len(ends) < needed:
            return None
        return ends[needed - 1] if needed else self.state.time.now()

    def _needed(self, view: cells.Cell, member: ids.MemberId) -> int:
        """Return how many answers are needed to be sure of a silence.

        A full majority, none of them the silent member's, so that one of
        them stands in every majority that ever vouched for it.  For its
        own earlier runs, whose address it has bound, a process asks whom
        there is to ask.
        """
        if member != self.state.name:
            return view.majority
        return min(view.majority, len(view.members) - 1)


def _stands(
    view: cells.Cell, member: ids.MemberId, suspension: ids.SuspensionId
) -> bool:
    found = view.members.get(member)
    return found is not None and found.suspension == suspension
