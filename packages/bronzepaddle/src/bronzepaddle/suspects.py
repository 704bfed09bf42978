"""Requests that may crash the backend servers that run them.

Whatever was in flight when a backend server died is a suspect, in every
process.  A suspect runs only with no other work beside it; if it comes
through, it is cleared; if a second server dies of it, it is refused.  The
table is bounded and forgets with time.
"""

import collections
import threading
import typing

import xxhash

from bronzepaddle import ids

CRASHES_BEFORE_REFUSAL: typing.Final = 2
FORGET_AFTER_S: typing.Final = 3600.0
MOST_SUSPECTS: typing.Final = 1024

Fingerprint = typing.NewType("Fingerprint", str)
"""What two sendings of one request have in common."""


class Standing(typing.NamedTuple):
    """How often a suspect was in flight at a crash, and when last."""

    crashes: int
    at: float


def fingerprint(
    service: ids.ServiceName, method: str, target: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request with the start of its body."""
    text = f"{service}\0{method}\0{target}\0"
    return Fingerprint(xxhash.xxh3_128_hexdigest(text.encode() + body))


class Suspects:
    """The suspects that one process knows; safe from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.known: collections.OrderedDict[Fingerprint, Standing] = (
            collections.OrderedDict()
        )

    def crashes(self, one: Fingerprint, now: float) -> int:
        """Return the crashes that a request was in flight at."""
        found = self.standing(one, now)
        return 0 if found is None else found.crashes

    def standing(self, one: Fingerprint, now: float) -> Standing | None:
        """Return the standing of a suspect, None of any other request."""
        with self.lock:
            found = self.known.get(one)
        if found is None or now - found.at > FORGET_AFTER_S:
            return None
        return found

    def note(self, one: Fingerprint, crashes: int, now: float) -> None:
        """Take in that a request has been in flight at so many crashes."""
        with self.lock:
            found = self.known.get(one)
            if found is not None and now - found.at <= FORGET_AFTER_S:
                crashes = max(crashes, found.crashes)
            self.known[one] = Standing(crashes, now)
            self.known.move_to_end(one)
            while len(self.known) > MOST_SUSPECTS:
                self.known.popitem(last=False)

    def clear(self, one: Fingerprint) -> None:
        """Forget a suspect that ran alone and came through."""
        with self.lock:
            self.known.pop(one, None)
