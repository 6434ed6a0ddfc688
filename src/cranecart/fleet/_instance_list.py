"""The instances of the platform's list, as one node knows them; no I/O."""

from collections.abc import Collection, Iterator, Mapping

import attrs

from cranecart.fleet._incarnations import IncarnationMatch, IncarnationTracker
from cranecart.fleet._recent_entries import (
    RecentIncarnations,
    UnconfirmedEntries,
)
from cranecart.logs import decision
from cranecart.ports import Incarnation, ListedInstance

# While the store is away instances cannot renew their entries, and many lapse
# at once; those that live are back two seconds after the store at the latest.
# Deaths and departures take two or three instances of a hundred at a time.
_MANY_PART = 0.1
_MANY = 3


@attrs.define
class InstanceList:
    """Listed instances, and those whose entries went lately.

    Instances are kept by service as well, as a plain service of five is asked
    for with each of its requests beside a thousand others.
    """

    _lives: IncarnationTracker = attrs.field(factory=IncarnationTracker)
    instances: dict[str, ListedInstance] = attrs.field(
        factory=dict,
        init=False,
    )
    lapsed: dict[str, ListedInstance] = attrs.field(factory=dict, init=False)
    # Instances that are kept for a while though their entries went.
    _missing: dict[str, float] = attrs.field(factory=dict, init=False)
    # Lives that leave, by their entry or their own word.
    _leaving: RecentIncarnations = attrs.field(
        factory=RecentIncarnations,
        init=False,
    )
    # Lives whose entries have gone.
    _gone: RecentIncarnations = attrs.field(
        factory=RecentIncarnations, init=False
    )
    _awaited: UnconfirmedEntries = attrs.field(
        factory=UnconfirmedEntries, init=False
    )
    _of_service: dict[str, dict[str, ListedInstance]] = attrs.field(
        factory=dict,
        init=False,
    )
    _plain: dict[str, tuple[ListedInstance, ...]] = attrs.field(
        factory=dict,
        init=False,
    )

    def take(
        self,
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
        kept_until: float = 0,
    ) -> list[str]:
        """Take over changed entries; return the ids that live anew.

        The store is back only now where ``kept_until`` is given: if many
        entries are gone, their instances are kept until then.
        """
        gone = {name for name, item in items.items() if item is None}
        if is_complete:
            gone.update(self.instances.keys() - items.keys())
        gone &= self.instances.keys() - self._missing.keys()
        if kept_until and self._are_many(gone):
            gone -= self._keep(gone, kept_until)
        for name in gone:
            self._lapse(name)
        if is_complete:
            self._awaited.keep_only(items)
        else:
            self._awaited.drop(items)
        entries = [
            item
            for item in items.values()
            if item is not None and not self._awaited.holds(item)
        ]
        return [entry.id for entry in entries if self._take_entry(entry)]

    def restore(
        self,
        items: Mapping[str, ListedInstance],
        now: float,
    ) -> list[str]:
        """Take over a list from a copy; return the ids that live anew.

        What it lacks stays. An entry that had gone counts again once it is
        written, or has not been dropped for as long as silent ones stand.
        """
        awaited = {
            name: item
            for name, item in items.items()
            if name not in self.instances and item.incarnation in self._gone
        }
        known = {
            name: item for name, item in items.items() if name not in awaited
        }
        anew = self.take(known, False)
        self._awaited.hold(awaited, now)
        return anew

    def accept_unconfirmed(self, now: float) -> list[str]:
        """Take over awaited entries that have stood; return their ids."""
        due = self._awaited.take_due(now)
        for item in due:
            self._take_entry(item)
        return [item.id for item in due]

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Remember that a life says that it leaves; tell if it is news.

        Its entry may tell it later, or never; it counts from when the entry is
        taken next.
        """
        if incarnation in self._leaving:
            return False
        self._leaving.add(incarnation)
        return True

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Tell whether a life leaves, by its own word or its entry."""
        known = self.find_instance(incarnation.id)
        is_listed = (
            known is not None
            and known.leaving
            and known.incarnation == incarnation
        )
        return is_listed or incarnation in self._leaving

    def confirm_restarts(self) -> list[str]:
        """Believe entries that have stood; return the ids that live anew."""
        settled = self._lives.take_settled()
        for entry in settled:
            known = self.find_instance(entry.id)
            if known is not None:
                self._lives.end(known, entry)
                self._begin_life(known, entry)
        return [entry.id for entry in settled]

    def expire_missing(self, now: float) -> list[str]:
        """Let go instances that were missed for long; return their ids."""
        due = [name for name, until in self._missing.items() if until <= now]
        for name in due:
            self._lapse(name)
        return due

    def find_instance(self, name: str) -> ListedInstance | None:
        """Return an instance, also one whose entry has gone lately."""
        return self.instances.get(name) or self.lapsed.get(name)

    def incarnations(self) -> frozenset[Incarnation]:
        """Return the lives of all listed instances."""
        return frozenset(one.incarnation for one in self.instances.values())

    def is_superseded(self, incarnation: Incarnation) -> bool:
        """Tell whether another life of an instance is known than this."""
        known = self.find_instance(incarnation.id)
        if known is None or not incarnation.born:
            return False
        return known.incarnation.is_another(incarnation)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Tell whether a later life of an instance shows that one is over.

        Whether a birth that went back is later is only likely: members that
        wait for this life's end go on waiting.
        """
        known = self.find_instance(incarnation.id)
        is_later = known is not None and known.born > incarnation.born
        return is_later and self.is_superseded(incarnation)

    def all_of_service(self, service: str) -> Iterator[ListedInstance]:
        """Yield the listed instances of a service."""
        yield from self._of_service.get(service, {}).values()

    def available(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a service that are not leaving."""
        found = self._plain.get(service)
        if found is None:
            every = self.all_of_service(service)
            found = tuple(one for one in every if not one.leaving)
            self._plain[service] = found
        return found

    def forget_lapsed(self, needed: Mapping[str, object]) -> None:
        """Forget instances whose entries went, but for needed ones."""
        self.lapsed = {
            name: one for name, one in self.lapsed.items() if name in needed
        }

    def _are_many(self, gone: Collection[str]) -> bool:
        return len(gone) >= max(_MANY, _MANY_PART * len(self.instances))

    def _keep(self, gone: Collection[str], until: float) -> set[str]:
        """Keep missing instances for a while; return which."""
        kept = {name for name in gone if not self.instances[name].leaving}
        self._missing.update(dict.fromkeys(kept, until))
        decision('instances_missing', instances=len(kept))
        return kept

    def _lapse(self, name: str) -> None:
        self._missing.pop(name, None)
        instance = self.instances.pop(name)
        self.lapsed[name] = instance
        self._gone.add(instance.incarnation)
        self._of_service[instance.service].pop(name)
        self._plain.pop(instance.service, None)
        self._lives.forget(name)
        decision('instance_lapsed', instance=name)

    def _take_entry(self, entry: ListedInstance) -> bool:
        """Take over an entry; return whether its instance lives anew."""
        known = self.find_instance(entry.id)
        if known is None:
            self._put(entry)
            return False
        match self._lives.told(known, entry):
            case IncarnationMatch.SAME:
                self._put(_with_memory(known, entry))
            case IncarnationMatch.NEWER:
                self._begin_life(known, entry)
                return True
            case IncarnationMatch.STALE | IncarnationMatch.UNCERTAIN as told:
                decision(
                    'entry_put_off',
                    instance=entry.id,
                    born=entry.born,
                    known=known.born,
                    why=told.value,
                )
        return False

    def _begin_life(self, known: ListedInstance, entry: ListedInstance) -> None:
        """Take over another life: nothing of the known one goes with it."""
        decision(
            'instance_lives_anew',
            instance=entry.id,
            born=entry.born,
            earlier=known.born,
        )
        self._put(entry)

    def _as_it_said(self, entry: ListedInstance) -> ListedInstance:
        if entry.leaving:
            # A copy of the store may show it as it was before.
            self._leaving.add(entry.incarnation)
        if entry.leaving or entry.incarnation not in self._leaving:
            return entry
        return attrs.evolve(entry, leaving=True)

    def _put(self, told: ListedInstance) -> None:
        entry = self._as_it_said(told)
        earlier = self.instances.get(entry.id)
        if earlier is not None and earlier.service != entry.service:
            self._of_service[earlier.service].pop(entry.id)
            self._plain.pop(earlier.service, None)
        self.instances[entry.id] = entry
        self.lapsed.pop(entry.id, None)
        self._missing.pop(entry.id, None)
        self._gone.forget(entry.incarnation)
        self._of_service.setdefault(entry.service, {})[entry.id] = entry
        self._plain.pop(entry.service, None)


def _with_memory(
    known: ListedInstance, entry: ListedInstance
) -> ListedInstance:
    """Keep in mind what an entry of the same life may leave out.

    One that has left its replica lists no model, but joins another of the
    same model as quickly as before.
    """
    return attrs.evolve(
        entry,
        loaded=entry.loaded or known.loaded,
        born=entry.born or known.born,
    )
