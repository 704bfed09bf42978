"""A VM of a soak: its process, its server, and the faults that strike them."""

import asyncio
import collections
import collections.abc
import pathlib
import signal
import subprocess
import sys
import time
import typing

from support import (
    key_holding_servers,
    local_addresses,
    metadata_store,
    process_faults,
    server_reports,
)

GRACE_S: typing.Final = 6
POLL_S: typing.Final = 0.05


class Vm:
    """A process, the server beside it, and its port of the store.

    ``restarting`` is set while the process is ended and started on purpose.
    ``pauses`` counts the pauses of each process, by its id, that have not
    ended; ``refusals`` the times of refused connections.  ``note`` writes a
    line to the record.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        folder: pathlib.Path,
        server: key_holding_servers.KeyHoldingServer,
        store: metadata_store.Store,
        note: collections.abc.Callable[[str], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.settings_path = folder / f"{name}.ini"
        self.log_path = folder / f"{name}.log"
        self.server = server
        self.note = note
        self.callers = local_addresses.unused_address()
        self.control = local_addresses.unused_address()
        self.store_port = metadata_store.StorePort(
            store, local_addresses.unused_address()
        )
        self.reporter = server_reports.Reporter(
            server, service, zone, self.control
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.restarting = False
        self.pauses: collections.Counter[int] = collections.Counter()
        self.refusals = 0

    async def start(self) -> None:
        """Start the server and the process."""
        await self.store_port.listener.open()
        await self._start_server()
        self.settings_path.write_text(self._settings(), encoding="utf-8")
        self.start_process()

    def stop(self) -> None:
        """End the process and close all ports."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.server.crash()
        self.store_port.listener.close()
        self.store_port.listener.reset_connections()

    def start_process(self) -> None:
        """Start the process; its output is appended to the log."""
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", "bronzepaddle_node.main"]
            self.process = subprocess.Popen(
                [*command, "--config", str(self.settings_path)],
                stdout=log,
                stderr=log,
            )
        self.note(f"process {self.name} starts, pid {self.process.pid}")

    def _settings(self) -> str:
        return f"""
[process]
name = {self.name}
zone = {self.zone}
service = {self.service}
first-start = true
grace-s = {GRACE_S}
[callers]
listen = {self.callers}
[ready]
listen = {local_addresses.unused_address()}
[control]
listen = {self.control}
[peers]
listen = {local_addresses.unused_address()}
link-mbps = 1000
[platform]
form = objects
address = {self.store_port.listener.address}
[backend]
announce-ms = {round(server_reports.INTERVAL_S * 1000)}
[keys]
most-hold-ms = 10000
[metrics]
listen = {local_addresses.unused_address()}
[log]
lines-per-s = 1000
burst = 5000
"""

    async def _start_server(self, same_id: bool = False) -> None:
        run = await self.server.start(time.time_ns() // 1_000_000, same_id)
        self.reporter.start(run)
        self.note(f"server {run.run} at {self.server.listener.address}")

    async def apply(self, fault: process_faults.Fault) -> None:
        """Cause a fault and wait until it is over."""
        match fault:
            case process_faults.PauseProcess(duration_s):
                await self._pause(duration_s)
            case process_faults.EndProcess(killed, down_s):
                await self._restart_process(killed, down_s)
            case process_faults.RefuseConnections(duration_s, resets):
                await self._refuse(duration_s, resets)
            case process_faults.ResetConnections():
                self.server.listener.reset_connections()
            case process_faults.CrashServer(down_s, same_id):
                await self._restart_server(down_s, same_id)
            case process_faults.HoldUpReports():
                await self._hold_up_reports(fault)
            case process_faults.DisturbCommands(duration_s, command_faults):
                self.server.faults = command_faults
                await asyncio.sleep(duration_s)
                if self.server.faults is command_faults:
                    self.server.faults = key_holding_servers.NO_FAULTS
            case process_faults.DisturbStore(duration_s, store_fault):
                self.store_port.fault = store_fault
                await asyncio.sleep(duration_s)
                if self.store_port.fault is store_fault:
                    self.store_port.fault = None
            case _:
                typing.assert_never(fault)

    async def _pause(self, duration_s: float) -> None:
        process = self.process
        if process is None or self.restarting:
            return
        self.pauses[process.pid] += 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.pauses[process.pid] -= 1
        if process.poll() is None and not self.pauses[process.pid]:
            self.server.resumed_at = self.server.clock.now()
            process.send_signal(signal.SIGCONT)
            self.note(f"{self.name} continues")

    async def _restart_process(self, killed: bool, down_s: float) -> None:
        process = self.process
        if process is None or self.restarting:
            return
        self.restarting = True
        if not killed:
            process.send_signal(signal.SIGTERM)
            gives_up_at = self.server.clock.now() + GRACE_S
            while process.poll() is None:
                if self.server.clock.now() > gives_up_at:
                    break
                await asyncio.sleep(POLL_S)
        process.kill()
        process.wait()
        self.note(f"{self.name} ended with {process.returncode}")
        await asyncio.sleep(down_s)
        self.start_process()
        self.restarting = False

    async def _refuse(self, duration_s: float, resets: bool) -> None:
        self.refusals += 1
        self.server.listener.close()
        if resets:
            self.server.listener.reset_connections()
        await asyncio.sleep(duration_s)
        self.refusals -= 1
        if self.server.current is not None and not self.refusals:
            await self.server.listener.open()
            self.note(f"{self.name} accepts connections")

    async def _restart_server(self, down_s: float, same_id: bool) -> None:
        if self.server.current is not None:
            self.server.crash()
            await asyncio.sleep(down_s)
            await self._start_server(same_id)

    async def _hold_up_reports(
        self, fault: process_faults.HoldUpReports
    ) -> None:
        clock = self.server.clock
        ends_at = clock.now() + fault.duration_s
        self.reporter.hold_up_until(ends_at)
        address = (
            None if fault.same_address else local_addresses.unused_address()
        )
        while fault.earlier_per_s and clock.now() < ends_at:
            self.reporter.report_earlier_run(address)
            await asyncio.sleep(1 / fault.earlier_per_s)
