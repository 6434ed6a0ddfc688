"""Choose which slow replicas a request considers.

The load it answers: a third of the replicas is six times slower while demand is
at its peak. A request is late at such a replica even if nothing waits there, so
that the others serve what they can. Yet the slow ones still have to be tried,
as only requests show that they have recovered, and by few requests at once.
"""

import random
from collections.abc import Sequence

from cranecart.dispatch._inputs import ReplicaState


def draw_by_pace(
    source: random.Random, replicas: Sequence[ReplicaState]
) -> Sequence[ReplicaState]:
    """Leave out slow replicas by chance, in proportion to their pace.

    A replica that is five times slower takes part in a fifth of the decisions.
    If none is left, all are returned.
    """
    drawn = [
        replica
        for replica in replicas
        if replica.pace <= 1 or source.random() * replica.pace < 1
    ]
    return drawn or replicas
