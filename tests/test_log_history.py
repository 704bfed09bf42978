"""Tests of what the operators' commands read from log lines."""

import typing

from bronzepaddle_operators import log_history

LINES: typing.Final = """\
{"message_type": "grant-ended", "timestamp": 2.0, "first": 0, "last": 9, \
"token": 3, "evidence": "released", "left_s": 1.25}
{"message_type": "keys-granted", "timestamp": 1.0, "first": 0, "last": 9, \
"token": 3, "hold_s": 2.5}
"""


def test_history_of_a_key_says_why_its_grant_counts_as_over() -> None:
    entries = list(log_history.read_entries("n1", LINES))
    assert list(log_history.key_history(entries, 5)) == [
        "1.000 n1: holds it with token 3",
        "2.000 n1: the grant with token 3 counts as over (released), "
        "1.250 s before its time",
    ]
    assert not list(log_history.key_history(entries, 10))
