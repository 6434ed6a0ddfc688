"""Decide which requests to hold, by the instances that crashed under them.

One request in several thousand crashes each target that begins to run it,
while its client retries it at any node for minutes. Without a limit one such
request crashed 26 replicas in a minute, and each crash cut off the other
streams at the replica. Other requests are present at the same terminations
without causing them: those that had just begun there, and those that waited
there.

A segment of prompts may crash targets too, whatever else a request holds; it
has a case of its own (``judge_segment``). This module does no I/O.
"""

import itertools
from collections.abc import (
    Callable,
    Collection,
    Container,
    Iterator,
    Sequence,
)

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation
from cranecart.quarantine._case import (
    HOLD_BEGUN_THRESHOLD,
    Case,
    CaseUpdate,
    Verdict,
    judge_segment,
)

# Two thousand cases take 1 MB; each termination adds about ten cases.
_MAX_CASES = 2048
_MAX_HELD = 256
# Clients retried for up to twenty seconds. A request that has not been answered
# for an hour is no longer sent, or was answered by a node that has stopped.
_RETENTION_SECONDS = 3600.0

_SEVERITIES = tuple(Verdict)


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
            (verdict for _case, verdict in self._judged(identity, segments)),
            key=_SEVERITIES.index,
            default=Verdict.FREE,
        )

    def isolating_cases(
        self, identity: str, segments: Collection[str] = ()
    ) -> list[Case]:
        """Return the cases for which a request is isolated."""
        return [
            case
            for case, verdict in self._judged(identity, segments)
            if verdict is Verdict.ISOLATED
        ]

    def reason_to_hold(
        self, identity: str, segments: Collection[str] = ()
    ) -> Case | None:
        """Return the case for which a request is held, if it is."""
        return next(
            (
                case
                for case, verdict in self._judged(identity, segments)
                if verdict is Verdict.HELD
            ),
            None,
        )

    def outlasted(
        self,
        segments: Collection[str],
        began_at: float,
        seconds: float | None = None,
    ) -> list[CaseUpdate]:
        """Return updates that clear what an answer on these segments disproves.

        The answer began at that time, and lasted for so many seconds or is
        whole.
        """
        cases = filter(None, map(self.find, segments))
        updates = (
            CaseUpdate(case.identity, cleared=case.outlasted(began_at, seconds))
            for case in cases
        )
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

    def _judged(
        self, identity: str, segments: Collection[str]
    ) -> Iterator[tuple[Case, Verdict]]:
        """Return the cases of a request and its segments with their verdicts."""
        own = (identity, *segments)
        cases = filter(None, map(self.find, own))
        return ((case, self._judge(case, own)) for case in cases)

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
        """Return the cases that were at several terminations."""
        if self._repeated_cases is None:
            cases = itertools.chain(
                self._suspected.values(), self._hold_candidates.values()
            )
            self._repeated_cases = [case for case in cases if case.is_repeated]
        return self._repeated_cases

    def _count_begun(self) -> None:
        self._max_begun = {}
        for case in self._hold_candidates.values():
            begun = len(case.ends) if case.is_segment else case.begun_count
            if begun < HOLD_BEGUN_THRESHOLD:
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
