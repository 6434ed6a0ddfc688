"""Carry out plans: transactions first, then orders to the engines."""

from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.declarations import Declarations, FencingSupport
from cranecart.exceptions import (
    LeaseLostError,
    PlatformError,
    TargetError,
)
from cranecart.fleet import Evacuations
from cranecart.instances import Instance, InstanceKind
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.native import PlatformClient
from cranecart.placement._actions import Action, Order
from cranecart.placement._plan import plan, plan_orders
from cranecart.placement._rows import PlacementRows, rows_prefix
from cranecart.placement._state import DomainState
from cranecart.targets import EngineClient, ReportRegistry

_TICK_SECONDS = 0.5
_RENEW_SECONDS = 2.0
_SETTLE_SECONDS = 4.0
_MAX_ORDERS_AT_ONCE = 64

CurrentDeclarations = Callable[[], Declarations | None]


@attrs.define
class Placer:
    """Places the replicas of one failure domain while it holds the lease."""

    failure_domain: str
    lease: Lease
    _platform: PlatformClient
    _reports: ReportRegistry
    _engines: EngineClient
    _evacuations: Evacuations
    _stopped: bool = attrs.field(default=False, init=False)
    _renewed_at: float = attrs.field(default=float('-inf'), init=False)
    _refusing_since: dict[str, float] = attrs.field(factory=dict, init=False)

    async def run(self, current: CurrentDeclarations) -> None:
        """Keep the lease and place replicas, until cancelled."""
        while not self._stopped:
            try:
                await self._tick(current())
            except (PlatformError, LeaseLostError) as error:
                # The next tick reads the current state and decides again.
                log_decision('placement_waits', why=str(error))
            await curio.sleep(_TICK_SECONDS)
        # Returning would end the node before it has finished its shutdown.
        await curio.Event().wait()

    def stop(self) -> None:
        """Stop renewing the lease; a tick in progress is completed."""
        self._stopped = True

    async def _tick(self, declarations: Declarations | None) -> None:
        await self._keep_lease()
        if not self.lease.is_held or declarations is None:
            return
        rows = await self._read_rows()
        for action in plan(self._state(declarations, rows)):
            await self._execute(action, rows)
        updated_state = self._state(declarations, await self._read_rows())
        if not self._must_wait(declarations):
            await self._send_orders(plan_orders(updated_state))

    async def _keep_lease(self) -> None:
        now = since_boot()
        if now - self._renewed_at > _RENEW_SECONDS:
            await self.lease.acquire_or_renew()
            self._renewed_at = now

    async def _read_rows(self) -> PlacementRows:
        prefix = rows_prefix(self.failure_domain)
        return PlacementRows.from_rows(
            self.failure_domain,
            await self._platform.read_prefix(prefix),
        )

    def _state(
        self,
        declarations: Declarations,
        rows: PlacementRows,
    ) -> DomainState:
        evacuated = self._evacuations.active()
        is_evacuated = self.failure_domain in evacuated
        state = DomainState(
            self.failure_domain,
            declarations.models
            if is_evacuated
            else tuple(spec.outside(evacuated) for spec in declarations.models),
            rows.decoded(),
            {name: row.value for name, row in rows.owners.items()},
            self._local_engines(),
            self._reports.fresh_reports(),
            self._reports.lost_instances(),
            is_evacuated=is_evacuated,
        )
        return attrs.evolve(state, quiesced=self._quiesced(state))

    def _local_engines(self) -> dict[str, Instance]:
        return {
            name: instance
            for name, instance in self._reports.instances.items()
            if instance.kind is InstanceKind.ENGINE
            and instance.failure_domain == self.failure_domain
        }

    def _quiesced(self, state: DomainState) -> frozenset[str]:
        now = since_boot()
        self._refusing_since = {
            name: self._refusing_since.get(name, now)
            for name in state.instances
            if state.is_refusing_requests(name)
        }
        return frozenset(
            name
            for name, since in self._refusing_since.items()
            if now - since > _SETTLE_SECONDS
        )

    async def _execute(self, action: Action, rows: PlacementRows) -> None:
        transaction = rows.transaction(action, self.lease.check())
        await self._platform.commit(transaction)
        log_decision(
            'placed',
            action=type(action).__name__,
            replica=action.row.id,
            generation=action.row.generation,
            members=action.row.members,
            why=action.reason,
            fencing=self.lease.fencing,
        )

    def _must_wait(self, declarations: Declarations) -> bool:
        """Return whether an earlier holder's orders may still be in flight.

        Engines that ignore fencing tokens would accept them. A holder stops
        sending orders when its lease expires, before another node can acquire
        it, and an order takes a bounded time after that.
        """
        ignored = any(
            spec.fencing is FencingSupport.IGNORED
            for spec in declarations.models
        )
        return ignored and self.lease.held_seconds < _SETTLE_SECONDS

    async def _send_orders(self, orders: list[Order]) -> None:
        async with curio.TaskGroup(wait=all) as sending:
            for order in orders[:_MAX_ORDERS_AT_ONCE]:
                await sending.spawn(self._send_order, order)

    async def _send_order(self, order: Order) -> None:
        members = order.row.members if order.row else ()
        known = self._reports.instances
        if not self.lease.is_held or not known.keys() >= set(members):
            return
        try:
            report = await self._engines.send_order(
                order.instance,
                order.row,
                tuple(str(known[member].address) for member in members),
                self.lease.fencing,
            )
        except TargetError as error:
            log_decision(
                'order_failed', instance=order.instance.id, why=str(error)
            )
            return
        log_decision(
            'ordered',
            instance=order.instance.id,
            replica=report.replica,
            generation=report.generation,
            fencing=self.lease.fencing,
        )
