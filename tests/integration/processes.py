"""Starts and stops the real processes of a fleet for integration tests."""

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
GIVE_UP_S: typing.Final = 60.0
"""Bound on every wait, to end a hung test; never what a test measures."""

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


@dataclasses.dataclass
class Vm:
    """One VM: the process, the backend server beside it, its network."""

    name: str
    config: pathlib.Path
    network: proxy.Proxy
    service: str
    node: subprocess.Popen[str] | None = None
    backend: subprocess.Popen[str] | None = None
    callers: str = ""
    control: str = ""
    backend_url: str = ""


class Fleet:
    """Real processes: a platform stand-in and VMs, each behind a proxy."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.vms: dict[str, Vm] = {}
        self.platform = _popen("bronzepaddle_standins.platform")
        self.platform_url = _line(self.platform).split()[-1]
        (folder / "bundle.ini").write_text(BUNDLE, encoding="utf-8")

    def add(
        self, name: str, service: str, zone: str = "a", *backend: str
    ) -> Vm:
        """Start one VM."""
        network = proxy.Proxy()
        network.start()
        config = self.folder / f"{name}.ini"
        vm = Vm(name, config, network, service)
        at = f"{network.address[0]}:{network.address[1]}"
        config.write_text(
            fleet.node_ini(
                name,
                zone,
                self.platform_url,
                peers=f"advertise = {at}",
                more=f"[logs]\nfile = {self.folder / name}.log",
            ),
            encoding="utf-8",
        )
        self.vms[name] = vm
        self.start_node(vm)
        self.start_backend(vm, *backend)
        return vm

    def three(self, *backend: str) -> list[Vm]:
        """Start three VMs with a keyed service, and wait for the spread."""
        names = ("n1", "n2", "n3")
        with concurrent.futures.ThreadPoolExecutor(len(names)) as threads:
            vms = list(
                threads.map(
                    lambda name: self.add(name, "lots", "a", *backend), names
                )
            )
        self.until_served("/lots/a")
        self.until_settled()
        return vms

    def start_node(self, vm: Vm) -> None:
        """Start a VM's process, for the first time or again."""
        vm.node = _popen("bronzepaddle_node.main", "--config", str(vm.config))
        fields = dict(
            word.split("=") for word in _line(vm.node).split() if "=" in word
        )
        vm.callers = "http://" + fields["callers"]
        vm.control = "http://" + fields["control"]
        # The advertised address is the proxy's; the real one is in the log.
        at = self.http.request(
            "GET", f"{vm.control}/bronzepaddle/status"
        ).json()["listens_at"]
        host, _, port = at.rpartition(":")
        vm.network.target = (host, int(port))

    def start_backend(self, vm: Vm, *arguments: str) -> None:
        """Start a VM's backend server, which announces itself."""
        vm.backend = _popen(
            "bronzepaddle_standins.backend",
            "--service",
            vm.service,
            "--announce-to",
            vm.control,
            *arguments,
        )
        vm.backend_url = "http://" + _line(vm.backend).split()[-1]

    def get(
        self, vm: Vm, path: str, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Send a GET to a VM's process."""
        return self.http.request("GET", vm.callers + path, headers=headers)

    def status(self, vm: Vm) -> typing.Any:
        """Return what a process knows."""
        url = f"{vm.control}/bronzepaddle/status"
        return msgspec.json.decode(self.http.request("GET", url).data)

    def until(
        self, what: str, holds: collections.abc.Callable[[], bool]
    ) -> float:
        """Wait until something holds and return the seconds it took."""
        began = time.monotonic()
        while time.monotonic() - began < GIVE_UP_S:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if holds():
                    return time.monotonic() - began
            time.sleep(POLL_S)
        raise AssertionError(f"still not so after {GIVE_UP_S} s: {what}")

    def until_served(self, *paths: str) -> None:
        """Wait until every process answers every path."""
        for vm in self.vms.values():
            for path in paths:
                self.until(
                    f"{vm.name} serves {path}",
                    lambda vm=vm, path=path: (  # type: ignore[misc]
                        self.get(vm, path).status == 200
                    ),
                )

    def until_settled(self, service: str = "lots") -> None:
        """Wait until all agree on an even spread of a service's slots."""
        self.until("slots are spread evenly", lambda: self._settled(service))

    def _settled(self, service: str) -> bool:
        """Tell whether all know one version, with even shares."""
        known = [self.status(vm) for vm in self.vms.values()]
        shares = [
            member["slots"]
            for member in known[0]["members"].values()
            if member["service"] == service
        ]
        wanted = sum(vm.service == service for vm in self.vms.values())
        return (
            len({one["cell_version"] for one in known}) == 1
            and len(shares) == wanted
            and max(shares) - min(shares) <= 1
        )

    def owner(self, asked: Vm, key: str) -> str:
        """Return who served a key."""
        answer = self.get(asked, f"/lots/{key}")
        assert answer.status == 200, answer.data
        return answer.headers[streaming_app.SERVED_BY]

    def faults(self, **faults: typing.Any) -> None:
        """Break or mend the platform."""
        body = msgspec.json.encode(faults)
        url = f"{self.platform_url}/faults"
        assert self.http.request("POST", url, body=body).status == 200

    def ran(self, vm: Vm) -> list[dict[str, typing.Any]]:
        """Return what a VM's backend server ran."""
        url = f"{vm.backend_url}/standin/ran"
        found: list[dict[str, typing.Any]] = msgspec.json.decode(
            self.http.request("GET", url).data
        )
        return found

    def tokens(self, key: str) -> list[int]:
        """Return the tokens under which a key was run, in order of time."""
        ran = [
            (one["at"], one["token"])
            for vm in self.vms.values()
            if vm.backend is not None and vm.backend.poll() is None
            for one in self.ran(vm)
            if one["target"] == f"/lots/{key}"
        ]
        return [token for _, token in sorted(ran)]

    def owned_by(self, vm: Vm) -> str:
        """Return a key that a VM owns."""
        names = (f"k{number}" for number in range(1000))
        return next(name for name in names if self.owner(vm, name) == vm.name)

    def lose(self, vm: Vm) -> None:
        """Lose a VM whole."""
        for process in (vm.node, vm.backend):
            _end(process, signal.SIGKILL)

    def stop(self) -> None:
        """End every process."""
        for vm in self.vms.values():
            self.lose(vm)
            vm.network.stop()
        _end(self.platform, signal.SIGKILL)


def _popen(module: str, *arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def _line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    line = process.stdout.readline()
    assert line, "the process ended before it was ready"
    return line


def _end(process: subprocess.Popen[str] | None, how: signal.Signals) -> None:
    if process is None or process.poll() is not None:
        return
    process.send_signal(how)
    process.send_signal(signal.SIGCONT)
    process.wait()
