"""The load that a backend server reports in its responses.

The header contains the numbers of running and waiting requests and of slots,
separated by commas, and from some servers a fourth figure: how long work takes
at the moment, 100 if as long as usual.  Only that figure is used.  The process
beside the server sends it all of its requests, so it knows the others itself.
"""

import re
import typing

from bronzepaddle import http_messages

_LOAD: typing.Final = re.compile(
    r" *[0-9]{1,9} *, *[0-9]{1,9} *, *[0-9]{1,9} *, *([0-9]{1,9}) *"
)


def slowness(headers: http_messages.Headers, name: str) -> float | None:
    """Return how long work takes, as a multiple of the usual time.

    Returns None if the header is missing, has no such figure or is malformed.
    """
    wanted = name.lower()
    for header, value in headers:
        if header.lower() == wanted:
            match = _LOAD.fullmatch(value)
            percent = 0 if match is None else int(match[1])
            return percent / 100 if percent else None
    return None
