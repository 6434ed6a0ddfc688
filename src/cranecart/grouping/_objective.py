"""Score numbers of replicas by how much demand they serve; no I/O.

The same objective decides what is formed, what is preempted and what remains a
spare, so that no step undoes another.
"""

import math
from collections.abc import Mapping

import attrs

from cranecart.models import EngineModel

# Rate at which further replicas of a model lose value. As many replicas as the
# demand fills give three quarters of the possible gain, twice as many 0.95:
# full replicas answer late, and one in about ten is being repaired.
_SATURATION = 1.5
# Fraction of the time for which each member makes its replica unavailable. In
# the reference deployments each member fails once in a hundred seconds (20 of
# 54 in 34 s of quiet days), and three seconds pass until the replica opens
# again.
_DOWNTIME_PER_MEMBER = 0.03
# In replicas, so that a model with hardly any requests still gets one.
_MIN_DEMAND = 0.1
# Fraction of all instances that is assumed to be busy until demand is known.
_DEFAULT_UTILIZATION = 0.6
# Measured demand replaces the declared shares above this many replicas.
_MIN_MEASURED_DEMAND = 0.3


@attrs.frozen
class Objective:
    """Scores allocations of a deployment's instances to replicas.

    ``demand`` is how many replicas of each model the requests would fill.
    Demand is weighted by the accelerators that it takes, whatever the model, so
    that a shortage is shared evenly.
    """

    models: tuple[EngineModel, ...]
    demand: Mapping[str, float]

    def value(self, replicas: Mapping[str, float]) -> float:
        """Return the fraction of all demand, from 0 to 1, that is served well.

        Counts may be fractional for replicas that will serve later.
        """
        served = sum(
            self._weight(model) * self._served(model, replicas)
            for model in self.models
        )
        return served / self.instances_needed

    @property
    def instances_needed(self) -> float:
        """Return how many instances the whole demand would fill."""
        return sum(map(self._weight, self.models))

    def _weight(self, model: EngineModel) -> float:
        return self.demand[model.name] * model.size

    def _served(
        self,
        model: EngineModel,
        replicas: Mapping[str, float],
    ) -> float:
        """Return the expected fraction of a model's demand that is served.

        Replicas are available independently of each other, so the expectation
        is a product over the replicas.
        """
        gain_of_first = 1 - math.exp(-_SATURATION / self.demand[model.name])
        missed_fraction = 1 - gain_of_first / (
            1 + _DOWNTIME_PER_MEMBER * model.size
        )
        return 1 - missed_fraction ** replicas.get(model.name, 0)


def build_objective(
    models: tuple[EngineModel, ...],
    measured_demand: Mapping[str, float],
    instance_count: int,
) -> Objective:
    """Build the objective from measured demand or from declared shares.

    ``measured_demand`` is in replicas; ``instance_count`` is the number of
    instances of all models.
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
