"""Send targets no more requests than they announce that they accept.

Overloaded targets announce limits of a few requests a second for all nodes
together, while each node may be asked for many times that. Others refuse
requests and ask for a back-off; meanwhile they look idle by their request
counts.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance, ResponseInfo
from cranecart.throttling._backoffs import BackoffRegistry
from cranecart.throttling._bucket import TokenBucket
from cranecart.throttling._limits import LimitRegistry, LimitUpdate
from cranecart.throttling._shares import FewestNodes, Share, ShareRule

# A node that takes over sending from another waits this long first: nodes
# learn of each other within that time, and both would send until then.
_HANDOVER_SECONDS = 1.0
# How long the result of the check whether this node may send is reused.
_SHARING_CHECK_SECONDS = 0.25
# How often limits are published again, for nodes that have started since or
# missed them.
_REPUBLISH_SECONDS = 2.0
# How long a token is reserved for urgent requests after one was rejected.
_RESERVATION_SECONDS = 1.0

# Returns how many nodes share a target if this node is one of them, else 0.
# Arguments: the target's failure domain, its unique name, and the maximum
# number of nodes.
CountSharingNodes = Callable[[str, str, int], int]


def _count_one(_failure_domain: str, _name: str, _max_nodes: int) -> int:
    """Count this node alone."""
    return 1


def _find_no_instance(_name: str) -> None:
    """Find no instance, so that failure domains are unknown."""


def _ignore_leaving(_incarnation: Incarnation) -> None:
    """Ignore that a target announced its leaving."""


def _is_never_leaving(_incarnation: Incarnation) -> bool:
    """Treat no target as leaving."""
    return False


def _publish_to_nobody(_updates: Sequence[LimitUpdate]) -> None:
    """Publish nothing, for a node without others."""


@attrs.define
class _Allotment:
    """This node's share of one limit; ``nodes`` is 0 if it has none."""

    limit: float
    nodes: int
    bucket: TokenBucket
    checked_at: float
    # The most urgent rank that was rejected recently, and when.
    rejected_rank: int = 0
    rejected_at: float = float('-inf')

    def tokens_required(self, rank: int, now: float) -> int:
        """Return how many tokens a request of a rank needs in the bucket.

        The last token is reserved for more urgent requests that were rejected,
        which are retried within about that time.
        """
        is_reserved = now - self.rejected_at < _RESERVATION_SECONDS
        return 2 if is_reserved and rank > self.rejected_rank else 1

    def record_rejection(self, rank: int, now: float) -> None:
        """Record that a request of a rank was rejected."""
        if self.tokens_required(rank, now) == 1:
            self.rejected_rank = rank
            self.rejected_at = now


