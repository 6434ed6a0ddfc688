"""This node's shares of limits that apply to all nodes together."""

from collections.abc import Callable, Collection

import attrs

from cranecart.logs import log_decision
from cranecart.ports import Incarnation
from cranecart.throttling._bucket import Bucket, TokenBucket
from cranecart.throttling._shares import Share, ShareRule

# How long the result of the check whether this node may send is reused.
_SHARING_CHECK_SECONDS = 0.25
# How long a token is reserved for urgent requests after one was rejected.
_RESERVATION_SECONDS = 1.0
# The tokens that a request needs while one is reserved.
_TOKENS_BESIDE_RESERVED = 2

# Returns this node's part of a target's limit, 0 if it has none, for the
# incarnation and the maximum that the share rule allows.
CountParts = Callable[[Incarnation, int], int]


def _make_token_bucket(share: Share, filled_at: float) -> Bucket:
    return TokenBucket(share.per_second, share.burst, filled_at)


@attrs.define
class Allotment:
    """This node's share of one limit; ``nodes`` is 0 if it has none."""

    limit: float
    nodes: int
    bucket: Bucket
    checked_at: float
    # The most urgent rank that was rejected recently, and when.
    rejected_rank: int = 0
    rejected_at: float = float('-inf')
    # When an increase of the share takes effect that is being delayed, and the
    # minimum of what the share has been since.
    increases_at: float | None = None
    delayed_nodes: int = 0

    def tokens_required(self, rank: int, now: float) -> int:
        """Return how many tokens a request of a rank needs in the bucket.

        The last token is reserved for more urgent requests that were rejected,
        which are retried within about that time. A share of one has none to
        reserve.
        """
        is_reserved = now - self.rejected_at < _RESERVATION_SECONDS
        if self.bucket.burst < _TOKENS_BESIDE_RESERVED:
            return 1
        return 2 if is_reserved and rank > self.rejected_rank else 1

    def with_delayed_increase(
        self, nodes: int, now: float, seconds: float
    ) -> int:
        """Return what is in force of a new share; an increase is delayed.

        A further increase during the delay is delayed after it.
        """
        if nodes <= self.nodes:
            self.increases_at = None
            return nodes
        if self.increases_at is None:
            self.increases_at = now + seconds
            self.delayed_nodes = nodes
        self.delayed_nodes = min(nodes, self.delayed_nodes)
        if now < self.increases_at:
            return self.nodes
        self.increases_at = None
        return self.delayed_nodes

    def record_rejection(self, rank: int, now: float) -> None:
        """Record that a request of a rank was rejected."""
        if self.tokens_required(rank, now) == 1:
            self.rejected_rank = rank
            self.rejected_at = now


