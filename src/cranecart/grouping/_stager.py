"""Copy models to the hosts of instances, and limit all loads."""

from collections.abc import Callable, Collection, Mapping

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import OrderError
from cranecart.grouping._load_budget import LoadBudget
from cranecart.grouping._plan_types import Staging, StagingUse
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.models import EngineProfile
from cranecart.ports import Incarnation, ListedInstance, Orders

# Longer than a load takes while the weight store is busy, so that the same
# instance is not sent the order again in the meantime.
_STAGE_RETRY_SECONDS = 25.0
# Load slots that second models leave to more urgent loads: replicas that wait
# for members, and spares without any model.
_RESERVED_LOADS = 2


@attrs.define
class Stager:
    """Sends staging orders within the rate of the weight store.

    The placers of evacuated failure domains load nothing, so that the others
    divide the rate among them.
    """

    _lease: Lease
    _orders: Orders
    _placers: int
    _has_traffic: Callable[[], bool]
    _clock: Callable[[], float] = since_boot
    _evacuated: Callable[[], Collection[str]] = frozenset
    _load_budget: LoadBudget = attrs.field(factory=LoadBudget, init=False)
    _ordered_at: dict[tuple[Incarnation, str], float] = attrs.field(
        factory=dict,
        init=False,
    )
    _pending: dict[Incarnation, tuple[float, str]] = attrs.field(
        factory=dict,
        init=False,
    )

    def pending_models(
        self,
        instances: Mapping[str, ListedInstance],
    ) -> Mapping[str, str]:
        """Return the models that are being copied to instances."""
        now = self._clock()
        self._pending = {
            incarnation: (at, model)
            for incarnation, (at, model) in self._pending.items()
            if now - at < _STAGE_RETRY_SECONDS
            and _is_pending(instances.get(incarnation.id), incarnation, model)
        }
        return {
            incarnation.id: model
            for incarnation, (_, model) in self._pending.items()
        }

    def may_load(
        self,
        engine: EngineProfile,
        count: int,
        in_progress: int,
        reserve: int = 0,
    ) -> bool:
        """Return whether loads may start; if so, take them from the budget.

        Before traffic starts, they are not limited. ``in_progress`` counts the
        running loads, ``reserve`` those to keep free for more urgent ones. At
        most as many run at once as do not slow each other down, unless a single
        replica needs more.
        """
        if not count or not self._has_traffic():
            return True
        if in_progress and in_progress + count > engine.loads_at_once - reserve:
            return False
        return self._load_budget.take(
            count,
            engine.loads_per_second,
            self._placers - len(self._evacuated()),
        )

    async def stage(
        self,
        engine: EngineProfile,
        staging: Staging,
        in_progress: int,
    ) -> None:
        """Order a staging, unless it was ordered or the budget is used up."""
        instance = staging.instance
        order = (instance.incarnation, staging.model)
        last = self._ordered_at.get(order, float('-inf'))
        if self._clock() - last < _STAGE_RETRY_SECONDS:
            return
        reserve = (
            _RESERVED_LOADS if staging.use is StagingUse.SECOND_MODEL else 0
        )
        if not self.may_load(engine, 1, in_progress, reserve):
            return
        self._pending[instance.incarnation] = (self._clock(), staging.model)
        self._ordered_at[order] = self._clock()
        log_decision(
            'staging',
            instance=instance.id,
            model=staging.model,
            use=staging.use.value,
        )
        await curio.spawn(self._order, staging, daemon=True)

    async def _order(self, staging: Staging) -> None:
        try:
            await self._orders.stage(
                staging.instance,
                staging.model,
                self._lease.fencing,
            )
        except OrderError as error:
            log_decision(
                'order_failed',
                order='stage',
                instance=staging.instance.id,
                why=str(error),
            )


def _is_pending(
    instance: ListedInstance | None,
    incarnation: Incarnation,
    model: str,
) -> bool:
    """Return whether the ordered incarnation may still stage the model."""
    return (
        instance is not None
        and instance.incarnation == incarnation
        and model not in instance.staged
    )
