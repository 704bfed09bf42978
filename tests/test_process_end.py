"""Tests of which requests a process still begins before it ends."""

from bronzepaddle_node import process_end

END = process_end.ProcessEnd(known_at=10.0, ends_at=13.0)


def test_process_that_goes_on_begins_all() -> None:
    assert process_end.NEVER.may_begin(1e9, 100.0, 1000.0)


def test_expected_end_counts_until_callers_know() -> None:
    """Guards against all requests with long deadlines being rejected at once.

    Callers send new requests until they know of the end.
    """
    assert END.may_begin(9.9, 1.0, 60.0)
    assert not END.may_begin(9.9, 1.1, 0.5)


def test_late_request_must_be_over_at_the_end() -> None:
    """Guards against late requests that outlast the mean run time.

    They were begun, and cut off while their server was at work.
    """
    assert END.may_begin(10.0, 0.1, 3.0)
    assert not END.may_begin(10.0, 0.1, 3.1)


def test_nothing_is_begun_at_the_end() -> None:
    assert not process_end.NOW.may_begin(0.0, 0.0, 0.001)
