"""Decides which connection the next free thread serves.

It is built for *many requests that stop short of their end*.  Each of them
costs a thread some time, so that an ordinary request behind them would wait
for all of that.  Requests that have arrived completely are therefore served
first, but every ``INCOMPLETE_TURN``-th turn is that of an incomplete one.
"""

import collections
import re
import typing

INCOMPLETE_TURN: typing.Final = 4
"""Turns of which one is that of an incomplete request, if both kinds wait."""

_HEAD_END: typing.Final = b"\r\n\r\n"
_LENGTH: typing.Final = re.compile(
    rb"\r\ncontent-length:[ \t]*(\d{1,18})[ \t]*\r\n", re.IGNORECASE
)
_CHUNKED: typing.Final = re.compile(
    rb"\r\ntransfer-encoding:[ \t]*chunked", re.IGNORECASE
)
_CHUNKED_END: typing.Final = b"\r\n0\r\n\r\n"

_Item = typing.TypeVar("_Item")


def is_complete(received: bytes) -> bool:
    """Return whether the bytes received contain a whole request.

    A wrong result only changes the order.
    """
    head_size = received.find(_HEAD_END) + len(_HEAD_END)
    if head_size < len(_HEAD_END):
        return False
    head = received[:head_size]
    if _CHUNKED.search(head):
        return received.endswith(_CHUNKED_END)
    length = _LENGTH.search(head)
    body_size = int(length[1]) if length else 0
    return len(received) >= head_size + body_size


class ArrivalOrder(typing.Generic[_Item]):
    """The items that wait for a thread; the user has to synchronize."""

    def __init__(self) -> None:
        self.complete: collections.deque[_Item] = collections.deque()
        self.incomplete: collections.deque[_Item] = collections.deque()
        self.turns = 0

    def __len__(self) -> int:
        return len(self.complete) + len(self.incomplete)

    def add(self, item: _Item, complete: bool) -> None:
        """Add an item behind those of its kind."""
        (self.complete if complete else self.incomplete).append(item)

    def take(self) -> _Item:
        """Remove and return the next item; raises ``IndexError``."""
        self.turns += 1
        is_incomplete_turn = self.turns % INCOMPLETE_TURN == 0
        if self.incomplete and (is_incomplete_turn or not self.complete):
            return self.incomplete.popleft()
        return self.complete.popleft()
