"""Reads and checks a configuration bundle written in INI.

Input is the text of a bundle, output the ``Bundle`` or every error in it,
each with its section, key and a stable code.  The command line and every
process use this same check, so that none accepts what another refuses.
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
DEFAULT_QUEUE: typing.Final = 32
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
    """One thing wrong with a bundle; ``code`` is stable."""

    code: str
    section: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Return the error as a line for people."""
        return f"[{self.section}] {self.key}: {self.detail} ({self.code})"


BundleResult: typing.TypeAlias = returns.result.Result[
    bundles.Bundle, tuple[BundleError, ...]
]


def parse(text: str) -> BundleResult:
    """Return the bundle in ``text``, or all its errors."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        detail = str(error).replace("\n", " ")
        return returns.result.Failure((BundleError("syntax", "", "", detail),))
    reader = _Reader(parser)
    found = reader.bundle()
    if reader.errors:
        return returns.result.Failure(tuple(reader.errors))
    return returns.result.Success(found)


class _Reader(ini.Reader):
    """Turns sections into a bundle and gathers every error on the way."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        super().__init__(parser)
        self.errors: list[BundleError] = []

    def bundle(self) -> bundles.Bundle:
        """Read all sections."""
        version = self.whole("bundle", "version", None, 1, 1 << 62)
        self.check_keys("bundle", _BUNDLE_KEYS)
        self.check_sections()
        priorities = {
            one.name: one for one in map(self.priority, self.named("priority"))
        }
        services = {
            one.name: one for one in map(self.service, self.named("service"))
        }
        self.check_whole(priorities, services)
        return bundles.Bundle(ids.BundleVersion(version), priorities, services)

    def named(self, kind: str) -> collections.abc.Iterator[str]:
        """Yield the names of the sections of one kind."""
        for section in self.parser.sections():
            word, _, name = section.partition(" ")
            if word == kind and self.good_name(section, name):
                yield name

    def good_name(self, section: str, name: str) -> bool:
        """Check the name in a section's heading."""
        if _NAME.fullmatch(name):
            return True
        self.wrong(
            "bad-name", section, "", "names are a-z, 0-9 and -, up to 63"
        )
        return False

    def check_sections(self) -> None:
        """Reject sections of a kind that does not exist."""
        for section in self.parser.sections():
            word = section.partition(" ")[0]
            if section != "bundle" and word not in ("priority", "service"):
                self.wrong(
                    "unknown-section",
                    section,
                    "",
                    "sections are [bundle], [priority NAME], [service NAME]",
                )

    def check_keys(self, section: str, known: tuple[str, ...]) -> None:
        """Reject keys that mean nothing, with the nearest that does."""
        if not self.parser.has_section(section):
            return
        for key in self.parser[section]:
            if key in known:
                continue
            near = difflib.get_close_matches(key, known, n=1)
            hint = f"; did you mean {near[0]}?" if near else ""
            self.wrong("unknown-key", section, key, f"unknown key{hint}")

    def priority(self, name: str) -> bundles.Priority:
        """Read one [priority NAME] section."""
        section = f"priority {name}"
        self.check_keys(section, _PRIORITY_KEYS)
        return bundles.Priority(
            name=ids.PriorityName(name),
            rank=self.whole(section, "rank", None, 0, 99),
            share=self.number(section, "share", None, 0.0, 1.0),
            ceiling=self.number(section, "ceiling", 1.0, 0.01, 1.0),
            queue=self.whole(section, "queue", DEFAULT_QUEUE, 0, 10_000),
            deadline_s=self.number(
                section, "deadline-s", DEFAULT_DEADLINE_S, 0.001, 86_400.0
            ),
        )

    def service(self, name: str) -> bundles.Service:
        """Read one [service NAME] section."""
        section = f"service {name}"
        self.check_keys(section, _SERVICE_KEYS)
        key = self.key_rule(section)
        keyed = key.source is not bundles.KeySource.NONE
        slots = self.whole(
            section, "slots", DEFAULT_SLOTS if keyed else 0, 0, MAX_SLOTS
        )
        if keyed != (slots > 0):
            self.wrong(
                "slots", section, "slots", "a keyed service needs slots"
            )
        return bundles.Service(
            name=ids.ServiceName(name),
            host=self.text(section, "host", "").lower(),
            prefix=self.prefix(section, self.text(section, "prefix", None)),
            former_prefixes=tuple(
                self.prefix(section, word)
                for word in self.words(section, "former-prefixes")
            ),
            key=key,
            slots=slots,
            priority=ids.PriorityName(self.text(section, "priority", None)),
            idempotent_methods=frozenset(
                word.upper()
                for word in self.words(section, "idempotent-methods")
            )
            or bundles.IDEMPOTENT_METHODS,
            max_body_bytes=self.whole(
                section, "max-body-bytes", DEFAULT_MAX_BODY_BYTES, 0, 1 << 40
            ),
        )

    def prefix(self, section: str, prefix: str) -> str:
        """Check a path prefix and return it without a closing slash."""
        if prefix and not prefix.startswith("/"):
            self.wrong("bad-prefix", section, "prefix", "starts with /")
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
                self.wrong(
                    "bad-key-rule",
                    section,
                    "key",
                    "is none, path N, header NAME or query NAME",
                )
                return bundles.KeyRule(bundles.KeySource.NONE)

    def check_whole(
        self,
        priorities: dict[ids.PriorityName, bundles.Priority],
        services: dict[ids.ServiceName, bundles.Service],
    ) -> None:
        """Check what spans several sections."""
        if sum(one.share for one in priorities.values()) > 1.0:
            self.wrong("shares", "bundle", "", "the shares exceed 1 in sum")
        ranks = [one.rank for one in priorities.values()]
        if len(set(ranks)) < len(ranks):
            self.wrong("ranks", "bundle", "", "two priorities share a rank")
        if not services:
            self.wrong("empty", "bundle", "", "has no service")
        taken: dict[tuple[str, str], str] = {}
        for one in services.values():
            section = f"service {one.name}"
            if one.priority not in priorities:
                self.wrong(
                    "unknown-priority",
                    section,
                    "priority",
                    f"no section [priority {one.priority}]",
                )
            for prefix in (one.prefix, *one.former_prefixes):
                other = taken.setdefault((one.host, prefix), one.name)
                if other != one.name:
                    self.wrong(
                        "same-prefix",
                        section,
                        "prefix",
                        f"{prefix or '/'} belongs to service {other}",
                    )

    def wrong(self, code: str, section: str, key: str, detail: str) -> None:
        """Note an error and go on."""
        self.errors.append(BundleError(code, section, key, detail))
