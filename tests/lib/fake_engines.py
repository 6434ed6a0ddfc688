"""Engine instances in memory that follow orders and check their rules."""

import time
from collections.abc import Sequence

import attrs
import curio

from cranecart.exceptions import (
    OrderFencedError,
    OrderRefusedError,
    OrderUnknownError,
    TargetGoneError,
    TargetNotListeningError,
)
from cranecart.fleet import Fleet
from cranecart.http import Address
from cranecart.models import EngineModel, EngineProfile, ServiceProfile
from cranecart.ports import ListedInstance, MemberPhase, Membership

SERVICE = 'drafts'
BIG = EngineModel('big', 4, 1, 0.5, 16, 1.6)
SMALL = EngineModel('small', 3, 0.6, 0.5, 12, 1.1)
PROFILE = ServiceProfile(
    SERVICE,
    EngineProfile((BIG, SMALL), 13, 0.3, 4.5, 1),
)
DOMAIN = 'east'

_WORKING_PHASES = frozenset((MemberPhase.OPEN, MemberPhase.CLOSING))


def listed_instance(
    name: str,
    address: Address,
    fabric: str = 'east-0',
) -> ListedInstance:
    """Return an unused instance of the engines' service."""
    return ListedInstance(
        name,
        SERVICE,
        address,
        DOMAIN,
        13,
        fabric_domain=fabric,
    )


