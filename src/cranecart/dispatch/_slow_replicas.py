"""Choose which slow replicas a request considers.

The load it answers: a third of the replicas is six times slower while demand is
at its peak. A request is late at such a replica even if nothing waits there, so
that the others serve what they can. Yet the slow ones still have to be tried,
as only requests show that they have recovered, and by few requests at once. At
a peak that the others cannot serve in time either, the slow ones serve what
they can.
"""

import random
from collections.abc import Sequence

import attrs

from cranecart.dispatch._inputs import ReplicaState

# A replica up to this pace serves as declared, but for measuring errors.
_USUAL_PACE = 1.2
# The fraction of their slots that the other replicas have in use at which slow
# replicas are compared by their requests alone. In simulation with 16 nodes, 6
# of 100 requests instead of 4 are late at 0.5 while the others have room, and 27
# instead of 21 are late at the highest peak if this is left out.
_BUSY_FRACTION = 0.8


def draw_by_pace(
    source: random.Random, replicas: Sequence[ReplicaState], slots: int
) -> Sequence[ReplicaState]:
    """Leave out slow replicas by chance, in proportion to their pace.

    A replica that is five times slower takes part in a fifth of the decisions.
    If none is left, all are returned. While the replicas that are not slow are
    busy, the slow ones have a pace of 1 in the result.
    """
    drawn = [
        replica
        for replica in replicas
        if replica.pace <= 1 or source.random() * replica.pace < 1
    ]
    has_slow = any(replica.pace > 1 for replica in drawn)
    if has_slow and _are_busy(replicas, slots):
        drawn = [attrs.evolve(replica, pace=1) for replica in drawn]
    return drawn or replicas


def _are_busy(replicas: Sequence[ReplicaState], slots: int) -> bool:
    loads = [
        replica.in_flight for replica in replicas if replica.pace <= _USUAL_PACE
    ]
    return bool(loads) and sum(loads) >= _BUSY_FRACTION * slots * len(loads)
