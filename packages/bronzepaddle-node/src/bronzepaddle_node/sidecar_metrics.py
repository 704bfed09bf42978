"""The metrics of a process whose leases depend on the store.

``SidecarMetrics`` counts the responses that are reported to it.  Values that
other components maintain (queue, lease, keys, versions) are read as one
``Readings`` each time the metrics page is requested.  The names and units of
all metrics are listed in docs/OPERATIONS.md.
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
"""Upper bounds of the buckets of the latency histogram."""


@dataclasses.dataclass(frozen=True)
class Readings:
    """The values of other components at one moment; times in seconds.

    ``waiting`` and ``running`` are the requests in the queue of the backend
    server and at the server, ``backlog_s`` is the expected time until a
    request that arrives now would start, ``failure_share`` the share of
    requests that the server failed.  ``cost_classes`` is the number of values
    of features of requests by which costs are told apart.  ``retries_left`` is
    the rest of the retry budget of each service.

    ``config_refused`` is set while a configuration newer than the one in
    effect has been refused as invalid.  ``zones_evacuated`` is the number of
    evacuated availability zones.

    ``unheld_s`` is the time for which keys assigned to this process were not
    held by its backend server, multiplied by their share of all keys.
    ``work_needed_s`` is how long the work of the server needs its grants.
    ``grant_waits``, ``grant_rejections`` and ``runs_cut_off`` count the keyed
    requests that waited for the renewal of a grant, those that were rejected
    as too little of it was left, and those that failed since they outlasted
    it.

    ``ranges_moved`` counts the key ranges that this process has moved while
    it was the planner, the process that assigns the keys of a service.

    ``oldest_status_s`` is the largest age of the last status of a live peer.
    ``lines_dropped`` counts dropped log lines by message type.
    ``body_bytes_held`` are the bytes of all bodies in memory, of at most
    ``body_bytes_limit``; ``bodies_refused`` counts the bodies for which there
    was no room, ``slow_callers_closed`` the callers that were closed because
    they sent or read too slowly.  ``connections`` of callers are open;
    ``connections_evicted`` counts the idle ones that were closed in favour of
    new ones, ``connections_refused`` the new ones for which there was no
    place.
    ``loop_lag_s`` is the longest delay of the event loop since the last log
    line of ``runtime_stats``.

    ``starts_per_s`` is the limit on the requests that are sent to the backend
    server while it is cold, 0 if there is none; ``start_rejections`` counts
    the requests that were rejected for it.
    """

    waiting: int
    running: int
    backlog_s: float
    failure_share: float
    cost_classes: int
    retries_left: collections.abc.Mapping[ids.ServiceName, float]
    lease_left_s: float
    keys_held: int
    unheld_s: float
    work_needed_s: float
    grant_waits: int
    grant_rejections: int
    runs_cut_off: int
    ranges_moved: int
    config_version: int
    config_refused: bool
    zones_evacuated: int
    ownership_version: int
    store_era: int
    peers_alive: int
    oldest_status_s: float
    lines_dropped: collections.abc.Mapping[str, int]
    loop_lag_s: float
    snapshot: runtime_stats.Snapshot
    starts_per_s: float = 0.0
    start_rejections: int = 0
    body_bytes_held: int = 0
    body_bytes_limit: int = 0
    bodies_refused: int = 0
    slow_callers_closed: int = 0
    connections: int = 0
    connections_evicted: int = 0
    connections_refused: int = 0


Read: typing.TypeAlias = collections.abc.Callable[[], Readings]
_Observations: typing.TypeAlias = collections.abc.Iterable[
    opentelemetry.metrics.Observation
]


class SidecarMetrics(metrics.Exposition):
    """The metrics of one process.

    ``read`` returns the current readings.
    """

    def __init__(self, read: Read) -> None:
        super().__init__()
        self.read = read
        # Read once for each page, so that its values are consistent.
        self.readings: Readings | None = None
        meter = self.meter
        self.requests = meter.create_counter("bronzepaddle.requests")
        self.retries = meter.create_counter("bronzepaddle.second.sends")
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
        """Return an OpenTelemetry callback that observes the readings."""

        def callback(
            _options: opentelemetry.metrics.CallbackOptions,
        ) -> _Observations:
            return () if self.readings is None else observe(self.readings)

        return callback

    def page(self) -> bytes:
        """Return the current metrics in the Prometheus text format."""
        self.readings = self.read()
        return super().page()

    def record_response(
        self,
        service: ids.ServiceName,
        rank: int,
        response: http_messages.Response,
        attempts: int,
        took_s: float,
    ) -> None:
        """Count a response to a caller, and its attempts after the first."""
        labels: dict[str, str | int] = {"service": service, "rank": rank}
        outcome = {
            "verdict": response.verdict.value,
            "reason": response.reason.value,
        }
        self.requests.add(1, {**labels, **outcome})
        self.latency.record(took_s, labels)
        if attempts > 1:
            self.retries.add(attempts - 1, {"service": service})


class MetricsApp:
    """CherryPy root of the metrics port."""

    def __init__(self, metrics_recorder: SidecarMetrics) -> None:
        self.metrics_recorder = metrics_recorder

    @streaming_app.exposed
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        headers = cherrypy.serving.response.headers
        headers["Content-Type"] = metrics.MEDIA_TYPE
        return self.metrics_recorder.page()


def _observation(
    value: float, labels: dict[str, str] | None = None
) -> opentelemetry.metrics.Observation:
    return opentelemetry.metrics.Observation(value, labels)


def _observe_field(
    field: str,
) -> collections.abc.Callable[[Readings], _Observations]:
    """Return a function that observes one field of the readings."""

    def observe(readings: Readings) -> _Observations:
        yield _observation(getattr(readings, field))

    return observe


def _observe_retries(readings: Readings) -> _Observations:
    for service, retries in readings.retries_left.items():
        yield _observation(retries, {"service": service})


def _observe_store_calls(readings: Readings) -> _Observations:
    for (method, outcome), count in readings.snapshot.store_calls.items():
        yield _observation(count, {"method": method, "outcome": outcome})


def _observe_datagrams(readings: Readings) -> _Observations:
    traffic = readings.snapshot.datagrams
    yield _observation(traffic.sent, {"way": "sent"})
    yield _observation(traffic.received, {"way": "received"})
    yield _observation(traffic.missed, {"way": "missed"})


def _observe_datagram_bytes(readings: Readings) -> _Observations:
    traffic = readings.snapshot.datagrams
    yield _observation(traffic.sent_bytes, {"way": "sent"})
    yield _observation(traffic.received_bytes, {"way": "received"})


def _observe_unassigned(readings: Readings) -> _Observations:
    yield _observation(readings.snapshot.unassigned)


def _observe_unconfirmed(readings: Readings) -> _Observations:
    yield _observation(readings.snapshot.unconfirmed_s)


def _observe_call_wait(readings: Readings) -> _Observations:
    yield _observation(readings.snapshot.call_wait_s)


def _observe_dropped_lines(readings: Readings) -> _Observations:
    for message_type, count in readings.lines_dropped.items():
        yield _observation(count, {"kind": message_type})


_GAUGES: typing.Final = (
    ("bronzepaddle.waiting", "", _observe_field("waiting")),
    ("bronzepaddle.running", "", _observe_field("running")),
    ("bronzepaddle.backlog", "s", _observe_field("backlog_s")),
    ("bronzepaddle.failure.share", "", _observe_field("failure_share")),
    ("bronzepaddle.cost.classes", "", _observe_field("cost_classes")),
    ("bronzepaddle.retries.left", "", _observe_retries),
    ("bronzepaddle.lease.left", "s", _observe_field("lease_left_s")),
    ("bronzepaddle.keys.held", "", _observe_field("keys_held")),
    ("bronzepaddle.work.needed", "s", _observe_field("work_needed_s")),
    ("bronzepaddle.config.version", "", _observe_field("config_version")),
    ("bronzepaddle.config.refused", "", _observe_field("config_refused")),
    ("bronzepaddle.zones.evacuated", "", _observe_field("zones_evacuated")),
    (
        "bronzepaddle.ownership.version",
        "",
        _observe_field("ownership_version"),
    ),
    ("bronzepaddle.store.era", "", _observe_field("store_era")),
    ("bronzepaddle.peers.alive", "", _observe_field("peers_alive")),
    ("bronzepaddle.status.oldest", "s", _observe_field("oldest_status_s")),
    ("bronzepaddle.bodies.held", "By", _observe_field("body_bytes_held")),
    ("bronzepaddle.bodies.limit", "By", _observe_field("body_bytes_limit")),
    ("bronzepaddle.callers.connections", "", _observe_field("connections")),
    ("bronzepaddle.loop.lag", "s", _observe_field("loop_lag_s")),
    ("bronzepaddle.callers.unassigned", "", _observe_unassigned),
    ("bronzepaddle.config.unconfirmed", "s", _observe_unconfirmed),
    ("bronzepaddle.store.call.wait", "s", _observe_call_wait),
    ("bronzepaddle.cold.starts.limit", "", _observe_field("starts_per_s")),
)
"""Name, unit and observation of each gauge."""

_COUNTERS: typing.Final = (
    ("bronzepaddle.keys.unheld", _observe_field("unheld_s")),
    ("bronzepaddle.grant.waits", _observe_field("grant_waits")),
    ("bronzepaddle.grant.rejections", _observe_field("grant_rejections")),
    ("bronzepaddle.runs.cut_off", _observe_field("runs_cut_off")),
    ("bronzepaddle.ranges.moved", _observe_field("ranges_moved")),
    ("bronzepaddle.store.calls", _observe_store_calls),
    ("bronzepaddle.log.dropped", _observe_dropped_lines),
    ("bronzepaddle.cold.rejections", _observe_field("start_rejections")),
    ("bronzepaddle.bodies.refused", _observe_field("bodies_refused")),
    ("bronzepaddle.callers.slow", _observe_field("slow_callers_closed")),
    (
        "bronzepaddle.connections.evicted",
        _observe_field("connections_evicted"),
    ),
    (
        "bronzepaddle.connections.refused",
        _observe_field("connections_refused"),
    ),
    ("bronzepaddle.datagrams", _observe_datagrams),
    ("bronzepaddle.datagram.bytes", _observe_datagram_bytes),
)
"""Name and observation of each counter that another component maintains."""
