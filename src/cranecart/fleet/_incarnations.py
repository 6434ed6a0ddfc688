"""Tell which life of an instance an entry of the list speaks of; no I/O.

An instance may start again under its id. Its entry then tells another birth,
but a late write of the old life may follow, and the clock that births are taken
from may jump back, so that the larger birth is not always the newer life.
"""

import enum
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import decision
from cranecart.ports import Incarnation, ListedInstance

# A life that lives writes its entry every heartbeat, 1.2 s on the users'
# sheets. What an earlier birth has told for two of these and some is no late
# write of a life that has ended.
_SURE_SECONDS = 3.0
# Ended lives that are remembered for each id, and for how many ids: a write is
# late by seconds, in which an instance starts again a few times at most.
_MOST_ENDED = 4
_MOST_IDS = 512


class IncarnationMatch(enum.Enum):
    """What an entry says of an instance that is known."""

    # The life that is known, or nothing that speaks against it.
    SAME = 'same'
    # Another life has begun, so that the known one has ended.
    NEWER = 'anew'
    # A late word of a life that has ended.
    STALE = 'late'
    # An earlier birth that was never heard of: either of the two.
    UNCERTAIN = 'unsure'


@attrs.define
class IncarnationTracker:
    """The lives that have ended, and the entries that nobody is sure of."""

    _clock: Callable[[], float] = since_boot
    _ended: dict[str, tuple[Incarnation, ...]] = attrs.field(
        factory=dict, init=False
    )
    _unsure: dict[str, tuple[ListedInstance, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def told(
        self, known: ListedInstance, entry: ListedInstance
    ) -> IncarnationMatch:
        """Take over an entry of a known instance; return what it says."""
        waiting = self._unsure.pop(entry.id, None)
        if not entry.incarnation.is_another(known.incarnation):
            return IncarnationMatch.SAME
        if entry.incarnation in self._ended.get(entry.id, ()):
            return IncarnationMatch.STALE
        if entry.born > known.born:
            self._end(known.incarnation)
            return IncarnationMatch.NEWER
        since = self._clock()
        if waiting is not None and waiting[0].incarnation == entry.incarnation:
            since = waiting[1]
        self._unsure[entry.id] = (entry, since)
        return IncarnationMatch.UNCERTAIN

    def forget(self, name: str) -> None:
        """Take over that an instance's entry has gone."""
        self._unsure.pop(name, None)

    def take_settled(self) -> list[ListedInstance]:
        """Return the unsure entries that have stood for long enough."""
        now = self._clock()
        settled = [
            entry
            for entry, since in self._unsure.values()
            if now - since >= _SURE_SECONDS
        ]
        for entry in settled:
            self._unsure.pop(entry.id)
        return settled

    def end(self, known: ListedInstance, entry: ListedInstance) -> None:
        """Take over that a settled entry's life follows the known one."""
        decision(
            'birth_went_back',
            instance=entry.id,
            born=entry.born,
            earlier=known.born,
        )
        self._end(known.incarnation)

    def _end(self, incarnation: Incarnation) -> None:
        ended = (*self._ended.pop(incarnation.id, ()), incarnation)
        self._ended[incarnation.id] = ended[-_MOST_ENDED:]
        for oldest in list(self._ended)[:-_MOST_IDS]:
            self._ended.pop(oldest)
