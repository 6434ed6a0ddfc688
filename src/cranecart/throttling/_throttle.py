"""Send targets no more requests than they announce that they accept.

Overloaded targets announce limits of a few requests a second for all nodes
together, while each node may be asked for many times that. Others refuse
requests and ask for a back-off; meanwhile they look idle by their request
counts.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation, ListedInstance, ResponseInfo
from cranecart.throttling._allotments import AllotmentTable
from cranecart.throttling._backoffs import BackoffRegistry
from cranecart.throttling._cold import ColdNews, ColdUpdate
from cranecart.throttling._cold_throttle import ColdSharing, ColdThrottle
from cranecart.throttling._limits import LimitRegistry, LimitUpdate
from cranecart.throttling._shares import FewestNodes, Share, ShareRule

# A node that takes over sending from another waits this long first: nodes
# learn of each other within that time, and both would send until then.
_HANDOVER_SECONDS = 1.0
# How often limits are published again, for nodes that have started since or
# missed them.
_REPUBLISH_SECONDS = 2.0
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
    _cold_sharing: ColdSharing = attrs.field(factory=ColdSharing)
    _limits: LimitRegistry = attrs.field(init=False)
    _backoffs: BackoffRegistry = attrs.field(init=False)
    _cold: ColdThrottle = attrs.field(init=False)
    _limit_shares: AllotmentTable = attrs.field(init=False)
    _republished_at: float = attrs.field(default=0, init=False)
    _rejections: int = attrs.field(default=0, init=False)

    @property
    def is_unrestricted(self) -> bool:
        """Return whether no limit or back-off of any target is known."""
        return not (self._limit_shares or self._backoffs or self._cold)

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
        if facts.cold_seconds is not None:
            self._cold.record_response(incarnation, facts.cold_seconds)
        update = self._limits.record_response(incarnation, facts, sent_at)
        if update is not None:
            self._apply(update)
            self._publish((update,))

    def merge_updates(
        self,
        updates: Iterable[LimitUpdate],
        sender: str,
        cold_updates: Iterable[ColdUpdate] = (),
    ) -> None:
        """Merge limits and cold targets that another node published."""
        for update in updates:
            if self._limits.merge(update, sender):
                self._apply(update)
        self._cold.merge(cold_updates, sender)

    def set_cold(  # noqa: WPS615
        self,
        incarnation: Incarnation,
        per_second: float,
        seconds: float,
        source: str,
        *,
        is_new: bool = False,
        is_assumed: bool = False,
    ) -> None:
        """Record that a target is cold for so long from now on.

        It takes ``per_second`` requests from all nodes together; 0 is no limit.
        ``is_new`` is true if this node has not sent to it before,
        ``is_assumed`` if nobody told how long it stays cold.
        """
        if per_second > 0:
            update = ColdUpdate(
                incarnation.id, incarnation.born, per_second, seconds
            )
            self._cold.record(ColdNews(update, source, is_new, is_assumed))

    def cold_seconds(self, incarnation: Incarnation) -> float:
        """Return how many seconds a target stays cold, 0 if it is not."""
        return self._cold.remaining_seconds(incarnation)

    def accepts(self, incarnation: Incarnation, rank: int = 0) -> bool:
        """Return whether a target accepts a request from this node now.

        Smaller ranks are more urgent. Leaving targets are not checked here, as
        the fleet omits them from its lists.
        """
        if self._backoffs and self._backoffs.remaining_seconds(incarnation):
            return False
        now = self._clock()
        return self._limit_shares.accepts(
            incarnation, rank, now
        ) and self._cold.accepts(incarnation, rank, now)

    def may_send(
        self, incarnation: Incarnation, chosen_at: float | None = None
    ) -> bool:
        """Return whether a request may still be sent to its chosen target.

        ``chosen_at`` is when the target was chosen, if that was before now.
        """
        if self._backoffs.remaining_seconds(incarnation):
            return False
        if self._is_leaving(incarnation):
            return False
        return chosen_at is None or self._cold.may_send(incarnation, chosen_at)

    def record_sent(self, incarnation: Incarnation) -> None:
        """Count a request that is sent to a target."""
        now = self._clock()
        self._limit_shares.take(incarnation, now)
        self._cold.record_sent(incarnation, now)

    def seconds_until_accepted(self, incarnation: Incarnation) -> float:
        """Return the seconds until a target should accept a request again."""
        now = self._clock()
        return max(
            self._backoffs.remaining_seconds(incarnation),
            self._limit_shares.seconds_until_accepted(incarnation, now),
            self._cold.seconds_until_accepted(incarnation, now),
        )

    def share_of(self, incarnation: Incarnation) -> Share | None:
        """Return this node's share of a target's limit, if it has one."""
        return self._limit_shares.share_of(incarnation)

    def record_rejection(
        self, incarnations: Iterable[Incarnation], rank: int
    ) -> None:
        """Record that none of these targets accepted a request of a rank."""
        self._rejections += 1
        now = self._clock()
        for incarnation in incarnations:
            self._limit_shares.record_rejection(incarnation, rank, now)
            self._cold.record_rejection(incarnation, rank, now)

    def refresh(self, listed: Collection[Incarnation]) -> None:
        """Drop expired limits, update shares, and publish limits again."""
        now = self._clock()
        self._backoffs.prune()
        self._cold.refresh(listed, now)
        self._limit_shares.refresh(now)
        sending_to = self._limit_shares.shared()
        self._limits.prune(listed, sending_to)
        self._limit_shares.keep_only(
            lambda incarnation: self._limits.limit(incarnation) is not None
        )
        if now - self._republished_at >= _REPUBLISH_SECONDS:
            self._republished_at = now
            self._republish(sending_to)

    def counts(self) -> dict[str, int]:
        """Return metrics by name."""
        return {
            'targets_with_limit': len(self._limit_shares),
            'targets_at_rest': len(self._backoffs),
            'turned_away_by_targets_words': self._rejections,
            'targets_cold': len(self._cold),
            'sent_to_cold_targets': self._cold.sent_count,
        }

    @_backoffs.default
    def _make_backoffs(self) -> BackoffRegistry:
        return BackoffRegistry(self._clock)

    @_limits.default
    def _make_limits(self) -> LimitRegistry:
        return LimitRegistry(self._clock)

    @_cold.default
    def _make_cold(self) -> ColdThrottle:
        return ColdThrottle(
            self._cold_sharing, self._find_instance, self._clock
        )

    @_limit_shares.default
    def _make_limit_shares(self) -> AllotmentTable:
        return AllotmentTable(
            self._rule, self._count_nodes, 'target_share', _HANDOVER_SECONDS
        )

    def _apply(self, update: LimitUpdate) -> None:
        if update.per_second is None:
            self._limit_shares.drop(update.incarnation)
        else:
            self._limit_shares.set_limit(
                update.incarnation, update.per_second, self._clock()
            )

    def _republish(self, sending_to: Collection[Incarnation]) -> None:
        seconds = 2 * _REPUBLISH_SECONDS
        updates = self._limits.updates_to_republish(sending_to, seconds)
        if updates:
            self._publish(updates)
        self._cold.publish_again(seconds)

    def _count_nodes(self, incarnation: Incarnation, max_nodes: int) -> int:
        instance = self._find_instance(incarnation.id)
        failure_domain = '' if instance is None else instance.failure_domain
        return self._count_sharing_nodes(
            failure_domain, f'{incarnation.id} {incarnation.born}', max_nodes
        )
