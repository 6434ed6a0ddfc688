"""What is known of one request, or segment, at whose targets' ends it was.

What is counted is a set of incarnations. Nodes merge their sets, so that no
agreement or leader is needed, and updates may arrive late, repeatedly and in
any order. This module does no I/O.
"""

import enum
import itertools
import math
from collections.abc import Collection, Container, Mapping, Sequence

import attrs

from cranecart.ports import CounterInt, Incarnation, Seconds
from cranecart.quarantine._identity import is_segment

# Terminations shortly after the request had begun. One or two happen by
# chance, as replica heads terminate every few seconds under heavy failures; a
# higher threshold would cost another replica.
HOLD_BEGUN_THRESHOLD = 3
# All terminations, including those where it is unknown whether the request had
# begun: it may have waited behind the one that caused them, so that one more
# is needed.
_HOLD_THRESHOLD = 4
# From this many terminations on, the request is isolated from other requests,
# so that it neither affects them nor is affected by them.
ISOLATION_THRESHOLD = 2
# How many terminations at separate moments hold a segment: those soon after its
# requests had begun, and those in any phase of them, at which innocent requests
# are more often.
_HOLD_SEGMENT_THRESHOLD = 3
_HOLD_SEGMENT_ANY_THRESHOLD = 5
_ISOLATE_SEGMENT_ANY_THRESHOLD = 3
# Terminations within this time count as one for a segment: a rack that fails
# takes many replicas at once, and the requests of a route are at all of them.
_SAME_MOMENT_SECONDS = 0.2
# A held segment is tried again after this time, by one request: it may have been
# held while no replica was left to answer on it, or its cause may be gone. Each
# further trial takes this many times longer.
_TRIAL_SECONDS = 3.0
_TRIAL_FACTOR = 8
_MAX_TRIALS = 4
# Further terminations do not change the verdict. Those of a segment may come in
# bursts, of which only some count.
_MAX_TERMINATIONS = 8
_MAX_SEGMENT_TERMINATIONS = 32
_MAX_CLEARED = 32
# Fewer are sent, as each node with a request at a target sends the case of its
# segment.
_MAX_SEGMENT_CLEARED_SENT = 8
# An answer that began this long before the request at a termination may still
# clear it by lasting longer: the segment has hardly turned bad in between.
_MAX_LEAD_SECONDS = 1.0
# How many times as long as the request at a termination an answer has to last to
# clear it, and as those at this part of all terminations.
_LASTING_FACTOR = 2
_USUAL_FRACTION = 0.75


class Verdict(enum.Enum):
    """How a request is treated."""

    FREE = 'free'
    # Is routed away from other suspects.
    SUSPECT = 'suspect'
    # Is routed away from other suspects, and other requests avoid its target.
    ISOLATED = 'apart'
    # Is refused at once and reaches no target.
    HELD = 'held'


@attrs.frozen
class Termination:
    """An incarnation that terminated while a request was there.

    ``begun`` is true if the request had begun there shortly before. Otherwise it
    is unknown whether it had begun or, of a segment, it may have begun long ago.
    ``age`` is the time in seconds since it had begun, or else was sent.
    """

    life: Incarnation
    begun: bool
    age: Seconds = 0


@attrs.frozen
class CaseUpdate:
    """What is known about one request, identified by its digest.

    ``ends`` are the terminations while it was there. The terminations of
    ``cleared`` incarnations had another cause. ``isolated_sends`` is the number
    of its copies that were sent while it was isolated, as far as known. A
    segment ``is_held`` if a node has seen enough terminations to hold it.
    """

    identity: str
    ends: tuple[Termination, ...] = ()
    cleared: tuple[Incarnation, ...] = ()
    isolated_sends: CounterInt = 0
    is_held: bool = False


@attrs.frozen
class _Lifetime:
    """How long a request had been at a target that terminated, and since when."""

    age: float
    began_at: float

    def is_outlasted(self, began_at: float, seconds: float) -> bool:
        """Return whether an answer that lasted so long clears the request."""
        is_later = began_at >= self.began_at - _MAX_LEAD_SECONDS
        return is_later and seconds >= _LASTING_FACTOR * self.age


@attrs.define
class _Moments:
    """Terminations that came well after each other."""

    _incarnations: set[Incarnation] = attrs.field(factory=set, init=False)
    _last_at: float = attrs.field(default=float('-inf'), init=False)

    def count_beside(self, explained: Collection[Incarnation]) -> int:
        """Return the number of those that are not explained."""
        return len(self._incarnations.difference(explained))

    def retain(self, known: Collection[Incarnation]) -> None:
        """Drop the terminations that have been cleared."""
        self._incarnations.intersection_update(known)

    def add(self, incarnations: Sequence[Incarnation], now: float) -> None:
        """Add a moment if there are any, well after the last one.

        It is when this node learned of them, as the clocks of nodes differ.
        """
        if incarnations and now - self._last_at >= _SAME_MOMENT_SECONDS:
            self._incarnations.add(incarnations[0])
            self._last_at = now


