"""Settings of a sidecar process, whose leases depend on the platform's store.

The platform is the environment in which the system is deployed; it offers the
store, which keeps objects.  Its *form* is the variant of its interface.  A
process whose settings name the form ``SIDECAR_FORM`` is a sidecar; any other
one has the settings in ``options``.  The deployment renders the INI file from
a template.  ``load`` validates every key, and each error names the section and
the key.
"""

import collections.abc
import configparser
import dataclasses
import pathlib
import typing

import returns.result

from bronzepaddle import ids, log_writer, options, store_leases
from bronzepaddle.load import (
    body_budget,
    connection_limit,
    expected_cost,
    store_reads,
)

SIDECAR_FORM: typing.Final = "objects"
"""Value of ``[platform] form`` in the settings of a sidecar."""

SECTIONS: typing.Final = {
    "process": (
        "name",
        "zone",
        "service",
        "first-start",
        "grace-s",
        "memory-mb",
    ),
    "callers": ("listen", "threads", "max-connections"),
    "ready": ("listen",),
    "control": ("listen",),
    "peers": ("listen", "status-s", "link-mbps"),
    "platform": ("form", "address", "timeout-s", "calls-per-minute"),
    "backend": ("announce-ms", "threads", "cost-classes"),
    "keys": ("lease-s", "read-s", "readers", "most-hold-ms", "work-hold-ms"),
    "evacuations": ("within-ms",),
    "retries": ("share", "slack"),
    "metrics": ("listen",),
    "log": ("lines-per-s", "burst"),
}

MIN_MEMORY_MB: typing.Final = 64
"""Least memory of a VM in MiB; a process needs most of it for itself."""

MAX_MEMORY_MB: typing.Final = 1024 * 1024
"""Most memory of a VM in MiB."""

MIN_CONNECTIONS: typing.Final = 16
"""Least number of connections that callers may have open."""

MAX_CONNECTIONS: typing.Final = 100_000
"""Most connections that callers may have open."""

TRUE: typing.Final = "true"
"""Value of a setting that is on; with any other value it is off."""


@dataclasses.dataclass(frozen=True)
class SidecarOptions:
    """All settings of a sidecar process; times are in seconds.

    ``service`` is the service of the backend server on the same VM.  The
    process listens at ``callers`` for callers' requests, at ``peers`` for
    messages from other processes, at ``control`` for the announcements by
    which the backend server tells that it is up, at ``ready`` for the
    platform's checks whether the process accepts requests, and at ``metrics``,
    unless that is None, for requests for its metrics.  ``threads`` is the
    number of threads that handle callers' requests, ``backend_threads`` that
    of the threads that send them to the backend server.  Callers may have
    ``max_connections`` open at a time.

    ``store`` is the endpoint of the platform's store.  The calls to it have a
    timeout, ``store_timeout_s``, and a limit, ``store_calls_per_minute``.
    ``lease_times`` are the times of the leases, under which this process may
    act as the owner of keys.  ``ownership_readers`` is the number of members
    of a service that read its ownership object for all others.
    ``max_hold_s`` limits how long one grant lets the server hold keys.

    ``first_start`` is set when the whole system starts for the first time.
    ``grace_s`` is the time from the request to stop until the process must
    have ended.  ``memory_mb`` is the memory of the VM for this process in MiB,
    from which the budget for bodies is derived.  ``status_s`` is the interval
    of the statuses that are sent to peers, ``announce_s`` that of the backend
    server's announcements.  All processes together may make ``retry_slack``
    retries beyond the share ``retry_share`` of their requests.  ``link_mbps``
    is the bandwidth of the VM's network link, None if unknown.
    ``evacuate_within_s`` is the time in which the evacuation of a zone must
    take effect, None if the operator evacuates no zones.  ``cost_classes`` is
    the number of values of features of requests for which the process
    remembers the cost, 0 to take all requests of a route for equally costly.
    """

    name: ids.MemberId
    zone: ids.ZoneName
    service: ids.ServiceName
    first_start: bool
    grace_s: float
    callers: options.Endpoint
    threads: int
    ready: options.Endpoint
    control: options.Endpoint
    peers: options.Endpoint
    status_s: float
    link_mbps: float | None
    store: options.Endpoint
    store_timeout_s: float
    store_calls_per_minute: int
    announce_s: float
    backend_threads: int
    lease_times: store_leases.StoreLeaseTimes
    ownership_readers: int
    max_hold_s: float
    retry_share: float
    retry_slack: float
    cost_classes: int = expected_cost.DEFAULT_MAX_VALUES
    memory_mb: int = body_budget.DEFAULT_MEMORY_MB
    max_connections: int = connection_limit.DEFAULT_MAX_CONNECTIONS
    metrics: options.Endpoint | None = None
    evacuate_within_s: float | None = None
    log: log_writer.Bounds = dataclasses.field(
        default_factory=log_writer.Bounds
    )


