"""Simulated workloads: request rates, sizes, bursts and faults."""

import math
import random
from collections.abc import Iterator, Mapping

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
    """Requests of one kind: rate per second, mean sizes, and bursts.

    ``organisations`` has the weight of each organisation's requests, and
    ``impatient_fraction`` is the part of the clients that retry at once.
    """

    route: Route
    model: EngineModel
    rate: float
    prompt_tokens: float
    events: float
    bursts: tuple[Burst, ...] = ()
    organisations: Mapping[str, float] = attrs.field(factory=dict)
    impatient_fraction: float = 0

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
                request = SimulatedRequest(
                    self.route,
                    self.model,
                    rng.randrange(nodes),
                    now,
                    now,
                    _draw_size(rng, self.prompt_tokens),
                    _draw_size(rng, self.events),
                )
                self._draw_client(rng, request)
                yield request
            now += rng.expovariate(peak_rate)

    def _draw_client(
        self, rng: random.Random, request: SimulatedRequest
    ) -> None:
        if self.organisations:
            request.organisation = rng.choices(
                list(self.organisations), list(self.organisations.values())
            )[0]
        if self.impatient_fraction:
            request.is_impatient = rng.random() < self.impatient_fraction
        request.token = rng.random()

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
