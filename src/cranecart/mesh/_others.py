"""What other nodes told last, and what it comes to."""

import time
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from cranecart.mesh._messages import Beat, Summary

# Two beats may be lost before a node's figures are held to be old.
_FRESH_SECONDS = 0.8
# One that came by a relay counts until the next relay speaks.
_RELAYED_SECONDS = 1.0
# A summary is made of beats and comes by two relays, each a beat later.
_SUMMARY_SECONDS = 1.0
# A relay that dies takes with it what it passed on until another one speaks;
# meanwhile those nodes go on counting for the retry budget, as each would
# take too large a part of it otherwise.
_COUNTED_SECONDS = 2.0


@attrs.frozen
class HeardBeat:
    """A beat, when its sender was heard, and for how long it counts."""

    beat: Beat
    at: float
    is_direct: bool

    @property
    def fresh_until(self) -> float:
        """Return until when its figures are used."""
        seconds = _FRESH_SECONDS if self.is_direct else _RELAYED_SECONDS
        return self.at + seconds

    @property
    def counted_until(self) -> float:
        """Return until when its sender counts as alive."""
        seconds = _FRESH_SECONDS if self.is_direct else _COUNTED_SECONDS
        return self.at + seconds


@attrs.frozen
class HeardSummary:
    """A summary, and when it was made."""

    summary: Summary
    at: float

    @property
    def fresh_until(self) -> float:
        """Return until when its figures are used."""
        return self.at + _SUMMARY_SECONDS

    @property
    def counted_until(self) -> float:
        """Return until when its nodes count as alive."""
        return self.at + _COUNTED_SECONDS


Reader = tuple[str, int]


@attrs.define
class Totals:
    """What the fresh messages of others come to.

    ``announced`` holds names of readers and versions, by source; ``newest``
    the newest configuration and the address of a node that has it.
    """

    until: float = float('inf')
    nodes: int = 0
    newest: tuple[int, str] = (0, '')
    in_flight: Counter[str] = attrs.field(factory=Counter)
    demand: Counter[str] = attrs.field(factory=Counter)
    places: dict[str, str] = attrs.field(factory=dict)
    announced: dict[str, list[Reader]] = attrs.field(factory=dict)

    def add_beat(self, beat: Beat) -> None:
        """Add one node's figures."""
        self.in_flight.update(beat.in_flight)
        self.demand.update(beat.demand)
        self.newest = max(self.newest, (beat.config_version, beat.address))
        if beat.places:
            self.places[beat.places] = beat.address
        for source, version in beat.announced.items():
            told = self.announced.setdefault(source, [])
            told.append((beat.sender, version))

    def add_summary(self, summary: Summary) -> None:
        """Add the figures of another failure domain."""
        self.in_flight.update(summary.in_flight)
        self.demand.update(summary.demand)
        known = (summary.config_version, summary.config_address)
        self.newest = max(self.newest, known)
        if summary.placer:
            self.places[summary.failure_domain] = summary.placer
        for source, told in summary.announced.items():
            self.announced.setdefault(source, []).append(told)


@attrs.define
class Others:
    """The last messages of other nodes; they are summed up once a change."""

    _domain: str
    _clock: Callable[[], float] = time.monotonic
    has_traffic: bool = attrs.field(default=False, init=False)
    _beats: dict[str, HeardBeat] = attrs.field(factory=dict, init=False)
    _summaries: dict[str, HeardSummary] = attrs.field(factory=dict, init=False)
    _totals: Totals | None = attrs.field(default=None, init=False)

    def take_beat(self, beat: Beat, at: float, *, is_direct: bool) -> None:
        """Take a beat over, unless a newer one of its sender has come."""
        known = self._beats.get(beat.sender)
        if known is None or at >= known.at:
            self._beats[beat.sender] = HeardBeat(beat, at, is_direct)
            self.has_traffic = self.has_traffic or beat.requests > 0
            self._totals = None

    def take_summary(self, summary: Summary, at: float) -> None:
        """Take a summary over, unless a better one has come.

        Of two relays that speak at once, the one that hears more counts.
        """
        known = self._summaries.get(summary.failure_domain)
        if known is not None and not self._is_better(known, summary, at):
            return
        self._summaries[summary.failure_domain] = HeardSummary(summary, at)
        self.has_traffic = self.has_traffic or summary.has_traffic
        self._totals = None

    def drop(self, name: str) -> None:
        """Forget a node that stops or was taken from the table."""
        if self._beats.pop(name, None) is not None:
            self._totals = None

    def heard(self, name: str) -> HeardBeat | None:
        """Return the last beat of a node."""
        return self._beats.get(name)

    def is_fresh(self, name: str) -> bool:
        """Tell whether a node was heard lately, directly or not."""
        known = self._beats.get(name)
        return known is not None and known.fresh_until > self._clock()

    def fresh_beats(self) -> Iterator[HeardBeat]:
        """Return the beats whose figures are used."""
        now = self._clock()
        return (one for one in self._beats.values() if one.fresh_until > now)

    def fresh_summaries(self) -> dict[str, HeardSummary]:
        """Return the summaries that are used, by failure domain."""
        now = self._clock()
        return {
            domain: one
            for domain, one in self._summaries.items()
            if one.fresh_until > now
        }

    def totals(self) -> Totals:
        """Return what all fresh messages come to."""
        now = self._clock()
        if self._totals is None or self._totals.until <= now:
            self._totals = self._sum(now)
        return self._totals

    def own_domain(self) -> Totals:
        """Return what the fresh beats of the own failure domain come to."""
        totals = Totals()
        for one in self.fresh_beats():
            if one.beat.failure_domain == self._domain:
                totals.nodes += 1
                totals.add_beat(one.beat)
        return totals

    def _is_better(
        self,
        known: HeardSummary,
        summary: Summary,
        at: float,
    ) -> bool:
        if at < known.at:
            return False
        return (
            summary.sender == known.summary.sender
            or summary.nodes >= known.summary.nodes
            or known.fresh_until <= self._clock()
        )

    def _sum(self, now: float) -> Totals:
        totals = Totals()
        for told in self._summaries.values():
            if told.counted_until > now:
                totals.nodes += told.summary.nodes
                totals.until = min(totals.until, told.counted_until)
            if told.fresh_until > now:
                totals.add_summary(told.summary)
                totals.until = min(totals.until, told.fresh_until)
        for heard in self._single_beats(now):
            if heard.counted_until > now:
                totals.nodes += 1
                totals.until = min(totals.until, heard.counted_until)
            if heard.fresh_until > now:
                totals.add_beat(heard.beat)
                totals.until = min(totals.until, heard.fresh_until)
        return totals

    def _single_beats(self, now: float) -> Iterator[HeardBeat]:
        """Leave out beats that a summary in use holds already."""
        held = {
            domain
            for domain, one in self._summaries.items()
            if one.counted_until > now
        }
        return (
            one
            for one in self._beats.values()
            if one.beat.failure_domain not in held
        )
