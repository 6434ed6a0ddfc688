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
from collections.abc import Callable, Iterable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Life

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


class Standing(enum.Enum):
    """What is done with a request."""

    FREE = 'free'
    # Goes where no other suspect is.
    SUSPECT = 'suspect'
    # Goes where no other suspect is, and others pass its target over.
    APART = 'apart'
    # Is answered at once, and reaches no target.
    HELD = 'held'


@attrs.frozen
class End:
    """A life that ended while a request was there.

    The request had ``begun`` there shortly before; else nobody can tell.
    """

    life: Life
    begun: bool


@attrs.frozen
class CaseNews:
    """What is known of one request, by the digest that all its tries share.

    Ends of ``cleared`` lives were others' doing.
    """

    identity: str
    ends: tuple[End, ...] = ()
    cleared: tuple[Life, ...] = ()


@attrs.define
class Case:
    """One request under which lives have ended."""

    identity: str
    changed_at: float
    held_at: float | None = None
    # Whether the end that decided was seen by this node itself.
    is_own: bool = False
    ends: dict[Life, bool] = attrs.field(factory=dict)
    # In the order in which they came.
    cleared: dict[Life, None] = attrs.field(factory=dict)

    @property
    def standing(self) -> Standing:
        """Return what its ends so far say."""
        begun = sum(self.ends.values())
        if begun >= _HELD_BEGUN or len(self.ends) >= _HELD_ALL:
            return Standing.HELD
        if len(self.ends) >= _APART:
            return Standing.APART
        return Standing.SUSPECT if begun else Standing.FREE

    @property
    def news(self) -> CaseNews:
        """Return all that is known, to be told."""
        ends = tuple(End(life, begun) for life, begun in self.ends.items())
        return CaseNews(self.identity, ends, tuple(self.cleared))

    def take(self, news: CaseNews) -> bool:
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

    def _add(self, end: End) -> None:
        if end.life in self.cleared:
            return
        known = self.ends.get(end.life)
        if known is None and len(self.ends) >= _MOST_LIVES:
            return
        self.ends[end.life] = bool(known) or end.begun


@attrs.define
class CaseBook:
    """The requests that are suspected or held, as one node knows them."""

    _clock: Callable[[], float] = since_boot
    _cases: dict[str, Case] = attrs.field(factory=dict, init=False)

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is suspected, as on most days."""
        return not self._cases

    def counts(self) -> dict[str, int]:
        """Return how many requests are suspected, and how many held."""
        held = len(self.held())
        return {
            'requests_suspected': len(self._cases) - held,
            'requests_held': held,
        }

    def standing(self, identity: str) -> Standing:
        """Return what is done with a request now."""
        case = self._cases.get(identity)
        return Standing.FREE if case is None else case.standing

    def find(self, identity: str) -> Case | None:
        """Return what is known of a request."""
        return self._cases.get(identity)

    def held(self) -> Sequence[Case]:
        """Return the held requests, those first that came first."""
        return [one for one in self._cases.values() if one.held_at is not None]

    def take(self, news: CaseNews, *, is_own: bool) -> bool:
        """Join what this node saw, or was told; return whether it is new."""
        now = self._clock()
        case = self._cases.get(news.identity)
        if case is None:
            case = Case(news.identity, now)
        if not case.take(news):
            return False
        # Whatever changed last is forgotten last.
        self._cases.pop(case.identity, None)
        self._cases[case.identity] = case
        case.changed_at = now
        if case.standing is not Standing.HELD:
            case.held_at = None
        elif case.held_at is None:
            case.held_at = now
            case.is_own = is_own
        self._forget(now)
        return True

    def cleared(self, identity: str) -> CaseNews | None:
        """Return the news that a request was not the cause of any end."""
        case = self._cases.get(identity)
        if case is None or not case.ends:
            return None
        return CaseNews(identity, cleared=tuple(case.ends))

    def _forget(self, now: float) -> None:
        held = self.held()
        for case in held[: max(0, len(held) - _MOST_HELD)]:
            self._cases.pop(case.identity)
        suspected = [one for one in self._cases.values() if one.held_at is None]
        for case in _outdated(suspected, now):
            self._cases.pop(case.identity)


def _outdated(cases: Sequence[Case], now: float) -> Iterable[Case]:
    """Return the cases that are too old, or too many; the oldest come first."""
    too_many = max(0, len(cases) - _MOST_CASES)
    yield from cases[:too_many]
    for case in cases[too_many:]:
        if now - case.changed_at < _FORGET_SECONDS:
            return
        yield case
