"""Send cold targets no more requests than they can handle.

Some thirty replicas' heads of a failure domain can be cold at once, and all
nodes prefer them, as they have the fewest requests in flight. Each node sends
only its share of a target's rate, and the rest goes elsewhere.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.models import ColdStart
from cranecart.ports import Incarnation, ListedInstance
from cranecart.throttling._allotments import AllotmentTable
from cranecart.throttling._bucket import WindowCounter
from cranecart.throttling._cold import (
    JITTER_SECONDS,
    WINDOW_SECONDS,
    ColdNews,
    ColdRegistry,
    ColdUpdate,
)
from cranecart.throttling._shares import ColdRule, ShareRule, split_requests

# The source of a cold period that came with a response, in the log.
_RESPONSE_SOURCE = 'an answer'

# Requests that were chosen in such a time are sent within the window.
_WINDOW_SECONDS = WINDOW_SECONDS + JITTER_SECONDS

# Returns this node's part of a limit, 0 if it has none. Arguments: the target's
# failure domain, its unique name, and what there is to divide.
CountParts = Callable[[str, str, int], int]


def _find_no_cold_start(_service: str) -> None:
    """Find no rate of cold targets, for services without one."""


def _deal_to_one(_failure_domain: str, _name: str, total: int) -> int:
    """Deal this node all that a target's failure domain may send."""
    return split_requests(total)[0]


def _publish_to_nobody(_updates: Sequence[ColdUpdate]) -> None:
    """Publish nothing, for a node without others."""


@attrs.frozen
class ColdSharing:
    """How nodes share what cold targets take.

    ``find_cold_start`` finds how a service's cold targets are loaded, ``deal``
    returns how many of the requests in a second this node may send to a target,
    and ``publish`` sends to all other nodes which targets are cold.
    """

    find_cold_start: Callable[[str], ColdStart | None] = attrs.field(
        default=_find_no_cold_start
    )
    deal: CountParts = attrs.field(default=_deal_to_one)
    publish: Callable[[Sequence[ColdUpdate]], None] = attrs.field(
        default=_publish_to_nobody
    )
    rule: ShareRule = attrs.field(factory=ColdRule)


@attrs.define
class ColdThrottle:
    """Decides what this node may send to targets that are cold now."""

    _sharing: ColdSharing
    _find_instance: Callable[[str], ListedInstance | None]
    _clock: Callable[[], float] = since_boot
    _registry: ColdRegistry = attrs.field(init=False)
    _shares: AllotmentTable = attrs.field(init=False)
    sent_count: int = attrs.field(default=0, init=False)

    def __len__(self) -> int:
        """Return the number of targets that are cold."""
        return len(self._registry)

    def record(self, news: ColdNews) -> bool:
        """Record that a target is cold; return whether that changed."""
        incarnation = news.update.incarnation
        if not self._registry.is_cold(incarnation):
            self._shares.drop(incarnation)
        is_changed = self._registry.record(news)
        if is_changed and incarnation in self._shares:
            self._shares.set_limit(
                incarnation, news.update.per_second, self._clock()
            )
        return is_changed

    def record_response(self, incarnation: Incarnation, seconds: float) -> None:
        """Record that a response announced how long its target stays cold."""
        instance = self._find_instance(incarnation.id)
        service = '' if instance is None else instance.service
        cold_start = self._sharing.find_cold_start(service)
        if cold_start is None:
            return
        update = ColdUpdate(
            incarnation.id, incarnation.born, cold_start.per_second, seconds
        )
        is_changed = self.record(ColdNews(update, _RESPONSE_SOURCE))
        self._registry.mark_own(incarnation)
        if is_changed:
            self._sharing.publish((update,))

    def merge(self, updates: Iterable[ColdUpdate], sender: str) -> None:
        """Merge which targets are cold, as another node published it."""
        for update in updates:
            if update.per_second > 0:
                self.record(ColdNews(update, sender))
                self._registry.mark_reported(update.incarnation)

    def remaining_seconds(self, incarnation: Incarnation) -> float:
        """Return how long a target stays cold, 0 if it is not."""
        return self._registry.remaining_seconds(incarnation)

    def accepts(self, incarnation: Incarnation, rank: int, now: float) -> bool:
        """Return whether this node may send a request of a rank now."""
        period = self._registry.period(incarnation)
        if period is None:
            return True
        if incarnation not in self._shares:
            # Most cold instances are no heads and never receive a request.
            self._shares.set_limit(
                incarnation, period.per_second, now, period.opens_at
            )
        return self._shares.accepts(incarnation, rank, now)

    def may_send(self, incarnation: Incarnation, chosen_at: float) -> bool:
        """Return whether a request may be sent to the target chosen for it.

        It was counted when the target was chosen, and is counted again if it is
        sent much later: requests that wait for connections would be sent
        together. If the target was not known to be cold then, it is counted
        now.
        """
        period = self._registry.period(incarnation)
        now = self._clock()
        if period is None or (
            period.known_since <= chosen_at
            and now - chosen_at <= JITTER_SECONDS
        ):
            return True
        is_accepted = self.accepts(incarnation, 0, now)
        if is_accepted:
            self._shares.take(incarnation, now)
        return is_accepted

    def record_sent(self, incarnation: Incarnation, now: float) -> None:
        """Count a request that is sent to a target."""
        if self._registry.is_cold(incarnation):
            self._shares.take(incarnation, now)
            self.sent_count += 1

    def record_rejection(
        self, incarnation: Incarnation, rank: int, now: float
    ) -> None:
        """Record that a target accepted no request of a rank."""
        self._shares.record_rejection(incarnation, rank, now)

    def seconds_until_accepted(
        self, incarnation: Incarnation, now: float
    ) -> float:
        """Return the seconds until a target should accept a request again."""
        return min(
            self._registry.remaining_seconds(incarnation),
            self._shares.seconds_until_accepted(incarnation, now),
        )

    def refresh(self, listed: Collection[Incarnation], now: float) -> None:
        """Drop the periods that have ended, and update shares."""
        self._registry.prune(listed)
        self._shares.keep_only(self._registry.is_cold)
        self._shares.refresh(now)

    def publish_again(self, seconds: float) -> None:
        """Publish what no other node reported within a number of seconds."""
        updates = self._registry.updates_to_republish(seconds)
        if updates:
            self._sharing.publish(updates)

    @_registry.default
    def _make_registry(self) -> ColdRegistry:
        return ColdRegistry(self._clock)

    @_shares.default
    def _make_shares(self) -> AllotmentTable:
        return AllotmentTable(
            self._sharing.rule,
            self._deal,
            'target_cold_share',
            _WINDOW_SECONDS,
            lambda share, opens_at: WindowCounter(
                share.burst, opens_at, _WINDOW_SECONDS
            ),
            delays_increases=True,
        )

    def _deal(self, incarnation: Incarnation, total: int) -> int:
        instance = self._find_instance(incarnation.id)
        failure_domain = '' if instance is None else instance.failure_domain
        return self._sharing.deal(
            failure_domain, f'{incarnation.id} {incarnation.born}', total
        )
