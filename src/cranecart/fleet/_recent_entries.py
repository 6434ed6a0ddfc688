"""Recently seen incarnations, and entries reinstated by a store restore."""

from collections.abc import Callable, Container, Iterable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance

# How many incarnations are remembered; they end within a minute.
_MAX_INCARNATIONS = 1024
# The store drops entries after three missed heartbeats of 1.2 s each.
_ENTRY_TTL_SECONDS = 4.0


@attrs.define
class RecentIncarnations:
    """A bounded set of incarnations that evicts the oldest."""

    _incarnations: dict[Incarnation, None] = attrs.field(
        factory=dict, init=False
    )

    def __contains__(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is remembered."""
        return incarnation in self._incarnations

    def add(self, incarnation: Incarnation) -> None:
        """Remember an incarnation, and evict the oldest beyond the limit."""
        self._incarnations[incarnation] = None
        if len(self._incarnations) > _MAX_INCARNATIONS:
            self._incarnations.pop(next(iter(self._incarnations)))

    def forget(self, incarnation: Incarnation) -> None:
        """Forget an incarnation."""
        self._incarnations.pop(incarnation, None)


@attrs.define
class NewlyListedMembers:
    """When instances were listed that were members of a replica by then.

    Times are those of ``since_boot``, minus infinity if it never happened.
    """

    last_at: float = attrs.field(default=float('-inf'), init=False)
    _clock: Callable[[], float] = since_boot
    _listed_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def add(self, name: str) -> None:
        """Record that a member is listed anew."""
        self.last_at = self._clock()
        self._listed_at[name] = self.last_at

    def forget(self, name: str) -> None:
        """Forget an instance that is no longer listed."""
        self._listed_at.pop(name, None)

    def listed_at(self, name: str) -> float:
        """Return when an instance was listed anew as a member."""
        return self._listed_at.get(name, float('-inf'))


@attrs.define
class UnconfirmedEntries:
    """Entries that had lapsed and reappeared when the store was restored.

    They are accepted once they are written again, or once they have outlived
    the time after which the store drops entries without a heartbeat.
    """

    _entries: dict[str, tuple[ListedInstance, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def replace(
        self, entries: Mapping[str, ListedInstance], now: float
    ) -> None:
        """Hold back these entries instead of any earlier ones."""
        for name in entries:
            log_decision('entry_awaited', instance=name)
        self._entries = {name: (item, now) for name, item in entries.items()}

    def contains(self, entry: ListedInstance) -> bool:
        """Return whether exactly this entry is held back."""
        pending, _since = self._entries.get(entry.id, (None, 0))
        return pending == entry

    def drop(self, names: Iterable[str]) -> None:
        """Stop holding back the entries of some instances."""
        for name in names:
            self._entries.pop(name, None)

    def keep_only(self, names: Container[str]) -> None:
        """Stop holding back the entries of all other instances."""
        self.drop([name for name in self._entries if name not in names])

    def take_expired(self, now: float) -> list[ListedInstance]:
        """Remove and return the entries that have outlived the timeout."""
        expired = [
            item
            for item, since in self._entries.values()
            if now - since >= _ENTRY_TTL_SECONDS
        ]
        self.drop(item.id for item in expired)
        return expired
