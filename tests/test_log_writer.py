"""Tests that log lines are bounded and never block the process."""

import os
import threading
import time
import typing

import msgspec
from bronzepaddle import log_writer

TIMEOUT_S: typing.Final = 20.0


class Sink:
    """Collects lines; clearing ``open`` makes it stop reading."""

    def __init__(self) -> None:
        self.data = b""
        self.open = threading.Event()
        self.open.set()

    def write(self, data: bytes) -> None:
        self.open.wait(TIMEOUT_S)
        self.data += data

    def lines(self) -> list[dict[str, typing.Any]]:
        return [msgspec.json.decode(line) for line in self.data.splitlines()]


def test_lines_are_written_whole_and_in_order() -> None:
    sink = Sink()
    writer = log_writer.Writer(sink.write, log_writer.Bounds())
    for number in range(100):
        writer.enqueue({"message_type": "served", "number": number})
    writer.close(TIMEOUT_S)
    assert [line["number"] for line in sink.lines()] == list(range(100))


def test_flood_of_one_type_displaces_no_other_and_is_counted() -> None:
    sink = Sink()
    now = 0.0
    bounds = log_writer.Bounds(lines_per_s=10, burst=20, buffered=1000)
    writer = log_writer.Writer(sink.write, bounds, lambda: now)
    for _ in range(500):
        writer.enqueue({"message_type": "served"})
    writer.enqueue({"message_type": "lease"})
    now = 1.0
    for _ in range(500):
        writer.enqueue({"message_type": "served"})
    writer.close(TIMEOUT_S)
    types = [line["message_type"] for line in sink.lines()]
    assert types.count("served") == 30
    assert types.count("lease") == 1
    logged_counts = [
        line["counts"]["served"]
        for line in sink.lines()
        if line["message_type"] == log_writer.DROPPED
    ]
    assert sum(logged_counts) == writer.dropped_total["served"] == 970


def test_stalled_reader_does_not_block_the_process() -> None:
    reading, writing = os.pipe()
    bounds = log_writer.Bounds(lines_per_s=1e6, burst=1e6, buffered=100)
    writer = log_writer.Writer(log_writer.to_descriptor(writing), bounds)
    line = {"message_type": "served", "detail": "x" * 1000}
    deadline = time.monotonic() + TIMEOUT_S
    while not writer.dropped_total:
        # First the pipe fills up, then the buffer; ``enqueue`` never blocks.
        writer.enqueue(line)
        assert time.monotonic() < deadline
    writer.close(0.1)
    os.set_blocking(reading, False)
    assert os.read(reading, 1024)
    os.close(reading)


def test_writer_survives_a_closed_reader() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    writer = log_writer.Writer(
        log_writer.to_descriptor(writing), log_writer.Bounds()
    )
    deadline = time.monotonic() + TIMEOUT_S
    while writer.dropped_total["lease"] < 3:
        writer.enqueue({"message_type": "lease"})
        time.sleep(0.01)
        assert time.monotonic() < deadline
    assert writer.thread.is_alive()