@attrs.define
class AllotmentTable:
    """This node's shares of the limits of one kind, by incarnation.

    ``event`` is the log event that tells of a changed share. A node that takes
    over sending from another waits ``handover_seconds`` first: nodes learn of
    each other within that time, and both would send until then. With
    ``delays_increases`` it goes on with its former share for that time whenever
    its share increases.
    """

    _rule: ShareRule
    _count_parts: CountParts
    _event: str
    _handover_seconds: float
    _make_bucket: Callable[[Share, float], Bucket] = attrs.field(
        default=_make_token_bucket
    )
    _delays_increases: bool = False
    _by_incarnation: dict[Incarnation, Allotment] = attrs.field(
        factory=dict, init=False
    )

    def __len__(self) -> int:
        """Return the number of limits."""
        return len(self._by_incarnation)

    def __contains__(self, incarnation: Incarnation) -> bool:
        """Return whether a limit of an incarnation is known."""
        return incarnation in self._by_incarnation

    def set_limit(
        self,
        incarnation: Incarnation,
        limit: float,
        now: float,
        opens_at: float | None = None,
    ) -> None:
        """Add a limit or change it.

        A new share is used from ``opens_at`` on.
        """
        allotment = self._by_incarnation.get(incarnation)
        if allotment is None:
            self._by_incarnation[incarnation] = self._new_allotment(
                incarnation, limit, now, opens_at
            )
        else:
            allotment.limit = limit
            nodes = self._nodes_in_force(incarnation, allotment, now)
            self._reallocate(allotment, nodes, now)
        self._log_share(incarnation)

    def drop(self, incarnation: Incarnation) -> None:
        """Drop a limit that has ended."""
        self._by_incarnation.pop(incarnation, None)

    def keep_only(self, is_in_force: Callable[[Incarnation], bool]) -> None:
        """Drop the limits that are not in force any more."""
        self._by_incarnation = {
            incarnation: allotment
            for incarnation, allotment in self._by_incarnation.items()
            if is_in_force(incarnation)
        }

    def accepts(self, incarnation: Incarnation, rank: int, now: float) -> bool:
        """Return whether this node's share allows a request of a rank now."""
        allotment = self._by_incarnation.get(incarnation)
        if allotment is None:
            return True
        self._check_sharing(incarnation, allotment, now)
        required = allotment.tokens_required(rank, now)
        return allotment.nodes > 0 and allotment.bucket.has_tokens(
            required, now
        )

    def take(self, incarnation: Incarnation, now: float) -> None:
        """Count a request that is sent to a target."""
        allotment = self._by_incarnation.get(incarnation)
        if allotment is not None:
            allotment.bucket.take(now)

    def seconds_until_accepted(
        self, incarnation: Incarnation, now: float
    ) -> float:
        """Return the seconds until a target should accept a request again."""
        allotment = self._by_incarnation.get(incarnation)
        if allotment is None:
            return 0
        if allotment.nodes:
            return allotment.bucket.seconds_to_token(now)
        return 1 / self._rule.share(allotment.limit, 1).per_second

    def share_of(self, incarnation: Incarnation) -> Share | None:
        """Return this node's share of a target's limit, if it has one."""
        allotment = self._by_incarnation.get(incarnation)
        if allotment is None or not allotment.nodes:
            return None
        return self._rule.share(allotment.limit, allotment.nodes)

    def record_rejection(
        self, incarnation: Incarnation, rank: int, now: float
    ) -> None:
        """Record that a target accepted no request of a rank."""
        allotment = self._by_incarnation.get(incarnation)
        if allotment is not None:
            allotment.record_rejection(rank, now)

    def refresh(self, now: float) -> None:
        """Update all shares."""
        for incarnation, allotment in self._by_incarnation.items():
            self._check_sharing(incarnation, allotment, now)

    def shared(self) -> Collection[Incarnation]:
        """Return the incarnations to which this node may send."""
        return {
            incarnation
            for incarnation, allotment in self._by_incarnation.items()
            if allotment.nodes
        }

    def _new_allotment(
        self,
        incarnation: Incarnation,
        limit: float,
        now: float,
        opens_at: float | None,
    ) -> Allotment:
        nodes = self._count_nodes(incarnation, limit)
        share = self._rule.share(limit, max(1, nodes))
        bucket = self._make_bucket(share, now if opens_at is None else opens_at)
        return Allotment(limit, nodes, bucket, now)

    def _check_sharing(
        self, incarnation: Incarnation, allotment: Allotment, now: float
    ) -> None:
        """Update the share of a target's limit if the last check is too old."""
        if now - allotment.checked_at < _SHARING_CHECK_SECONDS:
            return
        allotment.checked_at = now
        nodes = self._nodes_in_force(incarnation, allotment, now)
        if nodes != allotment.nodes:
            self._reallocate(allotment, nodes, now)
            self._log_share(incarnation)

    def _log_share(self, incarnation: Incarnation) -> None:
        share = self.share_of(incarnation)
        log_decision(
            self._event,
            instance=incarnation.id,
            born=incarnation.born,
            per_second=share and share.per_second,
            nodes=self._by_incarnation[incarnation].nodes,
        )

    def _reallocate(self, allotment: Allotment, nodes: int, now: float) -> None:
        share = self._rule.share(allotment.limit, max(1, nodes))
        if nodes and not allotment.nodes:
            starts_at = now + self._handover_seconds
            if self._delays_increases:
                starts_at = now
            allotment.bucket = self._make_bucket(share, starts_at)
        else:
            allotment.bucket.set_rate(share.per_second, share.burst, now)
        allotment.nodes = nodes

    def _nodes_in_force(
        self, incarnation: Incarnation, allotment: Allotment, now: float
    ) -> int:
        nodes = self._count_nodes(incarnation, allotment.limit)
        if not self._delays_increases:
            return nodes
        return allotment.with_delayed_increase(
            nodes, now, self._handover_seconds
        )

    def _count_nodes(self, incarnation: Incarnation, limit: float) -> int:
        return self._count_parts(incarnation, self._rule.max_nodes(limit))
