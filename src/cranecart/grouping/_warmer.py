"""Have spares load their staged model, so that repairs are quicker.

An instance that joins a replica of the model it already has loaded is ready in
a fifth of a second, otherwise in a second or more. A spare therefore forms a
group of its own, which is never opened. The join of a real replica replaces
that membership at once.
"""

from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import OrderError
from cranecart.grouping._plan_types import Warming
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, Orders

# Longer than it takes to load a staged model and to show it in the list.
_WARM_RETRY_SECONDS = 4.0


@attrs.define
class Warmer:
    """Sends warming orders, repeated until the list shows their effect."""

    _lease: Lease
    _orders: Orders
    _clock: Callable[[], float] = since_boot
    _ordered_at: dict[Incarnation, float] = attrs.field(
        factory=dict, init=False
    )

    async def warm(self, warming: Warming) -> None:
        """Order a spare to load its staged model, unless it was ordered."""
        incarnation = warming.instance.incarnation
        now = self._clock()
        if (
            now - self._ordered_at.get(incarnation, float('-inf'))
            < _WARM_RETRY_SECONDS
        ):
            return
        self._ordered_at = {
            spare: at
            for spare, at in self._ordered_at.items()
            if now - at < _WARM_RETRY_SECONDS
        }
        self._ordered_at[incarnation] = now
        log_decision('warming', instance=incarnation.id, model=warming.model)
        await curio.spawn(self._order, warming, daemon=True)

    async def _order(self, warming: Warming) -> None:
        instance = warming.instance
        try:
            await self._orders.join(
                instance,
                f'spare-{instance.id}',
                # Below the epoch of every replica that is formed from now on,
                # so that an order that is carried out late cannot undo a join.
                self._lease.version,
                warming.model,
                (instance.id,),
                self._lease.fencing,
            )
        except OrderError as error:
            log_decision(
                'order_failed',
                order='warm',
                instance=instance.id,
                why=str(error),
            )
