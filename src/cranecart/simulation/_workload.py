"""Simulated workloads: request rates, sizes, bursts and faults."""

import math
import random
from collections.abc import Iterator

import attrs

from cranecart.models import EngineModel, Route
from cranecart.simulation._engine import SimulatedRequest

# Log-normal sigma of the prompt and response sizes in the users' load sheets.
_SIGMA = 0.8
_MAX_MEAN_FACTOR = 4.0


@attrs.frozen
class Burst:
    """A period in which the request rate is multiplied by ``factor``."""

    starts_at: float
    seconds: float
    factor: float


@attrs.frozen
class ReplicaCrash:
    """A replica that crashes and serves again ``seconds`` later."""

    at: float
    engine: int
    seconds: float


@attrs.frozen
class Slowdown:
    """A replica that is slower by ``factor`` for some seconds."""

    at: float
    engine: int
    seconds: float
    factor: float


@attrs.frozen
class Workload:
    """Requests of one kind: rate per second, mean sizes, and bursts."""

    route: Route
    model: EngineModel
    rate: float
    prompt_tokens: float
    events: float
    bursts: tuple[Burst, ...] = ()

    def arrivals(
        self,
        rng: random.Random,
        seconds: float,
        nodes: int,
    ) -> Iterator[SimulatedRequest]:
        """Yield requests with Poisson arrivals, each at a random node."""
        peak_rate = self.rate * max(
            (burst.factor for burst in self.bursts), default=1
        )
        now = rng.expovariate(peak_rate)
        while now < seconds:
            if rng.random() * peak_rate < self._rate_at(now):
                yield SimulatedRequest(
                    self.route,
                    self.model,
                    rng.randrange(nodes),
                    now,
                    now,
                    _draw_size(rng, self.prompt_tokens),
                    _draw_size(rng, self.events),
                )
            now += rng.expovariate(peak_rate)

    def _rate_at(self, now: float) -> float:
        factors = (
            burst.factor
            for burst in self.bursts
            if burst.starts_at <= now < burst.starts_at + burst.seconds
        )
        return self.rate * max(factors, default=1)


def _draw_size(rng: random.Random, mean: float) -> int:
    size = rng.lognormvariate(math.log(mean) - _SIGMA**2 / 2, _SIGMA)
    return max(1, round(min(size, _MAX_MEAN_FACTOR * mean)))
