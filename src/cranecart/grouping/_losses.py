"""Evidence that replicas stand still, and what was found lost by checking."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._liveness import LivenessCheck
from cranecart.logs import decision
from cranecart.ports import Incarnation, ListedInstance

# An instance that is listed this long after it was found dead is alive, as
# a dead one's entry lapses after three heartbeats.
_DEAD_SECONDS = 6.0
# Two of them may have died with a replica's members.
_WITNESSES = 3
# The same replica is checked again at most this often.
_CHECK_AGAIN_SECONDS = 0.6


@attrs.define
class Losses:
    """The doubts about replicas, and the instances found lost."""

    _fleet: Fleet
    # Told at once of a replica that has lost a member.
    _found: Callable[[ReplicaRecord], Awaitable[None]]
    _clock: Callable[[], float] = since_boot
    liveness: LivenessCheck = attrs.field(factory=LivenessCheck, init=False)
    _lost: dict[Incarnation, float] = attrs.field(factory=dict, init=False)
    _doubts: dict[str, ReplicaRecord] = attrs.field(factory=dict, init=False)
    _checked_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def doubt(self, record: ReplicaRecord, evidence: str) -> None:
        """Have a replica's members checked soon."""
        if record.name not in self._doubts:
            self._doubts[record.name] = record
            decision(
                'replica_doubted',
                replica=record.name,
                epoch=record.epoch,
                evidence=evidence,
            )

    def note_lost(self, name: str, why: str) -> None:
        """Take over that an instance's life has ended."""
        known = self._fleet.known(name)
        incarnation = Incarnation(name) if known is None else known.incarnation
        if incarnation not in self._lost:
            decision('instance_lost', instance=name, why=why)
        self._lost[incarnation] = self._clock()

    def current(self) -> frozenset[str]:
        """Return the instances that are held to be lost now."""
        now = self._clock()
        self._lost = {
            incarnation: at
            for incarnation, at in self._lost.items()
            if now - at < _DEAD_SECONDS or incarnation.id in self._fleet.lapsed
        }
        return frozenset(
            incarnation.id
            for incarnation in self._lost
            if not self._fleet.listing.is_superseded(incarnation)
        )

    async def check(self, records: Iterable[ReplicaRecord]) -> None:
        """Begin to check the replicas that are doubted or have a lapse."""
        hit = self._fleet.recorded.keys_naming(self._fleet.lapsed)
        for record in records:
            if record.key in hit:
                self._doubts.setdefault(record.name, record)
        due = [one for one in self._doubts.values() if self._is_due(one)]
        self._doubts.clear()
        for doubted in due:
            self._checked_at[doubted.name] = self._clock()
            await curio.spawn(self._check, doubted, daemon=True)

    def _is_due(self, record: ReplicaRecord) -> bool:
        last = self._checked_at.get(record.name, float('-inf'))
        is_rested = self._clock() - last > _CHECK_AGAIN_SECONDS
        return is_rested and record.state is RecordState.SERVING

    async def _check(self, record: ReplicaRecord) -> None:
        members = [self._fleet.known(name) for name in record.members]
        findings = await self.liveness.check(
            [member for member in members if member is not None],
            self._witnesses(record),
        )
        if findings.is_sure:
            for name in findings.lost:
                self.note_lost(name, 'it accepts no connection')
            if findings.lost:
                await self._found(record)

    def _witnesses(self, record: ReplicaRecord) -> list[ListedInstance]:
        """Return instances that would answer if this node's link does.

        Those of the same failure domain and of another fabric domain go
        first: they are near, and rarely die with the members.
        """
        lost = self.current().union(record.members)
        others = [
            one for one in self._fleet.instances.values() if one.id not in lost
        ]
        others.sort(
            key=lambda one: (
                one.fabric_domain == record.fabric_domain,
                one.failure_domain != record.failure_domain,
                one.id,
            ),
        )
        return others[:_WITNESSES]
