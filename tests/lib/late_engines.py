"""Engine instances that leave orders unanswered and carry them out late."""

import contextlib
import functools
import time
from collections.abc import Awaitable, Callable, Sequence

import attrs
import curio

from cranecart.exceptions import (
    OrderError,
    OrderFencedError,
    OrderUnknownError,
)
from cranecart.ports import ListedInstance, MemberPhase
from tests.lib.fake_engines import FakeEngines

_DelayedOrder = Callable[[], Awaitable[None]]


@attrs.define
class LateEngines(FakeEngines):
    """Delays orders that ``is_late`` selects until ``carry_out_delayed``.

    It is called with the operation, the instance and the replica. Orders with a
    lower fencing token than an earlier one are refused, unless
    ``ignores_fencing``. ``tokens`` holds the fencing tokens by instance. A
    delayed order times out after ``timeout_seconds``.
    """

    is_late: Callable[[str, str, str], bool] = lambda *_order: False
    ignores_fencing: bool = False
    timeout_seconds: float = 0
    delayed: list[_DelayedOrder] = attrs.field(factory=list)
    tokens: dict[str, list[int]] = attrs.field(factory=dict)

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
        await self._take(
            ('join', instance.id, replica),
            fencing,
            functools.partial(
                self._join, instance, replica, epoch, model, members, fencing
            ),
        )

    async def open(
        self, head: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        """Let a replica serve."""
        await self._take(
            ('open', head.id, replica),
            fencing,
            functools.partial(self._open, head, replica, epoch, fencing),
        )

    async def close(
        self, head: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        """Stop accepting requests."""
        await self._take(
            ('close', head.id, replica),
            fencing,
            functools.partial(super().close, head, replica, epoch, fencing),
        )

    async def leave(
        self, instance: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        """End a membership."""
        await self._take(
            ('leave', instance.id, replica),
            fencing,
            functools.partial(super().leave, instance, replica, epoch, fencing),
        )

    async def carry_out_delayed(self) -> None:
        """Carry out the delayed orders in the order in which they were sent."""
        delayed = tuple(self.delayed)
        self.delayed.clear()
        for order in delayed:
            with contextlib.suppress(OrderError):
                await order()

    def break_head(self, name: str) -> None:
        """Show a head as broken."""
        membership = self.fleet.instances[name].membership
        assert membership is not None
        self._set_phase(
            name, membership.replica, membership.epoch, MemberPhase.BROKEN
        )

    def _check_not_serving_elsewhere(self, name: str, replica: str) -> None:
        """Record a join of a member whose present replica may serve."""
        current = self.fleet.find_instance(name)
        if current is None or current.membership is None:
            return
        replica_epoch = (current.membership.replica, current.membership.epoch)
        if replica_epoch[0] != replica and self._may_serve(replica_epoch):
            self.violations.append(
                f'{name} joined {replica} while {replica_epoch[0]} may serve'
            )

    async def _take(
        self, order: tuple[str, str, str], fencing: int, apply: _DelayedOrder
    ) -> None:
        carry_out = functools.partial(self._check_and, order[1], fencing, apply)
        if self.is_late(*order):
            self.delayed.append(carry_out)
            await curio.sleep(self.timeout_seconds)
            raise OrderUnknownError(f'no answer from {order[1]}')
        await carry_out()

    async def _check_and(
        self, name: str, fencing: int, apply: _DelayedOrder
    ) -> None:
        if name in self.unreachable:
            raise OrderUnknownError(name)
        tokens = self.tokens.setdefault(name, [])
        if not self.ignores_fencing and fencing < max(tokens, default=0):
            raise OrderFencedError(f'{fencing} is lower than {max(tokens)}')
        tokens.append(fencing)
        await apply()

    async def _join(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        fencing: int,
    ) -> None:
        current = self.fleet.find_instance(instance.id)
        phase = current.phase_in(replica, epoch) if current else None
        if phase not in {None, MemberPhase.BROKEN}:
            # It already holds.
            return
        await FakeEngines.join(
            self, instance, replica, epoch, model, members, fencing
        )
        # The replica is whole again.
        self._member_left_at.pop((replica, epoch), None)

    async def _open(
        self, head: ListedInstance, replica: str, epoch: int, fencing: int
    ) -> None:
        await FakeEngines.open(self, head, replica, epoch, fencing)
        if self._member_left_at.get((replica, epoch)):
            # A head notices a missing member only while it serves.
            self._member_left_at[replica, epoch] = time.monotonic()
