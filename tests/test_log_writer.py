"""Log lines that are bounded and never make their writer wait."""

import os
import threading
import time
import typing

import msgspec
from bronzepaddle import log_writer

GIVE_UP_S: typing.Final = 20.0


class Sink:
    """Gathers lines; can be made to stop reading."""

    def __init__(self) -> None:
        self.data = b""
        self.open = threading.Event()
        self.open.set()

    def write(self, data: bytes) -> None:
        self.open.wait(GIVE_UP_S)
        self.data += data

    def lines(self) -> list[dict[str, typing.Any]]:
        return [msgspec.json.decode(one) for one in self.data.splitlines()]


def test_lines_are_written_whole_and_in_order() -> None:
    sink = Sink()
    writer = log_writer.Writer(sink.write, log_writer.Bounds())
    for number in range(100):
        writer.enqueue({"message_type": "served", "number": number})
    writer.close(GIVE_UP_S)
    assert [one["number"] for one in sink.lines()] == list(range(100))


def test_flood_of_one_kind_hides_no_other_and_is_counted() -> None:
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
    writer.close(GIVE_UP_S)
    kinds = [one["message_type"] for one in sink.lines()]
    assert kinds.count("served") == 30
    assert kinds.count("lease") == 1
    told = [
        one["counts"]["served"]
        for one in sink.lines()
        if one["message_type"] == log_writer.DROPPED
    ]
    assert sum(told) == writer.dropped_total["served"] == 970


def test_reader_that_stops_holds_nobody_up() -> None:
    reading, writing = os.pipe()
    bounds = log_writer.Bounds(lines_per_s=1e6, burst=1e6, buffered=100)
    writer = log_writer.Writer(log_writer.to_descriptor(writing), bounds)
    line = {"message_type": "served", "detail": "x" * 1000}
    deadline = time.monotonic() + GIVE_UP_S
    while not writer.dropped_total:
        # The pipe, then the buffer fill up; nothing here ever waits.
        writer.enqueue(line)
        assert time.monotonic() < deadline
    writer.close(0.1)
    os.set_blocking(reading, False)
    assert os.read(reading, 1024)
    os.close(reading)


def test_reader_that_is_gone_is_survived() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    writer = log_writer.Writer(
        log_writer.to_descriptor(writing), log_writer.Bounds()
    )
    deadline = time.monotonic() + GIVE_UP_S
    while writer.dropped_total["lease"] < 3:
        writer.enqueue({"message_type": "lease"})
        time.sleep(0.01)
        assert time.monotonic() < deadline
    assert writer.thread.is_alive()
