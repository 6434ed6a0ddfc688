"""Learn how long live replicas are silent, to notice those that stopped."""

from collections import deque

import attrs

# Enough gaps for the largest hundredth to mean something, few enough that a
# change of load shows within seconds.
_MOST_GAPS = 400
_FEWEST_GAPS = 50
_RECOMPUTED_EVERY = 25
_TAIL_PART = 0.99
# A stopped replica is looked at once the silence is clearly longer than the
# longest ordinary ones. A look is cheap, so that one in some hundred may be
# in vain.
_FACTOR = 1.25
# Nothing is learned below what the network alone may hold back, or above
# what clients notice as a pause.
_LEAST_SECONDS = 0.065
_MOST_SECONDS = 0.2
_UNKNOWN_SECONDS = 0.15


@attrs.define
class _ModelGaps:
    recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=_MOST_GAPS),
    )
    since_recomputed: int = 0
    stall_seconds: float = _UNKNOWN_SECONDS


@attrs.define
class EventGapTracker:
    """The gaps between events by model, as this node sees them."""

    _models: dict[str, _ModelGaps] = attrs.field(factory=dict, init=False)

    def record(self, model: str, seconds: float) -> None:
        """Take over one gap of a stream that went on."""
        gaps = self._models.setdefault(model, _ModelGaps())
        gaps.recent.append(seconds)
        gaps.since_recomputed += 1
        if gaps.since_recomputed >= _RECOMPUTED_EVERY:
            gaps.since_recomputed = 0
            gaps.stall_seconds = _suspect_seconds(gaps.recent)

    def stall_seconds(self, model: str) -> float:
        """Return after which silence a replica should be looked at."""
        gaps = self._models.get(model)
        return _UNKNOWN_SECONDS if gaps is None else gaps.stall_seconds


def _suspect_seconds(recent: deque[float]) -> float:
    if len(recent) < _FEWEST_GAPS:
        return _UNKNOWN_SECONDS
    ranked = sorted(recent)
    tail = ranked[int(len(ranked) * _TAIL_PART)]
    return min(_MOST_SECONDS, max(_LEAST_SECONDS, _FACTOR * tail))
