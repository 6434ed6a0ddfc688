"""Decide which requests to hold, by the instances that crashed under them.

One request in several thousand crashes each target that begins to run it,
while its client retries it at any node for minutes. Without a limit one such
request crashed 26 replicas in a minute, and each crash cut off the other
streams at the replica. Other requests are present at the same terminations
without causing them: those that had just begun there, and those that waited
there.

What is counted for a request is a set of incarnations. Nodes merge their sets,
so that no agreement or leader is needed, and updates may arrive late,
repeatedly and in any order. This module does no I/O.

A segment of prompts may crash targets too, whatever else a request holds; it
has a case of its own (``judge_segment``).
"""

import enum
import itertools
from collections.abc import (
    Callable,
    Collection,
    Container,
    Mapping,
    Sequence,
)

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation
from cranecart.quarantine._identity import is_segment

# Terminations shortly after the request had begun. One or two happen by
# chance, as replica heads terminate every few seconds under heavy failures; a
# higher threshold would cost another replica.
_HOLD_BEGUN_THRESHOLD = 3
# All terminations, including those where it is unknown whether the request had
# begun: it may have waited behind the one that caused them, so that one more
# is needed.
_HOLD_THRESHOLD = 4
# From this many terminations on, the request is isolated from other requests,
# so that it neither affects them nor is affected by them.
_ISOLATION_THRESHOLD = 2
# How many terminations at separate moments hold a segment.
_HOLD_SEGMENT_THRESHOLD = 3
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
# Fewer, as each node with a request at a target sends the case of its segment.
_MAX_SEGMENT_CLEARED = 8
# Two thousand cases take 1 MB; each termination adds about ten cases.
_MAX_CASES = 2048
_MAX_HELD = 256
# Clients retried for up to twenty seconds. A request that has not been answered
# for an hour is no longer sent, or was answered by a node that has stopped.
_RETENTION_SECONDS = 3600.0


class Verdict(enum.Enum):
    """How a request is treated."""

    FREE = 'free'
    # Is routed away from other suspects.
    SUSPECT = 'suspect'
    # Is routed away from other suspects, and other requests avoid its target.
    ISOLATED = 'apart'
    # Is refused at once and reaches no target.
    HELD = 'held'


_SEVERITIES = tuple(Verdict)


@attrs.frozen
class Termination:
    """An incarnation that terminated while a request was there.

    ``begun`` is true if the request had begun there shortly before, and false
    if it is unknown whether it had begun.
    """

    life: Incarnation
    begun: bool


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
    isolated_sends: int = 0
    is_held: bool = False


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
    # The terminations that show separate moments, and the last such moment.
    _moments: set[Incarnation] = attrs.field(factory=set, init=False)
    _last_moment_at: float = attrs.field(default=float('-inf'), init=False)
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
            Termination(incarnation, begun)
            for incarnation, begun in self.ends.items()
        )
        return CaseUpdate(
            self.identity,
            ends,
            tuple(self.cleared),
            self.isolated_sends,
            self.is_segment and self.is_hold_candidate,
        )

    @property
    def is_segment(self) -> bool:
        """Return whether this is the case of a segment."""
        return is_segment(self.identity)

    @property
    def moments(self) -> int:
        """Return how many separate moments its terminations show."""
        return len(self._moments)

    @property
    def is_hold_candidate(self) -> bool:
        """Return whether there are enough terminations to hold it.

        Terminations that others explain count as well.
        """
        if not self.is_segment:
            return self.verdict() is Verdict.HELD
        return (
            self._is_held_elsewhere or self.moments >= _HOLD_SEGMENT_THRESHOLD
        )

    def verdict(self, explained: Container[Incarnation] = ()) -> Verdict:
        """Return the verdict, ignoring terminations that others explain."""
        unexplained = [
            had_begun
            for incarnation, had_begun in self.ends.items()
            if incarnation not in explained
        ]
        begun = sum(unexplained)
        if (
            begun >= _HOLD_BEGUN_THRESHOLD
            or len(unexplained) >= _HOLD_THRESHOLD
        ):
            return Verdict.HELD
        if len(unexplained) >= _ISOLATION_THRESHOLD:
            return Verdict.ISOLATED
        return Verdict.SUSPECT if begun else Verdict.FREE

    @property
    def is_suspected(self) -> bool:
        """Return whether a segment has repeated terminations."""
        return self.moments >= _ISOLATION_THRESHOLD or self.is_hold_candidate

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
        known = {
            incarnation for incarnation, begun in self.ends.items() if begun
        }
        self.cleared.update(dict.fromkeys(update.cleared))
        for incarnation in update.cleared:
            self.ends.pop(incarnation, None)
        for termination in update.ends:
            self._add(termination)
        max_cleared = _MAX_SEGMENT_CLEARED if self.is_segment else _MAX_CLEARED
        for oldest in list(self.cleared)[:-max_cleared]:
            self.cleared.pop(oldest)
        if update.isolated_sends > self.isolated_sends:
            self.isolated_sends = update.isolated_sends
            if self.is_segment and self.is_hold_candidate:
                self._trials = min(self._trials + 1, _MAX_TRIALS)
        self._count_moment(known, now)
        # A node that has not heard of an answer still reports what it cleared.
        uncleared = sum(end.life in self.ends for end in update.ends)
        if update.is_held and uncleared >= _HOLD_SEGMENT_THRESHOLD:
            self._is_held_elsewhere = True
        if self.begun_count < _HOLD_SEGMENT_THRESHOLD:
            self._is_held_elsewhere = False
        return before != self._state()

    def _state(self) -> object:
        return (
            dict(self.ends),
            set(self.cleared),
            self.isolated_sends,
            self._is_held_elsewhere,
        )

    def _count_moment(self, known: Container[Incarnation], now: float) -> None:
        """Count a moment if terminations were added well after the others.

        It is when this node learned of them, as the clocks of nodes differ.
        """
        self._moments &= self.ends.keys()
        added = [
            incarnation
            for incarnation, begun in self.ends.items()
            if begun and incarnation not in known
        ]
        if added and now - self._last_moment_at >= _SAME_MOMENT_SECONDS:
            self._moments.add(added[0])
            self._last_moment_at = now

    def _add(self, termination: Termination) -> None:
        if termination.life in self.cleared:
            return
        had_begun = self.ends.get(termination.life)
        max_ends = (
            _MAX_SEGMENT_TERMINATIONS if self.is_segment else _MAX_TERMINATIONS
        )
        if had_begun is None and len(self.ends) >= max_ends:
            return
        self.ends[termination.life] = bool(had_begun) or termination.begun


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
    explained = set(itertools.chain.from_iterable(other.ends for other in held))
    if case.is_hold_candidate and not covering and not ends <= explained:
        return Verdict.ISOLATED if case.is_trial_due(now) else Verdict.HELD
    if any(ends < other.ends.keys() for other in covering):
        return Verdict.FREE
    return Verdict.ISOLATED


