"""Decide which replicas to form and to preempt, and what to stage."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import attrs

from cranecart.grouping._allocation import (
    Allocation,
    FabricPool,
    best_allocation,
)
from cranecart.grouping._member_selection import (
    Candidate,
    ProposedReplica,
    discount,
)
from cranecart.grouping._plan_types import (
    NewReplica,
    Plan,
    PlanInput,
    Staging,
    StagingUse,
    Warming,
)
from cranecart.grouping._preemption import PreemptionScope, preemptible_replicas
from cranecart.grouping._spares import assign_spares, stage_second_models
from cranecart.ports import ListedInstance


def plan(
    plan_input: PlanInput, scope: PreemptionScope = PreemptionScope.NONE
) -> Plan:
    """Allocate the instances of each fabric domain, then stage for spares.

    In one plan, replicas are preempted in at most one fabric domain, so that
    the effect is visible before any more are closed.
    """
    if plan_input.profile.engine is None:
        return Plan()
    by_fabric = _by_fabric(plan_input)
    replica_counts: dict[str, float] = defaultdict(
        float, plan_input.replica_counts
    )
    replicas: list[NewReplica] = []
    preempted: tuple[str, ...] = ()
    for fabric, free in by_fabric.items():
        scope_here = scope.after_preemption() if preempted else scope
        allocation = _allocate(
            plan_input, fabric, free, replica_counts, scope_here
        )
        by_fabric[fabric] = _unused_instances(free, allocation.formed)
        startable = _startable(allocation, free, scope_here)
        preempted = preempted or startable.preempted
        for proposed in startable.formed:
            replicas.append(_new_replica(plan_input, fabric, proposed))
            replica_counts[proposed.model] += discount(proposed.ready_seconds)
    return _complete_plan(
        plan_input, by_fabric, replica_counts, replicas, preempted
    )


def _startable(
    allocation: Allocation,
    free: Sequence[ListedInstance],
    scope: PreemptionScope,
) -> Allocation:
    """Return the part of an allocation that may start now.

    While preemption is deferred, the replicas that depend on it wait, and the
    free instances that they need stay reserved. Otherwise smaller replicas take
    these: the fifteen remaining members of a replica of sixteen became three
    smaller replicas.
    """
    if scope is not PreemptionScope.DEFERRED:
        return allocation
    names = {instance.id for instance in free}
    formed = tuple(
        proposed
        for proposed in allocation.formed
        if names.issuperset(member.id for member in proposed.instances)
    )
    return attrs.evolve(allocation, formed=formed, preempted=())


def _by_fabric(plan_input: PlanInput) -> dict[str, list[ListedInstance]]:
    """Group the free instances by fabric domain, including empty groups."""
    used = (member.instance for member in plan_input.members)
    names = {instance.fabric_domain for instance in (*plan_input.free, *used)}
    by_fabric: dict[str, list[ListedInstance]] = {
        name: [] for name in sorted(names)
    }
    for instance in plan_input.free:
        by_fabric[instance.fabric_domain].append(instance)
    return by_fabric


def _allocate(
    plan_input: PlanInput,
    fabric: str,
    free: Sequence[ListedInstance],
    replica_counts: Mapping[str, float],
    scope: PreemptionScope,
) -> Allocation:
    pool = FabricPool(
        tuple(
            Candidate(instance, plan_input.release_delays.get(instance.id, 0))
            for instance in free
        ),
        preemptible_replicas(plan_input, fabric)
        if scope.allows(bool(free))
        else (),
        plan_input.load_time_factor,
        scope.drain_seconds,
    )
    return best_allocation(pool, plan_input.objective, replica_counts)


def _unused_instances(
    free: Sequence[ListedInstance],
    formed: Sequence[ProposedReplica],
) -> list[ListedInstance]:
    taken = {member.id for proposed in formed for member in proposed.instances}
    return [instance for instance in free if instance.id not in taken]


def _new_replica(
    plan_input: PlanInput, fabric: str, members: ProposedReplica
) -> NewReplica:
    return NewReplica(
        plan_input.profile.name,
        members.model,
        fabric,
        members.instances,
        members.cold_members,
        members.ready_seconds,
    )


def _complete_plan(
    plan_input: PlanInput,
    by_fabric: dict[str, list[ListedInstance]],
    replica_counts: Mapping[str, float],
    replicas: Sequence[NewReplica],
    preempted: tuple[str, ...],
) -> Plan:
    """Return the plan, with what spares and members stage or load."""
    fabric_replica_counts = Counter(plan_input.fabric_replica_counts)
    fabric_replica_counts.update(
        (replica.fabric_domain, replica.model) for replica in replicas
    )
    roles = [
        role
        for fabric, free in by_fabric.items()
        for role in assign_spares(
            plan_input, fabric, free, replica_counts, fabric_replica_counts
        )
    ]
    return Plan(
        tuple(replicas),
        _order_stagings(roles, plan_input),
        tuple(role for role in roles if isinstance(role, Warming)),
        preempted,
    )


def _order_stagings(
    roles: Sequence[Staging | Warming],
    plan_input: PlanInput,
) -> tuple[Staging, ...]:
    """Return stagings, for spares without a model first, members last."""
    stagings = [role for role in roles if isinstance(role, Staging)]
    stagings.sort(key=lambda staging: staging.use is StagingUse.SECOND_MODEL)
    members = ((member.instance, member.model) for member in plan_input.members)
    return (*stagings, *stage_second_models(plan_input, members))
