"""Decide which requests are held, by the lives that ended under them; no I/O.

Load answered: one request in some thousands ends each target that begins to
run it, and its client sends it again at any node for minutes. Unbounded, one
such request ended 26 replicas in a minute, and each end cut the streams beside
it. Others come into the same ends without being the cause: those that had just
begun there, and those that waited.

What is counted for a request is a set of lives. Sets told by several nodes are
joined, so that nothing has to be agreed or led, and news may come late, again
and in any order.
"""

import enum
from collections.abc import Callable, Container, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation

# Ends shortly after the request had begun. One or two happen by chance: heads
# of replicas end every few seconds on bad days. A third costs another replica.
_HELD_BEGUN = 3
# Ends of which nobody can tell whether it had begun: it may have waited for the
# one that was the cause, so that one more is asked for.
_HELD_ALL = 4
# From then on it runs apart from others, so that it neither takes them along
# nor is cut by what they do.
_APART = 2
# More of them change nothing.
_MOST_LIVES = 8
_MOST_CLEARED = 32
# Of two thousand cases 1 MB is taken; an end brings some ten.
_MOST_CASES = 2048
_MOST_HELD = 256
# Clients came again up to twenty seconds later. What nobody answers for an hour
# is not asked any more, or has been answered by a node that is gone.
_FORGET_SECONDS = 3600.0


class Verdict(enum.Enum):
    """What is done with a request."""

    FREE = 'free'
    # Goes where no other suspect is.
    SUSPECT = 'suspect'
    # Goes where no other suspect is, and others pass its target over.
    ISOLATED = 'apart'
    # Is answered at once, and reaches no target.
    HELD = 'held'


@attrs.frozen
class Termination:
    """A life that ended while a request was there.

    The request had ``begun`` there shortly before; else nobody can tell.
    """

    life: Incarnation
    begun: bool


@attrs.frozen
class CaseUpdate:
    """What is known of one request, by the digest that all its tries share.

    Ends of ``cleared`` lives were others' doing.
    """

    identity: str
    ends: tuple[Termination, ...] = ()
    cleared: tuple[Incarnation, ...] = ()


@attrs.define
class Case:
    """One request under which lives have ended."""

    identity: str
    changed_at: float
    held_at: float | None = None
    # Whether the end that decided was seen by this node itself.
    is_own: bool = False
    ends: dict[Incarnation, bool] = attrs.field(factory=dict)
    # In the order in which they came.
    cleared: dict[Incarnation, None] = attrs.field(factory=dict)

    @property
    def begun_count(self) -> int:
        """Return how many lives ended shortly after it had begun there."""
        return sum(self.ends.values())

    @property
    def update(self) -> CaseUpdate:
        """Return all that is known, to be told."""
        ends = tuple(
            Termination(life, begun) for life, begun in self.ends.items()
        )
        return CaseUpdate(self.identity, ends, tuple(self.cleared))

    def verdict(self, explained: Container[Incarnation] = ()) -> Verdict:
        """Return what its ends say, but for those that others explain."""
        left = [
            had_begun
            for life, had_begun in self.ends.items()
            if life not in explained
        ]
        begun = sum(left)
        if begun >= _HELD_BEGUN or len(left) >= _HELD_ALL:
            return Verdict.HELD
        if len(left) >= _APART:
            return Verdict.ISOLATED
        return Verdict.SUSPECT if begun else Verdict.FREE

    def mark_held(self, now: float, *, is_own: bool) -> None:
        """Take over that there are ends enough to hold it."""
        if self.held_at is None:
            self.held_at = now
            self.is_own = is_own

    def merge(self, news: CaseUpdate) -> bool:
        """Join what somebody knows; return whether anything is new."""
        before = (dict(self.ends), set(self.cleared))
        self.cleared.update(dict.fromkeys(news.cleared))
        for life in news.cleared:
            self.ends.pop(life, None)
        for end in news.ends:
            self._add(end)
        for oldest in list(self.cleared)[:-_MOST_CLEARED]:
            self.cleared.pop(oldest)
        return before != (self.ends, set(self.cleared))

    def _add(self, end: Termination) -> None:
        if end.life in self.cleared:
            return
        known = self.ends.get(end.life)
        if known is None and len(self.ends) >= _MOST_LIVES:
            return
        self.ends[end.life] = bool(known) or end.begun


