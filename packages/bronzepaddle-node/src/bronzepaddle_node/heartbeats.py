"""Sends heartbeats to the cell's other members and takes theirs in.

One message does three jobs: it is the sender's heartbeat, it echoes the
receiver's last one (the vouch that leases rest on), and it tells which
versions of the cell object and the bundle the sender knows, so that whoever
knows older ones pulls.
"""

import asyncio
import collections.abc

from bronzepaddle import cells, ids
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import state, tasks


def _nothing() -> None:
    """Stand where nobody reads the store."""


class Heartbeats:
    """The heartbeats of one process."""

    def __init__(
        self,
        node_state: state.NodeState,
        peers: rpc.PeerCalls,
        running: tasks.Tasks,
    ) -> None:
        self.state = node_state
        self.peers = peers
        self.running = running
        self.echoed: dict[ids.MemberId, int] = {}
        self.pulling: set[ids.MemberId] = set()
        self.refresh: collections.abc.Callable[[], None] = _nothing

    async def run(self) -> None:
        """Send a heartbeat to every peer, once an interval."""
        while True:
            if self.state.joined:
                self.send_round()
            await self.state.time.sleep(self.state.times.heartbeat_s)

    def send_round(self) -> None:
        """Send one round, now."""
        view = self.state.view
        if view is None:
            return
        now = self.state.time.now()
        sequence = self.state.lease.next_heartbeat(now)
        self.state.lease.renew_alone(view.cell, now)
        for name, member in self.state.others():
            heartbeat = self._heartbeat(view, sequence, self._echo(view, name))
            self.peers.heartbeat(member.address, heartbeat)

    def _heartbeat(
        self, view: cells.VersionedCell, sequence: int, echo: int
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            cell=self.state.identity.cell,
            sender=self.state.name,
            incarnation=self.state.identity.incarnation,
            sequence=sequence,
            cell_version=view.version,
            membership=view.cell.membership,
            bundle_version=self.state.bundle_version,
            echo=echo,
            leased=self.state.has_lease(),
        )

    def _echo(self, view: cells.VersionedCell, name: ids.MemberId) -> int:
        """Return the heartbeat to vouch for; 0 for none.

        Each heartbeat is echoed once: echoing an old one again would make
        a lost peer's silence look shorter than it is.
        """
        heard = self.state.heard.get(name)
        if heard is None or self.echoed.get(name) == heard.sequence:
            return 0
        if not self.state.vouching.may_ack(view.cell, name, heard.incarnation):
            return 0
        self.echoed[name] = heard.sequence
        # The lease counts from the sending of the echoed heartbeat, which
        # is before its arrival: its arrival bounds what the vouch is worth.
        self.state.vouching.record_ack_sent(name, heard.at)
        return heard.sequence

    def receive(self, heartbeat: messages.Heartbeat) -> None:
        """Take in one heartbeat of a peer."""
        if heartbeat.cell != self.state.identity.cell:
            return
        if heartbeat.sender == self.state.name:
            return
        view = self.state.view
        if view is not None and heartbeat.cell_version <= view.version:
            self._count(view, heartbeat)
        else:
            self._pull_soon(heartbeat.sender)
            if view is not None:
                self._count(view, heartbeat)
        if heartbeat.bundle_version > self.state.bundle_version:
            self._pull_soon(heartbeat.sender)

    def _count(
        self, view: cells.VersionedCell, heartbeat: messages.Heartbeat
    ) -> None:
        sender = heartbeat.sender
        if not self.is_current_run(view.cell, heartbeat):
            return
        self._hear(heartbeat)
        if heartbeat.echo:
            self.state.lease.record_ack(
                sender, heartbeat.echo, heartbeat.membership, view.cell
            )

    def _hear(self, heartbeat: messages.Heartbeat) -> None:
        """Note when a peer was heard, and when it last told of a lease."""
        earlier = self.state.heard.get(heartbeat.sender)
        if earlier and earlier.incarnation != heartbeat.incarnation:
            earlier = None
        if earlier and earlier.sequence >= heartbeat.sequence:
            return
        now = self.state.time.now()
        # A run that is new has had no time to earn a lease.
        self.state.heard[heartbeat.sender] = state.Heard(
            heartbeat.sequence,
            heartbeat.incarnation,
            now,
            now if heartbeat.leased or not earlier else earlier.leased_at,
        )

    def is_current_run(
        self, view: cells.Cell, heartbeat: messages.Heartbeat
    ) -> bool:
        """Tell whether a heartbeat is of the run of its sender on record.

        A vouch of another run counts for nothing: an earlier one may know
        of no suspension, a later one belongs to a cell not yet known here.
        """
        return view.is_current(heartbeat.sender, heartbeat.incarnation)

    def _pull_soon(self, sender: ids.MemberId) -> None:
        view = self.state.view
        if view is None or sender in self.pulling:
            return
        member = view.cell.members.get(sender)
        if member is None:
            # A member that this process has not heard of yet.
            self.refresh()
            return
        self.pulling.add(sender)
        self.running.start(self._pull(sender, member.address), "pull")

    async def _pull(self, sender: ids.MemberId, at: cells.Address) -> None:
        """Fetch what a peer knows that is newer."""
        try:
            await self.pull_from(at)
        except rpc.PeerError:
            # The next heartbeat that tells of something newer tries again.
            return
        finally:
            self.pulling.discard(sender)

    async def pull_from(self, at: cells.Address) -> None:
        """Fetch newer versions from a peer; raises ``PeerError``."""
        cell_reply, bundle_reply = await asyncio.gather(
            self.peers.pull_cell(
                at, messages.VersionRequest(self.state.version)
            ),
            self.peers.pull_bundle(
                at, messages.VersionRequest(self.state.bundle_version)
            ),
        )
        if cell_reply.body:
            self.state.adopt(
                cells.VersionedCell(
                    cell_reply.version, cells.decode(cell_reply.body)
                )
            )
        if bundle_reply.document:
            self.state.adopt_document(bundle_reply.document)
