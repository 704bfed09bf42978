"""Runs processes between stand-ins of the store and the backend servers.

The processes are those of a deployment; everything else runs on one event
loop.  Faults strike them while callers send requests, and an observer checks
that no two servers own the same keys.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import itertools
import logging
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing

from bronzepaddle import route_table
from bronzepaddle_platform import header_names

from support import (
    key_holding_servers,
    local_addresses,
    metadata_store,
    owner_observer,
    process_faults,
    server_reports,
    small_http,
)

KEYED_SERVICE: typing.Final = "lots"
HOST: typing.Final = "soak.example"
START_TIMEOUT_S: typing.Final = 120.0
"""Ends a rig whose processes do not start."""

GRACE_S: typing.Final = 6
ZONES: typing.Final = ("a", "b", "c")
REQUESTS_PER_S: typing.Final = 60.0
"""Rate of the requests of all callers together."""

CALLERS_PER_VM: typing.Final = 3
DEADLINE_MS: typing.Final = 2000
HOT_KEYS: typing.Final = range(20_000, 20_064)
HOT_SHARE: typing.Final = 0.7
POLL_S: typing.Final = 0.1

logger = logging.getLogger(__name__)


def configuration(
    services: collections.abc.Iterable[str],
) -> dict[str, object]:
    """Return the configuration document: one route to each service."""
    names = sorted(set(services))
    return {
        "version": "00000001",
        "routes": [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "route_type": "idempotent",
                "timeout_ms": DEADLINE_MS,
                "priority": 0,
                "service": name,
                "max_attempts": 2,
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
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 60_000,
        },
    }


@dataclasses.dataclass
class Vm:
    """A process, the server beside it, and its port of the store.

    ``restarting`` is set while the rig ends and starts the process.
    ``pauses`` counts the pauses of each process, by its id, that have not
    ended; ``refusals`` the times of refused connections.
    """

    name: str
    zone: str
    service: str
    callers: str
    control: str
    server: key_holding_servers.KeyHoldingServer
    reporter: server_reports.Reporter
    store_port: metadata_store.StorePort
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    restarting: bool = False
    pauses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: int = 0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a run of the rig has found.

    ``failures`` are lines on processes that ended by themselves.
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
        self.folder = folder
        self.seed = seed
        self.randomness = random.Random(seed)
        self.clock = key_holding_servers.Clock()
        self.history = owner_observer.History()
        self.store = metadata_store.Store()
        self.services = services
        self.vms = [
            self._new_vm(f"m{number:02d}", ZONES[number % 3], service)
            for number, service in enumerate(services)
        ]
        self.tasks: set[asyncio.Task[None]] = set()
        self.failures: list[str] = []
        self.request_numbers = itertools.count(1)
        self.responses: collections.Counter[int] = collections.Counter()
        self.record = (folder / "record.txt").open("w", encoding="utf-8")

    def _new_vm(self, name: str, zone: str, service: str) -> Vm:
        server = key_holding_servers.KeyHoldingServer(
            name,
            local_addresses.unused_address(),
            service == KEYED_SERVICE,
            self.history,
            self.clock,
            self.randomness,
        )
        control = local_addresses.unused_address()
        return Vm(
            name,
            zone,
            service,
            local_addresses.unused_address(),
            control,
            server,
            server_reports.Reporter(server, service, zone, control),
            metadata_store.StorePort(
                self.store, local_addresses.unused_address()
            ),
        )

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(
            f"{self.clock.now():9.3f} {time.time():.3f} {text}\n"
        )

    async def run(self, duration_s: float) -> Outcome:
        """Start everything, apply the faults of the seed, and judge."""
        try:
            await self._start()
            await self._apply_faults(duration_s)
        finally:
            await self._stop()
        violations = owner_observer.violations(self.history)
        for violation in violations:
            self.note(violation.line)
        outcome = Outcome(
            violations,
            self.failures,
            len(self.history.work),
            self._summary(),
        )
        self.note(outcome.summary)
        self.record.close()
        return outcome

    def _summary(self) -> str:
        history = self.history
        uncounted = sum(vm.server.uncounted_grants for vm in self.vms)
        return (
            f"{len(history.holds)} holds, {len(history.takes)} takes,"
            f" {len(history.work)} keyed requests begun, {uncounted} grants"
            f" not counted, responses {dict(sorted(self.responses.items()))},"
            f" loop at most {self.clock.longest_delay_s:.3f} s late"
        )

    # Start and end.

    async def _start(self) -> None:
        self._in_background(self.clock.run())
        await self.store.write("config", "main", configuration(self.services))
        for vm in self.vms:
            await vm.store_port.listener.open()
            await self._start_server(vm)
            self._start_process(vm)
        gives_up_at = self.clock.now() + START_TIMEOUT_S
        while not self._all_keys_held():
            if self.clock.now() > gives_up_at:
                raise TimeoutError("the servers were not granted all keys")
            await asyncio.sleep(POLL_S)
        self.note("all keys are held")
        self._in_background(self._watch_processes())
        for vm in self.vms * CALLERS_PER_VM:
            self._in_background(self._send_requests(vm))

    def _all_keys_held(self) -> bool:
        held = self.history.held_keys(self.clock.now())
        return held >= route_table.KEY_COUNT

    async def _start_server(self, vm: Vm, same_id: bool = False) -> None:
        run = await vm.server.start(time.time_ns() // 1_000_000, same_id)
        self._in_background(vm.reporter.report(run))
        self.note(f"server {run.run} at {vm.server.listener.address}")

    def _start_process(self, vm: Vm) -> None:
        """Start the process of a VM with new ports for its peers."""
        path = self.folder / f"{vm.name}.ini"
        if not vm.starts:
            path.write_text(self._settings(vm), encoding="utf-8")
        vm.starts += 1
        with (self.folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bronzepaddle_node.main",
                    "--config",
                    str(path),
                ],
                stdout=log,
                stderr=log,
            )
        self.note(f"process {vm.name} starts, pid {vm.process.pid}")

    def _settings(self, vm: Vm) -> str:
        announce_ms = round(server_reports.INTERVAL_S * 1000)
        return f"""
