"""A retry budget that applies to all nodes together.

The ratio needs no agreement: each node uses that of its own requests. The slack
is divided by the nodes that may exist, whether they are in sight or not, and
lent between nodes where it is needed (docs/design/retry-budget.md).
"""

from collections import deque
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.retries._limits import RetryLimits
from cranecart.retries._ratio import RatioCredit
from cranecart.retries._slack import LOAN_SECONDS, SlackShare
from cranecart.retries._unread import UnreadAttempt, UnreadRetry

# The part of the allowed retries that is used. The rest is for nodes that join
# while others are cut off, and for requests that move between nodes.
_USED_FRACTION = 0.95
# A retry reaches its target this much later than it was allowed at most: it may
# have to wait for a connection.
ARRIVAL_SECONDS = 0.5
# With less than this part of its share left, a node borrows.
_LOW_FRACTION = 0.5
_BORROW_INTERVAL_SECONDS = 0.1
_MAX_BORROW_INTERVAL_SECONDS = 1.6
# A process that was paused for longer first has to learn which nodes have joined
# meanwhile.
_MAX_PAUSE_SECONDS = 1.0
_LEARNING_SECONDS = 1.0
# A node that has just been refused a retry itself lends nothing.
_KEEP_SECONDS = 1.0


def _borrow_nothing(
    _service: str, _amount: float, _requested_at: float
) -> None:
    """Ask nobody, where there are no other nodes."""


def _long_ago() -> float:
    """Have been registered before anything that still counts."""
    return float('-inf')


@attrs.define
class _ServiceBudget:
    """What a node knows of the retries of one service."""

    credit: RatioCredit
    slack: SlackShare = attrs.field(factory=SlackShare, init=False)
    withdrawn: int = attrs.field(default=0, init=False)
    refused_at: float = attrs.field(default=float('-inf'), init=False)
    borrow_at: float = attrs.field(default=float('-inf'), init=False)
    borrow_interval: float = attrs.field(
        default=_BORROW_INTERVAL_SECONDS, init=False
    )


