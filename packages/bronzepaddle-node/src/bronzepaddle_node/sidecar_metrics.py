"""The metrics of a process whose leases rest on the store.

``SidecarMetrics`` counts what the parts report; what they know anyway (queue,
lease, keys, versions) is read from one ``Readings`` when the page is asked
for.  Names and units are listed in docs/OPERATIONS.md.
"""

import collections.abc
import dataclasses
import typing

import cherrypy
import opentelemetry.metrics
from bronzepaddle import http_messages, ids
from bronzepaddle_callers import streaming_app

from bronzepaddle_node import metrics, runtime_stats

LATENCY_BOUNDS_S: typing.Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    5.0,
    10.0,
)


@dataclasses.dataclass(frozen=True)
class Readings:
    """What a process knows at one moment; times in seconds.

    ``lines_dropped`` counts by kind of line.  ``unheld_s`` is the time for
    which keys assigned to this process's server were not held by it, times
    their share of all keys.
    ``oldest_status_s`` is the age of the oldest status of a peer that is
    ``oldest_status_s`` is the age of the oldest status of a peer that is
    taken for alive, ``loop_lag_s`` the longest lateness of the event loop
    within the last two seconds.
    """

    waiting: int
    running: int
    retries_left: collections.abc.Mapping[ids.ServiceName, float]
    lease_left_s: float
    keys_held: int
    unheld_s: float
    ranges_moved: int
    config_version: int
    ownership_version: int
    peers_alive: int
    oldest_status_s: float
    lines_dropped: collections.abc.Mapping[str, int]
    loop_lag_s: float
    snapshot: runtime_stats.Snapshot


Read: typing.TypeAlias = collections.abc.Callable[[], Readings]
_Observations: typing.TypeAlias = collections.abc.Iterable[
    opentelemetry.metrics.Observation
]


class SidecarMetrics(metrics.Exposition):
    """The instruments of one process."""

    def __init__(self, read: Read) -> None:
        super().__init__()
        self.read = read
        # What one page shows, read once for all of its instruments.
        self.readings: Readings | None = None
        meter = self.meter
        self.requests = meter.create_counter("bronzepaddle.requests")
        self.second_sends = meter.create_counter("bronzepaddle.second.sends")
        self.latency = meter.create_histogram(
            "bronzepaddle.latency",
            unit="s",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
        )
        for name, unit, observe in _GAUGES:
            meter.create_observable_gauge(
                name, [self._callback(observe)], unit=unit
            )
        for name, observe in _COUNTERS:
            meter.create_observable_counter(name, [self._callback(observe)])

    def _callback(
        self, observe: collections.abc.Callable[[Readings], _Observations]
    ) -> collections.abc.Callable[
        [opentelemetry.metrics.CallbackOptions], _Observations
    ]:
        def called(
            _options: opentelemetry.metrics.CallbackOptions,
        ) -> _Observations:
            return () if self.readings is None else observe(self.readings)

        return called

    def page(self) -> bytes:
        """Return the metrics as of now."""
        self.readings = self.read()
        return super().page()

    def record_response(
        self,
        service: ids.ServiceName,
        rank: int,
        answer: http_messages.Response,
        sends: int,
        took_s: float,
    ) -> None:
        """Count an answer to a caller."""
        labels: dict[str, str | int] = {"service": service, "rank": rank}
        outcome = {
            "verdict": answer.verdict.value,
            "reason": answer.reason.value,
        }
        self.requests.add(1, {**labels, **outcome})
        self.latency.record(took_s, labels)
        if sends > 1:
            self.second_sends.add(sends - 1, {"service": service})


class Page:
    """The CherryPy root of the metrics port."""

    def __init__(self, meters: SidecarMetrics) -> None:
        self.meters = meters

    @streaming_app.exposed
    def metrics(self) -> bytes:
        """Answer the metrics as text."""
        headers = cherrypy.serving.response.headers
        headers["Content-Type"] = metrics.MEDIA_TYPE
        return self.meters.page()


def _one(
    value: float, labels: dict[str, str] | None = None
) -> opentelemetry.metrics.Observation:
    return opentelemetry.metrics.Observation(value, labels)


def _of(
    field: str,
) -> collections.abc.Callable[[Readings], _Observations]:
    """Return the observation of one field of the readings."""

    def observe(now: Readings) -> _Observations:
        yield _one(getattr(now, field))

    return observe


def _retries(now: Readings) -> _Observations:
    for service, left in now.retries_left.items():
        yield _one(left, {"service": service})


def _store_calls(now: Readings) -> _Observations:
    for (method, outcome), count in now.snapshot.store_calls.items():
        yield _one(count, {"method": method, "outcome": outcome})


def _datagrams(now: Readings) -> _Observations:
    traffic = now.snapshot.datagrams
    yield _one(traffic.sent, {"way": "sent"})
    yield _one(traffic.received, {"way": "received"})
    yield _one(traffic.missed, {"way": "missed"})


def _datagram_bytes(now: Readings) -> _Observations:
    traffic = now.snapshot.datagrams
    yield _one(traffic.sent_bytes, {"way": "sent"})
    yield _one(traffic.received_bytes, {"way": "received"})


def _unassigned(now: Readings) -> _Observations:
    yield _one(now.snapshot.unassigned)


def _unconfirmed(now: Readings) -> _Observations:
    yield _one(now.snapshot.unconfirmed_s)


def _lines(now: Readings) -> _Observations:
    for kind, count in now.lines_dropped.items():
        yield _one(count, {"kind": kind})


_GAUGES: typing.Final = (
    ("bronzepaddle.waiting", "", _of("waiting")),
    ("bronzepaddle.running", "", _of("running")),
    ("bronzepaddle.retries.left", "", _retries),
    ("bronzepaddle.lease.left", "s", _of("lease_left_s")),
    ("bronzepaddle.keys.held", "", _of("keys_held")),
    ("bronzepaddle.config.version", "", _of("config_version")),
    ("bronzepaddle.ownership.version", "", _of("ownership_version")),
    ("bronzepaddle.peers.alive", "", _of("peers_alive")),
    ("bronzepaddle.status.oldest", "s", _of("oldest_status_s")),
    ("bronzepaddle.loop.lag", "s", _of("loop_lag_s")),
    ("bronzepaddle.callers.unassigned", "", _unassigned),
    ("bronzepaddle.config.unconfirmed", "s", _unconfirmed),
)
"""Name, unit and observation of each gauge."""

_COUNTERS: typing.Final = (
    ("bronzepaddle.keys.unheld", _of("unheld_s")),
    ("bronzepaddle.ranges.moved", _of("ranges_moved")),
    ("bronzepaddle.store.calls", _store_calls),
    ("bronzepaddle.log.dropped", _lines),
    ("bronzepaddle.datagrams", _datagrams),
    ("bronzepaddle.datagram.bytes", _datagram_bytes),
)
"""Name and observation of each counter that another part keeps."""
