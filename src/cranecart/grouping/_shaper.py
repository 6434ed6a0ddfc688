"""Act on what is planned: form, stage, warm, and make room."""

from collections.abc import Mapping, Sequence

import attrs

from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.grouping._book import RecordBook
from cranecart.grouping._judge import Verdict
from cranecart.grouping._plan import plan
from cranecart.grouping._reshape import MAKES_ROOM, Closing, RoomPause
from cranecart.grouping._settling import Settling
from cranecart.grouping._stager import Stager
from cranecart.grouping._stock import Stock
from cranecart.grouping._supply import NewReplica, Plan, Supply
from cranecart.grouping._view import PlacerView
from cranecart.grouping._warmer import Warmer
from cranecart.logs import decision
from cranecart.models import EngineProfile, ServiceProfile


@attrs.define
class Shaper:
    """Turns the free instances of a failure domain into what is needed."""

    _fleet: Fleet
    _view: PlacerView
    _book: RecordBook
    _stock: Stock
    _stager: Stager
    _warmer: Warmer
    _settling: Settling = attrs.field(factory=Settling, init=False)
    _room: RoomPause = attrs.field(factory=RoomPause, init=False)

    def is_settled(self) -> bool:
        """Tell whether the list is whole enough to plan from."""
        self._settling.note(self._fleet.instances.values())
        return self._view.has_traffic() or self._settling.is_whole()

    async def change(self, record: ReplicaRecord, verdict: Verdict) -> None:
        """Tell all nodes of a replica's end and write it down."""
        finishes = verdict.state is RecordState.CLOSING
        self._view.tell_stopped(record, verdict.reason, finishes)
        changed = attrs.evolve(
            record,
            state=verdict.state,
            reason=verdict.reason,
        )
        await self._book.write([changed])

    async def place(self, profile: ServiceProfile) -> None:
        """Plan for a service and begin what may begin now."""
        engine = profile.engine
        if engine is None:
            return
        supply = self._stock.supply(profile)
        wanted = plan(supply, self._closing()).only(self._stock.is_own)
        await self._form(engine, supply, wanted)
        for staging in wanted.stagings:
            await self._stager.stage(engine, staging, self._stock.loading())
        bound = self._stock.bound()
        for warming in wanted.warmings:
            if warming.instance.id not in bound:
                await self._warmer.warm(warming)

    def _closing(self) -> Closing:
        """Tell what may be closed; nothing while the list is incomplete."""
        if not self._view.has_traffic():
            return Closing.NOTHING
        return self._room.closing(self._fleet.records.values())

    def _may_form(self, engine: EngineProfile, new: NewReplica) -> bool:
        if not self._view.has_traffic():
            return True
        if not self._settling.may_use(new.members):
            return False
        if not new.cold_members:
            return True
        if not self._settling.may_load(new.fabric_domain):
            return False
        loading = self._stock.loading()
        return self._stager.may_load(engine, new.cold_members, loading)

    async def _form(
        self,
        engine: EngineProfile,
        supply: Supply,
        wanted: Plan,
    ) -> None:
        """Record what may form now, quickest first, and what closes for it.

        Both are one transaction, so that whoever places next knows what the
        instances of a closing replica are for, and holds them for it.
        """
        closing = [
            attrs.evolve(record, state=RecordState.CLOSING, reason=MAKES_ROOM)
            for record in self._book.records()
            if record.name in wanted.closings
        ]
        released = {name for one in closing for name in one.members}
        for new in sorted(wanted.replicas, key=lambda one: one.cold_members):
            members = {member.id for member in new.members}
            room = closing if members & released else []
            if self._may_form(engine, new):
                await self._record(new, supply, room)
                closing = [] if room else closing

    async def _record(
        self,
        new: NewReplica,
        supply: Supply,
        closing: Sequence[ReplicaRecord],
    ) -> None:
        # Loads before the first request take a tenth of the time.
        loads = new.cold_members if self._view.has_traffic() else 0
        record = self._book.new_record(new, loads)
        decision(
            'replica_chosen',
            replica=record.name,
            model=new.model,
            ready_seconds=round(new.ready_seconds, 3),
            makes_room=[one.name for one in closing],
            present=_rounded(supply.present),
            demand=_rounded(supply.objective.demand),
        )
        await self._book.write([*closing, record])
        # Told only now: what could not be written would close for nothing.
        for one in closing:
            self._view.tell_stopped(one, one.reason, True)


def _rounded(demand: Mapping[str, float]) -> dict[str, float]:
    return {model: round(replicas, 2) for model, replicas in demand.items()}
