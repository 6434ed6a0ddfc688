"""Learn how much later than forecast first events come.

Load answered: a replica that has turned slow looks like any other by its
counts, and the time that all engines need beside passes is declared nowhere.
"""

from collections import defaultdict
from collections.abc import Collection, Hashable

import attrs

# A replica's error follows its last ten or so first events, which come within
# a second under load; the model's follows slower.
_REPLICA_PART = 0.15
_MODEL_PART = 0.02
# One answer tells no more than so much: it may have waited for others' prompts.
_MOST_SECONDS = 1.0
# A replica that got no request for so long is tried anew.
_FORGOTTEN_SECONDS = 3.0


@attrs.define
class ForecastErrors:
    """The mean errors of each model's forecasts, and of each replica's."""

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
        """Take over by how much a first event was late at a replica."""
        error = max(-_MOST_SECONDS, min(_MOST_SECONDS, seconds))
        before = self.expected(name, model, now)
        after = before + _REPLICA_PART * (error - before)
        self._replicas[name] = (after, now)
        self._models[model] += _MODEL_PART * (error - self._models[model])

    def expected(self, name: Hashable, model: str, now: float) -> float:
        """Return how much later than forecast a first event should come."""
        known = self._replicas.get(name)
        if known is None or now - known[1] > _FORGOTTEN_SECONDS:
            return self._models[model]
        return known[0]

    def prune(self, names: Collection[Hashable]) -> None:
        """Forget all replicas but some."""
        for name in self._replicas.keys() - set(names):
            self._replicas.pop(name)
