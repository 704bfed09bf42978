"""Tells every other process the status of this one, and takes theirs in.

A process finds the others by the member objects in the store, which it reads
once after it has written its own: of two that start at the same time, one at
least sees the other, and whoever hears of a process answers it.
"""

import asyncio
import collections.abc
import secrets
import typing

import msgspec
from bronzepaddle import cells, clocks, ids, logs
from bronzepaddle_peers import datagrams, statuses
from bronzepaddle_store import store

from bronzepaddle_node import roster

COALESCE_S: typing.Final = 0.02
"""Changes within this time are told together."""

FAR_EVERY: typing.Final = 10
"""A peer that is silent is sent every tenth status only."""

RETRY_S: typing.Final = 0.4
FOLDER: typing.Final = "members"


class Member(msgspec.Struct, frozen=True):
    """One process as the store lists it."""

    address: cells.Address
    started_ms: int


Describe: typing.TypeAlias = collections.abc.Callable[[int], statuses.Status]
"""Makes this process's status with a given sequence number."""


class Announcer:
    """The sending and the taking in of statuses."""

    def __init__(
        self,
        member: Member,
        known: roster.Roster,
        objects: store.Store,
        udp: datagrams.Datagrams[statuses.Status],
        describe: Describe,
        interval_s: float,
        time: clocks.Clock,
    ) -> None:
        self.member = member
        self.roster = known
        self.objects = objects
        self.udp = udp
        self.describe = describe
        self.interval_s = interval_s
        self.time = time
        self.sequence = 0
        self.listed: dict[ids.MemberId, cells.Address] = {}
        self.changed = asyncio.Event()
        self.learners: list[
            collections.abc.Callable[[statuses.Status], None]
        ] = []

    def tell_soon(self) -> None:
        """Send a status now rather than with the next interval."""
        self.changed.set()

    def receive(self, status: statuses.Status) -> None:
        """Take a peer's status in."""
        if status.sender == self.roster.myself:
            return
        unknown = status.sender not in self.roster.peers
        if not self.roster.learn(status, self.time.now()):
            return
        if unknown:
            self.tell_soon()
        for learn in self.learners:
            learn(status)

    async def run(self) -> None:
        """Send statuses for ever."""
        while True:
            self.send()
            try:
                async with asyncio.timeout(self.interval_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
            await self.time.sleep(COALESCE_S)
            self.changed.clear()

    def send(self) -> None:
        """Send one status to every peer known."""
        self.sequence += 1
        status = self.describe(self.sequence)
        now = self.time.now()
        self.roster.learn(status, now)
        self._note_silence(now)
        targets = dict(self.listed)
        for name, peer in self.roster.peers.items():
            silent_s = now - peer.heard_at
            if silent_s > roster.FORGET_S:
                targets.pop(name, None)
                continue
            targets[name] = peer.status.address
            far = silent_s > FAR_EVERY * self.interval_s
            if far and self.sequence % FAR_EVERY:
                del targets[name]
        targets.pop(self.roster.myself, None)
        for address in targets.values():
            self.udp.send(address, status)

    def _note_silence(self, now: float) -> None:
        """Log which peers are passed over from now on, or used again."""
        for name, peer in self.roster.peers.items():
            alive = self.roster.alive(peer, now)
            if alive != peer.logged_alive:
                peer.logged_alive = alive
                logs.peer(name, alive, now - peer.heard_at)

    async def register(self) -> None:
        """Write this process into the store, then read who else is there."""
        name = f"{FOLDER}/{self.roster.myself}"
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
                one = msgspec.json.decode(stored.body, type=Member)
            except msgspec.DecodeError as error:
                logs.bad_document(f"{FOLDER}/{member}", str(error))
                continue
            self.listed[ids.MemberId(member)] = one.address
        self.tell_soon()