@attrs.define
class FakeEngines:
    """Follows orders and shows their effect in a fleet's list at once.

    A head without a member is broken after ``stall_seconds``. ``unreachable``
    instances answer nothing, ``terminated`` ones have ended, ``refusing`` ones
    do not listen but finish their requests; ``dropping_answers`` lose the
    answer to their next order. Broken invariants are collected in
    ``violations``. A closed replica takes ``work_seconds`` to finish its
    requests; ``interrupted`` counts orders that cut requests off. Instances
    between ``cut_off`` and ``reconnect`` go on, but are not listed.
    """

    fleet: Fleet
    stall_seconds: float
    unreachable: set[str] = attrs.field(factory=set)
    terminated: set[str] = attrs.field(factory=set)
    refusing: set[str] = attrs.field(factory=set)
    dropping_answers: set[str] = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    work_seconds: float = 0
    interrupted: int = 0
    orders: list[tuple[str, str]] = attrs.field(factory=list)
    _members: dict[tuple[str, int], tuple[str, ...]] = attrs.field(
        factory=dict,
    )
    _member_left_at: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _last_epochs: dict[str, int] = attrs.field(factory=dict)
    _ended_epochs: set[tuple[str, int]] = attrs.field(factory=set)
    _unlisted: dict[str, ListedInstance] = attrs.field(factory=dict)

    async def join(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        fencing: int,
    ) -> None:
        """Make an instance a member, ready at once."""
        self._receive(instance, 'join')
        if epoch < self._last_epochs.get(instance.id, 0):
            raise OrderFencedError(
                f'epoch {epoch} is lower than that of an earlier order'
            )
        self._check_not_serving_elsewhere(instance.id, replica)
        self._last_epochs[instance.id] = epoch
        self._members[replica, epoch] = tuple(members)
        rank = list(members).index(instance.id)
        self._publish(
            attrs.evolve(
                self.fleet.instances.get(instance.id, instance),
                membership=Membership(
                    replica,
                    epoch,
                    rank,
                    MemberPhase.READY,
                ),
                loaded=(model,),
                staged=(model,),
            ),
        )
        self._send_answer(instance, 'join')

    async def open(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a replica serve; record a violation if a member is missing."""
        self._receive(head, 'open')
        for name in self._members[replica, epoch]:
            member = self.fleet.find_instance(name)
            if member is None or member.phase_in(replica, epoch) is None:
                self.violations.append(f'{replica} opened without {name}')
        self._set_phase(head.id, replica, epoch, MemberPhase.OPEN)
        self._send_answer(head, 'open')

    async def close(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Stop accepting requests; end once the running ones are finished."""
        self._receive(head, 'close')
        self._set_phase(head.id, replica, epoch, MemberPhase.CLOSING)
        await curio.spawn(
            self._end_work,
            head.id,
            replica,
            epoch,
            daemon=True,
        )
        self._send_answer(head, 'close')

    async def leave(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """End a membership."""
        self._receive(instance, 'leave')
        current = self._find(instance.id) or instance
        if current.phase_in(replica, epoch) is None:
            raise OrderRefusedError('not a member')
        self.interrupted += current.phase_in(replica, epoch) in _WORKING_PHASES
        self._member_left_at.setdefault((replica, epoch), time.monotonic())
        self._publish(attrs.evolve(current, membership=None))
        self._send_answer(instance, 'leave')

    async def stage(
        self,
        instance: ListedInstance,
        model: str,
        fencing: int,
    ) -> None:
        """Copy a model to a host."""
        self._receive(instance, 'stage')
        current = self.fleet.instances.get(instance.id, instance)
        self._publish(attrs.evolve(current, staged=(model,)))

    @property
    def cut_off_names(self) -> tuple[str, ...]:
        """Return the instances that are cut off."""
        return tuple(self._unlisted)

    def cut_off(self, name: str) -> None:
        """Keep an instance from writing its entry, which lapses."""
        self._unlisted[name] = self.fleet.instances[name]
        self.fleet.apply_instances({name: None}, False)

    def reconnect(self, name: str) -> None:
        """Let an instance write its entry again."""
        self._publish(self._unlisted.pop(name))

    def restart(self, name: str, born: int) -> None:
        """Kill an instance and start it under its id, with nothing loaded."""
        known = self._find(name)
        assert known is not None
        self._last_epochs.pop(name, None)
        for replica_epoch, members in self._members.items():
            if name in members:
                self._member_left_at.setdefault(replica_epoch, time.monotonic())
            if members[0] == name:
                self._ended_epochs.add(replica_epoch)
        self._publish(
            attrs.evolve(known, born=born, membership=None, loaded=()),
        )

    async def _end_work(self, name: str, replica: str, epoch: int) -> None:
        await curio.sleep(self.work_seconds)
        if self.fleet.instances[name].phase_in(replica, epoch):
            self._set_phase(name, replica, epoch, MemberPhase.READY)

    def _receive(self, instance: ListedInstance, order: str) -> None:
        self.orders.append((order, instance.id))
        if instance.id in self.terminated:
            raise TargetGoneError(instance.id)
        if instance.id in self.refusing:
            raise TargetNotListeningError(instance.id)
        if instance.id in self.unreachable:
            raise OrderUnknownError(instance.id)

    def _send_answer(self, instance: ListedInstance, order: str) -> None:
        if instance.id in self.dropping_answers:
            self.dropping_answers.remove(instance.id)
            raise OrderUnknownError(f'{order} of {instance.id}')

    def _check_not_serving_elsewhere(self, name: str, replica: str) -> None:
        memberships = [
            replica_epoch
            for replica_epoch, members in self._members.items()
            if name in members and replica_epoch[0] != replica
        ]
        self.violations.extend(
            f'{name} joined {replica} while {replica_epoch[0]} may serve'
            for replica_epoch in memberships
            if self._may_serve(replica_epoch)
        )

    def _may_serve(self, replica_epoch: tuple[str, int]) -> bool:
        head = self._members[replica_epoch][0]
        known = self._find(head)
        if (
            known is None
            or head in self.terminated
            or replica_epoch in self._ended_epochs
        ):
            return False
        left_at = self._member_left_at.get(replica_epoch, float('inf'))
        if time.monotonic() - left_at > self.stall_seconds:
            return False
        return known.phase_in(*replica_epoch) in _WORKING_PHASES

    def _set_phase(
        self,
        name: str,
        replica: str,
        epoch: int,
        phase: MemberPhase,
    ) -> None:
        current = self.fleet.instances[name]
        if current.phase_in(replica, epoch) is None:
            raise OrderRefusedError('not a member')
        assert current.membership is not None
        membership = attrs.evolve(current.membership, phase=phase)
        self._publish(attrs.evolve(current, membership=membership))

    def _find(self, name: str) -> ListedInstance | None:
        return self._unlisted.get(name) or self.fleet.find_instance(name)

    def _publish(self, instance: ListedInstance) -> None:
        if self._unlisted.get(instance.id) is None:
            self.fleet.apply_instances({instance.id: instance}, False)
        else:
            self._unlisted[instance.id] = instance
