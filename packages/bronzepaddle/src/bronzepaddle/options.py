"""Settings of a process that is a member of a cell, read from an INI file.

``load`` is called once, by the composition root.  Every section and key is
validated, and each error names the file, the section and the key.
"""

import collections.abc
import configparser
import dataclasses
import pathlib
import typing

import returns.result

from bronzepaddle import ids, ini, quorum_leases

SECTIONS: typing.Final = {
    "process": (
        "name",
        "cell",
        "zone",
        "bundle",
        "drain-s",
    ),
    "callers": ("listen", "threads", "max-header-bytes", "idle-s"),
    "control": ("listen",),
    "peers": ("listen", "advertise", "ask-first", "key-file"),
    "platform": ("url", "timeout-s", "calls-per-minute"),
    "backend": ("announce-s",),
    "lease": ("lease-s", "heartbeat-s", "silent-s", "drift"),
    "logs": ("file",),
}


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A host and a TCP or UDP port; for port 0 the system chooses one."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class BackendOptions:
    """Settings for the local backend server.

    ``announce_s`` is the interval of its announcements in seconds.
    """

    announce_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class Options:
    """All settings of a process; times are in seconds.

    ``bundle`` is a file with the configuration to start from.  ``drain_s``
    bounds the time that a stopping process takes to hand its slots over.
    The process listens at ``callers`` for callers' requests, at ``peers`` for
    messages from other processes, and at ``control`` for operators and its
    backend server.  ``threads`` is the number of threads that handle callers'
    requests, ``idle_s`` bounds the time that a caller's connection is kept
    open without a request.  ``advertise`` is the address at which peers reach
    this process, if it differs from ``peers``.  ``seed_addresses`` are peers
    to pull the cell and the bundle from while the store is unreachable.
    ``peer_key`` is the secret key that all processes share.
    """

    name: ids.MemberId
    cell: ids.CellId
    zone: ids.ZoneName
    bundle: pathlib.Path | None
    drain_s: float
    callers: Endpoint
    threads: int
    max_header_bytes: int
    idle_s: float
    control: Endpoint
    peers: Endpoint
    advertise: Endpoint | None
    seed_addresses: tuple[Endpoint, ...]
    peer_key: bytes
    platform_url: str
    platform_timeout_s: float
    platform_calls_per_minute: int
    backend: BackendOptions
    lease_times: quorum_leases.LeaseTimes
    log_file: pathlib.Path | None


@dataclasses.dataclass(frozen=True)
class OptionsError:
    """An error in the settings."""

    file: str
    section: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Return the error as a human-readable line."""
        return f"{self.file}: [{self.section}] {self.key}: {self.detail}"


OptionsResult: typing.TypeAlias = returns.result.Result[
    Options, tuple[OptionsError, ...]
]


@dataclasses.dataclass(frozen=True)
class Override:
    """A setting of the command line that replaces one of the file.

    An empty ``value`` leaves the setting as it is in the file.
    """

    section: str
    key: str
    value: str


Overrides: typing.TypeAlias = collections.abc.Sequence[Override]


def parse_override(text: str) -> Override:
    """Parse ``SECTION.KEY=VALUE``.

    Raises ``ValueError`` if the text has another form.
    """
    name, equals, value = text.partition("=")
    section, dot, key = name.partition(".")
    if not (equals and dot and section and key):
        raise ValueError(f"{text!r} is not SECTION.KEY=VALUE")
    return Override(section, key, value)


def load(path: pathlib.Path, overrides: Overrides = ()) -> OptionsResult:
    """Return the settings in a file, or all errors in them."""
    return load_with(path, _Reader, _Reader.options, overrides)


_Settings = typing.TypeVar("_Settings")
_ReaderType = typing.TypeVar("_ReaderType", bound="SettingsReader")


def load_with(
    path: pathlib.Path,
    reader_type: type[_ReaderType],
    read: collections.abc.Callable[[_ReaderType], _Settings],
    overrides: Overrides = (),
) -> returns.result.Result[_Settings, tuple[OptionsError, ...]]:
    """Read a settings file with ``read``; return its result or all errors."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = str(error).replace("\n", " ")
        return returns.result.Failure(
            (OptionsError(str(path), "", "", detail),)
        )
    for override in overrides:
        if override.value:
            if not parser.has_section(override.section):
                parser.add_section(override.section)
            parser.set(override.section, override.key, override.value)
    reader = reader_type(path, parser)
    settings = read(reader)
    if reader.errors:
        return returns.result.Failure(tuple(reader.errors))
    return returns.result.Success(settings)


