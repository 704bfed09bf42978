"""Sends heartbeats to the cell's other members and receives theirs.

A message has three purposes: it is the sender's heartbeat; it echoes the
receiver's last heartbeat, which is the acknowledgement that extends a lease
(``quorum_leases``); and it contains the versions of the cell object and the
configuration bundle that the sender knows, so that members with older ones
pull them.
"""

import asyncio
import collections.abc

from bronzepaddle import cells, ids
from bronzepaddle_peers import messages, rpc

from bronzepaddle_node import state, tasks


def _no_refresh() -> None:
    """Do nothing; the default of ``Heartbeats.refresh``."""


class Heartbeats:
    """The heartbeats of one process."""

    def __init__(
        self,
        node_state: state.NodeState,
        peer_calls: rpc.PeerCalls,
        background_tasks: tasks.Tasks,
    ) -> None:
        self.state = node_state
        self.peer_calls = peer_calls
        self.background_tasks = background_tasks
        # Per peer, the number of its heartbeat that was last echoed.
        self.echoed: dict[ids.MemberId, int] = {}
        # The peers from which newer versions are being pulled.
        self.pulling: set[ids.MemberId] = set()
        # Requests a read of the cell object from the store.
        self.refresh: collections.abc.Callable[[], None] = _no_refresh

    async def run(self) -> None:
        """Send a heartbeat to every peer in each interval."""
        while True:
            if self.state.joined:
                self.send_heartbeats()
            await self.state.clock.sleep(self.state.times.heartbeat_s)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer now."""
        known_cell = self.state.known_cell
        if known_cell is None:
            return
        now = self.state.clock.now()
        sequence = self.state.lease.next_heartbeat(now)
        self.state.lease.renew_alone(known_cell.cell, now)
        for name, member in self.state.others():
            heartbeat = self._heartbeat(
                known_cell, sequence, self._sequence_to_echo(known_cell, name)
            )
            self.peer_calls.heartbeat(member.address, heartbeat)

    def _heartbeat(
        self, known_cell: cells.VersionedCell, sequence: int, echo: int
    ) -> messages.Heartbeat:
        return messages.Heartbeat(
            cell=self.state.identity.cell,
            sender=self.state.name,
            incarnation=self.state.identity.incarnation,
            sequence=sequence,
            cell_version=known_cell.version,
            membership=known_cell.cell.membership,
            bundle_version=self.state.bundle_version,
            echo=echo,
            leased=self.state.has_lease(),
        )

    def _sequence_to_echo(
        self, known_cell: cells.VersionedCell, name: ids.MemberId
    ) -> int:
        """Return the number of the heartbeat to acknowledge; 0 for none.

        Records the acknowledgement, which must be done before it is sent.
        Each heartbeat is echoed only once: echoing an old one again would
        make the silence of a lost peer look shorter than it is.
        """
        last_heartbeat = self.state.last_heartbeats.get(name)
        if (
            last_heartbeat is None
            or self.echoed.get(name) == last_heartbeat.sequence
        ):
            return 0
        if not self.state.heartbeat_acks.may_ack(
            known_cell.cell, name, last_heartbeat.incarnation
        ):
            return 0
        self.echoed[name] = last_heartbeat.sequence
        # The peer's lease counts from when it sent the echoed heartbeat.
        # That was before the arrival here, so a lease time that is counted
        # from the arrival ends no earlier than the lease.
        self.state.heartbeat_acks.record_ack_sent(
            name, last_heartbeat.received_at
        )
        return last_heartbeat.sequence

    def receive(self, heartbeat: messages.Heartbeat) -> None:
        """Process a heartbeat of a peer."""
        if heartbeat.cell != self.state.identity.cell:
            return
        if heartbeat.sender == self.state.name:
            return
        known_cell = self.state.known_cell
        if (
            known_cell is not None
            and heartbeat.cell_version <= known_cell.version
        ):
            self._process(known_cell, heartbeat)
        else:
            self._start_pull(heartbeat.sender)
            if known_cell is not None:
                self._process(known_cell, heartbeat)
        if heartbeat.bundle_version > self.state.bundle_version:
            self._start_pull(heartbeat.sender)

    def _process(
        self, known_cell: cells.VersionedCell, heartbeat: messages.Heartbeat
    ) -> None:
        """Record a heartbeat, and count its echo for the own lease."""
        sender = heartbeat.sender
        if not self.is_current_run(known_cell.cell, heartbeat):
            return
        self._record_heartbeat(heartbeat)
        if heartbeat.echo:
            self.state.lease.record_ack(
                sender, heartbeat.echo, heartbeat.membership, known_cell.cell
            )

    def _record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record when a peer's heartbeat arrived and reported a lease."""
        previous = self.state.last_heartbeats.get(heartbeat.sender)
        if previous and previous.incarnation != heartbeat.incarnation:
            previous = None
        if previous and previous.sequence >= heartbeat.sequence:
            return
        now = self.state.clock.now()
        # A new run has had no time to obtain a lease, so its first
        # heartbeat counts as one with a lease.
        self.state.last_heartbeats[heartbeat.sender] = state.LastHeartbeat(
            heartbeat.sequence,
            heartbeat.incarnation,
            now,
            now if heartbeat.leased or not previous else previous.leased_at,
        )

    def is_current_run(
        self, cell: cells.Cell, heartbeat: messages.Heartbeat
    ) -> bool:
        """Return whether a heartbeat is from the recorded run of its sender.

        Heartbeats of any other run are ignored, with the acknowledgements in
        them: an earlier run may not know of a suspension, and a later one
        belongs to a version of the cell that is not known here yet.
        """
        return cell.is_current(heartbeat.sender, heartbeat.incarnation)

    def _start_pull(self, sender: ids.MemberId) -> None:
        known_cell = self.state.known_cell
        if known_cell is None or sender in self.pulling:
            return
        member = known_cell.cell.members.get(sender)
        if member is None:
            # The sender is not a member in the version known here.
            self.refresh()
            return
        self.pulling.add(sender)
        self.background_tasks.start(self._pull(sender, member.address), "pull")

    async def _pull(
        self, sender: ids.MemberId, address: cells.Address
    ) -> None:
        """Pull newer versions from a peer, and ignore a failure."""
        try:
            await self.pull_from(address)
        except rpc.PeerError:
            # The next heartbeat that names a newer version retries.
            return
        finally:
            self.pulling.discard(sender)

    async def pull_from(self, address: cells.Address) -> None:
        """Pull newer versions from a peer; raises ``PeerError``."""
        cell_reply, bundle_reply = await asyncio.gather(
            self.peer_calls.pull_cell(
                address, messages.VersionRequest(self.state.cell_version)
            ),
            self.peer_calls.pull_bundle(
                address, messages.VersionRequest(self.state.bundle_version)
            ),
        )
        if cell_reply.body:
            self.state.adopt_cell(
                cells.VersionedCell(
                    cell_reply.version, cells.decode(cell_reply.body)
                )
            )
        if bundle_reply.document:
            self.state.adopt_document(bundle_reply.document)
