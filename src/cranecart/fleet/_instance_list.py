"""One node's copy of the platform's instance list; no I/O."""

from collections.abc import Collection, Iterator, Mapping

import attrs

from cranecart.fleet._incarnations import IncarnationMatch, IncarnationTracker
from cranecart.fleet._recent_entries import (
    NewlyListedMembers,
    RecentIncarnations,
    UnconfirmedEntries,
)
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance

# During a store outage instances cannot renew their entries, so many lapse at
# once; those that are running are listed again at most two seconds after the
# store recovers. Ordinary failures and shutdowns affect two or three instances
# of a hundred at a time.
_MASS_LAPSE_FRACTION = 0.1
_MASS_LAPSE_MIN = 3


@attrs.define
class InstanceList:
    """Listed instances, and those whose entries lapsed recently.

    Instances are also indexed by service, because every request to a plain
    service looks up its few instances among a thousand others.
    """

    _incarnations: IncarnationTracker = attrs.field(factory=IncarnationTracker)
    instances: dict[str, ListedInstance] = attrs.field(
        factory=dict,
        init=False,
    )
    lapsed: dict[str, ListedInstance] = attrs.field(factory=dict, init=False)
    new_members: NewlyListedMembers = attrs.field(
        factory=NewlyListedMembers, init=False
    )
    # Instances whose entries are missing, and until when they are kept.
    _missing: dict[str, float] = attrs.field(factory=dict, init=False)
    # Incarnations that are leaving, by their entry or their own announcement.
    _leaving: RecentIncarnations = attrs.field(
        factory=RecentIncarnations,
        init=False,
    )
    _lapsed_incarnations: RecentIncarnations = attrs.field(
        factory=RecentIncarnations, init=False
    )
    _unconfirmed: UnconfirmedEntries = attrs.field(
        factory=UnconfirmedEntries, init=False
    )
    _by_service: dict[str, dict[str, ListedInstance]] = attrs.field(
        factory=dict,
        init=False,
    )
    _available: dict[str, tuple[ListedInstance, ...]] = attrs.field(
        factory=dict,
        init=False,
    )

    def apply(
        self,
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
        grace_until: float = 0,
    ) -> list[str]:
        """Apply changed entries; return the ids of restarted instances.

        ``grace_until`` is given when the store has just recovered: if many
        entries are missing, their instances are kept until then.
        """
        missing = {name for name, item in items.items() if item is None}
        if is_complete:
            missing.update(self.instances.keys() - items.keys())
        missing &= self.instances.keys() - self._missing.keys()
        if grace_until and self._is_mass_lapse(missing):
            missing -= self._retain_missing(missing, grace_until)
        for name in missing:
            self._lapse(name)
        if is_complete:
            self._unconfirmed.keep_only(items)
        else:
            self._unconfirmed.drop(items)
        entries = [
            item
            for item in items.values()
            if item is not None and not self._unconfirmed.contains(item)
        ]
        return [entry.id for entry in entries if self._apply_entry(entry)]

    def apply_restored(
        self,
        items: Mapping[str, ListedInstance],
        now: float,
    ) -> list[str]:
        """Apply the list of a restored store; return ids of restarted instances.

        Entries that it lacks stay. An entry that had lapsed before the restore
        is accepted once it is written again, or once it has outlived the time
        after which the store drops entries without a heartbeat.
        """
        unconfirmed = {
            name: item
            for name, item in items.items()
            if name not in self.instances
            and item.incarnation in self._lapsed_incarnations
        }
        known = {
            name: item
            for name, item in items.items()
            if name not in unconfirmed
        }
        restarted = self.apply(known, False)
        self._unconfirmed.replace(unconfirmed, now)
        return restarted

    def accept_unconfirmed(self, now: float) -> list[str]:
        """Accept unconfirmed entries after their timeout; return their ids."""
        expired = self._unconfirmed.take_expired(now)
        for item in expired:
            self._apply_entry(item)
        return [item.id for item in expired]

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Mark an incarnation as leaving; return whether this is a change.

        Its entry may show this later or never. The mark takes effect when the
        entry is applied next.
        """
        if incarnation in self._leaving:
            return False
        self._leaving.add(incarnation)
        return True

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is announced or listed as leaving."""
        known = self.find_instance(incarnation.id)
        is_leaving_entry = (
            known is not None
            and known.leaving
            and known.incarnation == incarnation
        )
        return is_leaving_entry or incarnation in self._leaving

    def confirm_restarts(self) -> list[str]:
        """Accept confirmed restarts; return the ids of their instances."""
        confirmed = self._incarnations.take_confirmed()
        for entry in confirmed:
            known = self.find_instance(entry.id)
            if known is not None:
                self._incarnations.record_replaced(known, entry)
                self._replace_incarnation(known, entry)
        return [entry.id for entry in confirmed]

    def expire_missing(self, now: float) -> list[str]:
        """Lapse instances missing beyond the grace period; return their ids."""
        expired = [
            name for name, until in self._missing.items() if until <= now
        ]
        for name in expired:
            self._lapse(name)
        return expired

    def find_instance(self, name: str) -> ListedInstance | None:
        """Return an instance, including one whose entry lapsed recently."""
        return self.instances.get(name) or self.lapsed.get(name)

    def incarnations(self) -> frozenset[Incarnation]:
        """Return the incarnations of all listed instances."""
        return frozenset(
            instance.incarnation for instance in self.instances.values()
        )

    def is_superseded(self, incarnation: Incarnation) -> bool:
        """Return whether a different incarnation of the instance is known."""
        known = self.find_instance(incarnation.id)
        if known is None or not incarnation.born:
            return False
        return known.incarnation.differs_from(incarnation)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether a later incarnation proves that one has ended.

        An incarnation with an earlier start time is only likely to be the
        later one, so it proves nothing: members that wait for this
        incarnation to end keep waiting.
        """
        known = self.find_instance(incarnation.id)
        is_later = known is not None and known.born > incarnation.born
        return is_later and self.is_superseded(incarnation)

    def all_of_service(self, service: str) -> Iterator[ListedInstance]:
        """Yield the listed instances of a service."""
        yield from self._by_service.get(service, {}).values()

    def available(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a service that are not leaving."""
        available = self._available.get(service)
        if available is None:
            instances = self.all_of_service(service)
            available = tuple(
                instance for instance in instances if not instance.leaving
            )
            self._available[service] = available
        return available

    def forget_lapsed(self, needed: Mapping[str, object]) -> None:
        """Forget lapsed instances except those that are needed."""
        self.lapsed = {
            name: instance
            for name, instance in self.lapsed.items()
            if name in needed
        }

    def _is_mass_lapse(self, missing: Collection[str]) -> bool:
        return len(missing) >= max(
            _MASS_LAPSE_MIN, _MASS_LAPSE_FRACTION * len(self.instances)
        )

    def _retain_missing(
        self, missing: Collection[str], until: float
    ) -> set[str]:
        """Keep missing instances for the grace period; return their ids."""
        retained = {
            name for name in missing if not self.instances[name].leaving
        }
        self._missing.update(dict.fromkeys(retained, until))
        log_decision('instances_missing', instances=len(retained))
        return retained

    def _lapse(self, name: str) -> None:
        self._missing.pop(name, None)
        instance = self.instances.pop(name)
        self.lapsed[name] = instance
        self._lapsed_incarnations.add(instance.incarnation)
        self._by_service[instance.service].pop(name)
        self._available.pop(instance.service, None)
        self.new_members.forget(name)
        self._incarnations.forget(name)
        log_decision('instance_lapsed', instance=name)

    def _apply_entry(self, entry: ListedInstance) -> bool:
        """Apply an entry; return whether its instance has restarted."""
        known = self.find_instance(entry.id)
        if known is None:
            self._put(entry)
            return False
        match self._incarnations.classify(known, entry):
            case IncarnationMatch.SAME:
                self._put(_with_remembered_fields(known, entry))
            case IncarnationMatch.NEWER:
                self._replace_incarnation(known, entry)
                return True
            case (
                IncarnationMatch.STALE
                | IncarnationMatch.UNCERTAIN as match_kind
            ):
                log_decision(
                    'entry_put_off',
                    instance=entry.id,
                    born=entry.born,
                    known=known.born,
                    why=match_kind.value,
                )
        return False

    def _replace_incarnation(
        self, known: ListedInstance, entry: ListedInstance
    ) -> None:
        """Replace an incarnation; nothing known of the old one is kept."""
        log_decision(
            'instance_lives_anew',
            instance=entry.id,
            born=entry.born,
            earlier=known.born,
        )
        self._put(entry)

    def _with_leaving_flag(self, entry: ListedInstance) -> ListedInstance:
        if entry.leaving:
            # A restored store may still show it as not leaving.
            self._leaving.add(entry.incarnation)
        if entry.leaving or entry.incarnation not in self._leaving:
            return entry
        return attrs.evolve(entry, leaving=True)

    def _put(self, reported: ListedInstance) -> None:
        entry = self._with_leaving_flag(reported)
        earlier = self.instances.get(entry.id)
        if earlier is None and entry.membership is not None:
            self.new_members.add(entry.id)
        if earlier is not None and earlier.service != entry.service:
            self._by_service[earlier.service].pop(entry.id)
            self._available.pop(earlier.service, None)
        self.instances[entry.id] = entry
        self.lapsed.pop(entry.id, None)
        self._missing.pop(entry.id, None)
        self._lapsed_incarnations.forget(entry.incarnation)
        self._by_service.setdefault(entry.service, {})[entry.id] = entry
        self._available.pop(entry.service, None)


def _with_remembered_fields(
    known: ListedInstance, entry: ListedInstance
) -> ListedInstance:
    """Fill in fields that an entry of the same incarnation may omit.

    An instance that has left its replica lists no loaded model, but can join
    another replica of that model without loading it again.
    """
    return attrs.evolve(
        entry,
        loaded=entry.loaded or known.loaded,
        born=entry.born or known.born,
    )
