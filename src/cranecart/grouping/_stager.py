"""Bring models to unused instances, and bound all loads."""

import time
from collections.abc import Callable

import attrs
import curio

from cranecart.duties import Lease
from cranecart.exceptions import OrderError
from cranecart.grouping._loads import LoadBudget
from cranecart.grouping._plan import Staging
from cranecart.logs import decision
from cranecart.models import EngineProfile
from cranecart.ports import Orders

# Longer than a load takes while the weight store is busy, so that the same
# instance is not asked again meanwhile.
_STAGE_AGAIN_SECONDS = 25.0


@attrs.define
class Stager:
    """Sends staging orders within the rate of the weight store."""

    _lease: Lease
    _orders: Orders
    _placers: int
    _has_traffic: Callable[[], bool]
    _clock: Callable[[], float] = time.monotonic
    _loads: LoadBudget = attrs.field(factory=LoadBudget, init=False)
    _staged_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def may_load(self, engine: EngineProfile, count: int) -> bool:
        """Take some loads from the budget; they are free before traffic."""
        if not count or not self._has_traffic():
            return True
        return self._loads.take(count, engine.loads_per_second, self._placers)

    async def stage(self, engine: EngineProfile, staging: Staging) -> None:
        """Order a staging, unless it was ordered or the budget is spent."""
        instance = staging.instance
        last = self._staged_at.get(instance.id, float('-inf'))
        if self._clock() - last < _STAGE_AGAIN_SECONDS:
            return
        if not self.may_load(engine, 1):
            return
        self._staged_at[instance.id] = self._clock()
        decision('staging', instance=instance.id, model=staging.model)
        await curio.spawn(self._order, staging, daemon=True)

    async def _order(self, staging: Staging) -> None:
        try:
            await self._orders.stage(
                staging.instance,
                staging.model,
                self._lease.fencing,
            )
        except OrderError as error:
            decision(
                'order_failed',
                order='stage',
                instance=staging.instance.id,
                why=str(error),
            )
