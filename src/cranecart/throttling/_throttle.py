"""Let no more requests through to a target than it says that it takes.

Load answered: targets in need name a few requests a second, for all nodes
together, and every node may be asked for many times that; others turn away what
comes and ask for rest, and look free by their counts meanwhile.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import decision
from cranecart.ports import AnswerFacts, Incarnation, ListedInstance
from cranecart.throttling._backoffs import BackoffRegistry
from cranecart.throttling._bucket import TokenBucket
from cranecart.throttling._limits import LimitRegistry, LimitUpdate
from cranecart.throttling._shares import FewestNodes, Share, ShareRule

# How long a node that comes to send in another's place waits before it does:
# nodes learn of each other within that time, and both would send.
_HANDOVER_SECONDS = 1.0
# How old a finding may be that this node is among those that send.
_LOOK_SECONDS = 0.25
# How often limits are repeated, for nodes that have started or missed them.
_REPEAT_SECONDS = 2.0
# How long a place is kept for urgent requests that were turned away.
_WAITING_SECONDS = 1.0

# Tells how many nodes share a target if this node is one of them, else 0; by
# failure domain, what tells the target from others, and how many at most.
CountSharingNodes = Callable[[str, str, int], int]


def _send_alone(_domain: str, _name: str, _most: int) -> int:
    """Be the only node."""
    return 1


def _know_nothing(_name: str) -> None:
    """Know no instance's failure domain."""


def _hear_of_none(_incarnation: Incarnation) -> None:
    """Serve where no target leaves."""


def _has_none(_incarnation: Incarnation) -> bool:
    """Know of no target that leaves."""
    return False


def _tell_nobody(_news: Sequence[LimitUpdate]) -> None:
    """Serve a node without others."""


@attrs.define
class _Allotment:
    """This node's part of one limit; ``nodes`` is 0 if it has none."""

    limit: float
    nodes: int
    bucket: TokenBucket
    checked_at: float
    # The most urgent rank that was turned away lately, and when.
    rejected_rank: int = 0
    rejected_at: float = float('-inf')

    def tokens_required(self, rank: int, now: float) -> int:
        """Return how many tokens must be there for a request of a rank.

        The last one is left to what is more urgent and was turned away: it
        comes back within about that time.
        """
        is_waited_for = now - self.rejected_at < _WAITING_SECONDS
        return 2 if is_waited_for and rank > self.rejected_rank else 1

    def record_rejection(self, rank: int, now: float) -> None:
        """Take over that a request of a rank was turned away."""
        if self.tokens_required(rank, now) == 1:
            self.rejected_rank = rank
            self.rejected_at = now


