"""What other nodes told last, and what it comes to."""

from collections import Counter
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.mesh._messages import Beat, Digest, Summary

# Two beats may be lost before a node's figures are held to be old.
_FRESH_SECONDS = 0.8
# What a relay told is used until the next relay speaks.
_SUMMARY_SECONDS = 1.0
# A relay that dies takes with it what it passed on until another one speaks;
# meanwhile those nodes go on counting for the retry budget, as each would
# take too large a part of it otherwise.
_COUNTED_SECONDS = 2.0


@attrs.frozen
class HeardBeat:
    """A beat, and when it came."""

    beat: Beat
    at: float

    @property
    def until(self) -> float:
        """Return until when its figures are used."""
        return self.at + _FRESH_SECONDS


@attrs.frozen
class HeardSummary:
    """A summary, and when it was made."""

    summary: Summary
    at: float

    @property
    def until(self) -> float:
        """Return until when its figures are used."""
        return self.at + _SUMMARY_SECONDS

    @property
    def counted_until(self) -> float:
        """Return until when its nodes count as alive."""
        return self.at + _COUNTED_SECONDS

    def replaceable(self, now: float) -> 'HeardSummary':
        """Return the same as too old to use, but not to count."""
        return attrs.evolve(self, at=min(self.at, now - _SUMMARY_SECONDS))

    def is_worse(self, summary: Summary, at: float, now: float) -> bool:
        """Tell whether another summary is to be used instead.

        Of two relays that speak at once, the one that hears more counts.
        """
        if at < self.at:
            return False
        return (
            summary.sender == self.summary.sender
            or summary.node_count >= self.summary.node_count
            or self.until <= now
        )


Reader = tuple[str, int]


@attrs.define
class Totals:
    """What the fresh messages of others come to.

    ``announced`` holds names of readers and versions, by source; ``newest``
    the newest configuration and the address of a node that has it. They hold
    ``until`` the first of the messages is too old.
    """

    until: float = float('inf')
    node_count: int = 0
    newest_config: tuple[int, str] = (0, '')
    in_flight: Counter[str] = attrs.field(factory=Counter)
    demand: Counter[str] = attrs.field(factory=Counter)
    placer_addresses: dict[str, str] = attrs.field(factory=dict)
    source_readers: dict[str, list[Reader]] = attrs.field(factory=dict)

    def add_beat(self, beat: Beat) -> None:
        """Add one node's figures."""
        self.node_count += 1
        self.in_flight.update(beat.in_flight)
        self.demand.update(beat.demand)
        self._note_config(beat.config_version, beat.address)
        if beat.placer_domain:
            self.placer_addresses[beat.placer_domain] = beat.address
        for source, version in beat.source_versions.items():
            told = self.source_readers.setdefault(source, [])
            told.append((beat.sender, version))

    def add_summary(self, summary: Summary) -> None:
        """Add the figures of a failure domain, but for its nodes."""
        self.in_flight.update(summary.in_flight)
        self.demand.update(summary.demand)
        self._note_config(summary.config_version, summary.config_address)
        for source, told in summary.source_readers.items():
            self.source_readers.setdefault(source, []).append(told)

    def leave_out(self, beat: Beat) -> None:
        """Take out of a sum what this node itself has told."""
        self.in_flight.subtract(beat.in_flight)
        self.demand.subtract(beat.demand)

    def _note_config(self, version: int, address: str) -> None:
        """Keep the first of equals, so that not all ask the same node."""
        if version > self.newest_config[0]:
            self.newest_config = (version, address)


