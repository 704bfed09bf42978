"""The metrics that operators are told of are those that are served."""

import pathlib
import re
import typing

from bronzepaddle import http_messages, ids, verdicts
from bronzepaddle_node import runtime_stats, sidecar_metrics

PAGE: typing.Final = (
    pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
)
SHOP: typing.Final = ids.ServiceName("shop")
READINGS: typing.Final = sidecar_metrics.Readings(
    waiting=1,
    running=2,
    retries_left={SHOP: 3.0},
    lease_left_s=1.5,
    keys_held=5,
    unheld_s=0.25,
    ranges_moved=3,
    config_version=4,
    ownership_version=5,
    peers_alive=6,
    oldest_status_s=0.2,
    lines_dropped={"served": 3},
    loop_lag_s=0.03,
    snapshot=runtime_stats.Snapshot(
        runtime_stats.DatagramStats(7, 700, 8, 800, 9),
        {("GET", "200"): 4, ("PUT", "lost"): 1},
        2,
        0.75,
    ),
)


def served() -> str:
    """Return the page after two answers, one of them by a second send."""
    meters = sidecar_metrics.SidecarMetrics(lambda: READINGS)
    me = ids.MemberId("me")
    shed = http_messages.refusal(verdicts.Reason.SHED, me)
    meters.record_response(SHOP, 1, shed, 1, 0.02)
    meters.record_response(SHOP, 1, shed, 3, 0.4)
    page = meters.page().decode()
    meters.close()
    return page


def test_every_metric_named_in_the_page_is_served_and_the_reverse() -> None:
    text = PAGE.read_text(encoding="utf-8")
    table = text[text.index("| name | labels |") :]
    named = set(re.findall(r"\bbronzepaddle_\w+", table))
    kinds = set(re.findall(r"# TYPE (bronzepaddle_\w+)", served()))
    assert named == kinds


def test_values_and_labels() -> None:
    page = served()
    lines = [line for line in page.splitlines() if line.startswith("bronze")]

    def value(name: str, *labels: str) -> float:
        found = [
            line
            for line in lines
            if line.startswith(name + "{")
            and all(label in line for label in labels)
        ]
        assert len(found) == 1, (name, found)
        return float(found[0].rsplit(" ", 1)[1])

    where = ('rank="1"', 'reason="shed"', 'verdict="not-run"')
    assert value("bronzepaddle_requests_total", *where) == 2
    assert value("bronzepaddle_second_sends_total", 'service="shop"') == 2
    assert value("bronzepaddle_latency_seconds_count") == 2
    assert value("bronzepaddle_lease_left_seconds") == 1.5
    assert value("bronzepaddle_store_calls_total", 'outcome="lost"') == 1
    assert value("bronzepaddle_log_dropped_total", 'kind="served"') == 3
