"""Runs processes between stand-ins of the store and the backend servers.

The processes are those of a deployment; everything else runs on one event
loop.  Faults strike them while callers send requests, and an observer checks
that no two servers own the same keys.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib
import random
import time
import typing

from bronzepaddle import route_table

from support import (
    key_holding_servers,
    local_addresses,
    metadata_store,
    owner_observer,
    process_faults,
    soak_callers,
    soak_vm,
)

KEYED_SERVICE: typing.Final = "lots"
ZONES: typing.Final = ("a", "b", "c")
START_TIMEOUT_S: typing.Final = 120.0
"""Ends a rig whose processes do not start."""

POLL_S: typing.Final = 0.1


def configuration(services: collections.abc.Iterable[str]) -> object:
    """Return the configuration document: one route to each service."""
    names = sorted(set(services))
    return {
        "version": "00000001",
        "routes": [
            {
                "name": name,
                "host": soak_callers.HOST,
                "path_prefix": f"/{name}/",
                "route_type": "idempotent",
                "timeout_ms": soak_callers.DEADLINE_MS,
                "service": name,
            }
            for name in names
        ],
        "services": [
            {
                "name": name,
                "health_path": key_holding_servers.HEALTH_PATH,
                "max_connections": 120,
                "sharded": name == KEYED_SERVICE,
            }
            for name in names
        ],
        "limits": {"max_body_bytes": 1_000_000, "idle_timeout_ms": 60_000},
    }


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a run of the rig has found.

    ``failures`` are lines on processes that ended by themselves, and on
    errors of the rig.
    """

    violations: list[owner_observer.Violation]
    failures: list[str]
    requests_begun: int
    summary: str


class Rig:
    """The VMs, the store and the observer of one run."""

    def __init__(
        self, folder: pathlib.Path, services: list[str], seed: int
    ) -> None:
        self.seed = seed
        self.services = services
        self.clock = key_holding_servers.Clock()
        self.history = owner_observer.History()
        self.store = metadata_store.Store()
        self.callers = soak_callers.Callers(KEYED_SERVICE, len(services), seed)
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.vms = list(self._vms(folder))
        self.tasks: set[asyncio.Task[None]] = set()
        self.failures: list[str] = []

    def _vms(
        self, folder: pathlib.Path
    ) -> collections.abc.Iterator[soak_vm.Vm]:
        for number, service in enumerate(self.services):
            name = f"m{number:02d}"
            server = key_holding_servers.KeyHoldingServer(
                name,
                local_addresses.unused_address(),
                service == KEYED_SERVICE,
                self.history,
                self.clock,
                random.Random(f"{self.seed} {name}"),
            )
            zone = ZONES[number % len(ZONES)]
            yield soak_vm.Vm(
                name, zone, service, folder, server, self.store, self.note
            )

    def note(self, text: str) -> None:
        """Write a line to the record, with the rig's and the Unix time."""
        now = self.clock.now()
        self.record.write(f"{now:9.3f} {time.time():.3f} {text}\n")

    def _fail(self, text: str) -> None:
        self.note(text)
        self.failures.append(text)

    async def run(self, duration_s: float) -> Outcome:
        """Start everything, apply the faults of the seed, and judge."""
        try:
            await self._start()
            await self._apply_faults(duration_s)
        finally:
            await self._stop()
        violations = owner_observer.violations(self.history)
        begun = len(self.history.work)
        outcome = Outcome(violations, self.failures, begun, self._summary())
        for line in (*(found.line for found in violations), outcome.summary):
            self.note(line)
        self.record.close()
        return outcome

    def _summary(self) -> str:
        history = self.history
        uncounted = sum(vm.server.uncounted_grants for vm in self.vms)
        responses = dict(sorted(self.callers.responses.items()))
        return (
            f"{len(history.holds)} holds, {len(history.takes)} takes,"
            f" {len(history.work)} keyed requests begun, {uncounted} grants"
            f" not counted, responses {responses},"
            f" loop at most {self.clock.longest_delay_s:.3f} s late"
        )

    async def _start(self) -> None:
        self._in_background(self.clock.run())
        await self.store.write("config", "main", configuration(self.services))
        for vm in self.vms:
            await vm.start()
        gives_up_at = self.clock.now() + START_TIMEOUT_S
        while self.history.held_keys(self.clock.now()) < route_table.KEY_COUNT:
            if self.clock.now() > gives_up_at:
                raise TimeoutError("the servers were not granted all keys")
            await asyncio.sleep(POLL_S)
        self.note("all keys are held")
        self._in_background(self._watch_processes())
        for vm in self.vms * soak_callers.CALLERS_PER_VM:
            self._in_background(self.callers.run(vm.callers))

    async def _stop(self) -> None:
        """End what the rig has started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for vm in self.vms:
            vm.stop()

    async def _watch_processes(self) -> None:
        """Find processes that end by themselves, and start them again."""
        while True:
            for vm in self.vms:
                assert vm.process is not None
                if not vm.restarting and vm.process.poll() is not None:
                    status = vm.process.returncode
                    self._fail(f"{vm.name} ended by itself with {status}")
                    vm.start_process()
            await asyncio.sleep(POLL_S)

    async def _apply_faults(self, duration_s: float) -> None:
        started_at = self.clock.now()
        plan = process_faults.plan(self.seed, len(self.vms), duration_s)
        for moment in plan:
            await asyncio.sleep(started_at + moment.at - self.clock.now())
            vm = self.vms[moment.vm]
            self.note(f"{vm.name}: {moment.fault}")
            self._in_background(vm.apply(moment.fault))
        await asyncio.sleep(started_at + duration_s - self.clock.now())

    def _in_background(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(f"the rig failed: {task.exception()!r}")
