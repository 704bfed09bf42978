"""Parses and validates a configuration bundle in INI format.

``parse`` returns the ``Bundle`` or all errors in the text, each with its
section, its key and a stable code.  The command line and all processes use
this one parser, so that none accepts what another rejects.
"""

import collections.abc
import configparser
import dataclasses
import difflib
import re
import typing

import returns.result

from bronzepaddle import bundles, ids, ini

MAX_SLOTS: typing.Final = 1 << 20
DEFAULT_SLOTS: typing.Final = 256
DEFAULT_DEADLINE_S: typing.Final = 10.0
DEFAULT_MAX_WAITING: typing.Final = 32
DEFAULT_MAX_BODY_BYTES: typing.Final = 1 << 30

_NAME: typing.Final = re.compile(r"[a-z][a-z0-9-]{0,62}")
_BUNDLE_KEYS: typing.Final = ("version",)
_PRIORITY_KEYS: typing.Final = (
    "rank",
    "share",
    "ceiling",
    "queue",
    "deadline-s",
)
_SERVICE_KEYS: typing.Final = (
    "host",
    "prefix",
    "former-prefixes",
    "key",
    "slots",
    "priority",
    "idempotent-methods",
    "max-body-bytes",
)


@dataclasses.dataclass(frozen=True)
class BundleError:
    """An error in a bundle; ``code`` is stable."""

    code: str
    section: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Return the error as a human-readable line."""
        return f"[{self.section}] {self.key}: {self.detail} ({self.code})"


BundleResult: typing.TypeAlias = returns.result.Result[
    bundles.Bundle, tuple[BundleError, ...]
]


def parse(text: str) -> BundleResult:
    """Return the bundle in ``text``, or all errors in it."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        detail = str(error).replace("\n", " ")
        return returns.result.Failure((BundleError("syntax", "", "", detail),))
    reader = _Reader(parser)
    bundle = reader.bundle()
    if reader.errors:
        return returns.result.Failure(tuple(reader.errors))
    return returns.result.Success(bundle)


