"""Tests that the metrics page matches its documentation and the readings."""

import pathlib
import re
import typing

from bronzepaddle import http_messages, ids, verdicts
from bronzepaddle_node import runtime_stats, sidecar_metrics

DOCUMENTATION: typing.Final = (
    pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
)
SHOP: typing.Final = ids.ServiceName("shop")
READINGS: typing.Final = sidecar_metrics.Readings(
    waiting=1,
    running=2,
    backlog_s=0.4,
    failure_share=0.1,
    cost_classes=8,
    retries_left={SHOP: 3.0},
    lease_left_s=1.5,
    keys_held=5,
    unheld_s=0.25,
    work_needed_s=0.6,
    grant_waits=11,
    grant_rejections=12,
    runs_cut_off=13,
    ranges_moved=3,
    config_version=4,
    config_refused=True,
    zones_evacuated=1,
    ownership_version=5,
    store_era=2,
    peers_alive=6,
    oldest_status_s=0.2,
    lines_dropped={"served": 3},
    body_bytes_held=70_000,
    body_bytes_limit=100_000,
    bodies_refused=2,
    slow_callers_closed=1,
    loop_lag_s=0.03,
    snapshot=runtime_stats.Snapshot(
        runtime_stats.DatagramStats(7, 700, 8, 800, 9),
        {("GET", "200"): 4, ("PUT", "lost"): 1},
        2,
        0.75,
    ),
)


def metrics_page() -> str:
    """Return the metrics after two responses, one after three attempts."""
    metrics_recorder = sidecar_metrics.SidecarMetrics(lambda: READINGS)
    member = ids.MemberId("me")
    shed = http_messages.rejection(verdicts.Reason.SHED, member)
    metrics_recorder.record_response(SHOP, 1, shed, 1, 0.02)
    metrics_recorder.record_response(SHOP, 1, shed, 3, 0.4)
    page = metrics_recorder.page().decode()
    metrics_recorder.close()
    return page


def test_exactly_the_documented_metrics_are_exposed() -> None:
    text = DOCUMENTATION.read_text(encoding="utf-8")
    table = text[text.index("| name | labels |") :]
    documented = set(re.findall(r"\bbronzepaddle_\w+", table))
    exposed = set(re.findall(r"# TYPE (bronzepaddle_\w+)", metrics_page()))
    assert documented == exposed


def test_metrics_match_the_readings_and_the_responses() -> None:
    page = metrics_page()
    lines = [line for line in page.splitlines() if line.startswith("bronze")]

    def value(name: str, *labels: str) -> float:
        matches = [
            line
            for line in lines
            if line.startswith(name + "{")
            and all(label in line for label in labels)
        ]
        assert len(matches) == 1, (name, matches)
        return float(matches[0].rsplit(" ", 1)[1])

    labels_of_shed = ('rank="1"', 'reason="shed"', 'verdict="not-run"')
    assert value("bronzepaddle_requests_total", *labels_of_shed) == 2
    assert value("bronzepaddle_second_sends_total", 'service="shop"') == 2
    assert value("bronzepaddle_latency_seconds_count") == 2
    assert value("bronzepaddle_lease_left_seconds") == 1.5
    assert value("bronzepaddle_backlog_seconds") == 0.4
    assert value("bronzepaddle_failure_share") == 0.1
    assert value("bronzepaddle_cost_classes") == 8
    assert value("bronzepaddle_store_calls_total", 'outcome="lost"') == 1
    assert value("bronzepaddle_log_dropped_total", 'kind="served"') == 3
