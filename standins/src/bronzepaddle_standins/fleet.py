"""A whole fleet inside one process: platform, backend servers, nodes.

Nodes run as tasks on one event loop of a thread of their own, the rest as
threads.  The demonstration and benchmarks use it; tests that kill or freeze
something run real processes instead.
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

CANCEL_S: typing.Final = 2.0
"""Time that tasks have to end when everything stops."""

POLL_S: typing.Final = 0.02


@dataclasses.dataclass(frozen=True)
class Place:
    """One VM of the fleet: a backend server with its process."""

    name: str
    zone: str
    behaviour: backend.Behaviour


class Fleet:
    """Everything that runs, and how to reach it."""

    def __init__(
        self,
        bundle_text: str,
        places: collections.abc.Sequence[Place],
        lease: str = "",
    ) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="bronzepaddle-")
        self.lease = lease
        self.platform = platform.Platform()
        self.places = places
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
        """Start everything; members join in the background."""
        self.platform.start()
        self.thread.start()
        for place in self.places:
            self._start_place(place)

    def _start_place(self, place: Place) -> None:
        settings = self._settings(place)
        one = node.Node(settings)
        self.run(one.start())
        self.nodes[place.name] = one
        at = one.control.address
        server = backend.Backend(
            place.behaviour, f"http://{at.host}:{at.port}"
        )
        server.start()
        self.backends[place.name] = server

    def _settings(self, place: Place) -> options.Options:
        path = pathlib.Path(self.folder.name) / f"{place.name}.ini"
        text = node_ini(place.name, place.zone, self.platform.url)
        path.write_text(text + self.lease, encoding="utf-8")
        match options.load(path):
            case returns.result.Success(settings):
                return typing.cast(options.Options, settings)
            case failure:
                raise ValueError(str(failure))

    def run(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine on the nodes' event loop until it ends."""
        asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def url(self, name: str) -> str:
        """Return where a node takes callers."""
        at = self.nodes[name].caller_server.address
        return f"http://{at.host}:{at.port}"

    def owner(self, service: str, key: str, asked: str) -> str | None:
        """Return who owns a key, as one node sees it."""
        found = self.nodes[asked].control_root.explain_key(service, key)
        return found.owner

    def wait_until_served(
        self, paths: collections.abc.Sequence[str], timeout_s: float = 30.0
    ) -> None:
        """Return when every node answers every path.

        Raises ``TimeoutError``.
        """
        until = time.monotonic() + timeout_s
        for name in self.nodes:
            for path in paths:
                while not self._answers(self.url(name) + path):
                    if time.monotonic() > until:
                        raise TimeoutError(f"{name} does not serve {path}")
                    time.sleep(POLL_S)

    def _answers(self, url: str) -> bool:
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def lose(self, name: str) -> None:
        """Lose a VM: its process and its backend server at once."""
        self.backends.pop(name).stop()
        self.run(self.nodes.pop(name).close())

    def stop(self) -> None:
        """Stop everything."""
        for name in list(self.nodes):
            self.lose(name)
        self.platform.stop()
        self.run(_cancel_the_rest())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.folder.cleanup()


async def _cancel_the_rest() -> None:
    """Cancel what still runs, so that no thread waits for it for ever."""
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    if rest:
        await asyncio.wait(rest, timeout=CANCEL_S)


def node_ini(
    name: str, zone: str, platform_url: str, peers: str = "", more: str = ""
) -> str:
    """Return the settings of a process on free ports of this machine.

    ``peers`` is what else stands in [peers], ``more`` further sections.
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

{more}
"""
