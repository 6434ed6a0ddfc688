"""Learn by how much first events come later than forecast.

A replica that has become slow is not visible in request counts, and the time
that engines need beside their passes is not declared.
"""

from collections import defaultdict
from collections.abc import Collection, Hashable

import attrs

# Weights of the moving averages. A replica's average covers about its last ten
# first events, which arrive within a second under load; the model's average
# follows more slowly.
_REPLICA_WEIGHT = 0.15
_MODEL_WEIGHT = 0.02
# Bounds the effect of one measurement: the request may have waited for the
# prompts of others.
_MAX_ERROR_SECONDS = 1.0
# A replica without measurements for this long is treated as unmeasured, so
# that it is tried again.
_EXPIRY_SECONDS = 3.0


@attrs.define
class ForecastErrors:
    """Moving averages of the forecast error, by model and by replica."""

    _models: dict[str, float] = attrs.field(
        factory=lambda: defaultdict(float),
        init=False,
    )
    _replicas: dict[Hashable, tuple[float, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def record(
        self,
        name: Hashable,
        model: str,
        seconds: float,
        now: float,
    ) -> None:
        """Record how many seconds later than forecast a first event came."""
        error = max(-_MAX_ERROR_SECONDS, min(_MAX_ERROR_SECONDS, seconds))
        previous = self.expected(name, model, now)
        updated = previous + _REPLICA_WEIGHT * (error - previous)
        self._replicas[name] = (updated, now)
        self._models[model] += _MODEL_WEIGHT * (error - self._models[model])

    def expected(self, name: Hashable, model: str, now: float) -> float:
        """Return the expected forecast error at a replica, in seconds."""
        known = self._replicas.get(name)
        if known is None or now - known[1] > _EXPIRY_SECONDS:
            return self._models[model]
        return known[0]

    def expected_of_model(self, model: str) -> float:
        """Return the expected forecast error at any replica, in seconds."""
        return self._models[model]

    def prune(self, names: Collection[Hashable]) -> None:
        """Drop all replicas but the named ones."""
        for name in self._replicas.keys() - set(names):
            self._replicas.pop(name)
