"""Hold the placement duty of one failure domain, and act on it."""

import random

import curio

from cranecart.clocks import since_boot
from cranecart.duties import Lease
from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._adoption import Adoption
from cranecart.grouping._book import RecordBook
from cranecart.grouping._duty import PlacerDuty
from cranecart.grouping._ending import Ending
from cranecart.grouping._forming import Forming
from cranecart.grouping._judge import Verdict, judge
from cranecart.grouping._losses import Losses
from cranecart.grouping._shaper import Shaper
from cranecart.grouping._stager import Stager
from cranecart.grouping._stock import Stock
from cranecart.grouping._tasks import RecordTasks
from cranecart.grouping._view import PlacerPlace, PlacerView
from cranecart.grouping._warmer import Warmer
from cranecart.logs import decision
from cranecart.models import RouteConfig
from cranecart.ports import Orders, Table

_TICK_SECONDS = 0.04
# Without the duty there is nothing to do but to hear its holder, by beats.
_IDLE_TICK_SECONDS = 0.1
# Well within the time for which a lease is trusted, so that one renewal may
# fail; each renewal is a call of the store.
_RENEW_SECONDS = 2.0
# While others may not hear this node, or its last call failed, they look at the
# lease itself and would take it over.
_DOUBTED_RENEW_SECONDS = 1.0
# How long other nodes wait before they look at the lease again.
_LOOK_SECONDS = 0.4
# Where a reader of this node does not reach the store, a look hardly succeeds.
_CUT_LOOK_SECONDS = 3.0
# How soon a placer tries again that could not read its rows.
_AGAIN_SECONDS = 0.2
# A process that stood still for so long may have lost the duty meanwhile.
_STALL_SECONDS = 1.0


