"""What plans are made from and what they consist of."""

import enum
import functools
from collections.abc import Callable, Mapping
from typing import Self

import attrs

from cranecart.grouping._objective import Objective, build_objective
from cranecart.models import EngineModel, ServiceProfile
from cranecart.ports import ListedInstance

# So that a model without replicas has a finite need.
_REPLICA_OFFSET = 0.5


class StagingUse(enum.Enum):
    """What a staging is for; the first matters most."""

    # A spare that could join nothing without a load.
    FIRST_MODEL = 'first model'
    # A spare or member that can join a replica of one model already.
    SECOND_MODEL = 'second model'


@attrs.frozen
class NewReplica:
    """Members, head first, that should form a replica of a model.

    ``ready_seconds`` is what the slowest member needs to be ready.
    """

    service: str
    model: str
    fabric_domain: str
    members: tuple[ListedInstance, ...]
    cold_members: int
    ready_seconds: float


@attrs.frozen
class Staging:
    """A model that an instance should bring to its host."""

    instance: ListedInstance
    model: str
    use: StagingUse = StagingUse.FIRST_MODEL


@attrs.frozen
class Warming:
    """A model on its host that an unused instance should load."""

    instance: ListedInstance
    model: str


@attrs.frozen
class ServingMember:
    """An instance in use, with its replica and that replica's model."""

    instance: ListedInstance
    replica: str
    model: str


@attrs.frozen
class Plan:
    """What a failure domain's placer should begin now.

    ``closings`` name the replicas that make room for some of ``replicas``.
    """

    replicas: tuple[NewReplica, ...] = ()
    stagings: tuple[Staging, ...] = ()
    warmings: tuple[Warming, ...] = ()
    preempted: tuple[str, ...] = ()

    def restricted_to(
        self, is_wanted: Callable[[ListedInstance], bool]
    ) -> Self:
        """Return the part of the plan that concerns some instances."""
        return attrs.evolve(
            self,
            replicas=tuple(
                one for one in self.replicas if all(map(is_wanted, one.members))
            ),
            stagings=tuple(
                one for one in self.stagings if is_wanted(one.instance)
            ),
            warmings=tuple(
                one for one in self.warmings if is_wanted(one.instance)
            ),
        )


@attrs.frozen
class PlanInput:
    """What a plan is made from, for one service.

    ``free`` are the instances of one failure domain that no replica has that
    goes on; ``waits`` tells in how many seconds those can join that are still
    being freed. ``present`` counts the replicas of each model over the whole
    deployment, ``in_fabric`` those of each fabric domain, ``measured`` is the
    work that comes, in replicas that it would fill. ``members`` are the
    failure domain's instances in replicas that serve, ``staging`` names the
    models that instances are being brought, ``load_part`` multiplies the time
    of loads now.
    """

    profile: ServiceProfile
    free: tuple[ListedInstance, ...]
    replica_counts: Mapping[str, float]
    fabric_replica_counts: Mapping[tuple[str, str], int]
    measured_demand: Mapping[str, float]
    members: tuple[ServingMember, ...] = ()
    pending_stagings: Mapping[str, str] = attrs.field(factory=dict)
    release_delays: Mapping[str, float] = attrs.field(factory=dict)
    load_time_factor: float = 1
    instance_count: int = 0

    @property
    def models(self) -> tuple[EngineModel, ...]:
        """Return the models that the service's engines run."""
        engine = self.profile.engine
        return () if engine is None else engine.models

    @functools.cached_property
    def objective(self) -> Objective:
        """Return what divisions are weighed by."""
        return build_objective(
            self.models, self.measured_demand, self.instance_count
        )

    def demand_per_replica(self, model: EngineModel, replicas: float) -> float:
        """Return the demand on each of so many replicas of a model."""
        demand = self.objective.demand[model.name]
        return demand / (replicas + _REPLICA_OFFSET)

    def current_demand_per_replica(self, model: EngineModel) -> float:
        """Return the demand on each replica that a model has now."""
        return self.demand_per_replica(
            model, self.replica_counts.get(model.name, 0)
        )


def models_of(instance: ListedInstance) -> tuple[str, ...]:
    """Return the models that an instance need not load anew."""
    return (*instance.loaded, *instance.staged)