[process]
name = {vm.name}
zone = {vm.zone}
service = {vm.service}
first-start = true
grace-s = {GRACE_S}
[callers]
listen = {vm.callers}
[ready]
listen = {local_addresses.unused_address()}
[control]
listen = {vm.control}
[peers]
listen = {local_addresses.unused_address()}
link-mbps = 1000
[platform]
form = objects
address = {vm.store_port.listener.address}
[backend]
announce-ms = {announce_ms}
[keys]
most-hold-ms = 10000
[metrics]
listen = {local_addresses.unused_address()}
[log]
lines-per-s = 1000
burst = 5000
"""

    async def _stop(self) -> None:
        """End what the rig has started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for vm in self.vms:
            if vm.process is not None:
                vm.process.kill()
                vm.process.wait()
            vm.server.crash()
            vm.store_port.listener.close()
            vm.store_port.listener.reset_connections()

    async def _watch_processes(self) -> None:
        """Note processes that end by themselves, and start them again."""
        while True:
            for vm in self.vms:
                assert vm.process is not None
                if not vm.restarting and vm.process.poll() is not None:
                    text = (
                        f"process {vm.name} ended by itself with"
                        f" {vm.process.returncode}"
                    )
                    self.note(text)
                    self.failures.append(text)
                    self._start_process(vm)
            await asyncio.sleep(POLL_S)

    def _in_background(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            text = f"the rig failed: {task.exception()!r}"
            self.note(text)
            self.failures.append(text)

    # Callers.

    async def _send_requests(self, vm: Vm) -> None:
        """Send requests one by one on a connection that stays open."""
        interval_s = len(self.vms) * CALLERS_PER_VM / REQUESTS_PER_S
        while True:
            try:
                host, _, port = vm.callers.partition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError as error:
                logger.debug("%s: %r", vm.name, error)
                await asyncio.sleep(POLL_S)
                continue
            with contextlib.closing(writer):
                is_open = True
                while is_open:
                    is_open = await self._send(vm, reader, writer)
                    await asyncio.sleep(
                        self.randomness.uniform(0.0, 2.0) * interval_s
                    )

    async def _send(
        self,
        vm: Vm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send a request; return whether its connection stays open."""
        is_hot = self.randomness.random() < HOT_SHARE
        keys = HOT_KEYS if is_hot else range(route_table.KEY_COUNT)
        request_id = f"{vm.name}-{next(self.request_numbers):06d}"
        headers = {
            "Host": HOST,
            header_names.REQUEST_ID: request_id,
            header_names.DEADLINE_MS: str(DEADLINE_MS),
            header_names.SHARD_KEY: str(self.randomness.choice(keys)),
        }
        writer.write(
            small_http.encode(
                f"GET /{KEYED_SERVICE}/{request_id} HTTP/1.1", headers=headers
            )
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                message = await small_http.read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            logger.debug("%s: %r", request_id, error)
            message = None
        self.responses[0 if message is None else message.status] += 1
        return (
            message is not None
            and message.headers.get("connection", "").lower() != "close"
        )

    # Faults.

    async def _apply_faults(self, duration_s: float) -> None:
        started_at = self.clock.now()
        for moment in process_faults.plan(
            self.seed, len(self.vms), duration_s
        ):
            await asyncio.sleep(started_at + moment.at - self.clock.now())
            vm = self.vms[moment.vm]
            self.note(f"{vm.name}: {moment.fault}")
            self._in_background(self._apply(vm, moment.fault))
        await asyncio.sleep(started_at + duration_s - self.clock.now())

    async def _apply(self, vm: Vm, fault: process_faults.Fault) -> None:
        match fault:
            case process_faults.PauseProcess(duration_s):
                await self._pause(vm, duration_s)
            case process_faults.EndProcess(killed, down_s):
                await self._end_process(vm, killed, down_s)
            case process_faults.RefuseConnections(duration_s, resets):
                await self._refuse(vm, duration_s, resets)
            case process_faults.ResetConnections():
                vm.server.listener.reset_connections()
            case process_faults.CrashServer(down_s, same_id):
                await self._crash_server(vm, down_s, same_id)
            case process_faults.HoldUpReports():
                await self._hold_up_reports(vm, fault)
            case process_faults.DisturbCommands(duration_s, faults):
                vm.server.faults = faults
                await asyncio.sleep(duration_s)
                if vm.server.faults is faults:
                    vm.server.faults = key_holding_servers.CommandFaults()
            case process_faults.DisturbStore(duration_s, store_fault):
                vm.store_port.fault = store_fault
                await asyncio.sleep(duration_s)
                if vm.store_port.fault is store_fault:
                    vm.store_port.fault = None
            case _:
                typing.assert_never(fault)

    async def _pause(self, vm: Vm, duration_s: float) -> None:
        process = vm.process
        if process is None or vm.restarting:
            return
        vm.pauses[process.pid] += 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        vm.pauses[process.pid] -= 1
        if process.poll() is None and not vm.pauses[process.pid]:
            vm.server.resumed_at = self.clock.now()
            process.send_signal(signal.SIGCONT)
            self.note(f"{vm.name} continues")

    async def _end_process(self, vm: Vm, killed: bool, down_s: float) -> None:
        process = vm.process
        if process is None or vm.restarting:
            return
        vm.restarting = True
        if not killed:
            process.send_signal(signal.SIGTERM)
            gives_up_at = self.clock.now() + GRACE_S
            while process.poll() is None and self.clock.now() < gives_up_at:
                await asyncio.sleep(POLL_S)
        process.kill()
        process.wait()
        self.note(f"{vm.name} ended with {process.returncode}")
        await asyncio.sleep(down_s)
        self._start_process(vm)
        vm.restarting = False

    async def _refuse(self, vm: Vm, duration_s: float, resets: bool) -> None:
        vm.refusals += 1
        vm.server.listener.close()
        if resets:
            vm.server.listener.reset_connections()
        await asyncio.sleep(duration_s)
        vm.refusals -= 1
        if vm.server.current is not None and not vm.refusals:
            await vm.server.listener.open()
            self.note(f"{vm.name}: accepts connections")

    async def _crash_server(
        self, vm: Vm, down_s: float, same_id: bool
    ) -> None:
        if vm.server.current is None:
            return
        vm.server.crash()
        await asyncio.sleep(down_s)
        await self._start_server(vm, same_id)

    async def _hold_up_reports(
        self, vm: Vm, fault: process_faults.HoldUpReports
    ) -> None:
        ends_at = self.clock.now() + fault.duration_s
        reporter = vm.reporter
        reporter.held_up_until = max(reporter.held_up_until, ends_at)
        address = (
            None if fault.same_address else local_addresses.unused_address()
        )
        number = 0
        while fault.earlier_per_s and self.clock.now() < ends_at:
            number += 1
            reporter.report_earlier_run(number, address)
            await asyncio.sleep(1 / fault.earlier_per_s)