class GroupPlacer:
    """Forms, repairs and ends the replicas of one failure domain."""

    def __init__(
        self,
        place: PlacerPlace,
        lease: Lease,
        table: Table,
        orders: Orders,
        fleet: Fleet,
        view: PlacerView,
    ) -> None:
        """Build the parts; nothing runs until ``run``."""
        self.lease = lease
        self.losses = Losses(fleet, self._end_at_once)
        self._wake = curio.Event()
        self._place = place
        self._fleet = fleet
        self._view = view
        self._book = RecordBook(place.failure_domain, lease, table, fleet)
        self._adoption = Adoption(place.failure_domain, fleet)
        stager = Stager(
            lease,
            orders,
            place.failure_domains,
            view.has_traffic,
        )
        stock = Stock(
            place.failure_domain,
            fleet,
            self.losses,
            stager,
            self._adoption,
            view.demand,
            view.has_traffic,
            place.stall_seconds,
        )
        self._shaper = Shaper(
            fleet,
            view,
            self._book,
            stock,
            stager,
            Warmer(lease, orders),
        )
        self._duty = PlacerDuty(
            lease,
            orders,
            self.losses.doubt,
            self.losses.note_lost,
            self._note_outdated,
            lambda name: name in self.losses.current(),
        )
        self._tasks = RecordTasks(fleet, self._make_task)
        self._outdated: dict[str, str] = {}
        # Nodes that start together look one after the other, and the first that
        # has the duty tells the rest.
        self._renewed_at = since_boot() - _LOOK_SECONDS * random.random()
        self._ticked_at = since_boot()
        self._stopped = False
        self._is_failing = False

    @property
    def places(self) -> str:
        """Return the failure domain, if this node holds its duty.

        One whose last renewal failed does not claim it, so that others look.
        """
        is_sure = self.lease.is_held and not self._is_failing
        return self._place.failure_domain if is_sure else ''

    async def run(self) -> None:
        """Keep the duty if nobody else does, and act, until cancelled."""
        while not self._stopped:
            try:
                await self._tick()
            except (PlatformError, LeaseLostError) as error:
                # The next tick decides afresh on what holds then.
                self._note_failure(error)
            pause = _TICK_SECONDS if self.lease.is_held else _IDLE_TICK_SECONDS
            await curio.ignore_after(pause, self._wake.wait)
            self._wake.clear()
        await curio.Event().wait()

    async def hand_over(self) -> None:
        """Give the duty up, so that another node takes it at once."""
        self._stopped = True
        await self.lease.hand_over()

    async def suspect(self, forming: tuple[str, int], evidence: str) -> None:
        """Look at once whether a replica stands still, if that is the duty."""
        if not self._may_act():
            return
        for record in self._book.records():
            if (record.name, record.epoch) == forming:
                self.losses.doubt(record, evidence)
                await self.losses.check((record,))

    async def _tick(self) -> None:
        await self._keep_lease()
        config = self._view.config()
        if config is None or not self._may_act():
            return
        adopted = self._adoption.due(config)
        if adopted:
            await self._book.write(adopted)
        records = self._book.records()
        await self.losses.check(records)
        for record in records:
            await self._judge(record, config)
        if self._shaper.is_settled():
            for profile in config.services.values():
                await self._shaper.place(profile)
        await self._tasks.follow(self._book.records())

    async def _end_at_once(self, record: ReplicaRecord) -> None:
        """Tell all nodes before anything is written down."""
        if record.state is RecordState.SERVING:
            self._view.tell_stopped(record, 'a member was found lost', False)
        await self._wake.set()

    def _may_act(self) -> bool:
        is_ready = self.lease.is_held and not self._book.is_behind
        return is_ready and self._view.is_informed()

    def _note_failure(self, error: Exception) -> None:
        if not self._is_failing:
            decision('placement_waits', why=str(error))
        self._is_failing = True

    async def _keep_lease(self) -> None:
        now = since_boot()
        stood_still = now - self._ticked_at > _STALL_SECONDS
        self._ticked_at = now
        if self.lease.is_held:
            is_due = now - self._renewed_at > self._renew_seconds()
            if stood_still or is_due or self._is_outdated(now):
                self._renewed_at = now
                await self._renew()
            return
        pause = _CUT_LOOK_SECONDS if self._view.is_cut() else _LOOK_SECONDS
        if self._view.hears_other() or now - self._renewed_at < pause:
            return
        self._renewed_at = now
        self._book.outdate()
        if await self.lease.keep(is_patient=self._view.is_isolated()):
            await self._read_records()
            self._is_failing = False

    def _is_outdated(self, now: float) -> bool:
        """Tell whether to read anew, as the table has come back from a copy."""
        if now - self._renewed_at < _AGAIN_SECONDS:
            return False
        return self._book.is_behind or not self.lease.is_of_this_era

    async def _renew(self) -> None:
        await self.lease.keep()
        if self.lease.is_held and self._book.is_behind:
            await self._read_records()
        self._is_failing = False

    async def _read_records(self) -> None:
        await self._book.read()
        self._adoption.watch()

    def _renew_seconds(self) -> float:
        """Return after how long the duty is to be shown to be held."""
        if self._is_failing or self._view.is_isolated():
            return _DOUBTED_RENEW_SECONDS
        return _RENEW_SECONDS

    def _note_outdated(self, record: ReplicaRecord, why: str) -> None:
        self._outdated[record.name] = why

    async def _judge(self, record: ReplicaRecord, config: RouteConfig) -> None:
        if record.state is RecordState.ENDING:
            return
        outdated = self._outdated.pop(record.name, '')
        verdict = (
            Verdict(RecordState.ENDING, outdated)
            if outdated
            else judge(record, self._fleet, self.losses.current(), config)
        )
        if verdict is None or verdict.state is record.state:
            return
        await self._shaper.change(record, verdict)

    def _make_task(self, record: ReplicaRecord) -> Forming | Ending:
        if record.state is RecordState.SERVING:
            return Forming(record, self._fleet, self._duty)
        return Ending(
            record,
            self._fleet,
            self._duty,
            self._book,
            self._place.stall_seconds,
        )
