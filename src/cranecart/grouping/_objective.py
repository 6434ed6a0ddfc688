"""What users get from so many replicas of each model; no I/O, no clock.

One measure decides what is formed, what is closed for it and what stays a
spare, so that no step undoes another.
"""

import math
from collections.abc import Mapping

import attrs

from cranecart.models import EngineModel

# How soon more replicas of a model are worth less: with as many as its work
# fills, three quarters of what could be gained are, with twice as many 0.95.
# Full replicas answer late, and one in some ten is being repaired.
_SATURATION = 1.5
# The part of the time that each member keeps its replica from serving. On the
# users' sheets each member dies once in a hundred seconds (20 of 54 in 34 s of
# quiet days), and three seconds pass from a death to the next opening.
_DOWNTIME_PER_MEMBER = 0.03
# A model that hardly anybody asks for still wants one replica.
_MIN_DEMAND = 0.1
# Until requests tell more, this part of all instances is taken to have work.
_DEFAULT_UTILIZATION = 0.6
# Work of this many replicas that came tells more than the declared shares.
_MIN_MEASURED_DEMAND = 0.3


@attrs.frozen
class Objective:
    """Weighs divisions of a deployment's instances into replicas.

    ``demand`` is how many replicas of each model its work would fill. All
    models' users count the same for the accelerators that their work takes,
    so that what is too little is divided evenly.
    """

    models: tuple[EngineModel, ...]
    demand: Mapping[str, float]

    def value(self, replicas: Mapping[str, float]) -> float:
        """Return the part of all work, from 0 to 1, that is served well.

        Replicas may be counted in part: those that serve only later.
        """
        served = sum(
            self._weight(one) * self._served(one, replicas)
            for one in self.models
        )
        return served / self.instances_needed

    @property
    def instances_needed(self) -> float:
        """Return how many instances all the work would fill."""
        return sum(map(self._weight, self.models))

    def _weight(self, model: EngineModel) -> float:
        return self.demand[model.name] * model.size

    def _served(
        self,
        model: EngineModel,
        replicas: Mapping[str, float],
    ) -> float:
        """Return the part of a model's work that is served in the mean.

        Each replica is whole for a part of the time, whatever others are, so
        that the mean over what is whole is a product over the replicas.
        """
        gain_of_first = 1 - math.exp(-_SATURATION / self.demand[model.name])
        lost = 1 - gain_of_first / (1 + _DOWNTIME_PER_MEMBER * model.size)
        return 1 - lost ** replicas.get(model.name, 0)


def build_objective(
    models: tuple[EngineModel, ...],
    measured_demand: Mapping[str, float],
    instance_count: int,
) -> Objective:
    """Build the objective from measured work, or else from declared shares.

    ``measured`` is work that comes, in replicas that it would fill, and
    ``instances`` how many there are for all models.
    """
    demand = measured_demand
    if sum(measured_demand.values()) < _MIN_MEASURED_DEMAND:
        shares = sum(model.share for model in models)
        demand = {
            model.name: _DEFAULT_UTILIZATION
            * instance_count
            * model.share
            / (shares * model.size)
            for model in models
        }
    return Objective(
        models,
        {
            model.name: max(_MIN_DEMAND, demand.get(model.name, 0))
            for model in models
        },
    )