@attrs.define
class TargetThrottle:
    """Decides what this node may send to targets, by what they announced.

    ``_find_instance`` finds a listed instance by id, ``_publish`` sends limits
    to all other nodes. ``_mark_leaving`` is called with incarnations that
    announce their leaving, and ``_is_leaving`` returns whether one did; the
    fleet omits those from its lists itself.
    """

    _count_sharing_nodes: CountSharingNodes = attrs.field(default=_count_one)
    _find_instance: Callable[[str], ListedInstance | None] = attrs.field(
        default=_find_no_instance,
    )
    _publish: Callable[[Sequence[LimitUpdate]], None] = attrs.field(
        default=_publish_to_nobody,
    )
    _mark_leaving: Callable[[Incarnation], None] = attrs.field(
        default=_ignore_leaving
    )
    _is_leaving: Callable[[Incarnation], bool] = attrs.field(
        default=_is_never_leaving
    )
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
        """Return whether no limit or back-off of any target is known."""
        return not self._allotments and not self._backoffs

    def record_response(
        self,
        incarnation: Incarnation,
        facts: ResponseInfo,
        sent_at: float,
    ) -> None:
        """Apply what a target announces, and publish what is new.

        ``sent_at`` is when the request of this response was sent.
        """
        if facts.backoff_seconds:
            self._backoffs.record(incarnation, facts.backoff_seconds)
        if facts.is_leaving:
            self._mark_leaving(incarnation)
        update = self._limits.record_response(incarnation, facts, sent_at)
        if update is not None:
            self._apply(update)
            self._publish((update,))

    def merge_updates(
        self, updates: Iterable[LimitUpdate], sender: str
    ) -> None:
        """Merge the limits that another node published."""
        for update in updates:
            if self._limits.merge(update, sender):
                self._apply(update)

    def accepts(self, incarnation: Incarnation, rank: int = 0) -> bool:
        """Return whether a target accepts a request from this node now.

        Smaller ranks are more urgent. Leaving targets are not checked here, as
        the fleet omits them from its lists.
        """
        if self._backoffs and self._backoffs.remaining_seconds(incarnation):
            return False
        allotment = self._allotments.get(incarnation)
        if allotment is None:
            return True
        now = self._clock()
        self._check_sharing(incarnation, allotment, now)
        required = allotment.tokens_required(rank, now)
        return allotment.nodes > 0 and allotment.bucket.has_tokens(
            required, now
        )

    def may_send(self, incarnation: Incarnation) -> bool:
        """Return whether a request may still be sent to its chosen target."""
        return not (
            self._backoffs.remaining_seconds(incarnation)
            or self._is_leaving(incarnation)
        )

    def record_sent(self, incarnation: Incarnation) -> None:
        """Count a request that is sent to a target."""
        allotment = self._allotments.get(incarnation)
        if allotment is not None:
            allotment.bucket.take(self._clock())

    def seconds_until_accepted(self, incarnation: Incarnation) -> float:
        """Return the seconds until a target should accept a request again."""
        backoff = self._backoffs.remaining_seconds(incarnation)
        allotment = self._allotments.get(incarnation)
        if allotment is None:
            return backoff
        if allotment.nodes:
            return max(
                backoff, allotment.bucket.seconds_to_token(self._clock())
            )
        return max(backoff, 1 / self._rule.share(allotment.limit, 1).per_second)

    def share_of(self, incarnation: Incarnation) -> Share | None:
        """Return this node's share of a target's limit, if it has one."""
        allotment = self._allotments.get(incarnation)
        if allotment is None or not allotment.nodes:
            return None
        return self._rule.share(allotment.limit, allotment.nodes)

    def record_rejection(
        self, incarnations: Iterable[Incarnation], rank: int
    ) -> None:
        """Record that none of these targets accepted a request of a rank."""
        self._rejections += 1
        now = self._clock()
        for incarnation in incarnations:
            allotment = self._allotments.get(incarnation)
            if allotment is not None:
                allotment.record_rejection(rank, now)

    def refresh(self, listed: Collection[Incarnation]) -> None:
        """Drop expired limits, update shares, and publish limits again."""
        now = self._clock()
        self._backoffs.prune()
        for incarnation, allotment in self._allotments.items():
            self._check_sharing(incarnation, allotment, now)
        sending_to = {
            incarnation
            for incarnation, allotment in self._allotments.items()
            if allotment.nodes
        }
        self._limits.prune(listed, sending_to)
        self._allotments = {
            incarnation: allotment
            for incarnation, allotment in self._allotments.items()
            if self._limits.limit(incarnation) is not None
        }
        if now - self._republished_at >= _REPUBLISH_SECONDS:
            self._republished_at = now
            updates = self._limits.updates_to_republish(
                sending_to, 2 * _REPUBLISH_SECONDS
            )
            if updates:
                self._publish(updates)

    def counts(self) -> dict[str, int]:
        """Return metrics by name."""
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

    def _apply(self, update: LimitUpdate) -> None:
        if update.per_second is None:
            self._allotments.pop(update.incarnation, None)
            return
        now = self._clock()
        allotment = self._allotments.get(update.incarnation)
        if allotment is None:
            self._allotments[update.incarnation] = self._new_allotment(
                update, now
            )
        else:
            allotment.limit = update.per_second
            self._reallocate(
                allotment,
                self._count_nodes(update.incarnation, allotment.limit),
                now,
            )
        self._log_share(update.incarnation)

    def _new_allotment(self, update: LimitUpdate, now: float) -> _Allotment:
        limit = update.per_second or 0
        nodes = self._count_nodes(update.incarnation, limit)
        share = self._rule.share(limit, max(1, nodes))
        bucket = TokenBucket(share.per_second, share.burst, now)
        return _Allotment(limit, nodes, bucket, now)

    def _check_sharing(
        self, incarnation: Incarnation, allotment: _Allotment, now: float
    ) -> None:
        """Update the share of a target's limit if the last check is too old."""
        if now - allotment.checked_at < _SHARING_CHECK_SECONDS:
            return
        allotment.checked_at = now
        nodes = self._count_nodes(incarnation, allotment.limit)
        if nodes != allotment.nodes:
            self._reallocate(allotment, nodes, now)
            self._log_share(incarnation)

    def _log_share(self, incarnation: Incarnation) -> None:
        share = self.share_of(incarnation)
        log_decision(
            'target_share',
            instance=incarnation.id,
            born=incarnation.born,
            per_second=share and share.per_second,
            nodes=self._allotments[incarnation].nodes,
        )

    def _reallocate(
        self, allotment: _Allotment, nodes: int, now: float
    ) -> None:
        share = self._rule.share(allotment.limit, max(1, nodes))
        if nodes and not allotment.nodes:
            starts_at = now + _HANDOVER_SECONDS
            allotment.bucket = TokenBucket(
                share.per_second,
                share.burst,
                starts_at,
            )
        else:
            allotment.bucket.set_rate(share.per_second, share.burst, now)
        allotment.nodes = nodes

    def _count_nodes(self, incarnation: Incarnation, limit: float) -> int:
        instance = self._find_instance(incarnation.id)
        failure_domain = '' if instance is None else instance.failure_domain
        max_nodes = self._rule.max_nodes(limit)
        return self._count_sharing_nodes(
            failure_domain, f'{incarnation.id} {incarnation.born}', max_nodes
        )
