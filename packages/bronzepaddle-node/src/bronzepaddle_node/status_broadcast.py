"""Tells every other process the status of this one, and takes theirs in.

What a fleet tells itself grows with the square of its size, so statuses are
kept small: the processes beside servers of the same service (its members)
get what the keeping of keys needs, all others only what a request needs.
They leave slowly enough for the link of the smallest VM, and in another order
each time: where a link is full nevertheless, no peer is always the one that
goes without.

A process finds the others by the member objects in the store, which it reads
once after it has written its own: of two that start at the same time, one at
least sees the other, and whoever hears of a process answers it.
"""

import asyncio
import collections.abc
import enum
import secrets
import typing

import msgspec
from bronzepaddle import cells, clocks, ids, logs
from bronzepaddle_peers import datagrams, statuses
from bronzepaddle_store import store

from bronzepaddle_node import peer_table

COALESCE_S: typing.Final = 0.02
"""Changes within this time are told together."""

FAR_EVERY: typing.Final = 10
"""A peer that is silent is sent every tenth status only."""

MOST_PER_S: typing.Final = 60.0
"""Datagrams a second to all that are no members: the larger the fleet, the
seldomer each is told, so that the cost of a process does not grow with it."""

PACE_BYTES: typing.Final = 8 * 1024
PACE_PAUSE_S: typing.Final = 0.012
"""After each so many bytes there is a pause: under 6 Mbit/s at any time."""

ASK_AFTER_S: typing.Final = 0.8
"""Silence after which a peer is asked: more than one status is missing."""

ASK_SHARE: typing.Final = 1.5
"""The same as a multiple of the time between its statuses."""

ASK_OFTEN_S: typing.Final = 3.0
"""Time for which it is asked each time, and then as seldom as it is sent
statuses."""

RETRY_S: typing.Final = 0.4
FOLDER: typing.Final = "members"


class Audience(enum.Enum):
    """Whom a status is meant for."""

    MEMBERS = "members"
    ALL = "all"


class RegisteredProcess(msgspec.Struct, frozen=True):
    """One process as the store lists it."""

    address: cells.Address
    started_ms: int


Describe: typing.TypeAlias = collections.abc.Callable[[int], statuses.Status]
"""Makes this process's status with a given sequence number."""


Ask: typing.TypeAlias = collections.abc.Callable[
    [ids.MemberId, cells.Address], None
]
"""Asks a peer for its status by a way on which nothing is lost."""


