"""Hold requests that end the targets that run them."""

import contextlib
from collections import Counter
from collections.abc import (
    AsyncGenerator,
    Callable,
    Collection,
    Generator,
    Sequence,
)

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import HeldError, TargetDisconnectedError
from cranecart.logs import decision
from cranecart.ports import Incarnation
from cranecart.quarantine._cases import (
    CaseRegistry,
    CaseUpdate,
    Termination,
    Verdict,
)
from cranecart.quarantine._pending import PendingTerminations
from cranecart.quarantine._probe import TerminationProbe
from cranecart.quarantine._runner import Runner

# What ends a target does so as it begins there: within 0.04 to 0.13 s where it
# was seen. Twice as much is left for busy nodes. Whose answer had been coming for
# longer was there by chance.
_BEGIN_SECONDS = 0.25
# Three turns of housekeeping: a connection between nodes that carries nothing
# any more is found out after 1.5 s.
_REPEAT_SECONDS = 2.0
_SUSPECTS = frozenset((Verdict.SUSPECT, Verdict.ISOLATED))


@attrs.define
class AttemptProgress:
    """One attempt: whether its target has begun, and what came since."""

    _clock: Callable[[], float]
    has_begun: bool = attrs.field(default=False, init=False)
    _progress_since: float | None = attrs.field(default=None, init=False)

    @property
    def progress_seconds(self) -> float:
        """Return how long ago the first part of an answer came."""
        return (
            0
            if self._progress_since is None
            else self._clock() - self._progress_since
        )

    def record_begun(self) -> None:
        """Take over that the target has begun to answer."""
        self.has_begun = True

    def record_progress(self) -> None:
        """Take over that a part of the answer came."""
        if self._progress_since is None:
            self._progress_since = self._clock()


def _tell_of_none(_incarnation: Incarnation) -> bool:
    """Find out of no life later that it has ended."""
    return False


