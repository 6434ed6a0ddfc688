"""Track suspected replicas and the instances that checks found lost."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._environment import check_nothing
from cranecart.grouping._liveness import LivenessCheck
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance

# An instance that is still listed this long after it was found lost is running:
# the entry of a dead one lapses after three heartbeats.
_LOST_TTL_SECONDS = 6.0
# Instances that are probed if no member answers. Two of them may have failed
# together with the replica's members.
_REFERENCE_COUNT = 3
# Minimum interval between two checks of the same replica.
_RECHECK_SECONDS = 0.6


@attrs.define
class FailureDetector:
    """The suspected replicas, and the instances that were found lost."""

    _fleet: Fleet
    # Called at once for a replica that has lost a member.
    _on_loss: Callable[[ReplicaRecord], Awaitable[None]]
    # Finds out whether this node reaches the instances near one.
    _check_path: Callable[[ListedInstance], Awaitable[object]] = check_nothing
    _clock: Callable[[], float] = since_boot
    liveness: LivenessCheck = attrs.field(factory=LivenessCheck, init=False)
    _lost_at: dict[Incarnation, float] = attrs.field(factory=dict, init=False)
    _suspected: dict[str, ReplicaRecord] = attrs.field(factory=dict, init=False)
    _checked_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def suspect(
        self,
        record: ReplicaRecord,
        evidence: str,
        reporter: str = 'this node',
    ) -> None:
        """Schedule a check of a replica's members.

        ``reporter`` is the node that has the evidence.
        """
        if record.name not in self._suspected:
            self._suspected[record.name] = record
            log_decision(
                'replica_doubted',
                replica=record.name,
                epoch=record.epoch,
                evidence=evidence,
                by=reporter,
            )

    def report_lost(self, name: str, why: str) -> None:
        """Record that the current incarnation of an instance has ended."""
        known = self._fleet.find_instance(name)
        incarnation = Incarnation(name) if known is None else known.incarnation
        if incarnation not in self._lost_at:
            log_decision('instance_lost', instance=name, why=why)
        self._lost_at[incarnation] = self._clock()

    def lost_instances(self) -> frozenset[str]:
        """Return the instances that are considered lost now."""
        now = self._clock()
        self._lost_at = {
            incarnation: at
            for incarnation, at in self._lost_at.items()
            if now - at < _LOST_TTL_SECONDS
            or incarnation.id in self._fleet.lapsed
        }
        return frozenset(
            incarnation.id
            for incarnation in self._lost_at
            if not self._fleet.instance_list.is_superseded(incarnation)
        )

    async def check(self, records: Iterable[ReplicaRecord]) -> None:
        """Start checks of suspected replicas and those with lapsed members."""
        affected = self._fleet.replica_records.keys_with_members(
            self._fleet.lapsed
        )
        for record in records:
            if record.key in affected:
                self._suspected.setdefault(record.name, record)
        due = [
            record
            for record in self._suspected.values()
            if self._is_due(record)
        ]
        self._suspected.clear()
        for suspected in due:
            self._checked_at[suspected.name] = self._clock()
            await curio.spawn(self._check, suspected, daemon=True)

    def _is_due(self, record: ReplicaRecord) -> bool:
        last = self._checked_at.get(record.name, float('-inf'))
        is_recheck_due = self._clock() - last > _RECHECK_SECONDS
        return is_recheck_due and record.state is RecordState.SERVING

    async def _check(self, record: ReplicaRecord) -> None:
        members = [self._fleet.find_instance(name) for name in record.members]
        known = [member for member in members if member is not None]
        outcome = await self.liveness.check(
            known, self._reference_instances(record)
        )
        if not outcome.is_conclusive and known:
            await self._check_path(known[0])
        if outcome.is_conclusive:
            for name in outcome.lost:
                self.report_lost(name, 'no answer to connection attempts')
            if outcome.lost:
                await self._on_loss(record)

    def _reference_instances(
        self, record: ReplicaRecord
    ) -> list[ListedInstance]:
        """Return instances that should answer if this node's link works.

        Instances of the same failure domain but another fabric domain come
        first: they are near, and rarely fail together with the members.
        """
        lost = self.lost_instances().union(record.members)
        others = [
            instance
            for instance in self._fleet.instances.values()
            if instance.id not in lost
        ]
        others.sort(
            key=lambda instance: (
                instance.fabric_domain == record.fabric_domain,
                instance.failure_domain != record.failure_domain,
                instance.id,
            ),
        )
        return others[:_REFERENCE_COUNT]
