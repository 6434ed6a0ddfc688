"""Targets that are cold, and until when, as this node was told.

Targets handle few requests for some seconds after their start, and whenever
they say so. Without this, all nodes send to a target that has just been listed
at once, as it has the fewest requests in flight, and it fails.
"""

from collections.abc import Callable, Collection

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation

# The bound holds for any time of this length.
WINDOW_SECONDS = 1.0
# Requests are sent up to this time after they were counted, as some wait for a
# new connection first.
JITTER_SECONDS = 0.1
# Two statements of one period differ by the time that the messages took.
_TOLERANCE_SECONDS = 0.25


class ColdUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One node's knowledge that an incarnation is cold.

    It takes ``per_second`` requests of all nodes together for ``seconds``
    more.
    """

    instance: str
    born: int
    per_second: float
    seconds: float

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that the update belongs to."""
        return Incarnation(self.instance, self.born)


@attrs.frozen
class ColdNews:
    """What this node was told, or assumes, of an incarnation.

    ``is_new`` is true if this node has not sent to it before, ``is_assumed`` if
    nobody told how long it stays cold.
    """

    update: ColdUpdate
    source: str
    is_new: bool = False
    is_assumed: bool = False


@attrs.define
class ColdPeriod:
    """A time in which an incarnation is cold; times on the registry's clock.

    ``is_assumed`` is true if nobody told how long it lasts, ``is_own`` if a
    response to this node did. This node sends nothing before ``opens_at``.
    """

    per_second: float
    until: float
    opens_at: float
    known_since: float
    is_assumed: bool = False
    is_own: bool = False
    reported_at: float = float('-inf')

    def update(self, told: ColdUpdate, now: float) -> bool:
        """Apply what was told of this period; return whether it is news."""
        until = now + told.seconds
        is_changed = (
            self.is_assumed
            or until > self.until + _TOLERANCE_SECONDS
            or told.per_second != self.per_second
        )
        self.until = until if self.is_assumed else max(until, self.until)
        self.per_second = told.per_second
        self.is_assumed = False
        return is_changed


@attrs.define
class ColdRegistry:
    """The incarnations that are cold now.

    What is told later can make a period longer but not shorter, as messages
    overtake each other; a period that was only assumed is replaced.
    """

    _clock: Callable[[], float] = since_boot
    _periods: dict[Incarnation, ColdPeriod] = attrs.field(
        factory=dict, init=False
    )
    _started_at: float = attrs.field(init=False)

    def __len__(self) -> int:
        """Return the number of incarnations with a period."""
        return len(self._periods)

    def period(self, incarnation: Incarnation) -> ColdPeriod | None:
        """Return the period of an incarnation that is cold now."""
        period = self._periods.get(incarnation)
        if period is None or period.until <= self._clock():
            return None
        return period

    def remaining_seconds(self, incarnation: Incarnation) -> float:
        """Return how long an incarnation stays cold, 0 if it is not."""
        period = self.period(incarnation)
        return 0 if period is None else period.until - self._clock()

    def is_cold(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is cold now."""
        return self.period(incarnation) is not None

    def record(self, news: ColdNews) -> bool:
        """Record that an incarnation is cold; return whether that changed."""
        update = news.update
        known = self.period(update.incarnation)
        now = self._clock()
        is_changed = known is None and update.seconds > 0
        if is_changed:
            self._periods[update.incarnation] = ColdPeriod(
                update.per_second,
                now + update.seconds,
                self._opens_at(news.is_new),
                now,
                news.is_assumed,
            )
        elif known is not None and not news.is_assumed:
            is_changed = known.update(update, now)
        if is_changed:
            log_decision(
                'target_cold',
                instance=update.instance,
                born=update.born,
                per_second=update.per_second,
                seconds=round(update.seconds, 3),
                by=news.source,
            )
        return is_changed

    def mark_own(self, incarnation: Incarnation) -> None:
        """Record that a response to this node told of a period."""
        period = self.period(incarnation)
        if period is not None:
            period.is_own = True

    def mark_reported(self, incarnation: Incarnation) -> None:
        """Record that another node told of a period."""
        period = self.period(incarnation)
        if period is not None:
            period.reported_at = self._clock()

    def updates_to_republish(self, seconds: float) -> list[ColdUpdate]:
        """Return the periods that this node has to publish again.

        These are the ones that responses to this node told of and that no other
        node reported within ``seconds``.
        """
        now = self._clock()
        return [
            ColdUpdate(
                incarnation.id,
                incarnation.born,
                period.per_second,
                period.until - now,
            )
            for incarnation, period in self._periods.items()
            if period.is_own
            and period.until > now
            and period.reported_at < now - seconds
        ]

    def prune(self, listed: Collection[Incarnation]) -> None:
        """Drop the periods that have ended."""
        now = self._clock()
        for incarnation, period in list(self._periods.items()):
            if period.until <= now:
                self._periods.pop(incarnation)
                log_decision(
                    'target_cold_over',
                    instance=incarnation.id,
                    born=incarnation.born,
                    listed=incarnation in listed,
                )

    @_started_at.default
    def _read_clock(self) -> float:
        return self._clock()

    def _opens_at(self, is_new: bool) -> float:
        """Return when this node may send its first request.

        What it sent before, also before it restarted, counts for a window.
        """
        now = self._clock()
        last_sent_at = self._started_at if is_new else now
        return max(now, last_sent_at + WINDOW_SECONDS + JITTER_SECONDS)
