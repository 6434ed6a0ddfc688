"""Measure the incoming work of each model with exponential decay."""

import math
from collections.abc import Callable, Mapping

import attrs

from cranecart.clocks import since_boot

# Covers some hundred requests of a node at the users' rates, so that random
# variation is about 10 %, and is short compared to the minutes in which traffic
# shifts between models.
_DECAY_SECONDS = 20.0
# Prior for models with few served requests: one request of this work, that of
# a thousand prompt tokens and some twenty events.
_PRIOR_WORK_SECONDS = 0.1
# A shorter measurement is too unreliable.
_MIN_AGE_SECONDS = 1.0


@attrs.define
class _ModelDemand:
    arrived: float = 0
    served: float = 0
    work: float = 0

    def decay(self, factor: float) -> None:
        self.arrived *= factor
        self.served *= factor
        self.work *= factor

    def mean_work(self) -> float:
        return (self.work + _PRIOR_WORK_SECONDS) / (self.served + 1)

    def total(self) -> float:
        return self.mean_work() * self.arrived


@attrs.define
class DemandMeter:
    """Estimates demand as the request rate times the mean work per request.

    Refused requests count as well, as they are unserved demand.
    """

    _clock: Callable[[], float] = since_boot
    _models: dict[str, _ModelDemand] = attrs.field(factory=dict, init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)
    _started_at: float | None = attrs.field(default=None, init=False)

    def record_request(self, model: str) -> None:
        """Count an incoming request."""
        if self._started_at is None:
            self._started_at = self._clock()
        self._decay()
        self._models.setdefault(model, _ModelDemand()).arrived += 1

    def record_work(self, model: str, seconds: float) -> None:
        """Count the work of a served request, in replica seconds."""
        self._decay()
        demand = self._models.setdefault(model, _ModelDemand())
        demand.served += 1
        demand.work += seconds

    def mean_seconds(self, model: str) -> float:
        """Return the mean replica seconds per request of a model."""
        demand = self._models.get(model)
        return _PRIOR_WORK_SECONDS if demand is None else demand.mean_work()

    def by_model(self) -> Mapping[str, float]:
        """Return the incoming replica seconds per second of each model.

        That is the number of replicas that the demand fully occupies.
        """
        self._decay()
        if self._updated_at is None or self._started_at is None:
            return {}
        age = self._updated_at - self._started_at
        if age < _MIN_AGE_SECONDS:
            return {}
        window = _DECAY_SECONDS * (1 - math.exp(-age / _DECAY_SECONDS))
        return {
            name: demand.total() / window
            for name, demand in self._models.items()
        }

    def _decay(self) -> None:
        now = self._clock()
        if self._updated_at is not None:
            factor = math.exp((self._updated_at - now) / _DECAY_SECONDS)
            for demand in self._models.values():
                demand.decay(factor)
        self._updated_at = now
