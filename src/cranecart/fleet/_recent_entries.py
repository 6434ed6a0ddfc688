"""Lives that have ended or soon will, and entries that a copy brought back."""

from collections.abc import Container, Iterable, Mapping

import attrs

from cranecart.logs import decision
from cranecart.ports import Incarnation, ListedInstance

# Such lives end within a minute.
_MOST_LIVES = 1024
# The store drops entries that are silent for three heartbeats of 1.2 s.
_SILENT_SECONDS = 4.0


@attrs.define
class RecentIncarnations:
    """The last lives of which something was heard, so many at most."""

    _lives: dict[Incarnation, None] = attrs.field(factory=dict, init=False)

    def __contains__(self, incarnation: Incarnation) -> bool:
        """Tell whether a life is remembered."""
        return incarnation in self._lives

    def add(self, incarnation: Incarnation) -> None:
        """Remember a life, and forget the oldest of too many."""
        self._lives[incarnation] = None
        if len(self._lives) > _MOST_LIVES:
            self._lives.pop(next(iter(self._lives)))

    def forget(self, incarnation: Incarnation) -> None:
        """Forget a life."""
        self._lives.pop(incarnation, None)


@attrs.define
class UnconfirmedEntries:
    """Entries that had gone, and that a copy of the store brought back.

    They count again once they are written, or have not been dropped for as long
    as the entries of silent instances stand.
    """

    _entries: dict[str, tuple[ListedInstance, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def hold(self, entries: Mapping[str, ListedInstance], now: float) -> None:
        """Await entries from now on, and no others."""
        for name in entries:
            decision('entry_awaited', instance=name)
        self._entries = {name: (item, now) for name, item in entries.items()}

    def holds(self, entry: ListedInstance) -> bool:
        """Tell whether just this entry is awaited."""
        held, _since = self._entries.get(entry.id, (None, 0))
        return held == entry

    def drop(self, names: Iterable[str]) -> None:
        """Await the entries of some instances no more."""
        for name in names:
            self._entries.pop(name, None)

    def keep_only(self, names: Container[str]) -> None:
        """Await the entries of no other instances than these."""
        self.drop([name for name in self._entries if name not in names])

    def take_due(self, now: float) -> list[ListedInstance]:
        """Return the entries that have stood for long, and drop them."""
        due = [
            item
            for item, since in self._entries.values()
            if now - since >= _SILENT_SECONDS
        ]
        self.drop(item.id for item in due)
        return due