@attrs.define
class SharedRetryBudget:
    """This node's share of the retry budget, by service.

    ``_count_nodes`` returns the number of nodes that may exist, with this one, or
    0 as long as that is not known. ``_borrow`` asks other nodes for a loan.
    ``_registered_at`` returns when the store has accepted this process, infinity
    before that. Until a window has passed since then, its share may still be in
    use: by an earlier process of this node, or by nodes that did not count it.
    """

    limits: RetryLimits
    _count_nodes: Callable[[], int]
    _clock: Callable[[], float] = since_boot
    _borrow: Callable[[str, float, float], None] = _borrow_nothing
    _registered_at: Callable[[], float] = _long_ago
    _started_at: float = attrs.field(
        default=attrs.Factory(lambda budget: budget._clock(), takes_self=True),
        init=False,
    )
    _services: dict[str, _ServiceBudget] = attrs.field(factory=dict, init=False)
    # The numbers of nodes within the last window and when they were counted.
    _node_counts: deque[tuple[float, int]] = attrs.field(
        factory=deque, init=False
    )
    _refreshed_at: float | None = attrs.field(default=None, init=False)
    _learns_until: float = attrs.field(default=float('-inf'), init=False)
    _logged_share: tuple[int, float] = attrs.field(default=(0, 0), init=False)
    # Those that targets may still read.
    _unread: list[UnreadRetry] = attrs.field(factory=list, init=False)
    _counts: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(
            (
                'retries',
                'retries_refused',
                'retries_late',
                'retry_loans',
                'retry_loans_given',
            ),
            0,
        ),
        init=False,
    )

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self._service(service).credit.record_request(
            self._used_limits(), self._clock()
        )

    def is_available(self, service: str) -> bool:
        """Return whether a retry may be withdrawn; borrow if few are left."""
        now = self._clock()
        is_allowed = self._missing(service, now) <= 0
        if not is_allowed:
            self._counts['retries_refused'] += 1
            self._service(service).refused_at = now
        self._borrow_if_low(service, now)
        return is_allowed

    def withdraw(self, service: str) -> bool:
        """Withdraw one retry; return whether the budget allows it."""
        if not self.is_available(service):
            return False
        now = self._clock()
        budget = self._service(service)
        limits = self._used_limits()
        from_credit = budget.credit.available(limits, now)
        budget.credit.use(from_credit, limits, now)
        budget.slack.use(1 - from_credit, now, self._held_seconds)
        self._counts['retries'] += 1
        budget.withdrawn += 1
        self._borrow_if_low(service, now)
        return True

    def prolong(
        self, service: str, withdrawn_at: float, arrived_by: float
    ) -> None:
        """Count a retry until its arrival has left the window.

        It ``arrived_by`` that time, which may be later than retries usually do.
        """
        if arrived_by > withdrawn_at + ARRIVAL_SECONDS:
            self._service(service).slack.reschedule(
                withdrawn_at + self._held_seconds,
                arrived_by + self.limits.window_seconds,
            )
            self._counts['retries_late'] += 1

    def hold(
        self, service: str, withdrawn_at: float, attempt: UnreadAttempt
    ) -> None:
        """Count a retry until what its target has not read has left the window.

        It is whichever attempt of the request arrives last.
        """
        until = attempt.read_by + self.limits.window_seconds
        self._service(service).slack.reschedule(
            withdrawn_at + self._held_seconds, until
        )
        self._unread.append(UnreadRetry(service, until, attempt))
        self._counts['retries_late'] += 1

    def lend(self, service: str, amount: float) -> float:
        """Lend retries to another node; return how many, in parts of one."""
        now = self._clock()
        budget = self._service(service)
        if now - budget.refused_at < _KEEP_SECONDS:
            return 0
        lent = budget.slack.lend(
            amount, self._share(now), now, self._held_seconds
        )
        self._counts['retry_loans_given'] += bool(lent)
        return lent

    def add_loan(
        self, service: str, amount: float, requested_at: float
    ) -> None:
        """Add what another node has lent in response to a request."""
        if requested_at > self._clock():
            # Requested before the machine was started again.
            return
        budget = self._service(service)
        budget.slack.add_loan(amount, requested_at)
        budget.borrow_interval = _BORROW_INTERVAL_SECONDS
        self._counts['retry_loans'] += 1

    def refresh(self) -> None:
        """Count the nodes and what was read; to be called a few times a second."""
        now = self._clock()
        self._release_read(now)
        if self._was_paused(now):
            self._learns_until = now + _LEARNING_SECONDS
        self._refreshed_at = now
        nodes = self._max_node_count(now)
        share = self._share(now)
        if (nodes, share) != self._logged_share:
            self._logged_share = (nodes, share)
            log_decision('retry_share', nodes=nodes, slack=round(share, 2))

    def counts(self) -> dict[str, int]:
        """Return the metrics by name, retries also by service."""
        by_service = {
            f'retries_of_{name}': budget.withdrawn
            for name, budget in self._services.items()
        }
        return {**self._counts, **by_service}

    @property
    def _held_seconds(self) -> float:
        """Return for how long a retry counts after it was allowed."""
        return self.limits.window_seconds + ARRIVAL_SECONDS

    def _release_read(self, now: float) -> None:
        """Count retries that were read meanwhile for a window from now on."""
        unread = []
        for retry in self._unread:
            if retry.attempt.is_read:
                self._service(retry.service).slack.reschedule(
                    retry.counted_until, now + self._held_seconds
                )
            elif retry.counted_until > now:
                unread.append(retry)
        self._unread = unread

    def _missing(self, service: str, now: float) -> float:
        """Return how much is missing for a retry, 0 or less if it is allowed."""
        budget = self._service(service)
        from_credit = budget.credit.available(self._used_limits(), now)
        return 1 - from_credit - budget.slack.available(self._share(now), now)

    def _used_limits(self) -> RetryLimits:
        return attrs.evolve(
            self.limits, ratio=_USED_FRACTION * self.limits.ratio
        )

    def _service(self, name: str) -> _ServiceBudget:
        budget = self._services.get(name)
        if budget is None:
            credit = RatioCredit()
            if not self._is_settled(self._clock()):
                credit = RatioCredit.of_successor(self.limits, self._started_at)
            budget = _ServiceBudget(credit)
            self._services[name] = budget
        return budget

    def _share(self, now: float) -> float:
        """Return this node's part of the slack, 0 soon after start or pause."""
        if not self._is_settled(now):
            return 0
        if self._was_paused(now) or now < self._learns_until:
            return 0
        return self._full_share(now)

    def _is_settled(self, now: float) -> bool:
        """Return whether nobody else may have used the share of this node."""
        return now >= self._registered_at() + LOAN_SECONDS + self._held_seconds

    def _was_paused(self, now: float) -> bool:
        if self._refreshed_at is None:
            return False
        return now - self._refreshed_at > _MAX_PAUSE_SECONDS

    def _full_share(self, now: float) -> float:
        nodes = self._max_node_count(now)
        return _USED_FRACTION * self.limits.slack / nodes if nodes else 0

    def _max_node_count(self, now: float) -> int:
        """Return the most nodes that existed at once within a window.

        The shares of those that are gone may have been used a moment ago.
        """
        counts = self._node_counts
        count = self._count_nodes()
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((now, count))
        oldest = now - self._held_seconds - LOAN_SECONDS
        while counts[0][0] < oldest:
            counts.popleft()
        return counts[0][1]

    def _borrow_if_low(self, service: str, now: float) -> None:
        budget = self._service(service)
        share = self._full_share(now)
        is_low = budget.slack.available(self._share(now), now) < (
            _LOW_FRACTION * share
        )
        if not is_low or now < budget.borrow_at:
            return
        budget.borrow_at = now + budget.borrow_interval
        budget.borrow_interval = min(
            2 * budget.borrow_interval, _MAX_BORROW_INTERVAL_SECONDS
        )
        self._borrow(service, max(1, share), now)
