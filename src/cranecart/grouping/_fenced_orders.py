"""Make unanswered orders stale when an instance is released.

An order without an answer may be carried out at any later time, also after
newer orders. A head that has left its replica would then join and open it again
while its members join others. Instances refuse orders with a lower fencing
token than that of an earlier order, so the order that releases an instance
carries a higher one than all orders to it that are unanswered.
"""

from collections.abc import Awaitable, Callable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    OrderFencedError,
    OrderRefusedError,
    TargetGoneError,
    TargetNotListeningError,
)
from cranecart.fleet import Fleet
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance, Orders

_ANSWERS = (
    OrderFencedError,
    OrderRefusedError,
    TargetGoneError,
    TargetNotListeningError,
)
# For how long an instance that is no longer listed may still come back.
_REMEMBERED_SECONDS = 60.0
_JOIN = 'join'
_OPEN = 'open'


@attrs.frozen(eq=False)
class _SentOrder:
    """An order; compared by identity, as the same may be sent repeatedly."""

    operation: str
    fencing: int
    at: float


@attrs.define
class FencedOrders:
    """Sends the orders of one lease's holder, and knows the unanswered ones.

    Those of earlier holders have lower fencing tokens than all of this one.
    Only joins and opens can make an instance serve again.
    """

    _orders: Orders
    _lease: Lease
    _fleet: Fleet
    _clock: Callable[[], float] = since_boot
    _unanswered: dict[Incarnation, set[_SentOrder]] = attrs.field(
        factory=dict, init=False
    )

    def may_open_late(self, instance: ListedInstance) -> bool:
        """Return whether an instance may carry out an unanswered open."""
        unanswered = self._unanswered.get(instance.incarnation, ())
        return any(sent.operation == _OPEN for sent in unanswered)

    async def join(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        fencing: int,
    ) -> None:
        """Make an instance a member; the first member is the head."""
        order = self._orders.join(
            instance, replica, epoch, model, members, fencing
        )
        await self._send(instance, self._sent(_JOIN, fencing), order)

    async def open(
        self, head: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        """Let a ready replica accept requests."""
        order = self._orders.open(head, replica, epoch, fencing)
        await self._send(head, self._sent(_OPEN, fencing), order)

    async def close(
        self, head: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        """Let a replica finish its requests and accept no new ones."""
        await self._orders.close(head, replica, epoch, fencing)

    async def leave(
        self, instance: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        """End a membership at once, and make unanswered orders stale."""
        token = self._token_above(instance, fencing)
        await self._orders.leave(instance, replica, epoch, token)
        self._forget_below(instance.incarnation, token)

    async def stage(
        self, instance: ListedInstance, model: str, fencing: int
    ) -> None:
        """Load a model into host memory without stopping other work."""
        await self._orders.stage(instance, model, fencing)

    def _sent(self, operation: str, fencing: int) -> _SentOrder:
        return _SentOrder(operation, fencing, self._clock())

    async def _send(
        self, instance: ListedInstance, sent: _SentOrder, order: Awaitable[None]
    ) -> None:
        """Send an order; it stays unanswered if this is cancelled as well."""
        self._forget_unknown_instances()
        unanswered = self._unanswered.setdefault(instance.incarnation, set())
        unanswered.add(sent)
        try:
            await order
        except _ANSWERS:
            unanswered.discard(sent)
            raise
        unanswered.discard(sent)

    def _token_above(self, instance: ListedInstance, fencing: int) -> int:
        unanswered = self._unanswered.get(instance.incarnation, ())
        if not any(sent.fencing >= fencing for sent in unanswered):
            return fencing
        token = self._lease.advance_fencing()
        log_decision(
            'fencing_advanced',
            instance=instance.id,
            fencing=token,
            unanswered=sorted(sent.operation for sent in unanswered),
        )
        return token

    def _forget_below(self, incarnation: Incarnation, token: int) -> None:
        """Forget orders that can no longer be carried out."""
        unanswered = self._unanswered.get(incarnation, set())
        for sent in tuple(unanswered):
            if sent.fencing < token:
                unanswered.discard(sent)

    def _forget_unknown_instances(self) -> None:
        oldest = self._clock() - _REMEMBERED_SECONDS
        self._unanswered = {
            incarnation: unanswered
            for incarnation, unanswered in self._unanswered.items()
            if self._fleet.find_instance(incarnation.id)
            or any(sent.at > oldest for sent in unanswered)
        }
