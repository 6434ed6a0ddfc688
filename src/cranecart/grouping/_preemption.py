"""Decide which replicas may be preempted, and how often to try.

A preempted replica is closed so that its instances can form a replica of
another model.
"""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Self

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import ReplicaRecord
from cranecart.grouping._allocation import PreemptibleReplica
from cranecart.grouping._plan_types import PlanInput, ServingMember

# Stored in records and compared by the placers of other nodes.
PREEMPTION_REASON = 'another model needs its instances more'
# How long a replica takes to finish its streams in the reference deployments.
DRAIN_SECONDS = 0.5
# Time in which all placers learn of a preempted replica and of the one that it
# makes room for; until then the demand looks unchanged.
_COOLDOWN_SECONDS = 1.0
# Interval at which the replicas of fabric domains without free instances are
# compared.
_COMPARE_INTERVAL_SECONDS = 0.5


class PreemptionScope(enum.Enum):
    """Where replicas may be preempted."""

    NONE = 'nothing'
    # Preempt nothing yet, because another placer may just have done so. Free
    # instances stay reserved for the replica that will need the preempted ones.
    DEFERRED = 'beside free instances, but later'
    # Only in fabric domains with free instances, which may lack a few members.
    WITH_FREE_INSTANCES = 'beside free instances'
    ANYWHERE = 'anywhere'

    def allows(self, has_free: bool) -> bool:
        """Return whether a fabric domain's replicas may be preempted."""
        if self in {
            PreemptionScope.WITH_FREE_INSTANCES,
            PreemptionScope.DEFERRED,
        }:
            return has_free
        return self is PreemptionScope.ANYWHERE

    @property
    def drain_seconds(self) -> float:
        """Return the delay until a preempted replica's members are free."""
        if self is PreemptionScope.DEFERRED:
            return _COOLDOWN_SECONDS + DRAIN_SECONDS
        return DRAIN_SECONDS

    def after_preemption(self) -> Self:
        """Return the scope after a preemption in one fabric domain."""
        if self is PreemptionScope.NONE:
            return self
        return type(self).DEFERRED


@attrs.define
class PreemptionCooldown:
    """Keeps several placers from preempting for the same demand.

    The cooldown starts when a preempted replica is first seen, since the
    replica that it makes room for is known at the same time. When the cooldown
    started only with the deletion of the record, a replica that closed slowly
    blocked all other placers.
    """

    _clock: Callable[[], float] = since_boot
    _known_preempted: frozenset[str] = attrs.field(
        default=frozenset(), init=False
    )
    _preempted_at: float = attrs.field(default=float('-inf'), init=False)
    _compared_at: float = attrs.field(default=float('-inf'), init=False)

    def scope(self, records: Iterable[ReplicaRecord]) -> PreemptionScope:
        """Return where replicas may be preempted now."""
        now = self._clock()
        self._track(records, now)
        if now - self._preempted_at < _COOLDOWN_SECONDS:
            return PreemptionScope.DEFERRED
        if now - self._compared_at < _COMPARE_INTERVAL_SECONDS:
            return PreemptionScope.WITH_FREE_INSTANCES
        self._compared_at = now
        return PreemptionScope.ANYWHERE

    def _track(self, records: Iterable[ReplicaRecord], now: float) -> None:
        preempted = frozenset(
            record.name
            for record in records
            if record.reason == PREEMPTION_REASON
        )
        if preempted - self._known_preempted:
            self._preempted_at = now
        self._known_preempted = preempted


def preemptible_replicas(
    plan_input: PlanInput, fabric: str
) -> tuple[PreemptibleReplica, ...]:
    """Return a fabric domain's serving replicas whose members are present."""
    sizes = {model.name: model.size for model in plan_input.models}
    by_replica: dict[str, list[ServingMember]] = defaultdict(list)
    for member in plan_input.members:
        if member.instance.fabric_domain == fabric:
            by_replica[member.replica].append(member)
    return tuple(
        PreemptibleReplica(
            name, members[0].model, tuple(member.instance for member in members)
        )
        for name, members in by_replica.items()
        if len(members) == sizes.get(members[0].model)
    )
