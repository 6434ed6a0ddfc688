"""OpenTelemetry metrics, exposed for scraping.

A pull reader collects on request, so that no thread is started.
"""

import itertools
from collections.abc import Iterable, Iterator, Mapping

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)

from cranecart.models import Evacuation

_MILLISECONDS = 1000
_Point = NumberDataPoint | HistogramDataPoint


class Metrics:
    """The instruments of one node and their text exposition."""

    def __init__(self) -> None:
        """Create the instruments."""
        self._reader = InMemoryMetricReader()
        provider = MeterProvider([self._reader], shutdown_on_exit=False)
        meter = provider.get_meter('cranecart')
        self.requests = meter.create_counter(
            'cranecart_requests',
            description='client requests by outcome',
        )
        self.first_token_ms = meter.create_histogram(
            'cranecart_first_token_ms',
            unit='ms',
            description='time until the first byte of an answer',
        )
        self.loop_lateness_ms = meter.create_histogram(
            'cranecart_loop_lateness_ms',
            unit='ms',
            description='how late a sleeping task woke',
        )
        self.serving_replicas = meter.create_gauge(
            'cranecart_serving_replicas',
            description='whole replicas that this node may send to',
        )
        self.control = meter.create_gauge(
            'cranecart_control',
            description='messages and bytes to and from peers, and calls of '
            'the platform, since the start',
        )
        self.evacuated = meter.create_gauge(
            'cranecart_evacuated',
            description='1 for a failure domain to whose targets this node '
            'sends nothing, 0 once the evacuation has ended',
        )
        self.config_version = meter.create_gauge(
            'cranecart_config_version',
            description='version of the configuration in force',
        )

    def observe_request(self, outcome: str, seconds: float | None) -> None:
        """Count a request and record the seconds to its first byte, if any."""
        self.requests.add(1, {'outcome': outcome})
        if seconds is not None:
            self.first_token_ms.record(seconds * _MILLISECONDS)

    def add_observed(
        self,
        outcomes: Mapping[str, int],
        first_bytes: Iterable[float],
    ) -> None:
        """Add requests that were counted before the instruments existed.

        ``first_bytes`` contains the seconds until the first byte of each
        answered request.
        """
        for outcome, number in outcomes.items():
            self.requests.add(number, {'outcome': outcome})
        for seconds in first_bytes:
            self.first_token_ms.record(seconds * _MILLISECONDS)

    def set_evacuations(self, evacuations: Iterable[Evacuation]) -> None:
        """Set what is known of failure domains that are or were evacuated."""
        for evacuation in evacuations:
            self.evacuated.set(
                int(evacuation.is_active),
                {'failure_domain': evacuation.failure_domain},
            )

    def text(self) -> bytes:
        """Collect all metrics; return them in the text exposition format."""
        collected = self._reader.get_metrics_data()
        if collected is None:
            return b''
        scopes = itertools.chain.from_iterable(
            resource.scope_metrics for resource in collected.resource_metrics
        )
        lines = itertools.chain.from_iterable(
            _metric_lines(metric)
            for scope in scopes
            for metric in scope.metrics
        )
        return ''.join(f'{line}\n' for line in lines).encode()


def _metric_lines(metric: Metric) -> Iterator[str]:
    yield f'# HELP {metric.name} {metric.description}'
    for point in metric.data.data_points:
        labels = ','.join(
            f'{name}="{text!s}"'
            for name, text in (point.attributes or {}).items()
        )
        yield from _point_lines(metric.name, labels, point)


def _point_lines(name: str, labels: str, point: object) -> Iterator[str]:
    match point:
        case NumberDataPoint():
            yield f'{name}{{{labels}}} {point.value}'
        case HistogramDataPoint():
            yield f'{name}_sum{{{labels}}} {point.sum}'
            yield f'{name}_count{{{labels}}} {point.count}'
