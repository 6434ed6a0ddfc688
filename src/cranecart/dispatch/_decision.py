"""Choose where a request goes, or refuse it at once.

Load answered: a model's replicas are full for some seconds after deaths or in
a surge. In the order of their coming everybody would be late by the length of
the queue. Those that can still be in time go first, the others wait behind
them as long as their clients do, and only what their clients would not live to
see is refused.
"""

from collections.abc import Sequence

import attrs

from cranecart.dispatch._forecast import forecast
from cranecart.dispatch._inputs import DispatchRequest, ReplicaState

# A part of the objective that a replica in another failure domain must be
# quicker to be chosen: bytes between failure domains are paid for, and what
# is near goes on when a failure domain is cut off. It is about what a replica
# loses in time from one free slot to the last, so that a full one is passed.
_FAR_PART = 0.1
# So many replicas are drawn first, in each of near and far. What other nodes
# told is a quarter of a second old, and all of them would choose the same best
# one: in the emulation 0.976 of the worth against 0.983 with two drawn.
_DRAWN = 2
# Forecasts are rough, so that a client is not left to the last moment; one
# that was refused before loses more by being refused again than by waiting.
_PATIENCE_PART = 0.8
_RETURNED_PATIENCE_PART = 1.0


@attrs.frozen
class Send:
    """Send to a replica; ``is_late`` ones let those in time pass."""

    name: str
    forecast_seconds: float
    is_deferred: bool = False


@attrs.frozen
class Refuse:
    """Refuse; a place is expected in ``seconds``, counted from now."""

    excess_seconds: float


def decide(
    ask: DispatchRequest, standings: Sequence[ReplicaState]
) -> Send | Refuse:
    """Choose between replicas, at least one of which is given.

    They are given in an order that was drawn for this request.
    """
    for asked in (_drawn(standings), standings):
        best, seconds = _quickest(ask, asked, behind=False)
        if seconds <= ask.objective_seconds:
            return Send(best.name, seconds)
    if ask.is_resumed:
        return Send(best.name, seconds)
    best, seconds = _quickest(ask, standings, behind=True)
    part = _RETURNED_PATIENCE_PART if ask.was_refused else _PATIENCE_PART
    over = seconds - part * ask.max_wait_seconds
    if over <= 0:
        return Send(best.name, seconds, is_deferred=True)
    return Refuse(over)


def _drawn(standings: Sequence[ReplicaState]) -> Sequence[ReplicaState]:
    near = [one for one in standings if one.is_local]
    far = [one for one in standings if not one.is_local]
    return (*near[:_DRAWN], *far[:_DRAWN])


def _quickest(
    ask: DispatchRequest,
    standings: Sequence[ReplicaState],
    *,
    behind: bool,
) -> tuple[ReplicaState, float]:
    forecasts = [(forecast(ask, one, behind=behind), one) for one in standings]
    seconds, best = min(
        forecasts,
        key=lambda pair: pair[0] + _penalty(ask, pair[1]),
    )
    return best, seconds


def _penalty(ask: DispatchRequest, standing: ReplicaState) -> float:
    if standing.is_local:
        return 0
    return _FAR_PART * ask.route.objective_seconds
