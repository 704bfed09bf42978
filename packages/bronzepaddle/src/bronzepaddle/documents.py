"""Decodes JSON documents that other programs may have written.

The decoder raises ``RecursionError`` for deeply nested documents, even where
it would skip the nested part: one such entry would make a whole list
undecodable.  ``decode`` replaces the nested part by ``null`` instead.
"""

import re
import typing

import msgspec

MAX_DEPTH: typing.Final = 64
"""Nesting depth above which values of a nested document are replaced."""

MAX_INTEGER: typing.Final = 2**63 - 1
"""Largest integer of a document that can be sent on to peers."""

MAX_COUNT: typing.Final = 2**31 - 1
"""Largest value of fields that count things."""

Integer: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=MAX_INTEGER)
]
Count: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=MAX_COUNT)
]
Port: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]

_MARKS: typing.Final = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL
)
"""Strings, which may contain brackets, and brackets."""

_Document = typing.TypeVar("_Document")


def decode(body: bytes, document_type: type[_Document]) -> _Document:
    """Decode a document of any depth; raises ``msgspec.DecodeError``."""
    try:
        return msgspec.json.decode(body, type=document_type)
    except RecursionError:
        shallow = replace_deep_values(body)
    return msgspec.json.decode(shallow, type=document_type)


def replace_deep_values(body: bytes) -> bytes:
    """Replace arrays and objects nested below ``MAX_DEPTH`` by ``null``."""
    pieces: list[bytes] = []
    depth = 0
    kept_to = 0
    for mark in _MARKS.finditer(body):
        match mark.group():
            case b"[" | b"{":
                if depth == MAX_DEPTH:
                    pieces += body[kept_to : mark.start()], b"null"
                depth += 1
            case b"]" | b"}":
                depth -= 1
                if depth == MAX_DEPTH:
                    kept_to = mark.end()
    if depth <= MAX_DEPTH:
        pieces.append(body[kept_to:])
    return b"".join(pieces)
