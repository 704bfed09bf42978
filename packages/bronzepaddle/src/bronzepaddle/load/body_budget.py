"""Admits bodies of requests and responses to the memory of a process.

This module only decides; those that read bodies carry the decisions out.  It
is built for these load patterns:

- *Many large bodies at once*, each within the limit on one body.  Memory is
  reserved before a body is read, and a body for which there is no room is
  refused.  The bodies that are held then never exceed the budget.
- *Bodies that stop short of their end.*  They keep what they have reserved, so
  each refusal is reported to ``on_shortage``, which closes the connections of
  callers that make no progress.
- *Long responses that are read slowly.*  They count towards the same budget
  until they are written.

Bodies up to ``SMALL_BYTES`` have room that large ones can't take, so that
ordinary requests are served while large ones are refused.
"""

import collections.abc
import dataclasses
import threading
import typing

MIB: typing.Final = 1024 * 1024
"""Bytes in a mebibyte."""

PROCESS_BYTES: typing.Final = 100 * MIB
"""Memory of a process that is not available to bodies.

It is used by the program itself, its threads and connections, and by the parts
of bodies that are being copied.
"""

DEFAULT_MEMORY_MB: typing.Final = 200
"""Memory of the smallest VM, in MiB."""

MIN_BUDGET_BYTES: typing.Final = 16 * MIB
"""Budget of a process whose VM has hardly more than ``PROCESS_BYTES``."""

SMALL_BYTES: typing.Final = 64 * 1024
"""Size up to which a body is small."""

REQUEST_SHARE: typing.Final = 0.7
"""Share of the budget that large bodies of requests can take.

The rest is for their responses: without room for its response, a request that
has run is lost.
"""

RESPONSE_SHARE: typing.Final = 0.9
"""Share of the budget that large bodies can take in all.

The rest is for small ones.
"""

RETRY_AFTER_S: typing.Final = 1.0
"""Retry-After of a refusal.

Within this time, callers that make no progress are closed.
"""


@dataclasses.dataclass(frozen=True)
class Granted:
    """There is room for the bytes, and they are reserved."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """There is no room for the bytes.

    ``wanted_bytes`` is the size of the body with these bytes.
    """

    wanted_bytes: int
    held_bytes: int
    limit_bytes: int

    def __str__(self) -> str:
        return (
            f"no room for a body of {self.wanted_bytes} bytes: "
            f"{self.held_bytes} of {self.limit_bytes} bytes are held"
        )


def budget_bytes(memory_mb: int) -> int:
    """Return the budget of a process on a VM with ``memory_mb`` MiB."""
    return max(MIN_BUDGET_BYTES, memory_mb * MIB - PROCESS_BYTES)


class BodyBudget:
    """The bytes of all bodies that a process holds; thread-safe.

    ``on_shortage`` is called after each refusal.
    """

    def __init__(
        self, limit_bytes: int = budget_bytes(DEFAULT_MEMORY_MB)
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refusals = 0
        self.on_shortage: collections.abc.Callable[[], None] = lambda: None
        # The garbage collector may release a body while a thread has the lock.
        self.lock = threading.RLock()

    def open(self, share: float) -> "Reservation":
        """Return a reservation for one body, which has no bytes yet.

        ``share`` is the share of the budget that large bodies of its kind can
        take.
        """
        return Reservation(self, share)

    def has_room(
        self, wanted_bytes: int, added_bytes: int, share: float
    ) -> bool:
        """Return whether bytes can be added to a body of a size with them."""
        if added_bytes <= 0:
            return True
        usable_share = 1.0 if wanted_bytes <= SMALL_BYTES else share
        usable_bytes = self.limit_bytes * usable_share
        return self.held_bytes + added_bytes <= usable_bytes

    def change(
        self, reserved_bytes: int, added_bytes: int, share: float
    ) -> Granted | Refused:
        """Add bytes to a body of which ``reserved_bytes`` are reserved."""
        wanted_bytes = reserved_bytes + added_bytes
        with self.lock:
            held_bytes = self.held_bytes
            fits = self.has_room(wanted_bytes, added_bytes, share)
            if fits:
                self.held_bytes += added_bytes
            else:
                self.refusals += 1
        if fits:
            return Granted()
        self.on_shortage()
        return Refused(wanted_bytes, held_bytes, self.limit_bytes)


class Reservation:
    """The reserved bytes of one body; used by one thread at a time."""

    def __init__(self, budget: BodyBudget, share: float) -> None:
        self.budget = budget
        self.share = share
        self.reserved_bytes = 0

    def has_room(self, added_bytes: int) -> bool:
        """Return whether further bytes could be reserved now."""
        return self.budget.has_room(
            self.reserved_bytes + added_bytes, added_bytes, self.share
        )

    def grow(self, added_bytes: int) -> Granted | Refused:
        """Reserve further bytes."""
        decision = self.budget.change(
            self.reserved_bytes, added_bytes, self.share
        )
        match decision:
            case Granted():
                self.reserved_bytes += added_bytes
            case Refused():
                pass
            case _:
                typing.assert_never(decision)
        return decision

    def release(self) -> None:
        """Give all bytes back; may be called again."""
        reserved_bytes, self.reserved_bytes = self.reserved_bytes, 0
        self.budget.change(reserved_bytes, -reserved_bytes, self.share)

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_error: object) -> None:
        self.release()
