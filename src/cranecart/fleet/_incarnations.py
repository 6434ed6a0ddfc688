"""Decide which incarnation of an instance a list entry describes; no I/O.

An instance may restart under the same id. Its entry then has another start
time (``born``), but a delayed write of the old incarnation may still follow,
and the clock that start times are taken from may be set back, so the later
start time does not always belong to the newer incarnation.
"""

import enum
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance

# A running instance writes its entry every heartbeat (1.2 s by the platform's
# specification). An entry with an earlier start time that is still listed after
# more than two heartbeats is not a delayed write of an ended incarnation.
_CONFIRM_SECONDS = 3.0
# Writes are delayed by seconds, in which an instance restarts a few times at
# most.
_MAX_ENDED_PER_ID = 4
_MAX_IDS = 512


class IncarnationMatch(enum.Enum):
    """How the incarnation in an entry relates to the known one."""

    # The known incarnation, or one that cannot be distinguished from it.
    SAME = 'same'
    # The instance has restarted, so the known incarnation has ended.
    NEWER = 'anew'
    # A delayed write of an incarnation that has ended.
    STALE = 'late'
    # An earlier start time that was never seen before: either a delayed write
    # or a restart after the clock was set back.
    UNCERTAIN = 'unsure'


@attrs.define
class IncarnationTracker:
    """Ended incarnations, and entries whose incarnation is uncertain."""

    _clock: Callable[[], float] = since_boot
    _ended: dict[str, tuple[Incarnation, ...]] = attrs.field(
        factory=dict, init=False
    )
    _uncertain: dict[str, tuple[ListedInstance, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def classify(
        self, known: ListedInstance, entry: ListedInstance
    ) -> IncarnationMatch:
        """Compare an entry of a known instance with the known incarnation."""
        pending = self._uncertain.pop(entry.id, None)
        if not entry.incarnation.differs_from(known.incarnation):
            return IncarnationMatch.SAME
        if entry.incarnation in self._ended.get(entry.id, ()):
            return IncarnationMatch.STALE
        if entry.born > known.born:
            self._add_ended(known.incarnation)
            return IncarnationMatch.NEWER
        since = self._clock()
        if pending is not None and pending[0].incarnation == entry.incarnation:
            since = pending[1]
        self._uncertain[entry.id] = (entry, since)
        return IncarnationMatch.UNCERTAIN

    def forget(self, name: str) -> None:
        """Drop the uncertain entry of an instance that has lapsed."""
        self._uncertain.pop(name, None)

    def take_confirmed(self) -> list[ListedInstance]:
        """Remove and return entries that were listed for long enough."""
        now = self._clock()
        confirmed = [
            entry
            for entry, since in self._uncertain.values()
            if now - since >= _CONFIRM_SECONDS
        ]
        for entry in confirmed:
            self._uncertain.pop(entry.id)
        return confirmed

    def record_replaced(
        self, known: ListedInstance, entry: ListedInstance
    ) -> None:
        """Record that the incarnation of a confirmed entry replaces another."""
        log_decision(
            'birth_went_back',
            instance=entry.id,
            born=entry.born,
            earlier=known.born,
        )
        self._add_ended(known.incarnation)

    def _add_ended(self, incarnation: Incarnation) -> None:
        ended = (*self._ended.pop(incarnation.id, ()), incarnation)
        self._ended[incarnation.id] = ended[-_MAX_ENDED_PER_ID:]
        for oldest in list(self._ended)[:-_MAX_IDS]:
            self._ended.pop(oldest)
