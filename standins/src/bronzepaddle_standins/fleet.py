"""A fleet in one process: routers, backend servers, a simulated store.

The routers (``node.Node``) share one event loop on a thread of its own; the
stand-ins run on threads.  The command ``bronzepaddle demo`` uses it.  Tests
that kill or freeze a process start separate processes instead.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib
import tempfile
import threading
import time
import typing

import returns.result
import urllib3
from bronzepaddle import options
from bronzepaddle_node import node

from bronzepaddle_standins import backend, platform

CANCEL_TIMEOUT_S: typing.Final = 2.0
"""Longest wait for cancelled tasks to end when the fleet stops."""

POLL_S: typing.Final = 0.02


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the fleet: a router process with its backend server."""

    name: str
    zone: str
    behaviour: backend.Behaviour


class Fleet:
    """A running fleet.

    ``extra_sections`` is appended to the settings file of each router.
    ``nodes`` and ``backends`` hold the router and the backend server of each
    VM by its name.
    """

    def __init__(
        self,
        bundle_text: str,
        vms: collections.abc.Sequence[Vm],
        extra_sections: str = "",
    ) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="bronzepaddle-")
        self.extra_sections = extra_sections
        self.platform = platform.Platform()
        self.vms = vms
        self.nodes: dict[str, node.Node] = {}
        self.backends: dict[str, backend.Backend] = {}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.http = urllib3.PoolManager(maxsize=16, retries=False)
        bundle = pathlib.Path(self.folder.name) / "bundle.ini"
        bundle.write_text(bundle_text, encoding="utf-8")

    def start(self) -> None:
        """Start all VMs; they may join their cell after this returns."""
        self.platform.start()
        self.thread.start()
        for vm in self.vms:
            self._start_vm(vm)

    def _start_vm(self, vm: Vm) -> None:
        """Start the router of a VM, then its backend server."""
        settings = self._settings(vm)
        router = node.Node(settings)
        self.run(router.start())
        self.nodes[vm.name] = router
        control = router.control_server.address
        backend_server = backend.Backend(
            vm.behaviour, f"http://{control.host}:{control.port}"
        )
        backend_server.start()
        self.backends[vm.name] = backend_server

    def _settings(self, vm: Vm) -> options.Options:
        """Write the settings file of a VM's router and load it."""
        path = pathlib.Path(self.folder.name) / f"{vm.name}.ini"
        text = node_ini(vm.name, vm.zone, self.platform.url)
        path.write_text(text + self.extra_sections, encoding="utf-8")
        match options.load(path):
            case returns.result.Success(settings):
                return typing.cast(options.Options, settings)
            case failure:
                raise ValueError(str(failure))

    def run(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine on the routers' event loop and wait for its end."""
        asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def url(self, router_name: str) -> str:
        """Return the base URL at which a router accepts callers."""
        address = self.nodes[router_name].caller_server.address
        return f"http://{address.host}:{address.port}"

    def owner(self, service: str, key: str, router_name: str) -> str | None:
        """Return the owner of a key as known to a router."""
        explanation = self.nodes[router_name].control_root.explain_key(
            service, key
        )
        return explanation.owner

    def wait_until_served(
        self, paths: collections.abc.Sequence[str], timeout_s: float = 30.0
    ) -> None:
        """Wait until every router responds with status 200 to every path.

        Raises ``TimeoutError`` after ``timeout_s`` seconds.
        """
        give_up_at = time.monotonic() + timeout_s
        for name in self.nodes:
            for path in paths:
                while not self._responds_ok(self.url(name) + path):
                    if time.monotonic() > give_up_at:
                        raise TimeoutError(f"{name} does not serve {path}")
                    time.sleep(POLL_S)

    def _responds_ok(self, url: str) -> bool:
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def lose(self, name: str) -> None:
        """Stop the backend server and the router of a VM."""
        self.backends.pop(name).stop()
        self.run(self.nodes.pop(name).close())

    def stop(self) -> None:
        """Stop all VMs and the platform, and delete the settings."""
        for name in list(self.nodes):
            self.lose(name)
        self.platform.stop()
        self.run(_cancel_remaining_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.folder.cleanup()


async def _cancel_remaining_tasks() -> None:
    """Cancel all other tasks of this loop, so that no thread waits for them.

    Waits at most ``CANCEL_TIMEOUT_S`` seconds for their end.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_S)


def node_ini(
    name: str,
    zone: str,
    platform_url: str,
    peers: str = "",
    sections: str = "",
) -> str:
    """Return the settings file of a router on free ports of this machine.

    ``peers`` is added to the section [peers], ``sections`` to the end of the
    file.
    """
    return f"""
[process]
name = {name}
zone = {zone}
bundle = bundle.ini
drain-s = 10

[callers]
listen = 127.0.0.1:0

[control]
listen = 127.0.0.1:0

[peers]
listen = 127.0.0.1:0
{peers}

[platform]
url = {platform_url}
calls-per-minute = 6000

[backend]
announce-s = 0.2

{sections}
"""
