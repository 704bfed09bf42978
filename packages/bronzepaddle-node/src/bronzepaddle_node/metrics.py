"""OpenTelemetry metrics of a process, and their Prometheus page."""

import typing

import opentelemetry.exporter.prometheus
import opentelemetry.metrics
import opentelemetry.sdk.metrics
import prometheus_client
from bronzepaddle import http_messages, verdicts

from bronzepaddle_node import state

MEDIA_TYPE: typing.Final = prometheus_client.CONTENT_TYPE_LATEST

LATENCY_BOUNDS_S: typing.Final = (
    0.001,
    0.002,
    0.004,
    0.008,
    0.012,
    0.025,
    0.05,
    0.1,
    0.25,
    1.0,
    5.0,
)
"""Upper bounds of the buckets of the latency histogram."""


class Exposition:
    """Registers OpenTelemetry instruments and exposes them to Prometheus.

    ``page`` renders them in the Prometheus text exposition format.  Subclasses
    create their instruments with ``meter``.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self.registry
        )
        self.provider = opentelemetry.sdk.metrics.MeterProvider([reader])
        self.meter = self.provider.get_meter("bronzepaddle")

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text exposition format."""
        return prometheus_client.generate_latest(self.registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self.provider.shutdown()


class NodeMetrics(Exposition):
    """The metrics of a process that is a member of a cell.

    ``bronzepaddle.requests`` counts responses by service, priority, verdict
    (whether the request ran) and reason; ``bronzepaddle.latency`` is the time
    from request to response in seconds; ``bronzepaddle.unrouted`` counts
    requests rejected before their first attempt, for example for lack of a
    service or a key; ``bronzepaddle.slots`` is the number of hash slots owned
    by this process, and ``bronzepaddle.lease`` the seconds until its lease
    expires.
    """

    def __init__(self, node_state: state.NodeState) -> None:
        super().__init__()
        self.state = node_state
        meter = self.meter
        self.requests = meter.create_counter("bronzepaddle.requests")
        self.latency = meter.create_histogram(
            "bronzepaddle.latency",
            unit="s",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
        )
        self.unrouted_requests = meter.create_counter("bronzepaddle.unrouted")
        meter.create_observable_gauge(
            "bronzepaddle.slots", [self._observe_slots]
        )
        meter.create_observable_gauge(
            "bronzepaddle.lease", [self._observe_lease], unit="s"
        )

    def record_response(
        self,
        request: http_messages.Request,
        response: http_messages.Response,
        took_s: float,
    ) -> None:
        """Count a response and record its latency."""
        labels = {"service": request.service, "priority": request.priority}
        self.requests.add(
            1,
            {
                **labels,
                "verdict": response.verdict.value,
                "reason": response.reason.value,
            },
        )
        self.latency.record(took_s, labels)

    def record_unrouted(self, reason: verdicts.Reason) -> None:
        """Count a request rejected before its first attempt."""
        self.unrouted_requests.add(1, {"reason": reason.value})

    def _observe_slots(
        self, _options: opentelemetry.metrics.CallbackOptions
    ) -> list[opentelemetry.metrics.Observation]:
        """Observe the number of hash slots of this process by service."""
        known_cell = self.state.known_cell
        if known_cell is None:
            return []
        return [
            opentelemetry.metrics.Observation(len(slots), {"service": service})
            for service, slots in known_cell.cell.owned_by(
                self.state.name
            ).items()
        ]

    def _observe_lease(
        self, _options: opentelemetry.metrics.CallbackOptions
    ) -> list[opentelemetry.metrics.Observation]:
        """Observe the seconds until the lease expires."""
        left_s = self.state.lease.valid_until - self.state.clock.now()
        return [opentelemetry.metrics.Observation(max(0.0, left_s))]
