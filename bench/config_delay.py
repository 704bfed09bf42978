"""Measures how long a change of the configuration takes in real processes.

In each round the store closes all connections, leaves the watches that begin
soon after without an answer, and the configuration is changed.  The delays are
those of the processes' own log lines ``in-force``.  Run by hand.
"""

import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import click

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from support import (  # noqa: E402
    key_holding_servers,
    local_addresses,
    metadata_store,
    owner_observer,
    small_http,
    soak_rig,
    soak_vm,
)

SERVICE: typing.Final = "plain"
START_TIMEOUT_S: typing.Final = 120.0
SETTLE_S: typing.Final = 5.0
POLL_S: typing.Final = 0.1


class StoreAccess:
    """A process's access to the store, whose watches may get no answer."""

    def __init__(self, port: metadata_store.StorePort) -> None:
        self.port = port
        self.answer = port.listener.handle
        self.unanswered_until = 0.0
        port.listener.handle = self.handle

    async def handle(
        self, request: small_http.Message
    ) -> bytes | small_http.NoResponse:
        """Answer a call, unless it is a watch that is to get no answer."""
        is_watch = "watch=" in request.start[1]
        if is_watch and time.monotonic() < self.unanswered_until:
            return small_http.NoResponse.SILENT
        return await self.answer(request)

    def cut(self, unanswered_s: float) -> None:
        """Close all connections; answer no watch that begins soon after."""
        self.unanswered_until = time.monotonic() + unanswered_s
        self.port.listener.reset_connections()


class Fleet:
    """Processes, each beside a server of the same service."""

    def __init__(self, folder: pathlib.Path, size: int) -> None:
        self.store = metadata_store.Store()
        self.version = 0
        clock = key_holding_servers.Clock()
        history = owner_observer.History()
        self.vms = [
            soak_vm.Vm(
                f"m{number:02d}",
                soak_rig.ZONES[number % len(soak_rig.ZONES)],
                SERVICE,
                folder,
                key_holding_servers.KeyHoldingServer(
                    f"m{number:02d}",
                    local_addresses.unused_address(),
                    False,
                    history,
                    clock,
                    random.Random(number),
                ),
                self.store,
                lambda text: None,
            )
            for number in range(size)
        ]
        self.access = [StoreAccess(vm.store_port) for vm in self.vms]

    async def start(self) -> None:
        """Start the processes and wait until all have the configuration."""
        await self.change()
        for vm in self.vms:
            await vm.start()
        await self.delays(time.time(), START_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)

    def stop(self) -> None:
        """End the processes."""
        for vm in self.vms:
            vm.stop()

    async def change(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        document = typing.cast(
            dict[str, object], soak_rig.configuration([SERVICE])
        )
        document["version"] = f"{self.version:08x}"
        await self.store.write("config", "main", document)

    async def delays(self, since: float, timeout_s: float) -> list[float]:
        """Return when each process has put the latest version into effect.

        The times are seconds after ``since``, a Unix time; infinite for a
        process that has not done so within ``timeout_s``.
        """
        gives_up_at = time.monotonic() + timeout_s
        while True:
            times = [in_force_at(vm.log_path, self.version) for vm in self.vms]
            known = [at for at in times if at is not None]
            if len(known) == len(times) or time.monotonic() > gives_up_at:
                missing = [float("inf")] * (len(times) - len(known))
                return [at - since for at in known] + missing
            await asyncio.sleep(POLL_S)


def in_force_at(log: pathlib.Path, version: int) -> float | None:
    """Return the Unix time at which a log says that a version took effect."""
    for line in log.read_text(encoding="utf-8").splitlines():
        if '"in-force"' in line and line.endswith("}"):
            message = json.loads(line)
            if int(message["version"]) == version:
                return float(message["timestamp"])
    return None


async def measure(
    folder: pathlib.Path,
    processes: int,
    rounds: int,
    unanswered_s: float,
    change_after_s: float,
    timeout_s: float,
) -> list[list[float]]:
    """Return the delays of all processes in each round, in seconds."""
    fleet = Fleet(folder, processes)
    results = []
    try:
        await fleet.start()
        for number in range(rounds):
            for access in fleet.access:
                access.cut(unanswered_s)
            await asyncio.sleep(change_after_s)
            changed_at = time.time()
            await fleet.change()
            delays = await fleet.delays(changed_at, timeout_s)
            click.echo(
                f"round {number}: first {min(delays):.2f} s,"
                f" last {max(delays):.2f} s"
            )
            results.append(delays)
            await asyncio.sleep(SETTLE_S)
    finally:
        fleet.stop()
        # The tasks of the connections end.
        await asyncio.sleep(POLL_S)
    return results


@click.command()
@click.option("--processes", default=13, show_default=True)
@click.option("--rounds", default=5, show_default=True)
@click.option("--unanswered-s", default=0.9, show_default=True)
@click.option("--change-after-s", default=1.0, show_default=True)
@click.option("--timeout-s", default=30.0, show_default=True)
@click.option("--limit-s", default=2.0, show_default=True)
def main(
    processes: int,
    rounds: int,
    unanswered_s: float,
    change_after_s: float,
    timeout_s: float,
    limit_s: float,
) -> None:
    """Measure some rounds; exit with 1 if a change took over the limit."""
    # The processes are ended before the exit.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory() as temporary:
        results = asyncio.run(
            measure(
                pathlib.Path(temporary),
                processes,
                rounds,
                unanswered_s,
                change_after_s,
                timeout_s,
            )
        )
    late = sum(max(delays) > limit_s for delays in results)
    click.echo(f"{late} of {rounds} changes took more than {limit_s} s")
    sys.exit(1 if late else 0)


if __name__ == "__main__":
    main()