@attrs.define
class PeerState:
    """The last messages of other nodes; they are summed up once a change.

    ``told`` is what this node told last, which the relay's sum holds.
    """

    _name: str
    _domain: str
    _clock: Callable[[], float] = since_boot
    has_traffic: bool = attrs.field(default=False, init=False)
    told: Beat | None = attrs.field(default=None, init=False)
    _beats: dict[str, HeardBeat] = attrs.field(factory=dict, init=False)
    _summaries: dict[str, HeardSummary] = attrs.field(factory=dict, init=False)
    # Whom the relay of the own failure domain hears.
    _relayed: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _totals: Totals | None = attrs.field(default=None, init=False)

    def take_beat(self, beat: Beat) -> None:
        """Take over what a node told this one."""
        self._beats[beat.sender] = HeardBeat(beat, self._clock())
        self.has_traffic = self.has_traffic or beat.requests > 0
        self._totals = None

    def take_summary(self, summary: Summary, at: float) -> bool:
        """Take a summary over, unless a better one has come."""
        known = self._summaries.get(summary.failure_domain)
        now = self._clock()
        if known is not None and not known.is_worse(summary, at, now):
            return False
        self._summaries[summary.failure_domain] = HeardSummary(summary, at)
        self.has_traffic = self.has_traffic or summary.has_traffic
        self._totals = None
        return True

    def take_digest(self, digest: Digest) -> None:
        """Take over what a relay of the own failure domain told."""
        if self.take_summary(digest.summary, self._clock()):
            self._relayed = frozenset(digest.summarized_nodes)

    def drop(self, name: str) -> None:
        """Forget a node that stops or was taken from the table.

        What it summed up as a relay is what its successor replaces at once.
        """
        self._relayed -= {name}
        self._totals = None
        self._beats.pop(name, None)
        for domain, one in self._summaries.items():
            if one.summary.sender == name:
                self._summaries[domain] = one.replaceable(self._clock())

    def has_met(self, name: str) -> bool:
        """Tell whether a node has ever told this one anything."""
        return name in self._beats

    def is_fresh(self, name: str) -> bool:
        """Tell whether this node or its relay hears a node."""
        known = self._beats.get(name)
        now = self._clock()
        if known is not None and known.until > now:
            return True
        return name in self._relayed and self._domain in self.summaries()

    def beside(self) -> list[Beat]:
        """Return the fresh beats of the own failure domain's nodes."""
        now = self._clock()
        return [
            one.beat
            for one in self._beats.values()
            if one.until > now and one.beat.failure_domain == self._domain
        ]

    def summaries(self) -> dict[str, HeardSummary]:
        """Return the summaries that are used, by failure domain."""
        now = self._clock()
        return {
            domain: one
            for domain, one in self._summaries.items()
            if one.until > now
        }

    def totals(self) -> Totals:
        """Return what all fresh messages come to."""
        now = self._clock()
        if self._totals is None or self._totals.until <= now:
            self._totals = self._sum(now)
        return self._totals

    def _sum(self, now: float) -> Totals:
        totals = Totals()
        local = self._summaries.get(self._domain)
        if local is not None:
            self._add_summary(totals, local, now)
        for domain, one in self._summaries.items():
            if domain != self._domain:
                self._add_summary(totals, one, now)
        for heard in self._beats.values():
            if heard.until > now:
                self._add_beat(totals, heard, now)
        return totals

    def _add_summary(
        self,
        totals: Totals,
        one: HeardSummary,
        now: float,
    ) -> None:
        summary = one.summary
        is_local = summary.failure_domain == self._domain
        if one.counted_until > now:
            is_told = is_local and self._name in self._relayed
            totals.node_count += summary.node_count - int(is_told)
            totals.until = min(totals.until, one.counted_until)
        if one.until > now:
            totals.add_summary(summary)
            totals.until = min(totals.until, one.until)
            if not is_local and summary.placer_address:
                totals.placer_addresses[summary.failure_domain] = (
                    summary.placer_address
                )
            if is_local and self.told and self._name in self._relayed:
                totals.leave_out(self.told)

    def _add_beat(self, totals: Totals, heard: HeardBeat, now: float) -> None:
        """Add a beat, or only its duty where a summary holds the rest."""
        beat = heard.beat
        totals.until = min(totals.until, heard.until)
        if beat.placer_domain:
            totals.placer_addresses[beat.placer_domain] = beat.address
        told = self._summaries.get(beat.failure_domain)
        is_told = told is not None and told.counted_until > now
        if is_told and beat.failure_domain == self._domain:
            is_told = beat.sender in self._relayed
        if not is_told:
            totals.add_beat(beat)
