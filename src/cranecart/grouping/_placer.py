"""Hold the placement duty of one failure domain, and act on it."""

import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import attrs
import curio

from cranecart.duties import Lease
from cranecart.exceptions import LeaseLostError, PlatformError
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._book import RecordBook
from cranecart.grouping._duty import PlacerDuty
from cranecart.grouping._ending import Ending
from cranecart.grouping._forming import Forming
from cranecart.grouping._judge import Verdict, judge
from cranecart.grouping._losses import Losses
from cranecart.grouping._plan import NewReplica, Plan, Supply, plan
from cranecart.grouping._settling import Settling
from cranecart.grouping._stager import Stager
from cranecart.grouping._tasks import RecordTasks
from cranecart.grouping._warmer import Warmer
from cranecart.logs import decision
from cranecart.models import EngineProfile, RouteConfig, ServiceProfile
from cranecart.ports import ListedInstance, Orders, Table

_TICK_SECONDS = 0.04
# The lease is trusted for 2.5 seconds, so that one renewal may fail.
_RENEW_SECONDS = 1.0
# How long other nodes wait before they look at the lease again.
_LOOK_SECONDS = 0.4


@attrs.frozen
class PlacerView:
    """What a placer needs to know from the rest of its node.

    ``hears_other`` tells whether another node says that it holds the duty,
    ``is_informed`` whether list and records were read, ``has_traffic``
    whether loads count, and ``demand`` weighs the models' requests.
    ``tell_stopped`` tells all nodes of a replica that takes nothing more,
    why, and whether it finishes what it has.
    """

    config: Callable[[], RouteConfig | None]
    hears_other: Callable[[], bool]
    is_informed: Callable[[], bool]
    has_traffic: Callable[[], bool]
    demand: Callable[[], Mapping[str, float]]
    tell_stopped: Callable[[ReplicaRecord, str, bool], None]


@attrs.frozen
class PlacerPlace:
    """The failure domain of a placer among how many, and its engines' stall.

    ``stall_seconds`` is how long a head without a member stands still
    before it is broken.
    """

    failure_domain: str
    failure_domains: int
    stall_seconds: float


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
        self.losses = Losses(fleet)
        self._place = place
        self._fleet = fleet
        self._view = view
        self._book = RecordBook(place.failure_domain, lease, table, fleet)
        self._stager = Stager(
            lease,
            orders,
            place.failure_domains,
            view.has_traffic,
        )
        self._warmer = Warmer(lease, orders)
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
        self._renewed_at = float('-inf')
        self._settling = Settling()
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
            await curio.sleep(_TICK_SECONDS)
        await curio.Event().wait()

    async def hand_over(self) -> None:
        """Give the duty up, so that another node takes it at once."""
        self._stopped = True
        await self.lease.hand_over()

    def suspect(self, forming: tuple[str, int], evidence: str) -> None:
        """Take over that a replica may stand still."""
        for record in self._book.records():
            if (record.name, record.epoch) == forming:
                self.losses.doubt(record, evidence)

    async def _tick(self) -> None:
        await self._keep_lease()
        config = self._view.config()
        if config is None or not self._may_act():
            return
        records = self._book.records()
        await self.losses.check(records)
        for record in records:
            await self._judge(record, config)
        if self._is_settled():
            for profile in config.services.values():
                await self._place_service(profile)
        await self._tasks.follow(self._book.records())

    def _may_act(self) -> bool:
        return self.lease.is_held and self._view.is_informed()

    def _note_failure(self, error: Exception) -> None:
        if not self._is_failing:
            decision('placement_waits', why=str(error))
        self._is_failing = True

    async def _keep_lease(self) -> None:
        now = time.monotonic()
        if self.lease.is_held:
            if now - self._renewed_at > _RENEW_SECONDS:
                self._renewed_at = now
                await self.lease.keep()
                self._is_failing = False
            return
        if self._view.hears_other() or now - self._renewed_at < _LOOK_SECONDS:
            return
        self._renewed_at = now
        if await self.lease.keep():
            await self._book.read()
            self._is_failing = False

    def _is_settled(self) -> bool:
        self._settling.note(self._fleet.instances.values())
        return self._view.has_traffic() or self._settling.is_whole()

    def _may_form(self, engine: EngineProfile, new: NewReplica) -> bool:
        if not new.cold_members or not self._view.has_traffic():
            return True
        if not self._settling.may_load(new.fabric_domain):
            return False
        return self._stager.may_load(engine, new.cold_members, self._loading())

    def _loading(self) -> int:
        """Return how many loads from the weight store are under way.

        Those of members follow from all placers' records and the list;
        stagings are known where they were ordered only.
        """
        members = [
            (record.model, self._fleet.instances.get(name))
            for record in self._fleet.records.values()
            if record.state is RecordState.SERVING
            for name in record.members
        ]
        joining = sum(
            member is not None and model not in member.staged
            for model, member in members
        )
        return joining + self._stager.staging(self._fleet.instances)

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
        finishes = verdict.state is RecordState.CLOSING
        self._view.tell_stopped(record, verdict.reason, finishes)
        changed = attrs.evolve(
            record,
            state=verdict.state,
            reason=verdict.reason,
        )
        await self._book.write([changed])

    async def _place_service(self, profile: ServiceProfile) -> None:
        engine = profile.engine
        free = tuple(self._free(profile.name))
        if engine is None or not free:
            return
        wanted = self._plan(profile, free)
        wanted_first = sorted(
            wanted.replicas,
            key=lambda new: new.cold_members,
        )
        for new in wanted_first:
            if self._may_form(engine, new):
                await self._book.write([self._book.new_record(new)])
        for staging in wanted.stagings:
            await self._stager.stage(engine, staging, self._loading())
        bound = self._bound()
        for warming in wanted.warmings:
            if warming.instance.id not in bound:
                await self._warmer.warm(warming)

    def _bound(self) -> frozenset[str]:
        """Return the members of all replicas, also of those that end.

        An instance that is being freed leaves its replica when it joins
        anything else, and that must not happen before the head has ended.
        """
        return frozenset(
            name
            for record in self._fleet.records.values()
            for name in record.members
        )

    def _plan(
        self,
        profile: ServiceProfile,
        free: tuple[ListedInstance, ...],
    ) -> Plan:
        serving = [
            record
            for record in self._fleet.records.values()
            if record.service == profile.name
            and record.state is RecordState.SERVING
        ]
        present = Counter(record.model for record in serving)
        in_fabric = Counter(
            (record.fabric_domain, record.model) for record in serving
        )
        demand = self._view.demand()
        return plan(Supply(profile, free, present, in_fabric, demand))

    def _free(self, service: str) -> Iterator[ListedInstance]:
        """Yield the unused instances, also those that are being freed."""
        used = {
            name
            for record in self._book.records()
            if record.state is not RecordState.ENDING
            for name in record.members
        }
        used.update(self.losses.current())
        return (
            instance
            for instance in self._fleet.instances.values()
            if instance.id not in used
            and instance.service == service
            and instance.failure_domain == self._place.failure_domain
            and not instance.leaving
        )

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
