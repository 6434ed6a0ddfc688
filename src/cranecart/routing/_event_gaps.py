"""Learn the usual gaps between events, to detect stalled replicas."""

from collections import deque

import attrs

# Enough gaps for the 99th percentile to be meaningful, few enough that a
# change of load shows within seconds.
_MAX_GAPS = 400
_MIN_GAPS = 50
_RECOMPUTE_INTERVAL = 25
_TAIL_QUANTILE = 0.99
# A replica is checked once a silence is clearly longer than the longest usual
# one. Checks are cheap, so about one in a hundred may be needless.
_STALL_FACTOR = 1.25
# Not below the delay that the network alone may cause, nor above what clients
# notice as a pause.
_MIN_STALL_SECONDS = 0.065
_MAX_STALL_SECONDS = 0.2
_DEFAULT_STALL_SECONDS = 0.15


@attrs.define
class _ModelGaps:
    recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_GAPS),
    )
    since_recomputed: int = 0
    stall_seconds: float = _DEFAULT_STALL_SECONDS


@attrs.define
class EventGapTracker:
    """Gaps between the events of streams by model, as seen by this node."""

    _models: dict[str, _ModelGaps] = attrs.field(factory=dict, init=False)

    def record(self, model: str, seconds: float) -> None:
        """Record the gap before a further event of a stream."""
        gaps = self._models.setdefault(model, _ModelGaps())
        gaps.recent.append(seconds)
        gaps.since_recomputed += 1
        if gaps.since_recomputed >= _RECOMPUTE_INTERVAL:
            gaps.since_recomputed = 0
            gaps.stall_seconds = _compute_stall_seconds(gaps.recent)

    def stall_seconds(self, model: str) -> float:
        """Return the seconds of silence after which to check a replica."""
        gaps = self._models.get(model)
        return _DEFAULT_STALL_SECONDS if gaps is None else gaps.stall_seconds


def _compute_stall_seconds(recent: deque[float]) -> float:
    if len(recent) < _MIN_GAPS:
        return _DEFAULT_STALL_SECONDS
    ranked = sorted(recent)
    tail = ranked[int(len(ranked) * _TAIL_QUANTILE)]
    return min(
        _MAX_STALL_SECONDS, max(_MIN_STALL_SECONDS, _STALL_FACTOR * tail)
    )
