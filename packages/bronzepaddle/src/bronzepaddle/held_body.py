"""Bodies of requests and responses in memory that is reserved from a budget.

A large body is received into one anonymous memory map.  It is not copied
again, its pages are used only once bytes arrive in them, and they are given
back to the system when the last view of it is gone, whatever threads or
messages have used it.  Its reservation ends at the same time.
"""

import collections.abc
import mmap
import typing
import weakref

from bronzepaddle import http_messages
from bronzepaddle.load import body_budget


class NoRoomError(Exception):
    """The budget has no room for a body."""

    def __init__(self, refused: body_budget.Refused) -> None:
        super().__init__(str(refused))
        self.refused = refused


class HeldBody:
    """A body that is being received, of at most ``max_bytes``."""

    def __init__(
        self, budget: body_budget.BodyBudget, max_bytes: int, share: float
    ) -> None:
        self.reservation = budget.open(share)
        self.max_bytes = max_bytes
        self.size = 0
        # Empty until memory is reserved.
        self.memory = memoryview(b"")

    def has_room(self, size: int) -> bool:
        """Return whether memory for ``size`` bytes could be reserved now."""
        return self.reservation.has_room(
            size - self.reservation.reserved_bytes
        )

    def reserve(self, size: int) -> None:
        """Reserve memory for ``size`` bytes in all.

        Raises ``NoRoomError``.
        """
        added_bytes = size - self.reservation.reserved_bytes
        if added_bytes <= 0:
            return
        match self.reservation.grow(added_bytes):
            case body_budget.Granted():
                if not self.memory:
                    self._map_memory(size)
            case body_budget.Refused() as refused:
                raise NoRoomError(refused)
            case never:
                typing.assert_never(never)

    def _map_memory(self, size: int) -> None:
        """Map the memory for the whole body; raises ``NoRoomError``."""
        budget = self.reservation.budget
        try:
            memory = mmap.mmap(
                -1,
                max(1, self.max_bytes),
                flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS,
            )
        except OSError as error:
            self.reservation.release()
            raise NoRoomError(
                body_budget.Refused(
                    size, budget.held_bytes, budget.limit_bytes
                )
            ) from error
        self.memory = memoryview(memory)
        # The reservation must not end before the memory is given back, which
        # happens when the last view of it is gone.
        at_end = weakref.finalize(memory, self.reservation.release)
        at_end.atexit = False

    def append(self, data: bytes) -> None:
        """Reserve memory for further bytes, and add them.

        Raises ``NoRoomError``, or ``ValueError`` if the body becomes larger
        than its maximum.
        """
        end = self.size + len(data)
        if end > self.max_bytes:
            raise ValueError("the body is larger than announced")
        self.reserve(end)
        self.memory[self.size : end] = data
        self.size = end

    def received(self) -> memoryview:
        """Return the bytes received so far."""
        return self.memory[: self.size]


class Pieces(collections.abc.Iterator[bytes]):
    """The body of a response, in pieces of ``http_messages.CHUNK_BYTES``.

    ``size`` is the size of the whole body.
    """

    def __init__(self, body: bytes | memoryview) -> None:
        self.body = memoryview(body)
        self.size = len(self.body)
        self.position = 0

    def __next__(self) -> bytes:
        start = self.position
        if start >= self.size:
            raise StopIteration
        self.position = start + http_messages.CHUNK_BYTES
        return bytes(self.body[start : self.position])

    def take_rest(self) -> memoryview:
        """Return all that has not been returned yet, without a copy."""
        start, self.position = self.position, self.size
        return self.body[start:]