class SettingsReader(ini.Reader):
    """Reads the values of a settings file and collects its errors."""

    def __init__(
        self, path: pathlib.Path, parser: configparser.ConfigParser
    ) -> None:
        self.path = path
        super().__init__(parser)
        self.errors: list[OptionsError] = []

    def endpoint(self, section: str, key: str = "listen") -> Endpoint:
        """Read HOST:PORT."""
        return self.parse_endpoint(section, key, self.text(section, key))

    def parse_endpoint(self, section: str, key: str, value: str) -> Endpoint:
        """Parse HOST:PORT."""
        host, colon, port = value.rpartition(":")
        if not (host and colon and port.isdecimal() and int(port) < 65_536):
            if value:
                self.add_error(
                    "bad-endpoint", section, key, f"HOST:PORT, not {value}"
                )
            return Endpoint("", 0)
        return Endpoint(host, int(port))

    def add_error(
        self, code: str, section: str, key: str, detail: str
    ) -> None:
        """Record an error."""
        self.errors.append(OptionsError(str(self.path), section, key, detail))


class _Reader(SettingsReader):
    """Converts the sections to options and collects all errors."""

    def options(self) -> Options:
        """Read all sections."""
        self.check_names()
        return Options(
            name=ids.MemberId(self.text("process", "name")),
            cell=ids.CellId(self.text("process", "cell", "cell-1")),
            zone=ids.ZoneName(self.text("process", "zone")),
            bundle=self.path_value("process", "bundle"),
            drain_s=self.number("process", "drain-s", 30.0, 0.0, 3600.0),
            callers=self.endpoint("callers", "listen"),
            threads=self.integer("callers", "threads", 96, 4, 1000),
            max_header_bytes=self.integer(
                "callers", "max-header-bytes", 32_768, 1024, 1 << 20
            ),
            idle_s=self.number("callers", "idle-s", 10.0, 0.1, 3600.0),
            control=self.endpoint("control", "listen"),
            peers=self.endpoint("peers", "listen"),
            advertise=self.optional_endpoint("peers", "advertise"),
            seed_addresses=tuple(self.endpoints("peers", "ask-first")),
            peer_key=self.key_bytes("peers", "key-file"),
            platform_url=self.text("platform", "url"),
            platform_timeout_s=self.number(
                "platform", "timeout-s", 2.0, 0.05, 60.0
            ),
            platform_calls_per_minute=self.integer(
                "platform", "calls-per-minute", 600, 1, 100_000
            ),
            backend=self.backend(),
            lease_times=self.lease_times(),
            log_file=self.path_value("logs", "file"),
        )

    def backend(self) -> BackendOptions:
        """Read [backend]."""
        return BackendOptions(
            announce_s=self.number("backend", "announce-s", 0.5, 0.05, 60.0),
        )

    def lease_times(self) -> quorum_leases.LeaseTimes:
        """Read [lease]."""
        times = quorum_leases.LeaseTimes(
            lease_s=self.number("lease", "lease-s", 2.5, 0.1, 60.0),
            heartbeat_s=self.number("lease", "heartbeat-s", 0.5, 0.01, 30.0),
            suspicion_timeout_s=self.number(
                "lease", "silent-s", 1.5, 0.05, 60.0
            ),
            drift=self.number("lease", "drift", 0.05, 0.0, 0.5),
        )
        if times.heartbeat_s * 3 > times.lease_s:
            self.add_error(
                "too-long",
                "lease",
                "heartbeat-s",
                "at most a third of lease-s",
            )
        return times

    def check_names(self) -> None:
        """Report unknown sections and keys."""
        for section in self.parser.sections():
            known = SECTIONS.get(section)
            if known is None:
                names = ", ".join(SECTIONS)
                self.add_error(
                    "unknown-section",
                    section,
                    "",
                    f"unknown section; one of {names}",
                )
                continue
            for key in self.parser[section]:
                if key not in known:
                    self.add_error(
                        "unknown-key",
                        section,
                        key,
                        f"unknown key; one of {', '.join(known)}",
                    )

    def path_value(self, section: str, key: str) -> pathlib.Path | None:
        """Read a path, relative to the directory of the settings file."""
        value = self.text(section, key, "")
        return self.path.parent / value if value else None

    def key_bytes(self, section: str, key: str) -> bytes:
        """Read the file with the secret key that the processes share."""
        path = self.path_value(section, key)
        if path is None:
            return b""
        try:
            return path.read_bytes().strip()
        except OSError as error:
            self.add_error(
                "unreadable", section, key, f"can't be read: {error.strerror}"
            )
            return b""

    def optional_endpoint(self, section: str, key: str) -> Endpoint | None:
        """Read HOST:PORT; None if it is not given."""
        value = self.text(section, key, "")
        return self.parse_endpoint(section, key, value) if value else None

    def endpoints(
        self, section: str, key: str
    ) -> collections.abc.Iterator[Endpoint]:
        """Read a list of HOST:PORT."""
        for word in self.words(section, key):
            yield self.parse_endpoint(section, key, word)
