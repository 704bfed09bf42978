"""Fake backend servers that hold keys, and the commands to them.

In the simulation ``simulated_fleet`` the process on the VM of each server
grants it ranges of keys and tells it to release them.  The faults of the
simulation decide whether a grant takes effect at once, late or never.
"""

import asyncio
import dataclasses
import typing

from bronzepaddle import ids
from bronzepaddle_backend import (
    connections,
    key_grants,
    key_reports,
    reached_runs,
)

if typing.TYPE_CHECKING:
    from support import simulated_fleet, simulated_time

SERVER_CLOCK_RATES: typing.Final = (0.98, 0.99, 1.0)
"""Rates of the servers' clocks relative to the loop's time."""


@dataclasses.dataclass
class AcceptedGrant:
    """A grant that a server accepted, with its expiry on the loop's clock."""

    first: int
    last: int
    token: int
    valid_until: float


class FakeServer:
    """One run of a backend server, whose clock may be slow.

    ``fleet`` is the simulation that it belongs to.
    ``held`` are the grants still in effect, without the parts that were
    released; ``accepted`` are all grants that this run ever accepted.  A
    server that is up but not ``listening`` refuses connections.
    """

    def __init__(
        self, fleet: "simulated_fleet.SimulatedFleet", name: str, run: str
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.run = run
        fleet.runs_started += 1
        # A number that tells it apart from other runs under its id.
        self.reached = reached_runs.ReachedRun(fleet.runs_started)
        self.rate = fleet.rng.choice(SERVER_CLOCK_RATES)
        self.up = True
        self.listening = True
        self.draining = False
        self.held: list[AcceptedGrant] = []
        self.accepted: list[AcceptedGrant] = []

    def accept(
        self, grant: key_grants.KeyGrant, hold_s: float, arrived_at: float
    ) -> bool:
        """Hold the keys of a grant for ``hold_s`` from ``arrived_at``.

        Returns False if the server accepted a higher token for one of the
        keys before.
        """
        overlapping = [
            earlier
            for earlier in self.accepted
            if earlier.first <= grant.last and grant.first <= earlier.last
        ]
        if any(earlier.token > grant.token for earlier in overlapping):
            return False
        valid_until = arrived_at + hold_s / self.rate
        accepted = AcceptedGrant(
            grant.first, grant.last, grant.token, valid_until
        )
        self.release(grant.first, grant.last)
        self.held.append(accepted)
        self.accepted.append(accepted)
        if self.fleet.loop.time() < valid_until:
            self.fleet.check_token(
                self.run, grant.first, grant.last, grant.token
            )
        self.fleet.check_invariants()
        return True

    def release(self, first: int, last: int) -> None:
        """Stop holding the keys from ``first`` to ``last``."""
        kept = []
        for grant in self.held:
            if grant.last < first or last < grant.first:
                kept.append(grant)
                continue
            if grant.first < first:
                kept.append(dataclasses.replace(grant, last=first - 1))
            if last < grant.last:
                kept.append(dataclasses.replace(grant, first=last + 1))
        self.held = kept

    def held_at(self, now: float) -> list[AcceptedGrant]:
        """Return the grants in effect, none if the server is down."""
        if not self.up:
            return []
        return [grant for grant in self.held if now < grant.valid_until]


class ReportingServer(FakeServer):
    """A server that reports its keys and takes grants from the responses.

    ``sent_reports`` is the number of reports sent; only the response to the
    last one is applied.  ``working`` are released grants whose requests still
    run, ``released`` what reports list as released.
    """

    def __init__(
        self, fleet: "simulated_fleet.SimulatedFleet", name: str, run: str
    ) -> None:
        super().__init__(fleet, name, run)
        self.sent_reports = 0
        self.working: list[AcceptedGrant] = []
        self.released: list[key_reports.ReleasedRow] = []

    def held_at(self, now: float) -> list[AcceptedGrant]:
        """Return the grants in effect and those still worked on."""
        working = [
            grant
            for grant in self.working
            if self.up and now < grant.valid_until
        ]
        return [*super().held_at(now), *working]

    def next_report(self) -> key_reports.KeyReport:
        """Return the next report."""
        self.sent_reports += 1
        return key_reports.KeyReport(
            tuple(
                key_reports.HeldRow(
                    grant.first, grant.last, ids.Token(grant.token)
                )
                for grant in self.held_at(self.fleet.loop.time())
            ),
            tuple(self.released),
        )

    def apply(
        self,
        order: key_reports.HoldOrder | None,
        number: int,
        reported: key_reports.KeyReport,
        sent_at: float,
    ) -> None:
        """Apply the response to a report sent at ``sent_at``."""
        if number != self.sent_reports or not self.up:
            return
        self.released = [
            row for row in self.released if row not in reported.released
        ]
        if order is None:
            return
        kept = {
            (grant.first, grant.last, grant.token) for grant in order.grants
        }
        now = self.fleet.loop.time()
        for held in self.held:
            row = (held.first, held.last, int(held.token))
            if row not in kept and now < held.valid_until:
                self._start_release(held, order)
        self.held = [
            held
            for held in self.held
            if (held.first, held.last, held.token) in kept
        ]
        for grant in order.grants:
            if int(grant.hold_s * 1000) < 1:
                self.fleet.violations.append(f"grant for no time: {grant}")
            self.accept(grant, grant.hold_s, sent_at)

    def _start_release(
        self, held: AcceptedGrant, order: key_reports.HoldOrder
    ) -> None:
        """Release the parts of a grant that an order leaves out."""
        for part in _parts_left_out(held, order):
            self.working.append(part)
            self.fleet.loop.call_later(
                self.fleet.rng.uniform(0.0, 0.4), self._end_release, part
            )

    def _end_release(self, part: AcceptedGrant) -> None:
        """List a grant as released, unless it has expired."""
        self.working.remove(part)
        if self.fleet.loop.time() < part.valid_until:
            self.released.append(
                key_reports.ReleasedRow(part.first, part.last, "handover")
            )


def _parts_left_out(
    held: AcceptedGrant, order: key_reports.HoldOrder
) -> list[AcceptedGrant]:
    """Return the parts of a grant that an order doesn't contain."""
    parts = [held]
    for grant in order.grants:
        if grant.token != held.token:
            continue
        parts = [
            dataclasses.replace(part, first=first, last=last)
            for part in parts
            for first, last in (
                (part.first, min(part.last, grant.first - 1)),
                (max(part.first, grant.last + 1), part.last),
            )
            if first <= last
        ]
    return parts


class FakeCommands:
    """Implements ``KeyGrantCommands`` for one run of a fake server.

    ``server`` is the run that answers, ``run`` the one that was announced.
    """

    def __init__(
        self,
        server: FakeServer,
        run: str,
        clock: "simulated_time.SimulatedClock",
    ) -> None:
        self.server = server
        self.run = run
        self.clock = clock

    async def grant(
        self,
        key_grant: key_grants.KeyGrant,
        reached: reached_runs.ReachedRun | None = None,
    ) -> key_grants.CommandResult:
        """Grant keys, at once or late.

        A late grant reports a lost command, and takes effect only if the
        server is still up by then.
        """
        fleet, server = self.server.fleet, self.server
        await self._connect(reached)
        await self._wait_to_send()
        hold_s = key_grant.remaining_hold_s(self.clock.now())
        if int(hold_s * 1000) < 1:
            fleet.violations.append(f"grant for less than 1 ms: {key_grant}")
        arrived_at = fleet.loop.time()
        if (
            fleet.commands_late
            and fleet.rng.random() < fleet.late_command_share
        ):
            delay_s = fleet.rng.uniform(*fleet.command_delay_range_s)
            fleet.loop.call_later(
                delay_s, self._accept_late, key_grant, hold_s, arrived_at
            )
            raise connections.CommandLostError("no response", server.reached)
        accepted = server.accept(key_grant, hold_s, arrived_at)
        return key_grants.CommandResult(accepted, "", "", server.reached)

    def _accept_late(
        self, grant: key_grants.KeyGrant, hold_s: float, arrived_at: float
    ) -> None:
        if self.server.up:
            self.server.accept(grant, hold_s, arrived_at)

    async def release(
        self,
        first: int,
        last: int,
        token: ids.Token,
        reached: reached_runs.ReachedRun | None = None,
    ) -> key_grants.CommandResult:
        """Release keys; may report a lost command although it was executed.

        The result contains a text (here ``handover``) that is passed to the
        next server that gets the keys.
        """
        await self._connect(reached)
        fleet, server = self.server.fleet, self.server
        self.server.release(first, last)
        if fleet.commands_late and fleet.rng.random() < 0.3:
            raise connections.CommandLostError("no response", server.reached)
        await asyncio.sleep(fleet.rng.uniform(0.0, 0.4))
        return key_grants.CommandResult(True, "handover", "", server.reached)

    async def _wait_to_send(self) -> None:
        """Wait while the sending is delayed or the process is frozen."""
        fleet, name = self.server.fleet, self.server.name
        fleet.waiting_to_send.add(name)
        await asyncio.sleep(fleet.send_delays_s.get(name, 0.0))
        await self.clock.running.wait()
        fleet.waiting_to_send.discard(name)

    async def _connect(self, reached: reached_runs.ReachedRun | None) -> None:
        """Reach the server and check that it is the run that was announced.

        Raises ``NotConnectedError`` if it refuses, ``OtherRunError`` if it is
        another run than the one announced or reached before.
        """
        await asyncio.sleep(0.0005)
        server = self.server
        if not (server.up and server.listening):
            raise connections.NotConnectedError("refused")
        same_id = server.run.partition("@")[0] == self.run.partition("@")[0]
        if not same_id or reached not in (None, server.reached):
            raise connections.OtherRunError(
                server.run, server.reached if same_id else None
            )
