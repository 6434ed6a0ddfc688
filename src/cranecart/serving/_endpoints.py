"""What a node answers to its balancer and to whoever reads its figures."""

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
# Some minutes of a busy node; older times of the same life are left out.
_MOST_TIMES = 10000


@attrs.frozen
class ReadyEndpoint:
    """Tells the balancer whether new connections are welcome."""

    _is_ready: Callable[[], bool]

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one question, whatever its path."""
        is_ready = self._is_ready()
        await responder.send(Response(_OK if is_ready else _UNAVAILABLE))


@attrs.define
class RequestStatistics:
    """Outcomes and first bytes of requests; metrics are made by a reader.

    Loading them would delay each start, and many nodes are never read.
    """

    _outcomes: Counter[str] = attrs.field(factory=Counter, init=False)
    _times: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=_MOST_TIMES),
        init=False,
    )
    _metrics: 'Metrics | None' = attrs.field(default=None, init=False)

    def observe_request(self, outcome: str, seconds: float | None) -> None:
        """Count a request, with the seconds until its first byte."""
        if self._metrics is not None:
            self._metrics.observe_request(outcome, seconds)
            return
        self._outcomes[outcome] += 1
        if seconds is not None:
            self._times.append(seconds)

    def metrics(self) -> 'Metrics':
        """Return the node's metrics, with all that was counted so far."""
        if self._metrics is None:
            made: Metrics = importlib.import_module(
                'cranecart.metrics'
            ).Metrics()
            made.take_over(self._outcomes, self._times)
            self._metrics = made
        return self._metrics


@attrs.frozen
class MetricsEndpoint:
    """Tells counters and histograms in the text exposition format."""

    _figures: RequestStatistics
    _counts: Callable[[], Mapping[str, int]]
    _fleet: Fleet
    _config: ActiveRouteConfig

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one reading."""
        if request.path != _METRICS_PATH:
            await responder.send(Response(_NOT_FOUND))
            return
        metrics = self._figures.metrics()
        for name, number in self._counts().items():
            metrics.control.set(number, {'what': name})
        metrics.serving_replicas.set(len(list(self._fleet.all_heads())))
        config = self._config.current()
        metrics.config_version.set(config.version if config else 0)
        await responder.send(Response(_OK, body=metrics.text()))
