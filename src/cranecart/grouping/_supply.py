"""What plans are made from and what they consist of."""

import enum
from collections.abc import Mapping

import attrs

from cranecart.models import EngineModel, ServiceProfile
from cranecart.ports import ListedInstance

# Less work than this of a model, in seconds of an engine's slot, is too little
# to judge by: a request takes about one.
_LEAST_DEMAND = 30.0
# So that a model without replicas has a finite need.
_HALF_A_REPLICA = 0.5


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

    ``unused`` are the instances that are left over.
    """

    replicas: tuple[NewReplica, ...] = ()
    stagings: tuple[Staging, ...] = ()
    warmings: tuple[Warming, ...] = ()
    unused: tuple[ListedInstance, ...] = ()


@attrs.frozen
class Supply:
    """What a plan is made from, for one service.

    ``free`` are the unused instances of one failure domain, ``present``
    counts the replicas of each model over the whole deployment, ``in_fabric``
    those of each fabric domain, ``demand`` weighs the models' requests.
    ``members`` are the failure domain's instances in replicas that serve,
    ``staging`` names the models that instances are being brought.
    """

    profile: ServiceProfile
    free: tuple[ListedInstance, ...]
    present: Mapping[str, int]
    in_fabric: Mapping[tuple[str, str], int]
    demand: Mapping[str, float]
    members: tuple[ServingMember, ...] = ()
    staging: Mapping[str, str] = attrs.field(factory=dict)

    @property
    def is_demand_known(self) -> bool:
        """Tell whether enough of each model came to compare them."""
        return all(
            self.demand.get(model.name, 0) >= _LEAST_DEMAND
            for model in self.models
        )

    @property
    def models(self) -> tuple[EngineModel, ...]:
        """Return the models that the service's engines run."""
        engine = self.profile.engine
        return () if engine is None else engine.models

    def demand_of(self, model: EngineModel) -> float:
        """Return the engine time that a model's requests want.

        Until it is known, the declared shares stand for it.
        """
        if self.is_demand_known:
            return self.demand[model.name] * model.pace
        return model.share

    def need(self, model: EngineModel, replicas: float) -> float:
        """Return the demand on each of so many replicas of a model."""
        return self.demand_of(model) / (replicas + _HALF_A_REPLICA)


def models_of(instance: ListedInstance) -> tuple[str, ...]:
    """Return the models that an instance need not load anew."""
    return (*instance.loaded, *instance.staged)
