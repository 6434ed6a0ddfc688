"""Load as any deployment's own shape gives it."""

import math
import random
from collections.abc import Iterator

import attrs

from cranecart.emulation._engine import Run
from cranecart.models import EngineModel, Route

# The spread of prompts and answers on the users' sheets, as a log-normal's.
_SPREAD = 0.8
_MOST_TIMES_MEAN = 4.0


@attrs.frozen
class Burst:
    """So many times the requests, for a while."""

    begins: float
    seconds: float
    times: float


@attrs.frozen
class Death:
    """A replica that dies, and is open again some seconds later."""

    at: float
    engine: int
    seconds: float


@attrs.frozen
class Load:
    """Requests of one kind: rate a second, mean sizes, and surges."""

    route: Route
    model: EngineModel
    rate: float
    prompt_tokens: float
    events: float
    bursts: tuple[Burst, ...] = ()

    def arrivals(
        self,
        source: random.Random,
        seconds: float,
        nodes: int,
    ) -> Iterator[Run]:
        """Draw requests at random moments, each at some node."""
        most = self.rate * max((one.times for one in self.bursts), default=1)
        now = source.expovariate(most)
        while now < seconds:
            if source.random() * most < self._rate(now):
                yield Run(
                    self.route,
                    self.model,
                    source.randrange(nodes),
                    now,
                    now,
                    _drawn(source, self.prompt_tokens),
                    _drawn(source, self.events),
                )
            now += source.expovariate(most)

    def _rate(self, now: float) -> float:
        surges = (
            one.times
            for one in self.bursts
            if one.begins <= now < one.begins + one.seconds
        )
        return self.rate * max(surges, default=1)


def _drawn(source: random.Random, mean: float) -> int:
    drawn = source.lognormvariate(math.log(mean) - _SPREAD**2 / 2, _SPREAD)
    return max(1, round(min(drawn, _MOST_TIMES_MEAN * mean)))
