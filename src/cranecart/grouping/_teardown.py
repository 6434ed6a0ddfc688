"""Release the members of a replica, as a task of its own.

A member may join another replica only once this replica's head can no longer
serve. That is certain when the head has left, when a later incarnation of it is
listed, when another process answers at its address, when it is listed as
broken, or when another member has left and the time has passed after which a
head without a member is broken. The last two do not suffice while the head has
an unanswered open, which it may carry out later. A refused connection proves
little: a leaving instance stops listening while it still finishes its requests.
That no member is listed proves nothing for a long time either: instances that
cannot reach the platform go on serving, and are listed again later.
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
from cranecart.grouping._context import PlacerContext
from cranecart.grouping._record_store import RecordStore
from cranecart.logs import log_decision
from cranecart.ports import ListedInstance, MemberPhase

_RETRY_SECONDS = 0.1
# Interval between looks at the list while no member is listed. All replicas of
# a failure domain that has lost power wait for that long, hundreds at a time.
_ABSENT_RETRY_SECONDS = 0.3
# Retry interval for a head that was found lost, in case it is running and was
# only unreachable. At half a second, a dead head was sent an order in every
# interval until its teardown ended.
_LOST_RETRY_SECONDS = 1.5
# Added to the time in which engines detect a lost member; covers the delay of
# the order and the interval at which engines check.
_STALL_MARGIN_SECONDS = 0.3
# How long a closed replica may take to finish, below the ten seconds for which
# an engine waits for its head's requests.
_DRAIN_TIMEOUT_SECONDS = 6.0

# For how long members wait that do not answer, in case their head is opened.
_LATE_OPEN_SECONDS = 15.0
# Replicas without any listed member are taken to be gone after this time. Those
# that are only cut off from the platform return within some ten seconds.
_MAX_ABSENCE_SECONDS = 60.0

_InstancePartition = tuple[list[ListedInstance], list[ListedInstance]]

_DRAINED_PHASES = frozenset((MemberPhase.READY, MemberPhase.BROKEN, None))


@attrs.define
class ReplicaTeardown:
    """The teardown of one epoch of a replica."""

    record: ReplicaRecord
    _fleet: Fleet
    _context: PlacerContext
    _record_store: RecordStore
    _stall_seconds: float
    _clock: Callable[[], float] = since_boot
    _member_left_at: float | None = attrs.field(default=None, init=False)
    # The members that have left in answer to an order.
    _left: set[str] = attrs.field(factory=set, init=False)
    _head_ordered_at: float = attrs.field(default=float('-inf'), init=False)
    _lost_ordered_at: float = attrs.field(default=float('-inf'), init=False)
    _lost_attempts: int = attrs.field(default=0, init=False)
    # Since when no member is listed.
    _absent_since: float | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Drain the replica, release its members and delete its record."""
        started = self._clock()
        if self.record.state is RecordState.CLOSING:
            await self._drain()
        why = ''
        while self._context.lease.is_held and not why:
            why = await self._try_release_members()
            if not why:
                await curio.sleep(self._retry_seconds())
        while self._context.lease.is_held and not await self._delete_record(
            why, started
        ):
            await curio.sleep(_RETRY_SECONDS)

    def _retry_seconds(self) -> float:
        is_absent = self._absent_since is not None
        return _ABSENT_RETRY_SECONDS if is_absent else _RETRY_SECONDS

    async def _drain(self) -> None:
        until = self._clock() + _DRAIN_TIMEOUT_SECONDS
        while self._context.lease.is_held and self._clock() < until:
            head = self._fleet.instances.get(self.record.head)
            if head is None or self._head_phase() in _DRAINED_PHASES:
                return
            if self._head_phase() is MemberPhase.OPEN:
                await self._order(self._context.orders.close, head)
            await curio.sleep(_RETRY_SECONDS)

    async def _try_release_members(self) -> str:
        """Return why the members are free, or '' if they are not."""
        why = self._listed_end()
        if why:
            return why
        if self._member_left_at is None and self._is_head_unreachable():
            # An unreachable head cannot be ordered to leave; releasing another
            # member starts the time after which it breaks.
            await self._release_one_member()
        head = self._head_due_for_leave()
        if head and await self._order(self._context.orders.leave, head):
            return 'the head has left'
        if self._member_left_at is None:
            await self._release_one_member()
        if (
            self._seconds_since_break() < 0
            or await self._must_wait_for_members()
        ):
            return ''
        return 'the time after which a head breaks has passed'

    def _listed_end(self) -> str:
        """Return why the list shows that the replica has ended, or ''."""
        if self._fleet.instance_list.has_ended(self.record.incarnations[0]):
            return 'the head has restarted'
        if self._are_all_gone():
            return 'no member has been listed for long'
        if self._member_left_at is None:
            self._check_ended_members()
        is_broken = self._head_phase() is MemberPhase.BROKEN
        if is_broken and not self._may_head_open_late():
            return 'the head is broken'
        return ''

    def _are_all_gone(self) -> bool:
        """Return whether all members have been absent for too long."""
        if any(name in self._fleet.instances for name in self.record.members):
            self._absent_since = None
            return False
        if self._absent_since is None:
            self._absent_since = self._clock()
            log_decision(
                'members_absent',
                replica=self.record.name,
                epoch=self.record.epoch,
            )
        return self._clock() - self._absent_since >= _MAX_ABSENCE_SECONDS

    def _check_ended_members(self) -> None:
        """Start the stall timer if the incarnation of a member has ended."""
        if any(
            map(self._fleet.instance_list.has_ended, self.record.incarnations)
        ):
            self._member_left_at = self._clock()

    def _may_head_open_late(self) -> bool:
        """Return whether the head may still carry out an unanswered open."""
        head = self._fleet.find_instance(self.record.head)
        return head is not None and self._context.orders.may_open_late(head)

    def _head_due_for_leave(self) -> ListedInstance | None:
        """Return the head if it is time to order it to leave."""
        head = self._fleet.find_instance(self.record.head)
        pause = _LOST_RETRY_SECONDS if self._is_head_unreachable() else 0
        now = self._clock()
        if head is None or now - self._head_ordered_at < pause:
            return None
        if self._fleet.instance_list.is_superseded(self.record.incarnations[0]):
            return None
        self._head_ordered_at = now
        return head

    def _is_head_unreachable(self) -> bool:
        name = self.record.head
        return (
            self._context.is_lost(name)
            or self._fleet.find_instance(name) is None
        )

    def _seconds_since_break(self) -> float:
        """Return for how long a serving head has been broken by now.

        The result is negative if it may not be broken yet.
        """
        if self._member_left_at is None:
            return float('-inf')
        waited = self._clock() - self._member_left_at
        return waited - self._stall_seconds - _STALL_MARGIN_SECONDS

    async def _must_wait_for_members(self) -> bool:
        """Return whether members remain that a late open may make serve.

        A head that had not served yet did not break without a member. Its open
        does no harm to members that have left, so order all to leave.
        """
        if (
            not self._may_head_open_late()
            or self._seconds_since_break() > _LATE_OPEN_SECONDS
        ):
            return False
        for member in self._members_due_for_leave():
            if member.id not in self._left and await self._order(
                self._context.orders.leave, member
            ):
                self._left.add(member.id)
        _lost, reachable = self._lost_and_reachable_members()
        return any(member.id not in self._left for member in reachable)

    async def _release_one_member(self) -> None:
        for member in self._members_due_for_leave():
            if await self._order(self._context.orders.leave, member):
                self._left.add(member.id)
                self._member_left_at = self._clock()
                return

    def _members_due_for_leave(self) -> list[ListedInstance]:
        """Return the members that may be sent an order.

        If all were found lost, return only one of them in each
        ``_LOST_RETRY_SECONDS``. Sending orders to fifteen unreachable members
        in turn delayed the teardown by six seconds a round, although a later
        incarnation of the head was listed.
        """
        lost, reachable = self._lost_and_reachable_members()
        now = self._clock()
        if (
            reachable
            or not lost
            or now - self._lost_ordered_at < _LOST_RETRY_SECONDS
        ):
            return reachable
        self._lost_ordered_at = now
        self._lost_attempts += 1
        return [lost[self._lost_attempts % len(lost)]]

    def _lost_and_reachable_members(self) -> _InstancePartition:
        """Return the members without the head, as far as they are known."""
        known = filter(
            None, map(self._fleet.find_instance, self.record.members[1:])
        )
        return _partition(
            known, lambda member: self._context.is_lost(member.id)
        )

    async def _order(
        self,
        order: Callable[..., object],
        instance: ListedInstance,
    ) -> bool:
        """Send an order; return whether it has certainly taken effect."""
        try:
            await order(  # type: ignore[misc]
                instance,
                self.record.name,
                self.record.epoch,
                self._context.lease.fencing,
            )
        except TargetGoneError:
            return True
        except (OrderFencedError, OrderRefusedError) as error:
            return self._had_left_already(instance, str(error))
        except OrderError as error:
            self._log_failure(instance, str(error))
            return False
        return True

    def _had_left_already(self, instance: ListedInstance, why: str) -> bool:
        """Return whether an instance that refused is no longer a member."""
        self._log_failure(instance, why)
        known = self._fleet.find_instance(instance.id)
        return known is None or (
            known.phase_in(self.record.name, self.record.epoch) is None
        )

    def _log_failure(self, instance: ListedInstance, why: str) -> None:
        log_decision(
            'order_failed',
            order='leave or close',
            instance=instance.id,
            replica=self.record.name,
            epoch=self.record.epoch,
            why=why,
        )

    def _head_phase(self) -> MemberPhase | None:
        head = self._fleet.find_instance(self.record.head)
        if head is None:
            return None
        return head.phase_in(self.record.name, self.record.epoch)

    async def _delete_record(self, why: str, started: float) -> bool:
        try:
            await self._record_store.delete(self.record)
        except (PlatformError, LeaseLostError) as error:
            log_decision(
                'record_not_dropped',
                replica=self.record.name,
                why=str(error),
            )
            return False
        log_decision(
            'members_free',
            replica=self.record.name,
            epoch=self.record.epoch,
            why=why,
            took=round(self._clock() - started, 3),
        )
        return True


def _partition(
    instances: Iterable[ListedInstance],
    is_match: Callable[[ListedInstance], bool],
) -> _InstancePartition:
    """Split instances into those that match a predicate and the others."""
    matching: list[ListedInstance] = []
    others: list[ListedInstance] = []
    for instance in instances:
        (matching if is_match(instance) else others).append(instance)
    return matching, others
