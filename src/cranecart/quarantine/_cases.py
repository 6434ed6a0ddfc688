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
"""

import enum
from collections.abc import Callable, Container, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation

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
# Further terminations do not change the verdict.
_MAX_TERMINATIONS = 8
_MAX_CLEARED = 32
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
    of its copies that were sent while it was isolated, as far as known.
    """

    identity: str
    ends: tuple[Termination, ...] = ()
    cleared: tuple[Incarnation, ...] = ()
    isolated_sends: int = 0


@attrs.define
class Case:
    """One request during which incarnations have terminated."""

    identity: str
    changed_at: float
    held_at: float | None = None
    # Whether this node itself detected the deciding termination.
    is_own: bool = False
    ends: dict[Incarnation, bool] = attrs.field(factory=dict)
    # In order of arrival.
    cleared: dict[Incarnation, None] = attrs.field(factory=dict)
    isolated_sends: int = 0

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
            self.identity, ends, tuple(self.cleared), self.isolated_sends
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

    def mark_held(self, now: float, *, is_own: bool) -> None:
        """Record that there are enough terminations to hold the request."""
        if self.held_at is None:
            self.held_at = now
            self.is_own = is_own

    def merge(self, update: CaseUpdate) -> bool:
        """Merge an update; return whether it changed anything."""
        before = (dict(self.ends), set(self.cleared), self.isolated_sends)
        self.cleared.update(dict.fromkeys(update.cleared))
        for incarnation in update.cleared:
            self.ends.pop(incarnation, None)
        for termination in update.ends:
            self._add(termination)
        for oldest in list(self.cleared)[:-_MAX_CLEARED]:
            self.cleared.pop(oldest)
        self.isolated_sends = max(self.isolated_sends, update.isolated_sends)
        return before != (self.ends, set(self.cleared), self.isolated_sends)

    def _add(self, termination: Termination) -> None:
        if termination.life in self.cleared:
            return
        had_begun = self.ends.get(termination.life)
        if had_begun is None and len(self.ends) >= _MAX_TERMINATIONS:
            return
        self.ends[termination.life] = bool(had_begun) or termination.begun


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

    @property
    def is_empty(self) -> bool:
        """Return whether there are no cases, which is the normal state."""
        return not self._suspected and not self._hold_candidates

    def counts(self) -> dict[str, int]:
        """Return the numbers of suspected and of held requests, as metrics."""
        held = len(self.held())
        total = len(self._suspected) + len(self._hold_candidates)
        return {'requests_suspected': total - held, 'requests_held': held}

    def verdict(self, identity: str) -> Verdict:
        """Return how a request is treated now."""
        case = self.find(identity)
        return Verdict.FREE if case is None else self._judge(case)

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
            if self._judge(case) is Verdict.HELD
        ]

    def merge(self, update: CaseUpdate, *, is_own: bool) -> bool:
        """Merge this node's or another's update; return whether it was new."""
        now = self._clock()
        case = self.find(update.identity) or Case(update.identity, now)
        if not case.merge(update):
            return False
        case.changed_at = now
        self._suspected.pop(case.identity, None)
        was_candidate = (
            self._hold_candidates.pop(case.identity, None) is not None
        )
        if case.verdict() is Verdict.HELD:
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

    def _judge(self, case: Case) -> Verdict:
        """Judge a case by comparison with the others.

        A termination is explained by another hold candidate that was there too
        and had begun at more terminated incarnations than this request. All
        nodes reach the same verdict from the same sets.
        """
        begun = case.begun_count
        return case.verdict(
            {
                incarnation
                for incarnation in case.ends
                if self._max_begun.get(incarnation, 0) > begun
            },
        )

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
        while len(self._hold_candidates) > _MAX_HELD:
            self._hold_candidates.pop(next(iter(self._hold_candidates)))
        while len(self._suspected) > _MAX_CASES or self._has_expired(now):
            self._suspected.pop(next(iter(self._suspected)))

    def _has_expired(self, now: float) -> bool:
        oldest = next(iter(self._suspected.values()), None)
        if oldest is None:
            return False
        return now - oldest.changed_at >= _RETENTION_SECONDS