@attrs.define
class CaseRegistry:
    """The suspected and held requests, as known to one node.

    Both are kept in the order of their last change.
    """

    _clock: Callable[[], float] = since_boot
    _suspected: dict[str, Case] = attrs.field(factory=dict, init=False)
    # Cases with enough terminations to be held, unless others explain some.
    _hold_candidates: dict[str, Case] = attrs.field(factory=dict, init=False)
    # By incarnation: the highest begun count of the hold candidates that were
    # there when it terminated.
    _max_begun: dict[Incarnation, int] = attrs.field(factory=dict, init=False)
    # Cached until the next change.
    _repeated_cases: list[Case] | None = attrs.field(default=None, init=False)

    @property
    def is_empty(self) -> bool:
        """Return whether there are no cases, which is the normal state."""
        return not self._suspected and not self._hold_candidates

    def counts(self) -> dict[str, int]:
        """Return the numbers of suspected and of held requests, as metrics."""
        held = len(self.held())
        total = len(self._suspected) + len(self._hold_candidates)
        return {'requests_suspected': total - held, 'requests_held': held}

    def verdict(self, identity: str, segments: Collection[str] = ()) -> Verdict:
        """Return how a request is treated now, also for its segments."""
        return max(
            (
                self._judge(case, {identity, *segments})
                for case in filter(None, map(self.find, (identity, *segments)))
            ),
            key=_SEVERITIES.index,
            default=Verdict.FREE,
        )

    def isolating_cases(
        self, identity: str, segments: Collection[str] = ()
    ) -> list[Case]:
        """Return the cases for which a request is isolated."""
        identities = (identity, *segments)
        return [
            case
            for case in filter(None, map(self.find, identities))
            if self._judge(case, set(identities)) is Verdict.ISOLATED
        ]

    def reason_to_hold(
        self, identity: str, segments: Collection[str] = ()
    ) -> Case | None:
        """Return the case for which a request is held, if it is."""
        identities = (identity, *segments)
        cases = filter(None, map(self.find, identities))
        return next(
            (
                case
                for case in cases
                if self._judge(case, set(identities)) is Verdict.HELD
            ),
            None,
        )

    def ends_of(
        self, segments: Collection[str]
    ) -> dict[str, tuple[Incarnation, ...]]:
        """Return the terminations known of each segment that has any."""
        cases = filter(None, map(self.find, segments))
        return {case.identity: tuple(case.ends) for case in cases if case.ends}

    def clear(
        self, ends: Mapping[str, Collection[Incarnation]]
    ) -> list[CaseUpdate]:
        """Return updates that clear those of the terminations still known."""
        known = self.ends_of(ends)
        updates = [
            CaseUpdate(
                identity,
                cleared=tuple(
                    incarnation
                    for incarnation in ends[identity]
                    if incarnation in incarnations
                ),
            )
            for identity, incarnations in known.items()
        ]
        return [update for update in updates if update.cleared]

    def find(self, identity: str) -> Case | None:
        """Return the case of a request, if there is one."""
        return self._hold_candidates.get(identity) or self._suspected.get(
            identity
        )

    def is_hold_candidate(self, identity: str) -> bool:
        """Return whether a request has enough terminations to be held.

        Terminations that other requests explain count as well.
        """
        return identity in self._hold_candidates

    def held(self) -> Sequence[Case]:
        """Return the held requests, the least recently changed first."""
        return [
            case
            for case in self._hold_candidates.values()
            if self._holds_requests(case)
        ]

    def merge(self, update: CaseUpdate, *, is_own: bool) -> bool:
        """Merge this node's or another's update; return whether it was new."""
        now = self._clock()
        case = self.find(update.identity) or Case(update.identity, now)
        if not case.merge(update, now):
            return False
        case.changed_at = now
        self._repeated_cases = None
        self._suspected.pop(case.identity, None)
        was_candidate = (
            self._hold_candidates.pop(case.identity, None) is not None
        )
        if case.is_hold_candidate:
            case.mark_held(now, is_own=is_own)
            self._hold_candidates[case.identity] = case
        else:
            case.held_at = None
            self._suspected[case.identity] = case
        self._prune(now)
        if was_candidate or case.held_at is not None:
            self._count_begun()
        return True

    def clearing_update(self, identity: str) -> CaseUpdate | None:
        """Return an update that clears all terminations of a request.

        Return ``None`` if there are none.
        """
        case = self.find(identity)
        if case is None or not case.ends:
            return None
        return CaseUpdate(identity, cleared=tuple(case.ends))

    def sending_update(self, identity: str) -> CaseUpdate | None:
        """Return an update that counts one more copy of an isolated request.

        Return ``None`` if there is no such case.
        """
        case = self.find(identity)
        if case is None:
            return None
        return CaseUpdate(identity, isolated_sends=case.isolated_sends + 1)

    def _judge(self, case: Case, own: Container[str]) -> Verdict:
        """Judge a case by comparison with the others.

        ``own`` are the identities of the request and its segments. A
        termination is explained by another hold candidate that was there too
        and had begun at more terminated incarnations than this request. All
        nodes reach the same verdict from the same sets.
        """
        if case.is_segment and not case.is_suspected:
            return Verdict.FREE
        if case.is_segment:
            others = [
                other for other in self._repeated() if other.identity not in own
            ]
            return judge_segment(case, others, self._clock())
        begun = case.begun_count
        return case.verdict(
            {
                incarnation
                for incarnation in case.ends
                if self._max_begun.get(incarnation, 0) > begun
            },
        )

    def _holds_requests(self, case: Case) -> bool:
        """Return whether requests may be held for a hold candidate.

        Segments with the same terminations hold the requests that have all.
        """
        if case.is_segment:
            return not any(
                case.ends.keys() < other.ends.keys()
                for other in self._repeated()
            )
        return self._judge(case, {case.identity}) is Verdict.HELD

    def _repeated(self) -> Sequence[Case]:
        """Return the cases that had begun at several terminations."""
        if self._repeated_cases is None:
            cases = itertools.chain(
                self._suspected.values(), self._hold_candidates.values()
            )
            self._repeated_cases = [
                case
                for case in cases
                if case.begun_count >= _ISOLATION_THRESHOLD
            ]
        return self._repeated_cases

    def _count_begun(self) -> None:
        self._max_begun = {}
        for case in self._hold_candidates.values():
            begun = case.begun_count
            if begun < _HOLD_BEGUN_THRESHOLD:
                continue
            for incarnation in case.ends:
                max_count = self._max_begun.get(incarnation, 0)
                self._max_begun[incarnation] = max(max_count, begun)

    def _prune(self, now: float) -> None:
        """Drop the oldest cases that exceed the maximum number or age."""
        self._repeated_cases = None
        while len(self._hold_candidates) > _MAX_HELD:
            self._hold_candidates.pop(next(iter(self._hold_candidates)))
        while len(self._suspected) > _MAX_CASES or self._has_expired(now):
            self._suspected.pop(next(iter(self._suspected)))

    def _has_expired(self, now: float) -> bool:
        oldest = next(iter(self._suspected.values()), None)
        if oldest is None:
            return False
        return now - oldest.changed_at >= _RETENTION_SECONDS