@attrs.define
class TargetThrottle:
    """What may be sent to targets now, as far as they have said.

    ``_known`` finds a listed instance by id, ``_tell`` tells all other nodes.
    ``_leave`` hears of lives that say that they leave, and ``_is_leaving`` tells
    which do; the fleet leaves them out itself.
    """

    _count_sharing_nodes: CountSharingNodes = attrs.field(default=_send_alone)
    _find_instance: Callable[[str], ListedInstance | None] = attrs.field(
        default=_know_nothing,
    )
    _publish: Callable[[Sequence[LimitUpdate]], None] = attrs.field(
        default=_tell_nobody,
    )
    _mark_leaving: Callable[[Incarnation], None] = attrs.field(
        default=_hear_of_none
    )
    _is_leaving: Callable[[Incarnation], bool] = attrs.field(default=_has_none)
    _clock: Callable[[], float] = since_boot
    _rule: ShareRule = attrs.field(factory=FewestNodes)
    _limits: LimitRegistry = attrs.field(init=False)
    _backoffs: BackoffRegistry = attrs.field(init=False)
    _allotments: dict[Incarnation, _Allotment] = attrs.field(
        factory=dict, init=False
    )
    _republished_at: float = attrs.field(default=0, init=False)
    _rejections: int = attrs.field(default=0, init=False)

    @property
    def is_unrestricted(self) -> bool:
        """Tell whether no target has said anything."""
        return not self._allotments and not self._backoffs

    def record_response(
        self,
        incarnation: Incarnation,
        facts: AnswerFacts,
        sent_at: float,
    ) -> None:
        """Take over what a target says, and tell others what is new.

        ``sent_at`` is when the request was sent that it answers.
        """
        if facts.rest_seconds:
            self._backoffs.record(incarnation, facts.rest_seconds)
        if facts.is_leaving:
            self._mark_leaving(incarnation)
        news = self._limits.record_response(incarnation, facts, sent_at)
        if news is not None:
            self._apply(news)
            self._publish((news,))

    def merge_updates(self, told: Iterable[LimitUpdate], by: str) -> None:
        """Take over what another node knows."""
        for news in told:
            if self._limits.merge(news, by):
                self._apply(news)

    def accepts(self, incarnation: Incarnation, rank: int = 0) -> bool:
        """Tell whether a target takes a request of this node now.

        Ranks that are smaller are more urgent. What leaves is not asked for
        here, as the fleet leaves it out.
        """
        if self._backoffs and self._backoffs.remaining_seconds(incarnation):
            return False
        part = self._allotments.get(incarnation)
        if part is None:
            return True
        now = self._clock()
        self._check_sharing(incarnation, part, now)
        wanted = part.tokens_required(rank, now)
        return part.nodes > 0 and part.bucket.has_tokens(wanted, now)

    def may_send(self, incarnation: Incarnation) -> bool:
        """Tell whether what was chosen for a target may still be sent."""
        return not (
            self._backoffs.remaining_seconds(incarnation)
            or self._is_leaving(incarnation)
        )

    def record_sent(self, incarnation: Incarnation) -> None:
        """Count a request that goes to a target."""
        part = self._allotments.get(incarnation)
        if part is not None:
            part.bucket.take(self._clock())

    def seconds_until_accepted(self, incarnation: Incarnation) -> float:
        """Return after how long a target should take a request again."""
        rest = self._backoffs.remaining_seconds(incarnation)
        part = self._allotments.get(incarnation)
        if part is None:
            return rest
        if part.nodes:
            return max(rest, part.bucket.seconds_to_token(self._clock()))
        return max(rest, 1 / self._rule.share(part.limit, 1).per_second)

    def share_of(self, incarnation: Incarnation) -> Share | None:
        """Return this node's part of a target's limit, if it has one."""
        part = self._allotments.get(incarnation)
        if part is None or not part.nodes:
            return None
        return self._rule.share(part.limit, part.nodes)

    def record_rejection(
        self, incarnations: Iterable[Incarnation], rank: int
    ) -> None:
        """Take over that none of some targets took a request of a rank."""
        self._rejections += 1
        now = self._clock()
        for incarnation in incarnations:
            part = self._allotments.get(incarnation)
            if part is not None:
                part.record_rejection(rank, now)

    def refresh(self, listed: Collection[Incarnation]) -> None:
        """Look anew who sends, and repeat what others have to know."""
        now = self._clock()
        self._backoffs.prune()
        for incarnation, part in self._allotments.items():
            self._check_sharing(incarnation, part, now)
        sends = {
            incarnation
            for incarnation, part in self._allotments.items()
            if part.nodes
        }
        self._limits.prune(listed, sends)
        self._allotments = {
            incarnation: part
            for incarnation, part in self._allotments.items()
            if self._limits.limit(incarnation) is not None
        }
        if now - self._republished_at >= _REPEAT_SECONDS:
            self._republished_at = now
            told = self._limits.updates_to_repeat(sends, 2 * _REPEAT_SECONDS)
            if told:
                self._publish(told)

    def counts(self) -> dict[str, int]:
        """Return figures by name."""
        return {
            'targets_with_limit': len(self._allotments),
            'targets_at_rest': len(self._backoffs),
            'turned_away_by_targets_words': self._rejections,
        }

    @_backoffs.default
    def _make_backoffs(self) -> BackoffRegistry:
        return BackoffRegistry(self._clock)

    @_limits.default
    def _make_limits(self) -> LimitRegistry:
        return LimitRegistry(self._clock)

    def _apply(self, news: LimitUpdate) -> None:
        if news.per_second is None:
            self._allotments.pop(news.incarnation, None)
            return
        now = self._clock()
        part = self._allotments.get(news.incarnation)
        if part is None:
            self._allotments[news.incarnation] = self._new_allotment(news, now)
        else:
            part.limit = news.per_second
            self._reallocate(
                part, self._count_nodes(news.incarnation, part.limit), now
            )
        self._log_share(news.incarnation)

    def _new_allotment(self, news: LimitUpdate, now: float) -> _Allotment:
        limit = news.per_second or 0
        nodes = self._count_nodes(news.incarnation, limit)
        share = self._rule.share(limit, max(1, nodes))
        bucket = TokenBucket(share.per_second, share.burst, now)
        return _Allotment(limit, nodes, bucket, now)

    def _check_sharing(
        self, incarnation: Incarnation, part: _Allotment, now: float
    ) -> None:
        """Find out whether this node is among those that send."""
        if now - part.checked_at < _LOOK_SECONDS:
            return
        part.checked_at = now
        nodes = self._count_nodes(incarnation, part.limit)
        if nodes != part.nodes:
            self._reallocate(part, nodes, now)
            self._log_share(incarnation)

    def _log_share(self, incarnation: Incarnation) -> None:
        share = self.share_of(incarnation)
        decision(
            'target_share',
            instance=incarnation.id,
            born=incarnation.born,
            per_second=share and share.per_second,
            nodes=self._allotments[incarnation].nodes,
        )

    def _reallocate(self, part: _Allotment, nodes: int, now: float) -> None:
        share = self._rule.share(part.limit, max(1, nodes))
        if nodes and not part.nodes:
            begins_at = now + _HANDOVER_SECONDS
            part.bucket = TokenBucket(
                share.per_second,
                share.burst,
                begins_at,
            )
        else:
            part.bucket.set_rate(share.per_second, share.burst, now)
        part.nodes = nodes

    def _count_nodes(self, incarnation: Incarnation, limit: float) -> int:
        instance = self._find_instance(incarnation.id)
        domain = '' if instance is None else instance.failure_domain
        most = self._rule.max_nodes(limit)
        return self._count_sharing_nodes(
            domain, f'{incarnation.id} {incarnation.born}', most
        )
