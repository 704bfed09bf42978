"""Fake backend servers that hold keys, and the orders to them.

Grants take effect now, late or never, as ``reconcilers`` says at the moment.
"""

import asyncio
import dataclasses
import typing

from bronzepaddle import ids
from bronzepaddle_backend import connections, key_grants

if typing.TYPE_CHECKING:
    from support import reconcilers

SERVER_RATES: typing.Final = (0.98, 0.99, 1.0)


@dataclasses.dataclass
class HeldNow:
    """Keys that a server holds, until a moment of true time."""

    first: int
    last: int
    token: int
    until: float


class FakeServer:
    """One run of a backend server; its clock may be slow."""

    def __init__(
        self, around: "reconcilers.SimulatedReconcilers", name: str, run: str
    ) -> None:
        self.around = around
        self.name = name
        self.run = run
        self.rate = around.rng.choice(SERVER_RATES)
        self.up = True
        self.draining = False
        self.held: list[HeldNow] = []
        self.highest: list[HeldNow] = []

    def take(self, given: key_grants.KeyGrant, arrived: float) -> bool:
        """Take a grant; its time counts from its arrival."""
        overlaps = [
            one
            for one in self.highest
            if one.first <= given.last and given.first <= one.last
        ]
        if any(one.token > given.token for one in overlaps):
            return False
        until = arrived + given.hold_s / self.rate
        fresh = HeldNow(given.first, given.last, given.token, until)
        self.drop(given.first, given.last)
        self.held.append(fresh)
        self.highest.append(fresh)
        self.around.check()
        return True

    def drop(self, first: int, last: int) -> None:
        """Hold keys no longer."""
        kept = []
        for one in self.held:
            if one.last < first or last < one.first:
                kept.append(one)
                continue
            if one.first < first:
                kept.append(dataclasses.replace(one, last=first - 1))
            if last < one.last:
                kept.append(dataclasses.replace(one, first=last + 1))
        self.held = kept

    def holding(self, now: float) -> list[HeldNow]:
        """Return what the server holds now."""
        if not self.up:
            return []
        return [one for one in self.held if now < one.until]


class FakeOrders:
    """The orders to one run of a server, with the faults of the moment."""

    def __init__(self, server: FakeServer) -> None:
        self.server = server

    async def grant(
        self, given: key_grants.KeyGrant
    ) -> key_grants.CommandResult:
        """Grant keys: now, late, or never."""
        around, server = self.server.around, self.server
        arrived = around.loop.time()
        if int(given.hold_s * 1000) < 1:
            around.violations.append(f"a grant for no time: {given}")
        await self._reach()
        if around.orders_late and around.rng.random() < around.late_share:
            late_s = around.rng.uniform(*around.late_s)
            around.loop.call_later(late_s, self._late, given, arrived)
            raise connections.CommandLostError("no answer")
        done = server.take(given, arrived)
        return key_grants.CommandResult(done, "", "")

    def _late(self, given: key_grants.KeyGrant, arrived: float) -> None:
        if self.server.up:
            self.server.take(given, arrived)

    async def release(
        self, first: int, last: int, token: ids.Token
    ) -> key_grants.CommandResult:
        """Take keys back, after the work on them."""
        await self._reach()
        around = self.server.around
        self.server.drop(first, last)
        if around.orders_late and around.rng.random() < 0.3:
            raise connections.CommandLostError("no answer")
        await asyncio.sleep(around.rng.uniform(0.0, 0.4))
        return key_grants.CommandResult(True, "handover", "")

    async def _reach(self) -> None:
        await asyncio.sleep(0.0005)
        if not self.server.up:
            raise connections.CommandNotSentError("refused", True)