@attrs.define
class Case:
    """One request, or segment, during which incarnations have terminated."""

    identity: str
    changed_at: float
    held_at: float | None = None
    # Whether this node itself detected the deciding termination.
    is_own: bool = False
    ends: dict[Incarnation, bool] = attrs.field(factory=dict)
    # In order of arrival.
    cleared: dict[Incarnation, None] = attrs.field(factory=dict)
    isolated_sends: int = 0
    # Of a segment: those soon after its requests had begun, and all.
    _begun_moments: _Moments = attrs.field(factory=_Moments, init=False)
    _moments: _Moments = attrs.field(factory=_Moments, init=False)
    _lifetimes: dict[Incarnation, _Lifetime] = attrs.field(
        factory=dict, init=False
    )
    # Whether another node has seen enough of them.
    _is_held_elsewhere: bool = attrs.field(default=False, init=False)
    _trials: int = attrs.field(default=0, init=False)

    @property
    def begun_count(self) -> int:
        """Return at how many of the incarnations the request had begun."""
        return sum(self.ends.values())

    @property
    def update(self) -> CaseUpdate:
        """Return everything known about the request, to publish it."""
        ends = tuple(
            Termination(incarnation, begun, self._age(incarnation))
            for incarnation, begun in self.ends.items()
        )
        cleared = tuple(self.cleared)
        if self.is_segment:
            cleared = cleared[-_MAX_SEGMENT_CLEARED_SENT:]
        return CaseUpdate(
            self.identity,
            ends,
            cleared,
            self.isolated_sends,
            self.is_segment and self.is_hold_candidate,
        )

    @property
    def is_segment(self) -> bool:
        """Return whether this is the case of a segment."""
        return is_segment(self.identity)

    @property
    def is_hold_candidate(self) -> bool:
        """Return whether there are enough terminations to hold it.

        Terminations that others explain count as well.
        """
        if not self.is_segment:
            return self.verdict() is Verdict.HELD
        return self.has_enough_beside(())

    @property
    def is_suspected(self) -> bool:
        """Return whether a segment has repeated terminations."""
        return self.is_suspected_beside(()) or self.is_hold_candidate

    @property
    def is_repeated(self) -> bool:
        """Return whether it may explain terminations of others."""
        count = len(self.ends) if self.is_segment else self.begun_count
        return count >= ISOLATION_THRESHOLD

    def has_enough_beside(self, explained: Collection[Incarnation]) -> bool:
        """Return whether a segment has enough other terminations to be held."""
        if self._is_held_elsewhere and not explained:
            return True
        begun = self._begun_moments.count_beside(explained)
        count = self._moments.count_beside(explained)
        return (
            begun >= _HOLD_SEGMENT_THRESHOLD
            or count >= _HOLD_SEGMENT_ANY_THRESHOLD
        )

    def is_suspected_beside(self, explained: Collection[Incarnation]) -> bool:
        """Return whether a segment has other repeated terminations."""
        begun = self._begun_moments.count_beside(explained)
        count = self._moments.count_beside(explained)
        return (
            begun >= ISOLATION_THRESHOLD
            or count >= _ISOLATE_SEGMENT_ANY_THRESHOLD
        )

    def verdict(self, explained: Container[Incarnation] = ()) -> Verdict:
        """Return the verdict, ignoring terminations that others explain."""
        unexplained = [
            had_begun
            for incarnation, had_begun in self.ends.items()
            if incarnation not in explained
        ]
        begun = sum(unexplained)
        if begun >= HOLD_BEGUN_THRESHOLD or len(unexplained) >= _HOLD_THRESHOLD:
            return Verdict.HELD
        if len(unexplained) >= ISOLATION_THRESHOLD:
            return Verdict.ISOLATED
        return Verdict.SUSPECT if begun else Verdict.FREE

    def is_trial_due(self, now: float) -> bool:
        """Return whether one request may show if a held segment still crashes."""
        seconds = _TRIAL_SECONDS * _TRIAL_FACTOR**self._trials
        return now - self.changed_at >= seconds

    def mark_held(self, now: float, *, is_own: bool) -> None:
        """Record that there are enough terminations to hold the request."""
        if self.held_at is None:
            self.held_at = now
            self.is_own = is_own

    def merge(self, update: CaseUpdate, now: float) -> bool:
        """Merge an update; return whether it changed anything."""
        before = self._state()
        known = dict(self.ends)
        self._clear(update.cleared)
        for termination in update.ends:
            self._add(termination, now)
        if update.isolated_sends > self.isolated_sends:
            self.isolated_sends = update.isolated_sends
            if self.is_segment and self.is_hold_candidate:
                self._trials = min(self._trials + 1, _MAX_TRIALS)
        if self.is_segment:
            self._count_moments(known, now)
        # A node that has not heard of an answer still reports what it cleared.
        uncleared = sum(end.life in self.ends for end in update.ends)
        if update.is_held and uncleared >= _HOLD_SEGMENT_THRESHOLD:
            self._is_held_elsewhere = True
        if len(self.ends) < _HOLD_SEGMENT_THRESHOLD:
            self._is_held_elsewhere = False
        return before != self._state()

    def outlasted(
        self, began_at: float, seconds: float | None
    ) -> tuple[Incarnation, ...]:
        """Return the terminations of a segment that an answer on it clears.

        It began at that time, and lasted for so many seconds or is whole. One
        that lasts may still crash its target if that takes a varying time.
        """
        lifetimes = self._lifetimes.items()
        if seconds is None:
            return tuple(
                life for life, each in lifetimes if each.began_at <= began_at
            )
        if seconds < _LASTING_FACTOR * self._usual_age():
            return ()
        return tuple(
            life
            for life, each in lifetimes
            if each.is_outlasted(began_at, seconds)
        )

    def _state(self) -> object:
        return (
            dict(self.ends),
            set(self.cleared),
            self.isolated_sends,
            self._is_held_elsewhere,
        )

    def _clear(self, cleared: Sequence[Incarnation]) -> None:
        self.cleared.update(dict.fromkeys(cleared))
        for incarnation in cleared:
            self.ends.pop(incarnation, None)
            self._lifetimes.pop(incarnation, None)
        for oldest in list(self.cleared)[:-_MAX_CLEARED]:
            self.cleared.pop(oldest)

    def _count_moments(
        self, known: Mapping[Incarnation, bool], now: float
    ) -> None:
        added = [life for life in self.ends if life not in known]
        begun = [
            life
            for life, had_begun in self.ends.items()
            if had_begun and not known.get(life)
        ]
        for moments, incarnations in (
            (self._moments, added),
            (self._begun_moments, begun),
        ):
            moments.retain(self.ends)
            moments.add(incarnations, now)

    def _usual_age(self) -> float:
        """Return by which age targets had terminated in most cases."""
        ages = sorted(each.age for each in self._lifetimes.values())
        return ages[math.ceil(_USUAL_FRACTION * len(ages)) - 1] if ages else 0

    def _age(self, incarnation: Incarnation) -> float:
        lifetime = self._lifetimes.get(incarnation)
        return 0 if lifetime is None else lifetime.age

    def _add(self, termination: Termination, now: float) -> None:
        if termination.life in self.cleared:
            return
        had_begun = self.ends.get(termination.life)
        max_ends = (
            _MAX_SEGMENT_TERMINATIONS if self.is_segment else _MAX_TERMINATIONS
        )
        if had_begun is None and len(self.ends) >= max_ends:
            return
        self.ends[termination.life] = bool(had_begun) or termination.begun
        if self.is_segment:
            self._add_lifetime(termination, now)

    def _add_lifetime(self, termination: Termination, now: float) -> None:
        """Keep the longest age of requests with a segment at a target.

        Any of them may be the cause, which may have begun as late as the last.
        """
        known = self._lifetimes.get(termination.life)
        began_at = now - termination.age
        if known is None:
            known = _Lifetime(termination.age, began_at)
        self._lifetimes[termination.life] = _Lifetime(
            max(known.age, termination.age), max(known.began_at, began_at)
        )


def judge_segment(case: Case, others: Sequence[Case], now: float) -> Verdict:
    """Return how requests with a segment are treated.

    ``others`` are cases that may explain its terminations, of none of these
    requests. A segment is held unless another case was at all of its
    terminations, or segments that are held as well. Then a request without
    these shows whether the segment is a cause, and is isolated. The segment is
    not suspected if another case was at more terminations besides.
    """
    ends = case.ends.keys()
    covering = [other for other in others if ends <= other.ends.keys()]
    held = [
        other
        for other in others
        if other.is_segment and other.is_hold_candidate
    ]
    larger = [other for other in held if len(other.ends) > len(ends)]
    explained = _ends_of(larger)
    has_own = not covering and not ends <= _ends_of(held)
    if has_own and case.has_enough_beside(explained):
        return Verdict.ISOLATED if case.is_trial_due(now) else Verdict.HELD
    is_explained = any(ends < other.ends.keys() for other in covering)
    if is_explained or not case.is_suspected_beside(explained):
        return Verdict.FREE
    return Verdict.ISOLATED


def _ends_of(cases: Sequence[Case]) -> set[Incarnation]:
    return set(itertools.chain.from_iterable(case.ends for case in cases))
