"""Bring one recorded replica into service, as a task of its own."""

from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    OrderFencedError,
    OrderRefusedError,
    OrderUnknownError,
    TargetGoneError,
    TargetNotListeningError,
)
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._context import PlacerContext
from cranecart.logs import log_decision
from cranecart.ports import ListedInstance, MemberPhase

# Interval between looks at the instance list while waiting for a step; the list
# shows a change within some ten milliseconds.
_POLL_SECONDS = 0.03
# An order without a visible effect in the list is sent again after this time.
_RESEND_SECONDS = 0.6

_JOINED_PHASES = frozenset(
    (MemberPhase.JOINING, MemberPhase.READY, MemberPhase.OPEN)
)
_READY_PHASES = frozenset((MemberPhase.READY, MemberPhase.OPEN))


@attrs.define
class ReplicaFormation:
    """The formation of one replica, until it serves or is given up."""

    record: ReplicaRecord
    _fleet: Fleet
    _context: PlacerContext
    _clock: Callable[[], float] = since_boot
    _ordered_at: dict[tuple[str, str], float] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Join all members, wait until all are ready, then open the head.

        While the failure domain is evacuated, no orders are sent.
        """
        started = self._clock()
        while self._is_wanted() and not self._all_members_in(_READY_PHASES):
            await self._join_missing()
            await curio.sleep(_POLL_SECONDS)
        while self._is_wanted() and not self._is_open():
            if self._may_order and self._is_due('open', self.record.head):
                await self._open()
            await curio.sleep(_POLL_SECONDS)
        if self._is_wanted():
            log_decision(
                'replica_open',
                replica=self.record.name,
                epoch=self.record.epoch,
                model=self.record.model,
                took=round(self._clock() - started, 3),
            )

    async def _join_missing(self) -> None:
        async with curio.TaskGroup(wait=all) as joining:
            for name in filter(self._needs_join, self.record.members):
                await joining.spawn(self._join, name)

    @property
    def _may_order(self) -> bool:
        evacuations = self._fleet.evacuations
        return not evacuations.is_evacuated(self.record.failure_domain)

    def _is_wanted(self) -> bool:
        current = self._fleet.records.get(self.record.key)
        return (
            self._context.lease.is_held
            and current is not None
            and current.state is RecordState.SERVING
        )

    def _phase(self, name: str) -> MemberPhase | None:
        instance = self._fleet.find_instance(name)
        if instance is None:
            return None
        return instance.phase_in(self.record.name, self.record.epoch)

    def _all_members_in(self, phases: frozenset[MemberPhase]) -> bool:
        return all(self._phase(name) in phases for name in self.record.members)

    def _is_open(self) -> bool:
        return self._phase(self.record.head) is MemberPhase.OPEN

    def _needs_join(self, name: str) -> bool:
        # ``_is_due`` comes last, as it records the time of the order to send.
        return (
            self._may_order
            and self._phase(name) not in _JOINED_PHASES
            and not self._belongs_to_other_replica(name)
            and self._is_due('join', name)
        )

    def _belongs_to_other_replica(self, name: str) -> bool:
        """Return whether an earlier replica may still serve with a member.

        The record of a replica is deleted only once its head has ended.
        """
        return any(
            record.key != self.record.key
            for record in self._fleet.replica_records.records_with_member(name)
        )

    def _is_due(self, order: str, name: str) -> bool:
        now = self._clock()
        last = self._ordered_at.get((order, name), float('-inf'))
        if now - last < _RESEND_SECONDS:
            return False
        self._ordered_at[order, name] = now
        return True

    async def _join(self, name: str) -> None:
        instance = self._fleet.instances.get(name)
        if instance is None:
            return
        orders = self._context.orders
        try:
            await orders.join(
                instance,
                self.record.name,
                self.record.epoch,
                self.record.model,
                self.record.members,
                self._context.lease.fencing,
            )
        except _ORDER_ERRORS as error:
            self._handle_failure(instance, 'join', error)
            return
        log_decision(
            'ordered',
            order='join',
            instance=name,
            replica=self.record.name,
            epoch=self.record.epoch,
        )

    async def _open(self) -> None:
        head = self._fleet.instances.get(self.record.head)
        if head is None:
            return
        try:
            await self._context.orders.open(
                head,
                self.record.name,
                self.record.epoch,
                self._context.lease.fencing,
            )
        except _ORDER_ERRORS as error:
            self._handle_failure(head, 'open', error)
            return
        log_decision(
            'ordered',
            order='open',
            instance=head.id,
            replica=self.record.name,
            epoch=self.record.epoch,
        )

    def _handle_failure(
        self,
        instance: ListedInstance,
        order: str,
        error: Exception,
    ) -> None:
        log_decision(
            'order_failed',
            order=order,
            instance=instance.id,
            replica=self.record.name,
            epoch=self.record.epoch,
            why=str(error),
        )
        match error:
            case OrderUnknownError():
                # Orders are idempotent: send it again without waiting.
                self._ordered_at.pop((order, instance.id), None)
                self._context.report_suspect(self.record, str(error))
            case TargetGoneError() | TargetNotListeningError():
                self._context.report_lost(instance.id, str(error))
            case OrderFencedError():
                self._context.report_fenced(self.record, str(error))


_ORDER_ERRORS = (
    TargetNotListeningError,
    OrderFencedError,
    OrderRefusedError,
    OrderUnknownError,
    TargetGoneError,
)
