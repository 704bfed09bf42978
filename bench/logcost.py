#!/usr/bin/env python
"""What the log lines and counters of one request cost.

Times, per request: the line of its answer through eliot and the bounded
writer, the counters, and both off; and counts the bytes written.  Prints
JSON; results stand in bench/results.
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

SHOP: typing.Final = ids.ServiceName("shop")
ME: typing.Final = ids.MemberId("sidecar-zone-a-1")
SERVED: typing.Final = http_messages.Response(
    200, (), iter(()), verdicts.Verdict.RAN, verdicts.Reason.SERVED, ME
)
SEND: typing.Final = logs.Attempt(
    ME, "i-0123456789@1790230063093", 4, 0.123, "ran", "served", 0.0812
)
READINGS: typing.Final = sidecar_metrics.Readings(
    0,
    0,
    {},
    0.0,
    0,
    0.0,
    0,
    0,
    0,
    0,
    0.0,
    {},
    0.0,
    runtime_stats.Snapshot(
        runtime_stats.DatagramStats(0, 0, 0, 0, 0), {}, 0, 0.0
    ),
)


def line() -> None:
    logs.request_finished(
        ids.RequestId("9c41d07be2a35f68"),
        "r-8dsfzqk",
        SHOP,
        26_234,
        SERVED,
        [SEND],
        ids.BundleVersion(12),
        0.0815,
    )


def microseconds(work: collections.abc.Callable[[], None]) -> float:
    """Return the least processor time of one call over some rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(REQUESTS):
            work()
        best = min(best, time.process_time() - began)
    return round(best / REQUESTS * 1e6, 2)


def main() -> None:
    written = 0

    def count(data: bytes) -> None:
        nonlocal written
        written += len(data)

    meters = sidecar_metrics.SidecarMetrics(lambda: READINGS)
    counters = microseconds(
        lambda: meters.record_response(SHOP, 0, SERVED, 1, 0.0815)
    )
    nothing = microseconds(lambda: None)
    writer = log_writer.Writer(count, log_writer.Bounds(1e9, 1e9, 10**9))
    eliot.add_destinations(writer.enqueue)
    whole = microseconds(line)
    writer.close(60.0)
    eliot.remove_destination(writer.enqueue)
    dropping = log_writer.Writer(count, log_writer.Bounds(0.001, 1.0))
    eliot.add_destinations(dropping.enqueue)
    dropped = microseconds(line)
    print(
        json.dumps(
            {
                "requests": REQUESTS * ROUNDS,
                "line_us": whole,
                "dropped_line_us": dropped,
                "counters_us": counters,
                "neither_us": nothing,
                "bytes_a_line": round(written / (REQUESTS * ROUNDS)),
            },
            indent=2,
        )
    )


if __name__ == "__main__":
    main()
