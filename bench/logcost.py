#!/usr/bin/env python
"""Measures the CPU cost of the log line and the counters of one request.

Measures a log line that passes eliot and the log writer, one that the writer
drops because of its bounds, the counters, and an empty function; counts the
bytes written.  Prints JSON; results are kept in bench/results.
"""

import collections.abc
import json
import time
import typing

import eliot
from bronzepaddle import http_messages, ids, log_writer, logs, verdicts
from bronzepaddle_node import runtime_stats, sidecar_metrics

REQUESTS: typing.Final = 20_000
ROUNDS: typing.Final = 5

SERVICE: typing.Final = ids.ServiceName("shop")
MEMBER: typing.Final = ids.MemberId("sidecar-zone-a-1")
RESPONSE: typing.Final = http_messages.Response(
    200, (), iter(()), verdicts.Verdict.RAN, verdicts.Reason.SERVED, MEMBER
)
ATTEMPT: typing.Final = logs.Attempt(
    MEMBER, "i-0123456789@1790230063093", 4, 0.123, "ran", "served", 0.0812
)
READINGS: typing.Final = sidecar_metrics.Readings(
    waiting=0,
    running=0,
    backlog_s=0.0,
    failure_share=0.0,
    cost_classes=0,
    retries_left={},
    lease_left_s=0.0,
    keys_held=0,
    unheld_s=0.0,
    work_needed_s=0.0,
    grant_waits=0,
    grant_rejections=0,
    runs_cut_off=0,
    ranges_moved=0,
    config_version=0,
    config_refused=False,
    zones_evacuated=0,
    ownership_version=0,
    store_era=0,
    peers_alive=0,
    oldest_status_s=0.0,
    lines_dropped={},
    loop_lag_s=0.0,
    snapshot=runtime_stats.Snapshot(
        runtime_stats.DatagramStats(0, 0, 0, 0, 0), {}, 0, 0.0
    ),
    starts_per_s=0.0,
    start_rejections=0,
    body_bytes_held=0,
    body_bytes_limit=0,
    bodies_refused=0,
    slow_callers_closed=0,
)


def log_request() -> None:
    """Log a request as a router does once it has finished."""
    logs.request_finished(
        ids.RequestId("9c41d07be2a35f68"),
        "r-8dsfzqk",
        SERVICE,
        26_234,
        RESPONSE,
        [ATTEMPT],
        ids.BundleVersion(12),
        0.0815,
    )


def cpu_us_per_call(call: collections.abc.Callable[[], None]) -> float:
    """Return the CPU time of a call in microseconds, in the fastest round."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(REQUESTS):
            call()
        best = min(best, time.process_time() - started)
    return round(best / REQUESTS * 1e6, 2)


def main() -> None:
    """Measure each cost and print all of them."""
    written_bytes = 0

    def count_bytes(data: bytes) -> None:
        nonlocal written_bytes
        written_bytes += len(data)

    metrics_recorder = sidecar_metrics.SidecarMetrics(lambda: READINGS)
    counters_us = cpu_us_per_call(
        lambda: metrics_recorder.record_response(
            SERVICE, 0, RESPONSE, 1, 0.0815
        )
    )
    empty_us = cpu_us_per_call(lambda: None)
    writer = log_writer.Writer(count_bytes, log_writer.Bounds(1e9, 1e9, 10**9))
    eliot.add_destinations(writer.enqueue)
    line_us = cpu_us_per_call(log_request)
    writer.close(60.0)
    eliot.remove_destination(writer.enqueue)
    dropping_writer = log_writer.Writer(
        count_bytes, log_writer.Bounds(0.001, 1.0)
    )
    eliot.add_destinations(dropping_writer.enqueue)
    dropped_line_us = cpu_us_per_call(log_request)
    print(
        json.dumps(
            {
                "requests": REQUESTS * ROUNDS,
                "line_us": line_us,
                "dropped_line_us": dropped_line_us,
                "counters_us": counters_us,
                "neither_us": empty_us,
                "bytes_a_line": round(written_bytes / (REQUESTS * ROUNDS)),
            },
            indent=2,
        )
    )


if __name__ == "__main__":
    main()