class StatusBroadcaster:
    """The sending and the taking in of statuses."""

    def __init__(
        self,
        member: RegisteredProcess,
        known: peer_table.PeerTable,
        objects: store.Store,
        udp: datagrams.DatagramSocket[statuses.Status],
        describe: Describe,
        interval_s: float,
        time: clocks.Clock,
        ask: Ask,
    ) -> None:
        self.ask = ask
        self.member = member
        self.peer_table = known
        self.objects = objects
        self.udp = udp
        self.describe = describe
        self.interval_s = interval_s
        self.time = time
        self.sequence = 0
        # Statuses to all, and looks for silent peers.
        self.rounds = 0
        self.looks = 0
        self.all_due = time.now()
        # Whether this process keeps keys, so that its members need to hear
        # of it often.
        self.keyed = False
        # The last status that each audience was sent.
        self.told = {audience: 0 for audience in Audience}
        self.listed: dict[ids.MemberId, cells.Address] = {}
        self.changed = asyncio.Event()
        self.widest = Audience.MEMBERS
        self.listeners: list[
            collections.abc.Callable[[statuses.Status], None]
        ] = []

    def broadcast_soon(self, audience: Audience = Audience.ALL) -> None:
        """Send a status now rather than with the next interval."""
        if audience is Audience.ALL:
            self.widest = Audience.ALL
        self.changed.set()

    def broadcast_to_members_soon(self) -> None:
        """Send a status now to the members of the same service."""
        self.broadcast_soon(Audience.MEMBERS)

    def receive(self, status: statuses.Status) -> None:
        """Take a peer's status in."""
        if status.sender == self.peer_table.myself:
            return
        unknown = status.sender not in self.peer_table.peers
        if not self.peer_table.learn(status, self.time.now()):
            return
        if unknown:
            self.broadcast_soon()
        for learn in self.listeners:
            learn(status)

    async def run(self) -> None:
        """Send statuses for ever."""
        while True:
            self._look()
            now = self.time.now()
            if now + self.interval_s / 2 >= self.all_due:
                await self._send(Audience.ALL)
            elif self.keyed:
                await self._send(Audience.MEMBERS)
            while await self._changed_before(now + self.interval_s):
                audience, self.widest = self.widest, Audience.MEMBERS
                await self._send(audience)

    async def _changed_before(self, until: float) -> bool:
        """Wait for news, and a little for more of it; False if none came."""
        try:
            async with asyncio.timeout(max(0.0, until - self.time.now())):
                await self.changed.wait()
        except TimeoutError:
            return False
        await self.time.sleep(COALESCE_S)
        self.changed.clear()
        return True

    def _look(self) -> None:
        """See to the peers of whom nothing is heard."""
        now = self.time.now()
        self.looks += 1
        self._note_silence(now)
        self._ask_silent(now)

    def _every_s(self) -> float:
        """Return the time between two statuses to all."""
        return max(self.interval_s, len(self.peer_table.peers) / MOST_PER_S)

    async def _send(self, audience: Audience) -> None:
        """Send one status to every peer of an audience, in small parts."""
        left = PACE_BYTES
        for address, datagram in self._datagrams(audience):
            if left < len(datagram):
                await self.time.sleep(PACE_PAUSE_S)
                left = PACE_BYTES
            left -= len(datagram)
            self.udp.send_encoded(address, datagram)

    def _datagrams(
        self, audience: Audience
    ) -> collections.abc.Iterator[tuple[cells.Address, bytes]]:
        """Yield what is sent to whom, the members of the service first."""
        self.sequence += 1
        # Not every status is for all, so sequences may skip any number.
        self.rounds += audience is Audience.ALL
        status = self.describe(self.sequence)
        now = self.time.now()
        self.peer_table.learn(status, now)
        if audience is Audience.ALL:
            self.all_due = now + self._every_s()
        targets = self._targets(now)
        self.keyed = status.read is not None
        members = [
            name
            for name in targets
            if self.keyed
            and name in self.peer_table.peers
            and self.peer_table.peers[name].status.service == status.service
        ]
        yield from self._each(
            Audience.MEMBERS, status, [targets.pop(name) for name in members]
        )
        if audience is Audience.ALL:
            short = msgspec.structs.replace(
                status,
                read=None,
                hot_keys=(),
                affected_members=(),
                interval_s=self._every_s(),
            )
            yield from self._each(audience, short, list(targets.values()))

    def _each(
        self,
        audience: Audience,
        status: statuses.Status,
        addresses: list[cells.Address],
    ) -> collections.abc.Iterator[tuple[cells.Address, bytes]]:
        """Yield the datagram for each address, from another one each time."""
        follows = self.told[audience]
        self.told[audience] = status.sequence
        datagram = self.udp.encode(
            msgspec.structs.replace(status, follows=follows)
        )
        first = status.sequence % max(1, len(addresses))
        for address in addresses[first:] + addresses[:first]:
            yield address, datagram

    def _targets(self, now: float) -> dict[ids.MemberId, cells.Address]:
        """Return where to send a status, by name."""
        targets = dict(self.listed)
        for name, peer in self.peer_table.peers.items():
            silent_s = now - peer.heard_at
            if silent_s > peer_table.FORGET_S:
                targets.pop(name, None)
                continue
            targets[name] = peer.status.address
            far = silent_s > FAR_EVERY * self.interval_s
            if far and self.rounds % FAR_EVERY:
                del targets[name]
        targets.pop(self.peer_table.myself, None)
        return targets

    def current(self) -> statuses.Status:
        """Return the status as of now, for a peer that asks for it."""
        self.sequence += 1
        return self.describe(self.sequence)

    def _ask_silent(self, now: float) -> None:
        """Ask peers whose statuses do not come, at first each time.

        Datagrams are lost where a link is full; that is no proof of an end.
        """
        for name, peer in self.peer_table.peers.items():
            silent_s = now - peer.heard_at
            late_s = max(ASK_AFTER_S, ASK_SHARE * peer.status.interval_s)
            if not late_s <= silent_s <= peer_table.FORGET_S:
                continue
            if name == self.peer_table.myself:
                continue
            often = silent_s < late_s + ASK_OFTEN_S
            if often or self.looks % FAR_EVERY == 0:
                self.ask(name, peer.status.address)

    def _note_silence(self, now: float) -> None:
        """Log which peers are passed over from now on, or used again."""
        for name, peer in self.peer_table.peers.items():
            alive = self.peer_table.alive(peer, now)
            if alive != peer.logged_alive:
                peer.logged_alive = alive
                logs.peer(name, alive, now - peer.heard_at)

    async def register(self) -> None:
        """Write this process into the store, then read who else is there."""
        name = f"{FOLDER}/{self.peer_table.myself}"
        body = msgspec.json.encode(self.member)
        while True:
            try:
                await self.objects.put(name, body, store.ANY_VERSION)
                found = await self.objects.list(FOLDER)
                break
            except store.StoreError as error:
                logs.call_failed(name, repr(error))
                await self.time.sleep(
                    RETRY_S * (1 + secrets.randbelow(100) / 100)
                )
        for member, stored in found.items():
            try:
                one = msgspec.json.decode(stored.body, type=RegisteredProcess)
            except msgspec.DecodeError as error:
                logs.bad_document(f"{FOLDER}/{member}", str(error))
                continue
            self.listed[ids.MemberId(member)] = one.address
        self.broadcast_soon()
