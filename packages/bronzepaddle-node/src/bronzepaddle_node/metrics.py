"""OpenTelemetry metrics of one process, and their Prometheus page."""

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


class Exposition:
    """Where the instruments of one process are registered and shown."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        reader = opentelemetry.exporter.prometheus.PrometheusMetricReader(
            registry=self.registry
        )
        self.provider = opentelemetry.sdk.metrics.MeterProvider([reader])
        self.meter = self.provider.get_meter("bronzepaddle")

    def page(self) -> bytes:
        """Return the metrics as Prometheus reads them."""
        return prometheus_client.generate_latest(self.registry)

    def close(self) -> None:
        """Let the instruments go."""
        self.provider.shutdown()


class Metrics(Exposition):
    """The instruments of one process.

    ``bronzepaddle.requests`` counts answers by service, priority, verdict
    and reason; ``bronzepaddle.latency`` is their time in seconds;
    ``bronzepaddle.unrouted`` counts requests that named nothing;
    ``bronzepaddle.slots`` is the number of hash slots owned here and
    ``bronzepaddle.lease`` the seconds for which the lease still holds.
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
        self.lost_names = meter.create_counter("bronzepaddle.unrouted")
        meter.create_observable_gauge("bronzepaddle.slots", [self._slots])
        meter.create_observable_gauge(
            "bronzepaddle.lease", [self._lease], unit="s"
        )

    def record_response(
        self,
        request: http_messages.Request,
        answer: http_messages.Response,
        took_s: float,
    ) -> None:
        """Count an answer."""
        labels = {"service": request.service, "priority": request.priority}
        self.requests.add(
            1,
            {
                **labels,
                "verdict": answer.verdict.value,
                "reason": answer.reason.value,
            },
        )
        self.latency.record(took_s, labels)

    def record_unrouted(self, why: verdicts.Reason) -> None:
        """Count a request that named no service or no key."""
        self.lost_names.add(1, {"reason": why.value})

    def _slots(
        self, _options: opentelemetry.metrics.CallbackOptions
    ) -> list[opentelemetry.metrics.Observation]:
        view = self.state.view
        if view is None:
            return []
        return [
            opentelemetry.metrics.Observation(len(slots), {"service": service})
            for service, slots in view.cell.owned_by(self.state.name).items()
        ]

    def _lease(
        self, _options: opentelemetry.metrics.CallbackOptions
    ) -> list[opentelemetry.metrics.Observation]:
        left = self.state.lease.valid_until - self.state.time.now()
        return [opentelemetry.metrics.Observation(max(0.0, left))]