class _Reader(ini.Reader):
    """Converts the sections to a bundle and collects all errors."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        super().__init__(parser)
        self.errors: list[BundleError] = []

    def bundle(self) -> bundles.Bundle:
        """Read all sections."""
        version = self.integer("bundle", "version", None, 1, 1 << 62)
        self.check_keys("bundle", _BUNDLE_KEYS)
        self.check_sections()
        priorities = {
            priority.name: priority
            for priority in map(self.priority, self.section_names("priority"))
        }
        services = {
            service.name: service
            for service in map(self.service, self.section_names("service"))
        }
        self.check_consistency(priorities, services)
        return bundles.Bundle(ids.BundleVersion(version), priorities, services)

    def section_names(self, kind: str) -> collections.abc.Iterator[str]:
        """Yield the valid names of the sections [kind NAME]."""
        for section in self.parser.sections():
            section_kind, _, name = section.partition(" ")
            if section_kind == kind and self.check_name(section, name):
                yield name

    def check_name(self, section: str, name: str) -> bool:
        """Return whether the name in a section heading is valid."""
        if _NAME.fullmatch(name):
            return True
        self.add_error(
            "bad-name",
            section,
            "",
            "a name has at most 63 characters a-z, 0-9 and -, "
            "the first of them a letter",
        )
        return False

    def check_sections(self) -> None:
        """Report sections of unknown kinds."""
        for section in self.parser.sections():
            kind = section.partition(" ")[0]
            if section != "bundle" and kind not in ("priority", "service"):
                self.add_error(
                    "unknown-section",
                    section,
                    "",
                    "unknown section; one of [bundle], [priority NAME], "
                    "[service NAME]",
                )

    def check_keys(self, section: str, allowed: tuple[str, ...]) -> None:
        """Report unknown keys, each with the most similar allowed key."""
        if not self.parser.has_section(section):
            return
        for key in self.parser[section]:
            if key in allowed:
                continue
            similar = difflib.get_close_matches(key, allowed, n=1)
            hint = f"; did you mean {similar[0]}?" if similar else ""
            self.add_error("unknown-key", section, key, f"unknown key{hint}")

    def priority(self, name: str) -> bundles.Priority:
        """Read a [priority NAME] section."""
        section = f"priority {name}"
        self.check_keys(section, _PRIORITY_KEYS)
        return bundles.Priority(
            name=ids.PriorityName(name),
            rank=self.integer(section, "rank", None, 0, 99),
            share=self.number(section, "share", None, 0.0, 1.0),
            ceiling=self.number(section, "ceiling", 1.0, 0.01, 1.0),
            max_waiting=self.integer(
                section, "queue", DEFAULT_MAX_WAITING, 0, 10_000
            ),
            deadline_s=self.number(
                section, "deadline-s", DEFAULT_DEADLINE_S, 0.001, 86_400.0
            ),
        )

    def service(self, name: str) -> bundles.Service:
        """Read a [service NAME] section."""
        section = f"service {name}"
        self.check_keys(section, _SERVICE_KEYS)
        key_rule = self.key_rule(section)
        keyed = key_rule.source is not bundles.KeySource.NONE
        slots = self.integer(
            section, "slots", DEFAULT_SLOTS if keyed else 0, 0, MAX_SLOTS
        )
        if keyed != (slots > 0):
            self.add_error(
                "slots",
                section,
                "slots",
                "must be above 0 if the service has a key, and 0 otherwise",
            )
        return bundles.Service(
            name=ids.ServiceName(name),
            host=self.text(section, "host", "").lower(),
            prefix=self.normalized_prefix(
                section, self.text(section, "prefix", None)
            ),
            former_prefixes=tuple(
                self.normalized_prefix(section, word)
                for word in self.words(section, "former-prefixes")
            ),
            key_rule=key_rule,
            slots=slots,
            priority=ids.PriorityName(self.text(section, "priority", None)),
            idempotent_methods=frozenset(
                word.upper()
                for word in self.words(section, "idempotent-methods")
            )
            or bundles.IDEMPOTENT_METHODS,
            max_body_bytes=self.integer(
                section, "max-body-bytes", DEFAULT_MAX_BODY_BYTES, 0, 1 << 40
            ),
        )

    def normalized_prefix(self, section: str, prefix: str) -> str:
        """Check a path prefix and return it without a trailing slash."""
        if prefix and not prefix.startswith("/"):
            self.add_error(
                "bad-prefix", section, "prefix", "must start with /"
            )
        return prefix.rstrip("/")

    def key_rule(self, section: str) -> bundles.KeyRule:
        """Read ``none``, ``path N``, ``header NAME`` or ``query NAME``."""
        words = self.text(section, "key", "none").split()
        match words:
            case ["none"]:
                return bundles.KeyRule(bundles.KeySource.NONE)
            case ["path", number] if number.isdecimal():
                return bundles.KeyRule(bundles.KeySource.PATH, number)
            case ["header", name]:
                return bundles.KeyRule(bundles.KeySource.HEADER, name.lower())
            case ["query", name]:
                return bundles.KeyRule(bundles.KeySource.QUERY, name)
            case _:
                self.add_error(
                    "bad-key-rule",
                    section,
                    "key",
                    "must be none, path N, header NAME or query NAME",
                )
                return bundles.KeyRule(bundles.KeySource.NONE)

    def check_consistency(
        self,
        priorities: dict[ids.PriorityName, bundles.Priority],
        services: dict[ids.ServiceName, bundles.Service],
    ) -> None:
        """Check rules that concern several sections."""
        if sum(priority.share for priority in priorities.values()) > 1.0:
            self.add_error(
                "shares", "bundle", "", "the sum of the shares exceeds 1"
            )
        ranks = [priority.rank for priority in priorities.values()]
        if len(set(ranks)) < len(ranks):
            self.add_error(
                "ranks", "bundle", "", "two priorities have the same rank"
            )
        if not services:
            self.add_error("empty", "bundle", "", "the bundle has no service")
        prefix_owners: dict[tuple[str, str], str] = {}
        for service in services.values():
            section = f"service {service.name}"
            if service.priority not in priorities:
                self.add_error(
                    "unknown-priority",
                    section,
                    "priority",
                    f"no section [priority {service.priority}]",
                )
            for prefix in (service.prefix, *service.former_prefixes):
                first_service = prefix_owners.setdefault(
                    (service.host, prefix), service.name
                )
                if first_service != service.name:
                    self.add_error(
                        "same-prefix",
                        section,
                        "prefix",
                        f"{prefix or '/'} belongs to service {first_service}",
                    )

    def add_error(
        self, code: str, section: str, key: str, detail: str
    ) -> None:
        """Record an error."""
        self.errors.append(BundleError(code, section, key, detail))