SidecarResult: typing.TypeAlias = returns.result.Result[
    SidecarOptions, tuple[options.OptionsError, ...]
]


def load(
    path: pathlib.Path, overrides: options.Overrides = ()
) -> SidecarResult:
    """Return the settings in a file, or all errors in them."""
    return options.load_with(path, _Reader, _Reader.settings, overrides)


def is_sidecar_file(path: pathlib.Path) -> bool:
    """Return whether a file contains the settings of a sidecar."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error):
        # Loading the settings reports the error.
        return False
    return parser.get("platform", "form", fallback="") == SIDECAR_FORM


class _Reader(options.SettingsReader):
    """Converts the sections to options and collects all errors."""

    def settings(self) -> SidecarOptions:
        """Read all sections."""
        for section, key in self._unknown_names():
            self.add_error("unknown-key", section, key, "unknown")
        return SidecarOptions(
            name=ids.MemberId(self.text("process", "name")),
            zone=ids.ZoneName(self.text("process", "zone")),
            service=ids.ServiceName(self.text("process", "service")),
            first_start=self.text("process", "first-start", "") == TRUE,
            grace_s=self.number("process", "grace-s", 6.0, 1.0, 600.0),
            callers=self.endpoint("callers"),
            threads=self.integer("callers", "threads", 64, 4, 1000),
            ready=self.endpoint("ready"),
            control=self.endpoint("control"),
            peers=self.endpoint("peers"),
            status_s=self.number("peers", "status-s", 0.5, 0.05, 10.0),
            link_mbps=(
                self.number("peers", "link-mbps", 1000.0, 0.1, 1e6)
                if self.parser.get("peers", "link-mbps", fallback="")
                else None
            ),
            store=self.endpoint("platform", "address"),
            store_timeout_s=self.number(
                "platform", "timeout-s", 1.0, 0.05, 60.0
            ),
            store_calls_per_minute=self.integer(
                "platform", "calls-per-minute", 1200, 1, 100_000
            ),
            announce_s=self.number(
                "backend", "announce-ms", 1000.0, 50.0, 60_000.0
            )
            / 1000,
            backend_threads=self.integer("backend", "threads", 32, 1, 1000),
            lease_times=self._lease_times(),
            ownership_readers=self.integer(
                "keys", "readers", store_reads.DEFAULT_READERS, 1, 1000
            ),
            max_hold_s=self.number(
                "keys", "most-hold-ms", 10_000.0, 100.0, 600_000.0
            )
            / 1000,
            retry_share=self.number("retries", "share", 0.1, 0.0, 10.0),
            retry_slack=self.number("retries", "slack", 20.0, 0.0, 1e6),
            cost_classes=self.integer(
                "backend",
                "cost-classes",
                expected_cost.DEFAULT_MAX_VALUES,
                0,
                10_000,
            ),
            memory_mb=self.integer(
                "process",
                "memory-mb",
                body_budget.DEFAULT_MEMORY_MB,
                MIN_MEMORY_MB,
                MAX_MEMORY_MB,
            ),
            max_connections=self.integer(
                "callers",
                "max-connections",
                connection_limit.DEFAULT_MAX_CONNECTIONS,
                MIN_CONNECTIONS,
                MAX_CONNECTIONS,
            ),
            metrics=(
                self.endpoint("metrics")
                if self.parser.has_section("metrics")
                else None
            ),
            evacuate_within_s=(
                self.number("evacuations", "within-ms", 5000.0, 500.0, 600_000)
                / 1000
                if self.parser.get("evacuations", "within-ms", fallback="")
                else None
            ),
            log=log_writer.Bounds(
                lines_per_s=self.number("log", "lines-per-s", 100.0, 1, 1e6),
                burst=self.number("log", "burst", 300.0, 1, 1e6),
            ),
        )

    def _lease_times(self) -> store_leases.StoreLeaseTimes:
        """Read the times of the leases and of the grants under them."""
        times = store_leases.StoreLeaseTimes(
            lease_s=self.number("keys", "lease-s", 3.0, 0.5, 60.0),
            read_interval_s=self.number("keys", "read-s", 0.8, 0.05, 10.0),
            work_hold_s=self.number(
                "keys", "work-hold-ms", 2000.0, 1500.0, 60_000.0
            )
            / 1000,
        )
        is_set = bool(self.text("keys", "work-hold-ms", ""))
        if is_set and times.work_hold_s > times.lease_s:
            detail = f"no grant is longer than lease-s, {times.lease_s:g} s"
            self.add_error("out-of-range", "keys", "work-hold-ms", detail)
        return times

    def _unknown_names(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield unknown sections and keys."""
        for section in self.parser.sections():
            known = SECTIONS.get(section)
            if known is None:
                yield section, ""
                continue
            for key in self.parser[section]:
                if key not in known:
                    yield section, key
