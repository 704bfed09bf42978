"""Starts and stops the processes of a fleet for integration tests."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import pathlib
import signal
import subprocess
import sys
import time
import typing

import msgspec
import urllib3
from bronzepaddle_callers import streaming_app
from bronzepaddle_standins import fleet, proxy

POLL_S: typing.Final = 0.02
WAIT_TIMEOUT_S: typing.Final = 60.0
"""Ends a hung test; no test depends on how long a wait takes."""

BUNDLE: typing.Final = """
[bundle]
version = 1
[priority urgent]
rank = 0
share = 0.6
deadline-s = 20
[priority normal]
rank = 1
share = 0.3
queue = 200
deadline-s = 20
[service lots]
prefix = /lots
key = path 0
slots = 32
priority = normal
[service enrolments]
prefix = /enrolments
key = header Idempotency-Key
slots = 8
priority = urgent
[service exports]
prefix = /exports
priority = normal
max-body-bytes = 300000000
"""
"""The services of the tests.

Requests for ``lots`` are routed by a key in the path (``path 0``, the first
segment after the prefix), those for ``enrolments`` by their idempotency key,
and those for ``exports`` to any server.  ``slots`` is the number of hash slots
into which the keys of a service are divided.  A priority's ``share`` is the
fraction of a server's capacity that is guaranteed to it.
"""


@dataclasses.dataclass
class Vm:
    """One VM: a router process, its backend server and a network proxy.

    Peers reach the router process (``node``) only through ``peer_proxy``.
    ``callers_url`` and ``control_url`` are the base URLs of its ports, one for
    callers, one for operators and the backend server; ``backend_url`` is that
    of the backend server.
    """

    name: str
    settings_path: pathlib.Path
    peer_proxy: proxy.Proxy
    service: str
    node: subprocess.Popen[str] | None = None
    backend: subprocess.Popen[str] | None = None
    callers_url: str = ""
    control_url: str = ""
    backend_url: str = ""


class Fleet:
    """VMs and a simulation of the platform's store, as separate processes.

    Peers reach each router process through a proxy, which can simulate
    network faults.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.vms: dict[str, Vm] = {}
        self.platform = _start_process("bronzepaddle_standins.platform")
        self.platform_url = _read_line(self.platform).split()[-1]
        (folder / "bundle.ini").write_text(BUNDLE, encoding="utf-8")

    def add(
        self, name: str, service: str, zone: str = "a", *arguments: str
    ) -> Vm:
        """Start a VM; ``arguments`` are passed to its backend server."""
        peer_proxy = proxy.Proxy()
        peer_proxy.start()
        settings_path = self.folder / f"{name}.ini"
        vm = Vm(name, settings_path, peer_proxy, service)
        address = f"{peer_proxy.address[0]}:{peer_proxy.address[1]}"
        settings_path.write_text(
            fleet.node_ini(
                name,
                zone,
                self.platform_url,
                peers=f"advertise = {address}",
                sections=f"[logs]\nfile = {self.folder / name}.log",
            ),
            encoding="utf-8",
        )
        self.vms[name] = vm
        self.start_node(vm)
        self.start_backend(vm, *arguments)
        return vm

    def start_three_vms(self, *arguments: str) -> list[Vm]:
        """Start three VMs of the service ``lots``; wait until balanced.

        ``arguments`` are passed to each backend server.
        """
        names = ("n1", "n2", "n3")
        with concurrent.futures.ThreadPoolExecutor(len(names)) as threads:
            vms = list(
                threads.map(
                    lambda name: self.add(name, "lots", "a", *arguments), names
                )
            )
        self.wait_until_served("/lots/a")
        self.wait_until_balanced()
        return vms

    def start_node(self, vm: Vm) -> None:
        """Start the router process of a VM, for the first time or again."""
        vm.node = _start_process(
            "bronzepaddle_node.main", "--config", str(vm.settings_path)
        )
        fields = dict(
            word.split("=")
            for word in _read_line(vm.node).split()
            if "=" in word
        )
        vm.callers_url = "http://" + fields["callers"]
        vm.control_url = "http://" + fields["control"]
        # Peers know the address of the proxy; the proxy needs the address at
        # which the process itself listens.
        address = self.http.request(
            "GET", f"{vm.control_url}/bronzepaddle/status"
        ).json()["listens_at"]
        host, _, port = address.rpartition(":")
        vm.peer_proxy.target = (host, int(port))

    def start_backend(self, vm: Vm, *arguments: str) -> None:
        """Start the backend server of a VM, which announces itself."""
        vm.backend = _start_process(
            "bronzepaddle_standins.backend",
            "--service",
            vm.service,
            "--announce-to",
            vm.control_url,
            *arguments,
        )
        vm.backend_url = "http://" + _read_line(vm.backend).split()[-1]

    def get(
        self, vm: Vm, path: str, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Send a GET request to a VM's router process as a caller does."""
        return self.http.request("GET", vm.callers_url + path, headers=headers)

    def status(self, vm: Vm) -> typing.Any:
        """Return the status document of a VM's router process."""
        url = f"{vm.control_url}/bronzepaddle/status"
        return msgspec.json.decode(self.http.request("GET", url).data)

    def wait_until(
        self, description: str, condition: collections.abc.Callable[[], bool]
    ) -> float:
        """Wait until a condition holds and return the seconds it took.

        The condition does not hold while it raises an HTTP error.  After
        ``WAIT_TIMEOUT_S`` seconds, raises ``AssertionError`` with the
        description.
        """
        started = time.monotonic()
        while time.monotonic() - started < WAIT_TIMEOUT_S:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if condition():
                    return time.monotonic() - started
            time.sleep(POLL_S)
        raise AssertionError(
            f"not true after {WAIT_TIMEOUT_S} s: {description}"
        )

    def wait_until_served(self, *paths: str) -> None:
        """Wait until every process responds with 200 to every path."""
        for vm in self.vms.values():
            for path in paths:
                self.wait_until(
                    f"{vm.name} serves {path}",
                    lambda vm=vm, path=path: (  # type: ignore[misc]
                        self.get(vm, path).status == 200
                    ),
                )

    def wait_until_balanced(self, service: str = "lots") -> None:
        """Wait until all processes know an even assignment of hash slots."""
        self.wait_until(
            "slots are evenly assigned", lambda: self._balanced(service)
        )

    def _balanced(self, service: str) -> bool:
        """Return whether the assignment of a service's slots is balanced.

        It is if all processes know the same version of the cell object,
        which contains the assignment, and the members of the service own the
        same number of slots, give or take one.
        """
        statuses = [self.status(vm) for vm in self.vms.values()]
        slots = [
            member["slots"]
            for member in statuses[0]["members"].values()
            if member["service"] == service
        ]
        members = sum(vm.service == service for vm in self.vms.values())
        return (
            len({status["cell_version"] for status in statuses}) == 1
            and len(slots) == members
            and max(slots) - min(slots) <= 1
        )

    def owner(self, entry: Vm, key: str) -> str:
        """Return the member that serves a request for a key.

        The request is sent to the process of the VM ``entry``.
        """
        response = self.get(entry, f"/lots/{key}")
        assert response.status == 200, response.data
        return response.headers[streaming_app.SERVED_BY_HEADER]

    def set_platform_faults(self, **faults: typing.Any) -> None:
        """Replace the simulated faults of the platform's store."""
        body = msgspec.json.encode(faults)
        url = f"{self.platform_url}/faults"
        assert self.http.request("POST", url, body=body).status == 200

    def executed_requests(self, vm: Vm) -> list[dict[str, typing.Any]]:
        """Return the requests that a VM's backend server has executed."""
        url = f"{vm.backend_url}/standin/ran"
        requests: list[dict[str, typing.Any]] = msgspec.json.decode(
            self.http.request("GET", url).data
        )
        return requests

    def executed_tokens(self, key: str) -> list[int]:
        """Return the fencing tokens of a key's requests by execution time.

        Requests of backend servers that have ended are not included.
        """
        executed = [
            (request["at"], request["token"])
            for vm in self.vms.values()
            if vm.backend is not None and vm.backend.poll() is None
            for request in self.executed_requests(vm)
            if request["target"] == f"/lots/{key}"
        ]
        return [token for _, token in sorted(executed)]

    def key_owned_by(self, vm: Vm) -> str:
        """Return a key that a VM owns."""
        keys = (f"k{number}" for number in range(1000))
        return next(key for key in keys if self.owner(vm, key) == vm.name)

    def lose(self, vm: Vm) -> None:
        """Kill the router process and the backend server of a VM."""
        for process in (vm.node, vm.backend):
            _end_process(process, signal.SIGKILL)

    def stop(self) -> None:
        """Kill all processes and stop the proxies."""
        for vm in self.vms.values():
            self.lose(vm)
            vm.peer_proxy.stop()
        _end_process(self.platform, signal.SIGKILL)


def _start_process(module: str, *arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def _read_line(process: subprocess.Popen[str]) -> str:
    """Return the next line that a process prints."""
    assert process.stdout is not None
    line = process.stdout.readline()
    assert line, "the process ended without printing a line"
    return line


def _end_process(
    process: subprocess.Popen[str] | None, signal_number: signal.Signals
) -> None:
    """Send a signal to a process, frozen or not, and wait for its end."""
    if process is None or process.poll() is not None:
        return
    process.send_signal(signal_number)
    process.send_signal(signal.SIGCONT)
    process.wait()
