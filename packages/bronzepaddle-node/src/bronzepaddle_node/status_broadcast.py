"""Broadcasts the status of this process to all others and receives theirs.

The fleet is all processes, whatever service their backend servers belong to.
The traffic grows with the square of its size, so statuses are kept small: only
the processes of the same service (its members) get the fields for the
ownership of keys, all others only those for routing.  Statuses are sent slowly
enough for the network link of the smallest VM, and in a different order each
time, so that a link that is saturated nevertheless does not always drop the
statuses to the same peer.

A process discovers the others by their registrations in the store, which it
reads once after it has written its own.  Of two processes that start at the
same time, at least one sees the other, and a process answers the first
status of another with its own.
"""

import asyncio
import collections.abc
import enum
import ipaddress
import secrets
import typing

import msgspec
from bronzepaddle import cells, clocks, documents, ids, logs
from bronzepaddle_peers import datagrams, statuses
from bronzepaddle_store import store

from bronzepaddle_node import peer_table, tasks

COALESCE_S: typing.Final = 0.02
"""Changes within this time are sent in one status."""

RARE_STATUS_INTERVALS: typing.Final = 10
"""A peer that was silent for this many intervals gets only one in as many
statuses."""

MAX_DATAGRAMS_PER_S: typing.Final = 60.0
"""Maximum datagrams per second to all processes that are not members.  In a
larger fleet each of them gets statuses less often, so that the cost per
process does not grow with the fleet."""

BURST_BYTES: typing.Final = 8 * 1024
BURST_PAUSE_S: typing.Final = 0.012
"""Sending pauses for ``BURST_PAUSE_S`` after ``BURST_BYTES``, which keeps it
below 6 Mbit/s."""

ASK_AFTER_S: typing.Final = 0.8
"""Time without a message after which a peer is asked for its status: by then
more than one status is missing."""

ASK_AFTER_INTERVALS: typing.Final = 1.5
"""The same limit as a multiple of the peer's status interval; the larger limit
applies."""

ASK_EACH_TIME_S: typing.Final = 3.0
"""Time for which a silent peer is asked in each interval; after that it is
asked only in one of ``RARE_STATUS_INTERVALS``."""

RETRY_S: typing.Final = 0.4
"""Minimum pause before the registration in the store is retried."""

CHECKS_PER_S: typing.Final = 20.0
"""Checks per second that all processes make of their registrations when the
store has come back from a copy."""

REGISTRATIONS_FOLDER: typing.Final = "members"
"""Folder of the store with one object for each process of any service."""


class Audience(enum.Enum):
    """The processes that a status is sent to."""

    MEMBERS = "members"
    ALL = "all"


class RegisteredProcess(msgspec.Struct, frozen=True):
    """The registration of a process in the store."""

    address: cells.Address
    started_ms: documents.Integer

    def __post_init__(self) -> None:
        """Check that the host is an IP address; raises ``ValueError``."""
        ipaddress.IPv4Address(self.address.host)


MakeStatus: typing.TypeAlias = collections.abc.Callable[[int], statuses.Status]
"""Returns the status of this process with a given sequence number."""


RequestStatus: typing.TypeAlias = collections.abc.Callable[
    [ids.MemberId, cells.Address], None
]
"""Asks a peer for its status over a reliable connection."""


