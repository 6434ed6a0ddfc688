"""Carry out plans: form and preempt replicas, stage and warm models."""

from collections.abc import Mapping, Sequence

import attrs

from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._environment import PlacerEnvironment
from cranecart.grouping._inventory import Inventory
from cranecart.grouping._plan import plan
from cranecart.grouping._plan_types import NewReplica, Plan, PlanInput
from cranecart.grouping._preemption import (
    PREEMPTION_REASON,
    PreemptionCooldown,
    PreemptionScope,
)
from cranecart.grouping._record_store import RecordStore
from cranecart.grouping._stabilization import ListStabilization
from cranecart.grouping._stager import Stager
from cranecart.grouping._transitions import Transition
from cranecart.grouping._warmer import Warmer
from cranecart.logs import log_decision
from cranecart.models import EngineProfile, ServiceProfile


@attrs.define
class PlanExecutor:
    """Plans for a failure domain and starts what the plans contain."""

    _fleet: Fleet
    _environment: PlacerEnvironment
    _record_store: RecordStore
    _inventory: Inventory
    _stager: Stager
    _warmer: Warmer
    _stabilization: ListStabilization = attrs.field(
        factory=ListStabilization, init=False
    )
    _cooldown: PreemptionCooldown = attrs.field(
        factory=PreemptionCooldown, init=False
    )

    def is_list_stable(self) -> bool:
        """Return whether the instance list is complete enough to plan from."""
        self._stabilization.update(self._fleet.instances.values())
        return (
            self._environment.has_traffic() or self._stabilization.is_stable()
        )

    async def set_state(
        self, record: ReplicaRecord, transition: Transition
    ) -> None:
        """Announce that a replica stops and write its new state."""
        finishes = transition.state is RecordState.CLOSING
        self._environment.announce_stopped(record, transition.reason, finishes)
        changed = attrs.evolve(
            record,
            state=transition.state,
            reason=transition.reason,
        )
        await self._record_store.write([changed])

    async def execute(self, profile: ServiceProfile) -> None:
        """Plan for a service and start what may start now."""
        engine = profile.engine
        if engine is None:
            return
        plan_input = self._inventory.plan_input(profile)
        wanted = plan(plan_input, self._preemption_scope()).restricted_to(
            self._inventory.is_own
        )
        await self._form(engine, plan_input, wanted)
        for staging in wanted.stagings:
            await self._stager.stage(
                engine, staging, self._inventory.loads_in_progress()
            )
        assigned_instances = self._inventory.assigned_instances()
        for warming in wanted.warmings:
            if warming.instance.id not in assigned_instances:
                await self._warmer.warm(warming)

    def _preemption_scope(self) -> PreemptionScope:
        """Return where replicas may be preempted: nowhere before traffic."""
        if not self._environment.has_traffic():
            return PreemptionScope.NONE
        return self._cooldown.scope(self._fleet.records.values())

    def _may_form(self, engine: EngineProfile, new: NewReplica) -> bool:
        if not self._environment.has_traffic():
            return True
        if not self._stabilization.may_use(new.members):
            return False
        if not new.cold_members:
            return True
        if not self._stabilization.may_load(new.fabric_domain):
            return False
        loads_in_progress = self._inventory.loads_in_progress()
        return self._stager.may_load(
            engine, new.cold_members, loads_in_progress
        )

    async def _form(
        self,
        engine: EngineProfile,
        plan_input: PlanInput,
        wanted: Plan,
    ) -> None:
        """Record the replicas to form, quickest first, and those preempted.

        A new replica and those that make room for it are written in one
        transaction. The next holder of the lease then knows what the instances
        of a closing replica are reserved for.
        """
        closing = [
            attrs.evolve(
                record, state=RecordState.CLOSING, reason=PREEMPTION_REASON
            )
            for record in self._record_store.records()
            if record.name in wanted.preempted
        ]
        released = {name for record in closing for name in record.members}
        for new in sorted(
            wanted.replicas, key=lambda replica: replica.cold_members
        ):
            members = {member.id for member in new.members}
            preempted = closing if members & released else []
            if self._may_form(engine, new):
                await self._record(new, plan_input, preempted)
                closing = [] if preempted else closing

    async def _record(
        self,
        new: NewReplica,
        plan_input: PlanInput,
        closing: Sequence[ReplicaRecord],
    ) -> None:
        # Loads before the first request take a tenth of the time.
        loads = new.cold_members if self._environment.has_traffic() else 0
        record = self._record_store.new_record(new, loads)
        log_decision(
            'replica_chosen',
            replica=record.name,
            model=new.model,
            ready_seconds=round(new.ready_seconds, 3),
            makes_room=[record.name for record in closing],
            present=_rounded(plan_input.replica_counts),
            demand=_rounded(plan_input.objective.demand),
        )
        await self._record_store.write([*closing, record])
        # Announced after the write: if the write failed, these replicas would
        # have been closed without a replacement.
        for preempted in closing:
            self._environment.announce_stopped(
                preempted, preempted.reason, True
            )


def _rounded(demand: Mapping[str, float]) -> dict[str, float]:
    return {model: round(replicas, 2) for model, replicas in demand.items()}
