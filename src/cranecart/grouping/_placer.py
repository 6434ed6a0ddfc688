"""Hold the placement lease of one failure domain and place replicas."""

import random

import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._context import PlacerContext
from cranecart.grouping._environment import PlacerEnvironment, PlacerScope
from cranecart.grouping._failure_detector import FailureDetector
from cranecart.grouping._fenced_orders import FencedOrders
from cranecart.grouping._inventory import Inventory
from cranecart.grouping._orphans import OrphanedReplicas
from cranecart.grouping._plan_executor import PlanExecutor
from cranecart.grouping._record_store import RecordStore
from cranecart.grouping._record_tasks import RecordTasks
from cranecart.grouping._stager import Stager
from cranecart.grouping._transitions import Transition, required_transition
from cranecart.grouping._warmer import Warmer
from cranecart.leases import Lease
from cranecart.logs import log_decision
from cranecart.models import RouteConfig
from cranecart.ports import Orders, Table

_TICK_SECONDS = 0.04
# Without the lease, a placer only has to notice the holder's heartbeats.
_IDLE_TICK_SECONDS = 0.1
# Well below the time for which a lease is trusted, so that one renewal may
# fail; each renewal is a call to the store.
_RENEW_SECONDS = 2.0
# Used while the peers may not receive this node's heartbeats, or its last call
# failed: they then read the lease and would take it over if it expired.
_URGENT_RENEW_SECONDS = 1.0
# Interval at which nodes that do not hold the lease read it.
_LEASE_POLL_SECONDS = 0.4
# If a reader of this node cannot reach the store, reading the lease would
# probably fail too.
_UNREACHABLE_POLL_SECONDS = 3.0
# Interval between attempts to read the records.
_REREAD_SECONDS = 0.2
# A process that was stalled for this long may have lost the lease.
_STALL_SECONDS = 1.0


