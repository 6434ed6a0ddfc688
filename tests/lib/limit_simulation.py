"""Many nodes that share one target with a limit, in simulated time.

The throttles are the real ones. Nodes learn of membership changes late, updates
may be lost, and requests arrive some time after they were sent. For a table of
the rules that divide a limit, run: python -m tests.lib.limit_simulation
"""

import functools
import heapq
import itertools
import random
import sys
from collections.abc import Callable, Collection, Iterator, Sequence

import attrs

from cranecart.mesh._rendezvous import top_ranked_names
from cranecart.ports import Incarnation, ResponseInfo
from cranecart.throttling import (
    FewestNodes,
    LimitUpdate,
    Share,
    ShareRule,
    TargetThrottle,
)
from tests.lib.time_windows import max_in_window

INCARNATION = Incarnation('i1', 1)
_DOMAINS = 3
_REQUESTS_PER_SECOND = 10.0
_REFRESH_SECONDS = 0.5
# Updates travel by links and relays; one in a hundred is lost.
_UPDATE_SECONDS = 0.005
_LOSS_FRACTION = 0.01
# How late a node learns of membership changes.
_MIN_LAG_SECONDS = 0.3
_MAX_LAG_SECONDS = 1.0
# One request in fifty waits for a new connection first.
_TRANSIT_SECONDS = 0.002
_SLOW_FRACTION = 0.02
_SLOW_SECONDS = 0.08
_ANSWER_SECONDS = 0.05

# The acceptance rule applies from this time after a limit was first announced,
# and to windows of this length; the required bound is two requests above the
# limit in them.
MEASURED_FROM_SECONDS = 3.0
WINDOW_SECONDS = 4.0
WINDOW_TOLERANCE = 2
# A node's requests count from this time after its first response with the
# limit.
_GRACE_SECONDS = 0.5

_Event = tuple[float, int, Callable[[], None]]
_Members = tuple[float, frozenset[str]]


class DividedByAllNodes:
    """A rejected alternative: every node sends its part of the limit."""

    def max_nodes(self, _limit: float) -> int:
        """Return how many nodes may send at most."""
        return sys.maxsize

    def share(self, limit: float, nodes: int) -> Share:
        """Return what each of a number of nodes may send."""
        return Share(limit / nodes, 1)


class SingleNode(FewestNodes):
    """Another rejected alternative: one node sends all."""

    def max_nodes(self, _limit: float) -> int:
        """Return how many nodes may send at most."""
        return 1


@attrs.define
class Node:
    """One node and its throttle."""

    name: str
    domain: int
    throttle: TargetThrottle
    lag: float
    is_alive: bool = True
    is_isolated: bool = False
    # Time of its first response with a limit, in simulated seconds.
    informed_at: float | None = None


