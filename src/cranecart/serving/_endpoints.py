"""The endpoints for the load balancer's health check and for metrics."""

import importlib
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs

from cranecart.fleet import Fleet
from cranecart.http import Request, Responder, Response
from cranecart.serving._active_config import ActiveRouteConfig

if TYPE_CHECKING:
    from cranecart.metrics import Metrics

_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
_METRICS_PATH = '/metrics'
# Covers some minutes of a busy node. Until metrics are read for the first time,
# only the latest samples are kept.
_MAX_SAMPLES = 10000


@attrs.frozen
class ReadyEndpoint:
    """Answers the load balancer's health checks: 200 if ready, else 503."""

    _is_ready: Callable[[], bool]

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a health check, whatever its path."""
        is_ready = self._is_ready()
        await responder.send(Response(_OK if is_ready else _UNAVAILABLE))


@attrs.define
class RequestStatistics:
    """Counts request outcomes and the times until their first bytes.

    The metrics library is loaded when metrics are read for the first time:
    loading it would delay each start, and the metrics of many nodes are never
    read.
    """

    _outcomes: Counter[str] = attrs.field(factory=Counter, init=False)
    _first_byte_seconds: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_SAMPLES),
        init=False,
    )
    _metrics: 'Metrics | None' = attrs.field(default=None, init=False)

    def observe_request(self, outcome: str, seconds: float | None) -> None:
        """Record a request's outcome and the time until its first byte."""
        if self._metrics is not None:
            self._metrics.observe_request(outcome, seconds)
            return
        self._outcomes[outcome] += 1
        if seconds is not None:
            self._first_byte_seconds.append(seconds)

    def metrics(self) -> 'Metrics':
        """Return the node's metrics, including everything recorded so far."""
        if self._metrics is None:
            new_metrics: Metrics = importlib.import_module(
                'cranecart.metrics'
            ).Metrics()
            new_metrics.add_observed(self._outcomes, self._first_byte_seconds)
            self._metrics = new_metrics
        return self._metrics


@attrs.frozen
class MetricsEndpoint:
    """Serves counters and histograms in the text exposition format."""

    _statistics: RequestStatistics
    _counters: Callable[[], Mapping[str, int]]
    _fleet: Fleet
    _config: ActiveRouteConfig

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request for metrics."""
        if request.path != _METRICS_PATH:
            await responder.send(Response(_NOT_FOUND))
            return
        metrics = self._statistics.metrics()
        for name, number in self._counters().items():
            metrics.control.set(number, {'what': name})
        metrics.serving_replicas.set(len(list(self._fleet.all_heads())))
        metrics.set_evacuations(self._fleet.evacuations.known())
        config = self._config.current()
        metrics.config_version.set(config.version if config else 0)
        await responder.send(Response(_OK, body=metrics.text()))