class GroupPlacer:
    """Forms, repairs and tears down the replicas of one failure domain."""

    def __init__(
        self,
        scope: PlacerScope,
        lease: Lease,
        table: Table,
        orders: Orders,
        fleet: Fleet,
        environment: PlacerEnvironment,
    ) -> None:
        """Build the parts; nothing runs until ``run``."""
        self.lease = lease
        self.failure_detector = FailureDetector(
            fleet, self._announce_loss, environment.check_path
        )
        self._wake = curio.Event()
        self._scope = scope
        self._fleet = fleet
        self._environment = environment
        self._record_store = RecordStore(
            scope.failure_domain, lease, table, fleet
        )
        self._orphans = OrphanedReplicas(scope.failure_domain, fleet)
        fenced_orders = FencedOrders(orders, lease, fleet)
        stager = Stager(
            lease,
            fenced_orders,
            scope.failure_domains,
            environment.has_traffic,
            evacuated=fleet.evacuations.active,
        )
        inventory = Inventory(
            scope.failure_domain,
            fleet,
            self.failure_detector,
            stager,
            self._orphans,
            environment.demand,
            environment.has_traffic,
            scope.stall_seconds,
            environment.cold_seconds,
        )
        self._executor = PlanExecutor(
            fleet,
            environment,
            self._record_store,
            inventory,
            stager,
            Warmer(lease, fenced_orders),
        )
        self._context = PlacerContext(
            lease,
            fenced_orders,
            self.failure_detector.suspect,
            self.failure_detector.report_lost,
            self._note_fenced,
            lambda name: name in self.failure_detector.lost_instances(),
        )
        self._tasks = RecordTasks(
            fleet, self._context, self._record_store, scope.stall_seconds
        )
        self._fenced: dict[str, str] = {}
        # Spreads the first reads of nodes that start together: the first one to
        # acquire the lease announces it to the others.
        self._lease_checked_at = (
            since_boot() - _LEASE_POLL_SECONDS * random.random()
        )
        self._ticked_at = since_boot()
        self._stopped = False
        self._is_failing = False

    @property
    def held_failure_domain(self) -> str:
        """Return the failure domain if this node holds its lease, else ''.

        After a failed renewal the node no longer claims the lease, so that
        other nodes read it.
        """
        is_confirmed = self.lease.is_held and not self._is_failing
        return self._scope.failure_domain if is_confirmed else ''

    async def run(self) -> None:
        """Take or renew the lease and place replicas, until cancelled."""
        while not self._stopped:
            try:
                await self._tick()
            except (PlatformError, LeaseLostError) as error:
                # The next tick reads the current state and decides again.
                self._note_failure(error)
            pause = _TICK_SECONDS if self.lease.is_held else _IDLE_TICK_SECONDS
            await curio.ignore_after(pause, self._wake.wait)
            self._wake.clear()
        await curio.Event().wait()

    async def hand_over(self) -> None:
        """Release the lease, so that another node can take it at once."""
        self._stopped = True
        await self.lease.release()

    async def suspect(
        self,
        replica_epoch: tuple[str, int],
        evidence: str,
        reporter: str = 'this node',
    ) -> None:
        """Check a replica for lost members if this node holds the lease.

        ``reporter`` names the node that has the evidence.
        """
        if not self._may_act():
            return
        for record in self._record_store.records():
            if (record.name, record.epoch) == replica_epoch:
                self.failure_detector.suspect(record, evidence, reporter)
                await self.failure_detector.check((record,))

    async def _tick(self) -> None:
        await self._keep_lease()
        # Also without the lease, to know of them after a takeover.
        self._orphans.update(self._record_store.records())
        config = self._environment.config()
        if config is None or not self._may_act():
            return
        adopted = self._orphans.records_to_adopt(config)
        if adopted:
            await self._record_store.write(adopted)
        records = self._record_store.records()
        await self.failure_detector.check(records)
        for record in records:
            await self._apply_transition(record, config)
        if self._executor.is_list_stable():
            for profile in config.services.values():
                await self._executor.execute(profile)
        await self._tasks.reconcile(
            [*self._record_store.records(), *self._orphans.reopened_records()]
        )

    async def _announce_loss(self, record: ReplicaRecord) -> None:
        """Announce a loss to all nodes before it is written to the table."""
        if record.state is RecordState.SERVING:
            self._environment.announce_stopped(
                record, 'a member was found lost', False
            )
        await self._wake.set()

    def _may_act(self) -> bool:
        is_ready = self.lease.is_held and not self._record_store.is_stale
        return is_ready and self._environment.is_synced()

    def _note_failure(self, error: Exception) -> None:
        if not self._is_failing:
            log_decision('placement_waits', why=str(error))
        self._is_failing = True

    async def _keep_lease(self) -> None:
        now = since_boot()
        was_stalled = now - self._ticked_at > _STALL_SECONDS
        self._ticked_at = now
        if not self._environment.reaches_targets():
            await self._leave_duty()
            return
        if self.lease.is_held:
            is_due = now - self._lease_checked_at > self._renew_seconds()
            if was_stalled or is_due or self._needs_reread(now):
                self._lease_checked_at = now
                await self._renew()
            return
        pause = (
            _UNREACHABLE_POLL_SECONDS
            if self._environment.is_store_unreachable()
            else _LEASE_POLL_SECONDS
        )
        if (
            self._environment.is_held_elsewhere()
            or now - self._lease_checked_at < pause
        ):
            return
        self._lease_checked_at = now
        self._record_store.invalidate()
        if await self.lease.acquire_or_renew(
            may_be_isolated=self._environment.is_isolated()
        ):
            await self._read_records()
            self._is_failing = False

    async def _leave_duty(self) -> None:
        """Let a node that reaches the instances take the duty over at once."""
        if self.lease.is_held:
            log_decision('duty_left', duty=self.lease.duty, why='no paths')
            await self.lease.release()

    def _needs_reread(self, now: float) -> bool:
        """Return whether to read again because the table was restored."""
        if now - self._lease_checked_at < _REREAD_SECONDS:
            return False
        return self._record_store.is_stale or not self.lease.is_current_era

    async def _renew(self) -> None:
        await self.lease.acquire_or_renew()
        if self.lease.is_held and self._record_store.is_stale:
            await self._read_records()
        self._is_failing = False

    async def _read_records(self) -> None:
        await self._record_store.read()
        self._orphans.watch()

    def _renew_seconds(self) -> float:
        """Return the interval between renewals of the lease."""
        if self._is_failing or self._environment.is_isolated():
            return _URGENT_RENEW_SECONDS
        return _RENEW_SECONDS

    def _note_fenced(self, record: ReplicaRecord, why: str) -> None:
        self._fenced[record.name] = why

    async def _apply_transition(
        self, record: ReplicaRecord, config: RouteConfig
    ) -> None:
        if record.state is RecordState.ENDING:
            return
        fenced_reason = self._fenced.pop(record.name, '')
        transition = (
            Transition(RecordState.ENDING, fenced_reason)
            if fenced_reason
            else required_transition(
                record,
                self._fleet,
                self.failure_detector.lost_instances(),
                config,
            )
        )
        if transition is None or transition.state is record.state:
            return
        await self._executor.set_state(record, transition)