@attrs.define
class RequestGuard:
    """One node's part in finding and holding such requests.

    ``_is_expected`` tells of a life whose end was planned, or not surprising,
    ``_has_ended`` of one that has since turned out to be over; ``_tell`` passes
    news on to the other nodes. Requests are known by the digests that all tries at one share.
    """

    _is_expected: Callable[[Runner], bool]
    _publish: Callable[[Sequence[CaseUpdate]], None]
    cases: CaseRegistry = attrs.field(factory=CaseRegistry)
    _clock: Callable[[], float] = since_boot
    probe: TerminationProbe = attrs.field(factory=TerminationProbe)
    _has_terminated: Callable[[Incarnation], bool] = attrs.field(
        default=_tell_of_none
    )
    refusals: int = attrs.field(default=0, init=False)
    terminations: int = attrs.field(default=0, init=False)
    _pending: PendingTerminations = attrs.field(init=False)
    _published_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # This node's suspects by instance, and those of them that run apart.
    _suspects: Counter[str] = attrs.field(factory=Counter, init=False)
    _isolated: Counter[str] = attrs.field(factory=Counter, init=False)

    def counts(self) -> dict[str, int]:
        """Return the figures of this node, by name."""
        return {
            **self.cases.counts(),
            'held_refusals': self.refusals,
            'targets_ended_under_requests': self.terminations,
        }

    def instances_to_avoid(
        self, identity: Callable[[], str]
    ) -> Collection[str]:
        """Return the instances that a request should rather not go to.

        Raise ``HeldError`` if it may not go to any. The identity is asked for
        only where there is something to compare it with.
        """
        if self.cases.is_empty:
            return ()
        named = identity()
        standing = self.cases.verdict(named)
        if standing is Verdict.HELD:
            self.refusals += 1
            raise HeldError(self._hold_reason(named))
        suspected = standing in _SUSPECTS
        return (self._suspects if suspected else self._isolated).keys()

    @contextlib.asynccontextmanager
    async def watch(
        self,
        identity: Callable[[], str],
        runner: Runner,
    ) -> AsyncGenerator['AttemptProgress', None]:
        """Watch one attempt; it succeeded if the context ends without error."""
        watch = AttemptProgress(self._clock)
        try:
            with self.track_running(identity, runner):
                yield watch
        except TargetDisconnectedError:
            await self._check_termination(identity(), runner, watch)
            raise
        self.record_served(identity)

    @contextlib.contextmanager
    def track_running(
        self,
        identity: Callable[[], str],
        runner: Runner,
    ) -> Generator[None, None, None]:
        """Count a suspected request at an instance while the context lasts."""
        standing = Verdict.FREE
        if not self.cases.is_empty:
            standing = self.cases.verdict(identity())
        counts = [
            count
            for count, counted in (
                (self._suspects, _SUSPECTS),
                (self._isolated, frozenset((Verdict.ISOLATED,))),
            )
            if standing in counted
        ]
        for count in counts:
            count[runner.id] += 1
        try:
            yield
        finally:
            for count in counts:
                _take_off(count, runner.id)

    def record_served(self, identity: Callable[[], str]) -> None:
        """Take over that a request was answered whole: it ends nothing."""
        if self.cases.is_empty:
            return
        news = self.cases.clearing_update(identity())
        if news is None:
            return
        self.cases.merge(news, is_own=True)
        self._publish_case(news.identity)
        if len(news.cleared) > 1:
            decision('request_cleared', identity=news.identity)

    def merge_remote(self, news: CaseUpdate, sender: str) -> bool:
        """Take over what another node knows; return whether it is news."""
        is_news = self.cases.merge(news, is_own=False)
        if is_news and self.cases.verdict(news.identity) is Verdict.HELD:
            self._log_termination(news.identity, None, f'heard from {sender}')
        return is_news

    def refresh(self, listed: Collection[Incarnation]) -> None:
        """Forget lives that are gone, and tell once more what is new."""
        self.probe.prune(listed)
        for news in self._pending.pop_terminated(self._has_terminated):
            self._record_termination(news, 'seen here, and known later')
        self._republish()

    @_pending.default
    def _make_pending(self) -> PendingTerminations:
        return PendingTerminations(self._clock)

    def _republish(self) -> None:
        """Tell what was told lately; some of it may be lost."""
        oldest = self._clock() - _REPEAT_SECONDS
        self._published_at = {
            identity: at
            for identity, at in self._published_at.items()
            if at > oldest
        }
        cases = filter(None, map(self.cases.find, self._published_at))
        news = [case.update for case in cases]
        if news:
            self._publish(news)

    async def _check_termination(
        self,
        identity: str,
        runner: Runner,
        watch: AttemptProgress,
    ) -> None:
        """Look whether a request has ended the target that it was at."""
        if self._is_expected(runner):
            return
        if watch.progress_seconds > _BEGIN_SECONDS:
            self._pending.record_alive(runner.incarnation)
            return
        if await self.probe.has_terminated(runner):
            end = Termination(runner.incarnation, watch.has_begun)
            self._record_termination(CaseUpdate(identity, (end,)), 'seen here')
        else:
            self._pending.record_break(
                runner.incarnation, identity, begun=watch.has_begun
            )

    def _record_termination(self, news: CaseUpdate, source: str) -> None:
        if self.cases.merge(news, is_own=True):
            self.terminations += 1
            self._log_termination(news.identity, news.ends[0].life, source)
            self._publish_case(news.identity)

    def _publish_case(self, identity: str) -> None:
        case = self.cases.find(identity)
        if case is not None:
            self._published_at[identity] = self._clock()
            self._publish((case.update,))

    def _hold_reason(self, identity: str) -> str:
        case = self.cases.find(identity)
        incarnations = (
            []
            if case is None
            else [incarnation.id for incarnation in case.ends]
        )
        return f'request {identity} ended {", ".join(incarnations)}'

    def _log_termination(
        self, identity: str, incarnation: Incarnation | None, source: str
    ) -> None:
        case = self.cases.find(identity)
        if case is None:
            return
        decision(
            'target_ended',
            identity=identity,
            instance=incarnation and incarnation.id,
            born=incarnation and incarnation.born,
            source=source,
            standing=self.cases.verdict(identity).value,
            ends=[one.id for one in case.ends],
            begun=sum(case.ends.values()),
        )


def _take_off(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        counts.pop(name)
