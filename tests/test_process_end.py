"""Tests of which requests a process still begins before it ends."""

import typing

from bronzepaddle_node import process_end

END: typing.Final = process_end.ProcessEnd(known_at=10.0, ends_at=13.0)


def test_process_without_an_end_begins_all() -> None:
    """A process that has not been asked to stop begins every request."""
    assert process_end.NEVER.may_begin(
        now=1e9, mean_s=100.0, time_left_s=1000.0
    )


def test_mean_run_time_decides_until_callers_know_of_the_end() -> None:
    """Until ``known_at``, three times the mean must fit, not the deadline.

    Guards against all requests with long deadlines being rejected at once:
    callers send new requests until they know of the end.
    """
    assert END.may_begin(now=9.9, mean_s=1.0, time_left_s=60.0)
    assert not END.may_begin(now=9.9, mean_s=1.1, time_left_s=0.5)


def test_deadline_decides_once_callers_know_of_the_end() -> None:
    """From ``known_at`` on, the deadline must not be after the end.

    Guards against late requests that outlast the mean run time: they were
    begun, and cut off while their server was at work.
    """
    assert END.may_begin(now=10.0, mean_s=0.1, time_left_s=3.0)
    assert not END.may_begin(now=10.0, mean_s=0.1, time_left_s=3.1)


def test_nothing_is_begun_at_the_end() -> None:
    """Not even a request with no expected run time and little time left."""
    assert not process_end.NOW.may_begin(
        now=0.0, mean_s=0.0, time_left_s=0.001
    )
