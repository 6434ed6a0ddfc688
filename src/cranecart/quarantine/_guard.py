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
_SUSPECTS = frozenset((Verdict.SUSPECT, Verdict.APART))


@attrs.define
class AttemptProgress:
    """One attempt: whether its target has begun, and what came since."""

    _clock: Callable[[], float]
    has_begun: bool = attrs.field(default=False, init=False)
    _since: float | None = attrs.field(default=None, init=False)

    @property
    def progress_seconds(self) -> float:
        """Return how long ago the first part of an answer came."""
        return 0 if self._since is None else self._clock() - self._since

    def answering(self) -> None:
        """Take over that the target has begun to answer."""
        self.has_begun = True

    def progressing(self) -> None:
        """Take over that a part of the answer came."""
        if self._since is None:
            self._since = self._clock()


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
    _tell: Callable[[Sequence[CaseUpdate]], None]
    book: CaseRegistry = attrs.field(factory=CaseRegistry)
    _clock: Callable[[], float] = since_boot
    probe: TerminationProbe = attrs.field(factory=TerminationProbe)
    _has_ended: Callable[[Incarnation], bool] = attrs.field(
        default=_tell_of_none
    )
    refused: int = attrs.field(default=0, init=False)
    ended: int = attrs.field(default=0, init=False)
    _pending: PendingTerminations = attrs.field(init=False)
    _told_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # This node's suspects by instance, and those of them that run apart.
    _suspects: Counter[str] = attrs.field(factory=Counter, init=False)
    _apart: Counter[str] = attrs.field(factory=Counter, init=False)

    def counts(self) -> dict[str, int]:
        """Return the figures of this node, by name."""
        return {
            **self.book.counts(),
            'held_refusals': self.refused,
            'targets_ended_under_requests': self.ended,
        }

    def passed_over(self, identity: Callable[[], str]) -> Collection[str]:
        """Return the instances that a request should rather not go to.

        Raise ``HeldError`` if it may not go to any. The identity is asked for
        only where there is something to compare it with.
        """
        if self.book.is_empty:
            return ()
        named = identity()
        standing = self.book.standing(named)
        if standing is Verdict.HELD:
            self.refused += 1
            raise HeldError(self._why(named))
        suspected = standing in _SUSPECTS
        return (self._suspects if suspected else self._apart).keys()

    @contextlib.asynccontextmanager
    async def watching(
        self,
        identity: Callable[[], str],
        runner: Runner,
    ) -> AsyncGenerator['AttemptProgress', None]:
        """Watch one attempt; it succeeded if the context ends without error."""
        watch = AttemptProgress(self._clock)
        try:
            with self.running(identity, runner):
                yield watch
        except TargetDisconnectedError:
            await self._look_for_end(identity(), runner, watch)
            raise
        self.served(identity)

    @contextlib.contextmanager
    def running(
        self,
        identity: Callable[[], str],
        runner: Runner,
    ) -> Generator[None, None, None]:
        """Count a suspected request at an instance while the context lasts."""
        standing = Verdict.FREE
        if not self.book.is_empty:
            standing = self.book.standing(identity())
        counts = [
            count
            for count, counted in (
                (self._suspects, _SUSPECTS),
                (self._apart, frozenset((Verdict.APART,))),
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

    def served(self, identity: Callable[[], str]) -> None:
        """Take over that a request was answered whole: it ends nothing."""
        if self.book.is_empty:
            return
        news = self.book.cleared(identity())
        if news is None:
            return
        self.book.take(news, is_own=True)
        self._spread(news.identity)
        if len(news.cleared) > 1:
            decision('request_cleared', identity=news.identity)

    def hear(self, news: CaseUpdate, sender: str) -> bool:
        """Take over what another node knows; return whether it is news."""
        is_news = self.book.take(news, is_own=False)
        if is_news and self.book.standing(news.identity) is Verdict.HELD:
            self._log(news.identity, None, f'heard from {sender}')
        return is_news

    def keep(self, listed: Collection[Incarnation]) -> None:
        """Forget lives that are gone, and tell once more what is new."""
        self.probe.forget(listed)
        for news in self._pending.take_ended(self._has_ended):
            self._note_end(news, 'seen here, and known later')
        self._repeat()

    @_pending.default
    def _make_pending(self) -> PendingTerminations:
        return PendingTerminations(self._clock)

    def _repeat(self) -> None:
        """Tell what was told lately; some of it may be lost."""
        oldest = self._clock() - _REPEAT_SECONDS
        self._told_at = {
            identity: at
            for identity, at in self._told_at.items()
            if at > oldest
        }
        cases = filter(None, map(self.book.find, self._told_at))
        news = [case.news for case in cases]
        if news:
            self._tell(news)

    async def _look_for_end(
        self,
        identity: str,
        runner: Runner,
        watch: AttemptProgress,
    ) -> None:
        """Look whether a request has ended the target that it was at."""
        if self._is_expected(runner):
            return
        if watch.progress_seconds > _BEGIN_SECONDS:
            self._pending.note_alive(runner.incarnation)
            return
        if await self.probe.has_ended(runner):
            end = Termination(runner.incarnation, watch.has_begun)
            self._note_end(CaseUpdate(identity, (end,)), 'seen here')
        else:
            self._pending.note(
                runner.incarnation, identity, begun=watch.has_begun
            )

    def _note_end(self, news: CaseUpdate, source: str) -> None:
        if self.book.take(news, is_own=True):
            self.ended += 1
            self._log(news.identity, news.ends[0].life, source)
            self._spread(news.identity)

    def _spread(self, identity: str) -> None:
        case = self.book.find(identity)
        if case is not None:
            self._told_at[identity] = self._clock()
            self._tell((case.news,))

    def _why(self, identity: str) -> str:
        case = self.book.find(identity)
        incarnations = (
            []
            if case is None
            else [incarnation.id for incarnation in case.ends]
        )
        return f'request {identity} ended {", ".join(incarnations)}'

    def _log(
        self, identity: str, incarnation: Incarnation | None, source: str
    ) -> None:
        case = self.book.find(identity)
        if case is None:
            return
        decision(
            'target_ended',
            identity=identity,
            instance=incarnation and incarnation.id,
            born=incarnation and incarnation.born,
            source=source,
            standing=self.book.standing(identity).value,
            ends=[one.id for one in case.ends],
            begun=sum(case.ends.values()),
        )


def _take_off(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        counts.pop(name)
