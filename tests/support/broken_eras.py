"""Deliberately broken builds of what follows a return of the store.

Each variant disables one safeguard of ``restoration``, ``restored_ownership``
or ``ownership_view`` by patching the code.
"""

import collections.abc
import contextlib
import typing
import unittest.mock

from bronzepaddle import key_ranges, restored_ownership, store_versions
from bronzepaddle_node import configuration
from bronzepaddle_node.keys import ownership_view, restoration

_Patches: typing.TypeAlias = list[typing.Any]


def _revisions_only() -> _Patches:
    """Compare versions of different eras by their revisions."""

    def equal(self: store_versions.StoreVersion, other: object) -> bool:
        return (
            isinstance(other, store_versions.StoreVersion)
            and self.revision == other.revision
        )

    def less(
        self: store_versions.StoreVersion, other: store_versions.StoreVersion
    ) -> bool:
        return self.revision < other.revision

    def greater(
        self: store_versions.StoreVersion, other: store_versions.StoreVersion
    ) -> bool:
        return self.revision > other.revision

    comparisons = {"__eq__": equal, "__lt__": less, "__gt__": greater}
    return [
        unittest.mock.patch.object(store_versions.StoreVersion, name, compare)
        for name, compare in comparisons.items()
    ]


def _copy_in_force() -> _Patches:
    """Act on the copy, and renew leases by it, as if nothing were lost."""
    return [
        unittest.mock.patch.object(
            ownership_view.VersionedOwnership, "in_force", lambda _: True
        )
    ]


def _tokens_of_the_copy() -> _Patches:
    """Go on with the next token of the ownership that is restored."""
    return [
        unittest.mock.patch.object(restored_ownership, name, 0)
        for name in ("TOKENS_PER_ERA", "TOKENS_PER_WRITE")
    ]


def _tokens_of_the_era() -> _Patches:
    """Begin with the same token at each restore of an era."""
    return [
        unittest.mock.patch.object(restored_ownership, "TOKENS_PER_WRITE", 0)
    ]


def _no_wait() -> _Patches:
    """Restore at once, while leases of the last era are in force."""

    def due(
        self: restoration.Restoration, _now: float, _rank: int
    ) -> restoration.OutdatedObject | None:
        return self.outdated

    return [unittest.mock.patch.object(restoration.Restoration, "due", due)]


def _one_wait() -> _Patches:
    """Wait only once, though the object was restored and lost again."""

    def record(
        self: restoration.Restoration,
        version: store_versions.StoreVersion,
        ownership: key_ranges.Ownership | None,
        now: float,
    ) -> None:
        since = now if self.outdated is None else self.outdated.first_seen_at
        self.outdated = restoration.OutdatedObject(version, ownership, since)

    return [
        unittest.mock.patch.object(restoration.Restoration, "record", record)
    ]


def _copy_only() -> _Patches:
    """Restore what the copy has, whatever the members know."""

    def newest(
        candidates: collections.abc.Iterable[key_ranges.Ownership | None],
    ) -> key_ranges.Ownership | None:
        return list(candidates)[-1]

    return [unittest.mock.patch.object(restored_ownership, "newest", newest)]


def _configuration_of_the_store() -> _Patches:
    """Take the configuration of the store for newer than the one in force."""
    original = configuration.Configuration.adopt

    def adopt(
        self: configuration.Configuration, document: bytes, source: str
    ) -> None:
        if source == "store":
            self.route_table = None
        original(self, document, source)

    return [
        unittest.mock.patch.object(configuration.Configuration, "adopt", adopt)
    ]


VARIANTS: typing.Final[dict[str, collections.abc.Callable[[], _Patches]]] = {
    "revisions-only": _revisions_only,
    "copy-in-force": _copy_in_force,
    "tokens-of-the-copy": _tokens_of_the_copy,
    "tokens-of-the-era": _tokens_of_the_era,
    "no-wait": _no_wait,
    "one-wait": _one_wait,
    "copy-only": _copy_only,
    "configuration-of-the-store": _configuration_of_the_store,
}


@contextlib.contextmanager
def patched(variant: str) -> collections.abc.Iterator[None]:
    """Apply the patches of a variant."""
    with contextlib.ExitStack() as stack:
        for patch in VARIANTS[variant]():
            stack.enter_context(patch)
        yield
