"""Tests of grants that travel in the reports of a backend server."""

import typing

import msgspec
import pytest
from bronzepaddle import ids
from bronzepaddle_backend import key_grants, key_reports, server_tracker
from bronzepaddle_node import issued_grants, reported_grants
from bronzepaddle_platform import registry

UNTIL: typing.Final = 100.0


def report(
    held: list[tuple[int, int, int]],
    released: list[tuple[int, int, str]] | None = None,
) -> key_reports.KeyReport:
    return key_reports.KeyReport(
        tuple(
            key_reports.HeldRow(first, last, ids.Token(token))
            for first, last, token in held
        ),
        tuple(key_reports.ReleasedRow(*row) for row in released or ()),
    )


def grant(first: int, last: int, token: int) -> issued_grants.IssuedGrant:
    return first, last, ids.Token(token)


def releases_after(
    *reports: key_reports.KeyReport,
) -> list[reported_grants.ReportedRelease]:
    """Return the releases in the last report; keys 0 to 99 are pending."""
    grants = reported_grants.ReportedGrants("run")
    grants.ordered = {grant(0, 99, 5)}
    for earlier in reports[:-1]:
        assert not grants.record(earlier, 0.0)
    grants.ordered = set()
    grants.await_release(grant(0, 99, 5), UNTIL)
    return grants.record(reports[-1], 1.0)


def test_shown_grant_is_released_with_its_handover() -> None:
    releases = releases_after(
        report([(0, 99, 5)]), report([], [(0, 99, "text")])
    )
    assert releases == [
        reported_grants.ReportedRelease(grant(0, 99, 5), "text")
    ]


def test_part_of_a_grant_is_released() -> None:
    releases = releases_after(
        report([(0, 99, 5)]), report([(50, 99, 5)], [(0, 49, "text")])
    )
    assert releases == [
        reported_grants.ReportedRelease(grant(0, 49, 5), "text")
    ]


@pytest.mark.parametrize(
    "reports",
    [
        # Never shown: the row may refer to an earlier grant of the keys.
        (report([]), report([], [(0, 99, "")])),
        (report([(0, 99, 4)]), report([], [(0, 99, "")])),
        # Still shown: requests for the keys are running.
        (report([(0, 99, 5)]), report([(0, 99, 5)], [(0, 99, "")])),
        (report([(0, 99, 5)]), report([(40, 40, 6)], [(0, 99, "")])),
        # Expired: the server doesn't list that as released.
        (report([(0, 99, 5)]), report([])),
        (report([(0, 99, 5)]), report([], [(100, 199, "")])),
    ],
)
def test_unclear_release_is_not_recorded(
    reports: tuple[key_reports.KeyReport, ...],
) -> None:
    assert not releases_after(*reports)


def test_order_that_is_not_taken_is_not_used() -> None:
    """Guards against requests for keys with a higher token at the server."""
    grants = reported_grants.ReportedGrants("run")
    wanted = grant(0, 99, 5)
    assert grants.accepted(wanted, report([]))
    grants.ordered = {wanted}
    assert not grants.accepted(wanted, report([(0, 99, 6)]))
    assert not grants.accepted(wanted, report([(0, 98, 5)]))
    assert grants.accepted(wanted, report([(0, 199, 5)]))


BODY: typing.Final = (
    b'{"address":"127.0.0.1:1","info":{"service":"s","version":"v",'
    b'"zone":"a","slots":9},"status":{"state":"ready","sequence":4,'
    b'"cold_remaining_ms":0}%b}'
)


def test_keys_of_a_report_are_decoded() -> None:
    body = BODY % b',"holds":[[0,9,7]],"released":[[10,65535,"x"]]'
    assert registry.decode("i-1", body).keys == report(
        [(0, 9, 7)], [(10, 65_535, "x")]
    )
    assert registry.decode("i-1", BODY % b"").keys is None


@pytest.mark.parametrize(
    "keys",
    [
        b',"holds":5',
        b',"holds":[[0,65536,7]]',
        b',"holds":[[-1,9,7]]',
        b',"holds":[[0,9,-7]]',
        b',"holds":[[0,9,%d]]' % 10**40,
        b',"holds":[[0,9]]',
        b',"holds":[],"released":[[0,9,7]]',
        b',"holds":[],"released":[[0,1e400,""]]',
    ],
)
def test_odd_keys_of_a_report_are_rejected(keys: bytes) -> None:
    with pytest.raises(registry.BadReportError):
        registry.decode("i-1", BODY % keys)


def order(
    count: int, handover: str, hold_s: float = 2.5
) -> key_reports.HoldOrder:
    return key_reports.HoldOrder(
        tuple(
            key_grants.KeyGrant(
                100 * number,
                100 * number + 98,
                ids.Token(9),
                hold_s,
                0.0,
                handover,
            )
            for number in range(count)
        ),
        hold_s,
    )


def test_order_is_encoded() -> None:
    held = report([(100, 199, 9)]).held
    body = registry.encode_order(order(2, "text", 2.5004), held)
    assert msgspec.json.decode(body) == {
        "holds": [[0, 98, 9, "text"], [100, 198, 9, ""]],
        "hold_ms": 2500,
    }
    assert registry.encode_order(None, held) == b"{}"
    nothing = msgspec.json.decode(registry.encode_order(order(0, ""), ()))
    assert nothing == {"holds": [], "hold_ms": 2500}


def test_adjacent_rows_of_a_grant_are_merged() -> None:
    grants = tuple(
        key_grants.KeyGrant(first, last, ids.Token(token), 2.5, 0.0, handover)
        for first, last, token, handover in (
            (0, 9, 7, ""),
            (10, 19, 7, ""),
            (20, 29, 7, "text"),
            (30, 39, 8, "text"),
            (50, 59, 8, "text"),
        )
    )
    body = registry.encode_order(key_reports.HoldOrder(grants, 2.5), ())
    assert msgspec.json.decode(body)["holds"] == [
        [0, 19, 7, ""],
        [20, 29, 7, "text"],
        [30, 39, 8, "text"],
        [50, 59, 8, "text"],
    ]


def test_order_fits_into_a_response() -> None:
    """Guards against a long response, which acknowledges nothing."""
    body = registry.encode_order(order(600, "0123456789abcdef"), ())
    assert len(body) <= registry.MAX_REPLY_BYTES
    rows = msgspec.json.decode(body)["holds"]
    assert rows == sorted(rows)
    assert len(rows) > 50


def test_outdated_report_is_recognized() -> None:
    """A report that a newer one has overtaken gets no order."""
    tracker = server_tracker.Tracker(1.0)
    newer = registry.decode("i-1", BODY % b',"holds":[]')
    older = msgspec.json.decode(BODY % b',"holds":[[0,9,7]]')
    older["status"]["sequence"] = 3
    assert tracker.record(newer, 0.0)
    overtaken = registry.decode("i-1", msgspec.json.encode(older))
    assert not tracker.record(overtaken, 0.1)
