"""The input of plans, and what they consist of."""

import enum
import functools
from collections.abc import Callable, Mapping
from typing import Self

import attrs

from cranecart.grouping._objective import Objective, build_objective
from cranecart.models import EngineModel, ServiceProfile
from cranecart.ports import ListedInstance

# Keeps the demand per replica finite for a model without replicas.
_REPLICA_OFFSET = 0.5


class StagingUse(enum.Enum):
    """The purpose of a staging; the first one has priority."""

    # For a spare that could join no replica without a load.
    FIRST_MODEL = 'first model'
    # For a spare or member that can already join a replica of one model.
    SECOND_MODEL = 'second model'


@attrs.frozen
class NewReplica:
    """A replica that should be formed, with its members, head first.

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
    """A model that should be copied to the host of an instance."""

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
    """What a failure domain's placer should start now.

    ``preempted`` names the replicas that make room for some of ``replicas``.
    """

    replicas: tuple[NewReplica, ...] = ()
    stagings: tuple[Staging, ...] = ()
    warmings: tuple[Warming, ...] = ()
    preempted: tuple[str, ...] = ()

    def restricted_to(
        self, is_wanted: Callable[[ListedInstance], bool]
    ) -> Self:
        """Return the part of the plan that concerns only wanted instances."""
        return attrs.evolve(
            self,
            replicas=tuple(
                replica
                for replica in self.replicas
                if all(map(is_wanted, replica.members))
            ),
            stagings=tuple(
                staging
                for staging in self.stagings
                if is_wanted(staging.instance)
            ),
            warmings=tuple(
                warming
                for warming in self.warmings
                if is_wanted(warming.instance)
            ),
        )


@attrs.frozen
class PlanInput:
    """The input of a plan for one service.

    ``free`` are the instances to plan for that belong to no replica or
    to one that is ending. ``release_delays`` has the seconds after which the
    latter can join another one. ``replica_counts`` has the number of replicas
    of each model in the whole deployment, ``fabric_replica_counts`` the number
    by fabric domain and model. ``measured_demand`` is in replicas that it would
    fill. ``members`` are the failure domain's instances in serving replicas,
    ``pending_stagings`` the models that are being copied to instances.
    ``load_time_factor`` scales the load times; ``instance_count`` counts the
    instances of the service.
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
        """Return the objective that scores allocations."""
        return build_objective(
            self.models, self.measured_demand, self.instance_count
        )

    def demand_per_replica(self, model: EngineModel, replicas: float) -> float:
        """Return the demand on each of a number of replicas of a model."""
        demand = self.objective.demand[model.name]
        return demand / (replicas + _REPLICA_OFFSET)

    def current_demand_per_replica(self, model: EngineModel) -> float:
        """Return the demand on each replica that a model has now."""
        return self.demand_per_replica(
            model, self.replica_counts.get(model.name, 0)
        )


def models_of(instance: ListedInstance) -> tuple[str, ...]:
    """Return the models that an instance has loaded or staged."""
    return (*instance.loaded, *instance.staged)