class StatusBroadcaster:
    """Sends the statuses of this process and receives those of peers."""

    def __init__(
        self,
        registration: RegisteredProcess,
        peers: peer_table.PeerTable,
        object_store: store.Store,
        udp: datagrams.DatagramSocket[statuses.Status],
        make_status: MakeStatus,
        interval_s: float,
        clock: clocks.Clock,
        request_status: RequestStatus,
    ) -> None:
        self.request_status = request_status
        self.registration = registration
        self.peer_table = peers
        self.object_store = object_store
        self.udp = udp
        self.make_status = make_status
        self.interval_s = interval_s
        self.clock = clock
        self.sequence = 0
        # The numbers of statuses sent to all and of checks for silent peers.
        self.sent_to_all = 0
        self.silence_checks = 0
        # When the next status to all is due.
        self.next_to_all_at = clock.now()
        # Whether the service is sharded by key, so that its members need the
        # statuses of this process often.
        self.keyed = False
        # The sequence number of the last status to each audience.
        self.last_sequence = {audience: 0 for audience in Audience}
        # The addresses of the processes that the store lists.
        self.discovered: dict[ids.MemberId, cells.Address] = {}
        self.changed = asyncio.Event()
        # The audience of the status that is sent after the next change.
        self.pending_audience = Audience.MEMBERS
        self.listeners: list[
            collections.abc.Callable[[statuses.Status], None]
        ] = []

    def broadcast_soon(self, audience: Audience = Audience.ALL) -> None:
        """Send a status now instead of at the next interval."""
        if audience is Audience.ALL:
            self.pending_audience = Audience.ALL
        self.changed.set()

    def broadcast_to_members_soon(self) -> None:
        """Send a status now to the members of the same service."""
        self.broadcast_soon(Audience.MEMBERS)

    def receive(self, status: statuses.Status) -> None:
        """Process the status of a peer."""
        if status.sender == self.peer_table.own_name:
            return
        is_new = status.sender not in self.peer_table.peers
        if not self.peer_table.update(status, self.clock.now()):
            return
        if is_new:
            self.broadcast_soon()
        for listener in self.listeners:
            listener(status)

    async def run(self) -> None:
        """Send statuses forever."""
        while True:
            await tasks.log_exceptions(self._send_in_intervals(), "statuses")
            await self.clock.sleep(self.interval_s)

    async def _send_in_intervals(self) -> None:
        while True:
            self._check_silent_peers()
            now = self.clock.now()
            if now + self.interval_s / 2 >= self.next_to_all_at:
                await self._send(Audience.ALL)
            elif self.keyed:
                await self._send(Audience.MEMBERS)
            while await self._wait_for_change(now + self.interval_s):
                audience, self.pending_audience = (
                    self.pending_audience,
                    Audience.MEMBERS,
                )
                await self._send(audience)

    async def _wait_for_change(self, until: float) -> bool:
        """Wait for a change, then briefly for more; False on a timeout."""
        try:
            async with asyncio.timeout(max(0.0, until - self.clock.now())):
                await self.changed.wait()
        except TimeoutError:
            return False
        await self.clock.sleep(COALESCE_S)
        self.changed.clear()
        return True

    def _check_silent_peers(self) -> None:
        """Log the peers that are silent, and ask them for their status."""
        now = self.clock.now()
        self.silence_checks += 1
        self._log_silence(now)
        self._request_missing_statuses(now)

    def _interval_to_all_s(self) -> float:
        """Return the interval between two statuses to all."""
        return max(
            self.interval_s, len(self.peer_table.peers) / MAX_DATAGRAMS_PER_S
        )

    async def _send(self, audience: Audience) -> None:
        """Send a status to every peer of an audience, with pauses."""
        burst_left = BURST_BYTES
        for address, datagram in self._datagrams(audience):
            if burst_left < len(datagram):
                await self.clock.sleep(BURST_PAUSE_S)
                burst_left = BURST_BYTES
            burst_left -= len(datagram)
            self.udp.send_encoded(address, datagram)

    def _datagrams(
        self, audience: Audience
    ) -> collections.abc.Iterator[tuple[cells.Address, bytes]]:
        """Yield the datagrams to send, those to members first."""
        # Not every status goes to all, so a receiver sees gaps in the
        # sequence; ``Status.follows`` tells whether it missed a status.
        self.sequence += 1
        self.sent_to_all += audience is Audience.ALL
        status = self.make_status(self.sequence)
        now = self.clock.now()
        self.peer_table.update(status, now)
        if audience is Audience.ALL:
            self.next_to_all_at = now + self._interval_to_all_s()
        targets = self._targets(now)
        # Only a member of a keyed service reads its ownership object, if
        # perhaps seldom.
        self.keyed = self.keyed or status.read is not None
        members = [
            name
            for name in targets
            if self.keyed
            and name in self.peer_table.peers
            and self.peer_table.peers[name].status.service == status.service
        ]
        yield from self._datagrams_to(
            Audience.MEMBERS, status, [targets.pop(name) for name in members]
        )
        if audience is Audience.ALL:
            # These fields concern only the members: the last read of the
            # ownership object, the load of hot keys, and the members whose
            # keys were changed in the object.
            reduced = msgspec.structs.replace(
                status,
                read=None,
                hot_keys=(),
                affected_members=(),
                interval_s=self._interval_to_all_s(),
            )
            yield from self._datagrams_to(
                audience, reduced, list(targets.values())
            )

    def _datagrams_to(
        self,
        audience: Audience,
        status: statuses.Status,
        addresses: list[cells.Address],
    ) -> collections.abc.Iterator[tuple[cells.Address, bytes]]:
        """Yield each address with its datagram, in rotating order."""
        previous_sequence = self.last_sequence[audience]
        self.last_sequence[audience] = status.sequence
        datagram = self.udp.encode(
            msgspec.structs.replace(status, follows=previous_sequence)
        )
        start = status.sequence % max(1, len(addresses))
        for address in addresses[start:] + addresses[:start]:
            yield address, datagram

    def _targets(self, now: float) -> dict[ids.MemberId, cells.Address]:
        """Return the addresses to send a status to, by name."""
        targets = dict(self.discovered)
        for name, peer in self.peer_table.peers.items():
            silent_s = now - peer.heard_at
            if silent_s > peer_table.FORGET_S:
                targets.pop(name, None)
                continue
            targets[name] = peer.status.address
            long_silent = silent_s > RARE_STATUS_INTERVALS * self.interval_s
            if long_silent and self.sent_to_all % RARE_STATUS_INTERVALS:
                del targets[name]
        targets.pop(self.peer_table.own_name, None)
        return targets

    def current_status(self) -> statuses.Status:
        """Return the current status, for a peer that asks for it."""
        self.sequence += 1
        return self.make_status(self.sequence)

    def _request_missing_statuses(self, now: float) -> None:
        """Ask silent peers for their status.

        Datagrams are lost where a link is saturated, so missing statuses do
        not prove that a process has ended.
        """
        for name, peer in self.peer_table.peers.items():
            silent_s = now - peer.heard_at
            ask_after_s = max(
                ASK_AFTER_S, ASK_AFTER_INTERVALS * peer.status.interval_s
            )
            if not ask_after_s <= silent_s <= peer_table.FORGET_S:
                continue
            if name == self.peer_table.own_name:
                continue
            ask_each_time = silent_s < ask_after_s + ASK_EACH_TIME_S
            if (
                ask_each_time
                or self.silence_checks % RARE_STATUS_INTERVALS == 0
            ):
                self.request_status(name, peer.status.address)

    def _log_silence(self, now: float) -> None:
        """Log each peer that stops being used or is used again."""
        for name, peer in self.peer_table.peers.items():
            alive = self.peer_table.is_alive(peer, now)
            if alive != peer.logged_alive:
                peer.logged_alive = alive
                logs.peer(name, alive, now - peer.heard_at)

    async def keep_registered(self) -> None:
        """Register this process, and again where a new era has lost it."""
        era = await self.register()
        while True:
            await self.object_store.eras.wait_after(era)
            longest_s = len(self.peer_table.peers) / CHECKS_PER_S
            await self.clock.sleep(longest_s * secrets.randbelow(100) / 100)
            era = self.object_store.eras.era
            if not await self._is_registered():
                era = await self.register()

    async def _is_registered(self) -> bool:
        """Return whether the store lists this process as registered."""
        own_name = self.peer_table.own_name
        try:
            registrations = await self.object_store.list(REGISTRATIONS_FOLDER)
        except store.StoreError as error:
            logs.call_failed(REGISTRATIONS_FOLDER, repr(error))
            return False
        self._discover(registrations)
        own_address = self.registration.address
        return self.discovered.get(own_name) == own_address

    async def register(self) -> ids.StoreEra:
        """Register this process in the store, then read all registrations.

        Retries until both succeed.  Returns the era of the store in which
        the registration was written.
        """
        name = f"{REGISTRATIONS_FOLDER}/{self.peer_table.own_name}"
        body = msgspec.json.encode(self.registration)
        while True:
            try:
                version = await self.object_store.put(
                    name, body, store.ANY_VERSION
                )
                registrations = await self.object_store.list(
                    REGISTRATIONS_FOLDER
                )
                break
            except store.StoreError as error:
                logs.call_failed(name, repr(error))
                await self.clock.sleep(
                    RETRY_S * (1 + secrets.randbelow(100) / 100)
                )
        self._discover(registrations)
        self.broadcast_soon()
        return version.era

    def _discover(
        self, registrations: collections.abc.Mapping[str, store.StoredObject]
    ) -> None:
        """Record the addresses of the registered processes."""
        self.discovered.pop(self.peer_table.own_name, None)
        for process_name, stored in registrations.items():
            try:
                process = documents.decode(stored.body, RegisteredProcess)
            except msgspec.DecodeError as error:
                logs.bad_document(
                    f"{REGISTRATIONS_FOLDER}/{process_name}", str(error)
                )
                continue
            self.discovered[ids.MemberId(process_name)] = process.address
