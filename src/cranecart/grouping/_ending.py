"""Free the members of a replica, straight down, as its own task.

A member may join another replica only once the head of this one cannot serve
any more. That is known when the head has left, when a later life of it is
listed, when another process answers at its address, when the list calls it
broken, or when another member has left and the time has passed after which a
head without a member is broken. That it takes
no connection says little: an instance that leaves stops listening first.
"""

from collections.abc import Callable, Iterable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    LeaseLostError,
    OrderError,
    OrderFencedError,
    OrderRefusedError,
    PlatformError,
    TargetGoneError,
)
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._book import RecordBook
from cranecart.grouping._duty import PlacerDuty
from cranecart.logs import decision
from cranecart.ports import ListedInstance, MemberPhase

_AGAIN_SECONDS = 0.1
# A head that was found lost is asked again this often: in case it is alive and
# was cut off only. A dead one took an order each half second until its end.
_LOST_AGAIN_SECONDS = 1.5
# Beyond the time that engines need to find a member lost; covers the order's
# way there and the grain in which engines look.
_STALL_SLACK_SECONDS = 0.3
# What a replica may take to finish when it is closed, below the ten seconds
# that an engine waits for its head's work.
_CLOSE_SECONDS = 6.0

_SERVED_OUT = frozenset((MemberPhase.READY, MemberPhase.BROKEN, None))


@attrs.define
class Ending:
    """The end of one forming of a replica."""

    record: ReplicaRecord
    _fleet: Fleet
    _duty: PlacerDuty
    _book: RecordBook
    _stall_seconds: float
    _clock: Callable[[], float] = since_boot
    _member_left_at: float | None = attrs.field(default=None, init=False)
    _head_asked_at: float = attrs.field(default=float('-inf'), init=False)
    _lost_asked_at: float = attrs.field(default=float('-inf'), init=False)
    _lost_turn: int = attrs.field(default=0, init=False)

    async def run(self) -> None:
        """Let the replica finish if it may, free its members, and forget it."""
        started = self._clock()
        if self.record.state is RecordState.CLOSING:
            await self._close()
        why = ''
        while self._duty.lease.is_held and not why:
            why = await self._try_free()
            if not why:
                await curio.sleep(_AGAIN_SECONDS)
        while self._duty.lease.is_held and not await self._forget(why, started):
            await curio.sleep(_AGAIN_SECONDS)

    async def _close(self) -> None:
        until = self._clock() + _CLOSE_SECONDS
        while self._duty.lease.is_held and self._clock() < until:
            head = self._fleet.instances.get(self.record.head)
            if head is None or self._head_phase() in _SERVED_OUT:
                return
            if self._head_phase() is MemberPhase.OPEN:
                await self._order(self._duty.orders.close, head)
            await curio.sleep(_AGAIN_SECONDS)

    async def _try_free(self) -> str:
        """Return why the members are free, or nothing if they are not."""
        if self._fleet.listing.has_ended(self.record.incarnations[0]):
            return 'the head lives anew'
        if self._member_left_at is None:
            self._note_ended_members()
        if self._member_left_at is None and self._is_head_away():
            # The head answers nobody, so its end is counted from here.
            await self._let_a_member_leave()
        if self._head_phase() is MemberPhase.BROKEN:
            return 'the head is broken'
        head = self._head_to_ask()
        if head and await self._order(self._duty.orders.leave, head):
            return 'the head has left'
        if self._member_left_at is None:
            await self._let_a_member_leave()
        return self._stalled_for_long()

    def _note_ended_members(self) -> None:
        """Count from now on where a member's life is known to be over."""
        if any(map(self._fleet.listing.has_ended, self.record.incarnations)):
            self._member_left_at = self._clock()

    def _head_to_ask(self) -> ListedInstance | None:
        """Return the head if it is time to ask it to leave."""
        head = self._fleet.known(self.record.head)
        pause = _LOST_AGAIN_SECONDS if self._is_head_away() else 0
        now = self._clock()
        if head is None or now - self._head_asked_at < pause:
            return None
        if self._fleet.listing.is_superseded(self.record.incarnations[0]):
            return None
        self._head_asked_at = now
        return head

    def _is_head_away(self) -> bool:
        name = self.record.head
        return self._duty.is_lost(name) or self._fleet.known(name) is None

    def _stalled_for_long(self) -> str:
        if self._member_left_at is None:
            return ''
        waited = self._clock() - self._member_left_at
        if waited < self._stall_seconds + _STALL_SLACK_SECONDS:
            return ''
        return 'the head must be broken by now'

    async def _let_a_member_leave(self) -> None:
        for member in self._members_to_ask():
            if await self._order(self._duty.orders.leave, member):
                self._member_left_at = self._clock()
                return
        if not any(map(self._fleet.known, self.record.members)):
            # Nobody is left to be freed; entries that come back are waited
            # for as long as a head would need.
            self._member_left_at = self._clock()

    def _members_to_ask(self) -> list[ListedInstance]:
        """Return the members that may take an order.

        Where all were found lost it is one of them now and then: asked one
        after the other, fifteen dark ones held the end of their replica up for
        six seconds a round, though a later life of its head was listed.
        """
        known = filter(None, map(self._fleet.known, self.record.members[1:]))
        lost, there = _parted(known, lambda one: self._duty.is_lost(one.id))
        now = self._clock()
        if there or not lost or now - self._lost_asked_at < _LOST_AGAIN_SECONDS:
            return there
        self._lost_asked_at = now
        self._lost_turn += 1
        return [lost[self._lost_turn % len(lost)]]

    async def _order(
        self,
        order: Callable[..., object],
        instance: ListedInstance,
    ) -> bool:
        """Send an order; return whether it is sure to hold."""
        try:
            await order(  # type: ignore[misc]
                instance,
                self.record.name,
                self.record.epoch,
                self._duty.lease.fencing,
            )
        except TargetGoneError:
            return True
        except (OrderFencedError, OrderRefusedError) as error:
            return self._was_over_already(instance, str(error))
        except OrderError as error:
            self._note(instance, str(error))
            return False
        return True

    def _was_over_already(self, instance: ListedInstance, why: str) -> bool:
        """Tell whether a refusal means that it is a member no more."""
        self._note(instance, why)
        known = self._fleet.known(instance.id)
        return known is None or (
            known.phase_in(self.record.name, self.record.epoch) is None
        )

    def _note(self, instance: ListedInstance, why: str) -> None:
        decision(
            'order_failed',
            order='leave or close',
            instance=instance.id,
            replica=self.record.name,
            epoch=self.record.epoch,
            why=why,
        )

    def _head_phase(self) -> MemberPhase | None:
        head = self._fleet.known(self.record.head)
        if head is None:
            return None
        return head.phase_in(self.record.name, self.record.epoch)

    async def _forget(self, why: str, started: float) -> bool:
        try:
            await self._book.drop(self.record)
        except (PlatformError, LeaseLostError) as error:
            decision(
                'record_not_dropped',
                replica=self.record.name,
                why=str(error),
            )
            return False
        decision(
            'members_free',
            replica=self.record.name,
            epoch=self.record.epoch,
            why=why,
            took=round(self._clock() - started, 3),
        )
        return True


def _parted(
    instances: Iterable[ListedInstance],
    is_first: Callable[[ListedInstance], bool],
) -> tuple[list[ListedInstance], list[ListedInstance]]:
    """Return those that something holds of, and the others."""
    first: list[ListedInstance] = []
    others: list[ListedInstance] = []
    for one in instances:
        (first if is_first(one) else others).append(one)
    return first, others