@attrs.define
class CaseRegistry:
    """The requests that are suspected or held, as one node knows them.

    Both are kept in the order in which they changed last.
    """

    _clock: Callable[[], float] = since_boot
    _suspected: dict[str, Case] = attrs.field(factory=dict, init=False)
    # With ends enough to be held, unless others explain some of them.
    _hold_candidates: dict[str, Case] = attrs.field(factory=dict, init=False)
    # By life the most begun ends that a request with enough of them has, as
    # far as one has ended there.
    _most_begun: dict[Incarnation, int] = attrs.field(factory=dict, init=False)

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is suspected, as on most days."""
        return not self._suspected and not self._hold_candidates

    def counts(self) -> dict[str, int]:
        """Return how many requests are suspected, and how many held."""
        held = len(self.held())
        known = len(self._suspected) + len(self._hold_candidates)
        return {'requests_suspected': known - held, 'requests_held': held}

    def verdict(self, identity: str) -> Verdict:
        """Return what is done with a request now."""
        case = self.find(identity)
        return Verdict.FREE if case is None else self._judge(case)

    def find(self, identity: str) -> Case | None:
        """Return what is known of a request."""
        return self._hold_candidates.get(identity) or self._suspected.get(
            identity
        )

    def is_hold_candidate(self, identity: str) -> bool:
        """Tell whether a request has ends enough, explained or not."""
        return identity in self._hold_candidates

    def held(self) -> Sequence[Case]:
        """Return the held requests, those first that came first."""
        return [
            case
            for case in self._hold_candidates.values()
            if self._judge(case) is Verdict.HELD
        ]

    def merge(self, news: CaseUpdate, *, is_own: bool) -> bool:
        """Join what this node saw, or was told; return whether it is new."""
        now = self._clock()
        case = self.find(news.identity) or Case(news.identity, now)
        if not case.merge(news):
            return False
        case.changed_at = now
        self._suspected.pop(case.identity, None)
        was_grave = self._hold_candidates.pop(case.identity, None) is not None
        if case.verdict() is Verdict.HELD:
            case.mark_held(now, is_own=is_own)
            self._hold_candidates[case.identity] = case
        else:
            case.held_at = None
            self._suspected[case.identity] = case
        self._prune(now)
        if was_grave or case.held_at is not None:
            self._count_begun()
        return True

    def clearing_update(self, identity: str) -> CaseUpdate | None:
        """Return the news that a request was not the cause of any end."""
        case = self.find(identity)
        if case is None or not case.ends:
            return None
        return CaseUpdate(identity, cleared=tuple(case.ends))

    def _judge(self, case: Case) -> Verdict:
        """Judge a case beside the others.

        What many targets ended under explains the ends of those who were there
        as well: they share some of its lives, and it has more than they. So
        each node comes to the same by the same sets.
        """
        begun = case.begun_count
        return case.verdict(
            {
                life
                for life in case.ends
                if self._most_begun.get(life, 0) > begun
            },
        )

    def _count_begun(self) -> None:
        self._most_begun = {}
        for case in self._hold_candidates.values():
            begun = case.begun_count
            if begun < _HELD_BEGUN:
                continue
            for life in case.ends:
                most = self._most_begun.get(life, 0)
                self._most_begun[life] = max(most, begun)

    def _prune(self, now: float) -> None:
        """Drop what is too much, or too old; the oldest comes first."""
        while len(self._hold_candidates) > _MOST_HELD:
            self._hold_candidates.pop(next(iter(self._hold_candidates)))
        while len(self._suspected) > _MOST_CASES or self._has_expired(now):
            self._suspected.pop(next(iter(self._suspected)))

    def _has_expired(self, now: float) -> bool:
        oldest = next(iter(self._suspected.values()), None)
        if oldest is None:
            return False
        return now - oldest.changed_at >= _FORGET_SECONDS
