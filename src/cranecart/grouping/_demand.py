"""How much work of each model comes in, fading with time."""

import math
import time
from collections.abc import Callable, Mapping

import attrs

# Long against single requests, short against the minutes in which traffic
# moves from one model to another.
_FADE_SECONDS = 8.0


@attrs.define
class DemandMeter:
    """Sums of work by model; what is old counts less and less."""

    _clock: Callable[[], float] = time.monotonic
    _sums: dict[str, float] = attrs.field(factory=dict, init=False)
    _at: float | None = attrs.field(default=None, init=False)

    def note(self, model: str, work: float) -> None:
        """Count a request's work, in any one unit."""
        self._fade()
        self._sums[model] = self._sums.get(model, 0) + work

    def by_model(self) -> Mapping[str, float]:
        """Return the present sums."""
        self._fade()
        return dict(self._sums)

    def _fade(self) -> None:
        now = self._clock()
        if self._at is not None:
            factor = math.exp((self._at - now) / _FADE_SECONDS)
            self._sums = {
                model: work * factor for model, work in self._sums.items()
            }
        self._at = now