class LimitSimulation:
    """A target that announces a limit from the start, and its nodes."""

    def __init__(
        self,
        nodes: int,
        limit: float,
        *,
        rule: ShareRule | None = None,
        seed: int = 1,
    ) -> None:
        """Create all nodes; nothing runs until ``run``."""
        self.now = float(0)
        self.limit: float | None = limit
        self.per_second = _REQUESTS_PER_SECOND
        self.arrivals: list[tuple[float, str]] = []
        # Nodes that the others do not see now, though they are alive.
        self.invisible: set[str] = set()
        self._rule = rule or FewestNodes()
        self._random = random.Random(seed)
        self._numbers: Iterator[int] = itertools.count()
        self._events: list[_Event] = []
        # The live nodes from each time on, the latest last.
        self._membership: list[_Members] = [(float('-inf'), frozenset())]
        self.nodes: dict[str, Node] = {}
        for number in range(nodes):
            self.start(f'node-{number:03}', number % _DOMAINS)
        self._membership[0] = (float('-inf'), frozenset(self.nodes))

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            due_at, _number, event = heapq.heappop(self._events)
            self.now = due_at
            event()
        self.now = until

    def start(self, name: str, domain: int = 0) -> None:
        """Start a node, or restart the one of that name."""
        lag = self._random.uniform(_MIN_LAG_SECONDS, _MAX_LAG_SECONDS)
        node = Node(name, domain, self._new_throttle(name), lag)
        self.nodes[name] = node
        self._record_membership()
        self._schedule(self._interval(), functools.partial(self._send, node))
        first = self._random.uniform(0, _REFRESH_SECONDS)
        self._schedule(first, functools.partial(self._refresh, node))

    def stop(self, name: str) -> None:
        """Stop a node at once."""
        self.nodes[name].is_alive = False
        self._record_membership()

    def senders(self) -> list[str]:
        """Return the nodes that may send now."""
        return [
            node.name
            for node in self._alive()
            if node.throttle.share_of(INCARNATION) is not None
        ]

    def max_in_window(
        self,
        since: float,
        without: Collection[str] = (),
        *,
        only_informed: bool = False,
    ) -> int:
        """Return the maximum number of arrivals in any window.

        With ``only_informed``, only arrivals count that come half a second or
        more after their node got a response with the limit, as the acceptance
        rule has it.
        """
        times = sorted(
            at
            for at, name in self.arrivals
            if at >= since
            and name not in without
            and not (only_informed and at < self._counted_from(name))
        )
        return max_in_window(times, WINDOW_SECONDS)

    def per_second_between(self, since: float, until: float) -> float:
        """Return the arrivals per second in a period."""
        count = sum(since <= at < until for at, _name in self.arrivals)
        return count / (until - since)

    def _new_throttle(self, name: str) -> TargetThrottle:
        return TargetThrottle(
            lambda _domain, _name, max_nodes: self._sharing_nodes(
                name, max_nodes
            ),
            publish=lambda updates: self._publish(self.nodes[name], updates),
            clock=lambda: self.now,
            rule=self._rule,
        )

    def _counted_from(self, name: str) -> float:
        informed_at = self.nodes[name].informed_at
        return (
            float('inf')
            if informed_at is None
            else informed_at + _GRACE_SECONDS
        )

    def _alive(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.is_alive]

    def _record_membership(self) -> None:
        names = frozenset(node.name for node in self._alive())
        self._membership.append((self.now, names))

    def _sharing_nodes(self, name: str, max_nodes: int) -> int:
        node = self.nodes[name]
        visible = {name}
        if not node.is_isolated:
            visible |= self._members_at(self.now - node.lag) - self.invisible
        local = {peer for peer in visible if not self.nodes[peer].domain}
        chosen = top_ranked_names(local or {name}, INCARNATION.id, max_nodes)
        return len(chosen) if name in chosen else 0

    def _members_at(self, at: float) -> frozenset[str]:
        return next(
            names for since, names in reversed(self._membership) if since <= at
        )

    def _publish(self, sender: Node, updates: Sequence[LimitUpdate]) -> None:
        for node in self._alive():
            if node is sender or node.is_isolated or sender.is_isolated:
                continue
            if self._random.random() >= _LOSS_FRACTION:
                deliver = functools.partial(
                    node.throttle.merge_updates, updates, sender.name
                )
                self._schedule(_UPDATE_SECONDS, deliver)

    def _refresh(self, node: Node) -> None:
        if node.is_alive:
            node.throttle.refresh({INCARNATION})
            self._schedule(
                _REFRESH_SECONDS, functools.partial(self._refresh, node)
            )

    def _send(self, node: Node) -> None:
        if not node.is_alive:
            return
        self._schedule(self._interval(), functools.partial(self._send, node))
        if not node.throttle.accepts(INCARNATION):
            return
        node.throttle.record_sent(INCARNATION)
        is_slow = self._random.random() < _SLOW_FRACTION
        transit_seconds = _SLOW_SECONDS if is_slow else _TRANSIT_SECONDS
        self._schedule(
            transit_seconds, functools.partial(self._receive, node, self.now)
        )

    def _receive(self, node: Node, sent_at: float) -> None:
        self.arrivals.append((self.now, node.name))
        info = ResponseInfo('r', True, False, limit=self.limit)
        self._schedule(
            self._random.expovariate(1 / _ANSWER_SECONDS),
            functools.partial(self._respond, node, info, sent_at),
        )

    def _respond(self, node: Node, info: ResponseInfo, sent_at: float) -> None:
        if info.limit is not None and node.informed_at is None:
            node.informed_at = self.now
        node.throttle.record_response(INCARNATION, info, sent_at)

    def _interval(self) -> float:
        return self._random.expovariate(self.per_second)

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        due = (self.now + seconds, next(self._numbers), event)
        heapq.heappush(self._events, due)


def _main() -> None:
    """Print the requests that each rule allows, and the required bound."""
    share_rules: tuple[ShareRule, ...] = (
        DividedByAllNodes(),
        SingleNode(),
        FewestNodes(),
    )
    for nodes, limit in itertools.product(
        (4, 9, 30, 78, 300),
        (0.3, 1.4, 2.0, 5.0, 10.0, 50.0),
    ):
        columns = []
        for rule in share_rules:
            max_requests, used = _measure(nodes, limit, rule)
            columns.append(f'{max_requests:4} {used:5.2f}')
        bound = int(limit * WINDOW_SECONDS + WINDOW_TOLERANCE)
        row = ' | '.join((f'{nodes:4} {limit:5} {bound:4}', *columns))
        sys.stdout.write(f'{row}\n')


def _measure(nodes: int, limit: float, rule: ShareRule) -> tuple[int, float]:
    seconds = max(30, 20 / limit)
    simulation = LimitSimulation(nodes, limit, rule=rule)
    simulation.run(MEASURED_FROM_SECONDS + seconds)
    return (
        simulation.max_in_window(MEASURED_FROM_SECONDS),
        simulation.per_second_between(MEASURED_FROM_SECONDS, simulation.now)
        / limit,
    )


if __name__ == '__main__':
    _main()
