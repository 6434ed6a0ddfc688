"""How much work of each model comes in, fading with time."""

import math
from collections.abc import Callable, Mapping

import attrs

from cranecart.clocks import since_boot

# Some hundred requests of a node on the users' sheets, so that chance moves
# the figure by a tenth, and short against the minutes in which traffic moves
# from one model to another.
_FADE_SECONDS = 20.0
# Where hardly any request of a model was served, one of this work is assumed:
# what a request of a thousand tokens and some twenty events takes.
_ASSUMED_SECONDS = 0.1
# Requests of a shorter time tell too little.
_LEAST_AGE_SECONDS = 1.0


@attrs.define
class _ModelDemand:
    came: float = 0
    ended: float = 0
    work: float = 0

    def fade(self, factor: float) -> None:
        self.came *= factor
        self.ended *= factor
        self.work *= factor

    def mean(self) -> float:
        return (self.work + _ASSUMED_SECONDS) / (self.ended + 1)

    def total(self) -> float:
        return self.mean() * self.came


@attrs.define
class DemandMeter:
    """The requests that came for each model, times what one of them takes.

    Requests that were refused count as well: they are what is not served yet.
    """

    _clock: Callable[[], float] = since_boot
    _models: dict[str, _ModelDemand] = attrs.field(factory=dict, init=False)
    _at: float | None = attrs.field(default=None, init=False)
    _since: float | None = attrs.field(default=None, init=False)

    def record_request(self, model: str) -> None:
        """Count a request that came in."""
        if self._since is None:
            self._since = self._clock()
        self._fade()
        self._models.setdefault(model, _ModelDemand()).came += 1

    def record_work(self, model: str, seconds: float) -> None:
        """Count the work of one that was served, as a replica's seconds."""
        self._fade()
        demand = self._models.setdefault(model, _ModelDemand())
        demand.ended += 1
        demand.work += seconds

    def mean_seconds(self, model: str) -> float:
        """Return a replica's seconds that a request of a model takes."""
        known = self._models.get(model)
        return _ASSUMED_SECONDS if known is None else known.mean()

    def by_model(self) -> Mapping[str, float]:
        """Return the work that comes in a second, in a replica's seconds.

        That is how many replicas it would fill.
        """
        self._fade()
        if self._at is None or self._since is None:
            return {}
        age = self._at - self._since
        if age < _LEAST_AGE_SECONDS:
            return {}
        window = _FADE_SECONDS * (1 - math.exp(-age / _FADE_SECONDS))
        return {
            name: one.total() / window for name, one in self._models.items()
        }

    def _fade(self) -> None:
        now = self._clock()
        if self._at is not None:
            factor = math.exp((self._at - now) / _FADE_SECONDS)
            for demand in self._models.values():
                demand.fade(factor)
        self._at = now
