"""Which replicas may make room for others, and how often that is weighed."""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Self

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import ReplicaRecord
from cranecart.grouping._allocation import PreemptibleReplica
from cranecart.grouping._plan_types import PlanInput, ServingMember

PREEMPTION_REASON = 'another model needs its instances more'
# What a replica's streams take to end on the users' sheets.
DRAIN_SECONDS = 0.5
# Within this all placers know of a replica that makes room, and of the one
# that it makes room for; until then the need looks as great as before.
_COOLDOWN_SECONDS = 1.0
# How often it is worth to compare the replicas of fabric domains in which
# nothing is free.
_COMPARE_INTERVAL_SECONDS = 0.5


class PreemptionScope(enum.Enum):
    """Where replicas may be closed to make room for others."""

    NONE = 'nothing'
    # Nothing yet, as others may just have made room; what will be closed soon
    # keeps the free instances waiting that it is to be closed for.
    DEFERRED = 'beside free instances, but later'
    # Where instances are free, which may lack a few to form something.
    WITH_FREE_INSTANCES = 'beside free instances'
    ANYWHERE = 'anywhere'

    def allows(self, has_free: bool) -> bool:
        """Tell whether replicas of a fabric domain may be closed."""
        if self in {
            PreemptionScope.WITH_FREE_INSTANCES,
            PreemptionScope.DEFERRED,
        }:
            return has_free
        return self is PreemptionScope.ANYWHERE

    @property
    def drain_seconds(self) -> float:
        """Return in how many seconds a closed replica's members are free."""
        if self is PreemptionScope.DEFERRED:
            return _COOLDOWN_SECONDS + DRAIN_SECONDS
        return DRAIN_SECONDS

    def after_preemption(self) -> Self:
        """Return what may be closed after a fabric domain made room."""
        if self is PreemptionScope.NONE:
            return self
        return type(self).DEFERRED


@attrs.define
class PreemptionCooldown:
    """Keeps placers from all making room for the same need.

    The pause counts from when a replica that makes room is first seen, as what
    it makes room for is known with it. Counted from when its record was gone,
    one that closed for long kept all others from making room.
    """

    _clock: Callable[[], float] = since_boot
    _known_preempting: frozenset[str] = attrs.field(
        default=frozenset(), init=False
    )
    _preempted_at: float = attrs.field(default=float('-inf'), init=False)
    _compared_at: float = attrs.field(default=float('-inf'), init=False)

    def scope(self, records: Iterable[ReplicaRecord]) -> PreemptionScope:
        """Return what may be closed, as others may just have made room."""
        now = self._clock()
        self._track(records, now)
        if now - self._preempted_at < _COOLDOWN_SECONDS:
            return PreemptionScope.DEFERRED
        if now - self._compared_at < _COMPARE_INTERVAL_SECONDS:
            return PreemptionScope.WITH_FREE_INSTANCES
        self._compared_at = now
        return PreemptionScope.ANYWHERE

    def _track(self, records: Iterable[ReplicaRecord], now: float) -> None:
        preempting = frozenset(
            one.name for one in records if one.reason == PREEMPTION_REASON
        )
        if preempting - self._known_preempting:
            self._preempted_at = now
        self._known_preempting = preempting


def preemptible_replicas(
    plan_input: PlanInput, fabric: str
) -> tuple[PreemptibleReplica, ...]:
    """Return a fabric domain's replicas whose members are all present."""
    sizes = {model.name: model.size for model in plan_input.models}
    by_replica: dict[str, list[ServingMember]] = defaultdict(list)
    for member in plan_input.members:
        if member.instance.fabric_domain == fabric:
            by_replica[member.replica].append(member)
    return tuple(
        PreemptibleReplica(
            name, members[0].model, tuple(one.instance for one in members)
        )
        for name, members in by_replica.items()
        if len(members) == sizes.get(members[0].model)
    )
