"""Many nodes before one target with a limit, in simulated time.

The books and buckets are the product's; who lives is seen late, news may be
lost, and requests arrive later than they were sent. Usage, by hand, for a table
of the ways to divide a limit: python -m tests.lib.limit_simulation
"""

import functools
import heapq
import itertools
import random
import sys
from collections.abc import Callable, Collection, Iterator, Sequence

import attrs

from cranecart.mesh._rendezvous import top_ranked_names
from cranecart.ports import AnswerFacts, Incarnation
from cranecart.throttling import (
    FewestNodes,
    LimitUpdate,
    Share,
    ShareRule,
    TargetThrottle,
)
from tests.lib.spans import most_in_span

_LIFE = Incarnation('i1', 1)
_DOMAINS = 3
_A_SECOND_EACH = 10.0
_RENEW_SECONDS = 0.5
# News goes by links and relays; one in a hundred is lost.
_NEWS_SECONDS = 0.005
_LOST_PART = 0.01
# How late a node sees who lives.
_LEAST_LAG_SECONDS = 0.3
_MOST_LAG_SECONDS = 1.0
# One request in fifty waits for a connection first.
_WAY_SECONDS = 0.002
_SLOW_PART = 0.02
_SLOW_SECONDS = 0.08
_ANSWER_SECONDS = 0.05

# The users' rule begins so long after a limit was first named, and looks at
# spans of so many seconds; the aim is two requests over the limit in them.
RULE_BEGINS_SECONDS = 3.0
SPAN_SECONDS = 4.0
MOST_EXTRA = 2
# A node counts from so long on after its first answer that names it.
_TOLD_SECONDS = 0.5

_Due = tuple[float, int, Callable[[], None]]
_Lives = tuple[float, frozenset[str]]


class DividedByAll:
    """The way not taken: every node sends its part of the limit."""

    def max_nodes(self, _limit: float) -> int:
        """Return how many nodes may send at most."""
        return sys.maxsize

    def share(self, limit: float, nodes: int) -> Share:
        """Return what each of so many nodes may send."""
        return Share(limit / nodes, 1)


class OneNode(FewestNodes):
    """The other way not taken: one node sends all."""

    def max_nodes(self, _limit: float) -> int:
        """Return how many nodes may send at most."""
        return 1


@attrs.define
class Node:
    """One node, and since when it lives."""

    name: str
    domain: int
    gate: TargetThrottle
    lag: float
    is_alive: bool = True
    is_cut: bool = False
    # When it had the first answer that names a limit.
    told_at: float | None = None


class LimitSimulation:
    """A target that names a limit from the start, and the nodes before it."""

    def __init__(
        self,
        nodes: int,
        limit: float,
        *,
        rule: ShareRule | None = None,
        seed: int = 1,
    ) -> None:
        """Build everything; nothing runs until ``run``."""
        self.now = float(0)
        self.limit: float | None = limit
        self.per_second = _A_SECOND_EACH
        self.arrivals: list[tuple[float, str]] = []
        # Nodes that the others do not hear now, though they live.
        self.hidden: set[str] = set()
        self._rule = rule or FewestNodes()
        self._random = random.Random(seed)
        self._numbers: Iterator[int] = itertools.count()
        self._due: list[_Due] = []
        # Who lived from when on, the last at the end.
        self._lived: list[_Lives] = [(float('-inf'), frozenset())]
        self.nodes: dict[str, Node] = {}
        for number in range(nodes):
            self.start(f'node-{number:03}', number % _DOMAINS)
        self._lived[0] = (float('-inf'), frozenset(self.nodes))

    def run(self, seconds: float) -> None:
        """Let the time go on."""
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            due_at, _number, event = heapq.heappop(self._due)
            self.now = due_at
            event()
        self.now = until

    def start(self, name: str, domain: int = 0) -> None:
        """Start a node, anew if there was one of that name."""
        lag = self._random.uniform(_LEAST_LAG_SECONDS, _MOST_LAG_SECONDS)
        gate = TargetThrottle(
            lambda _domain, _name, most: self._sharing_nodes(name, most),
            publish=lambda told: self._tell(node, told),
            clock=lambda: self.now,
            rule=self._rule,
        )
        node = Node(name, domain, gate, lag)
        self.nodes[name] = node
        self._note_lives()
        self._at(self._pause(), functools.partial(self._ask, node))
        first = self._random.uniform(0, _RENEW_SECONDS)
        self._at(first, functools.partial(self._renew, node))

    def stop(self, name: str) -> None:
        """End a node at once."""
        self.nodes[name].is_alive = False
        self._note_lives()

    def senders(self) -> list[str]:
        """Return the nodes that send now."""
        return [
            node.name
            for node in self._alive()
            if node.gate.share_of(_LIFE) is not None
        ]

    def most_in_span(
        self,
        since: float,
        without: Collection[str] = (),
        *,
        only_told: bool = False,
    ) -> int:
        """Return the most arrivals in any of the rule's spans.

        With ``only_told`` those count that come half a second or more after
        their node had an answer that names the limit, as the rule has it.
        """
        times = sorted(
            at
            for at, name in self.arrivals
            if at >= since
            and name not in without
            and not (only_told and at < self._counted_from(name))
        )
        return most_in_span(times, SPAN_SECONDS)

    def per_second_between(self, since: float, until: float) -> float:
        """Return the arrivals a second in a span."""
        count = sum(since <= at < until for at, _name in self.arrivals)
        return count / (until - since)

    def _counted_from(self, name: str) -> float:
        told_at = self.nodes[name].told_at
        return float('inf') if told_at is None else told_at + _TOLD_SECONDS

    def _alive(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.is_alive]

    def _note_lives(self) -> None:
        names = frozenset(node.name for node in self._alive())
        self._lived.append((self.now, names))

    def _sharing_nodes(self, name: str, most: int) -> int:
        node = self.nodes[name]
        believed = {name}
        if not node.is_cut:
            believed |= self._seen(self.now - node.lag) - self.hidden
        near = {one for one in believed if not self.nodes[one].domain}
        chosen = top_ranked_names(near or {name}, _LIFE.id, most)
        return len(chosen) if name in chosen else 0

    def _seen(self, at: float) -> frozenset[str]:
        return next(
            names for since, names in reversed(self._lived) if since <= at
        )

    def _tell(self, teller: Node, told: Sequence[LimitUpdate]) -> None:
        for node in self._alive():
            if node is teller or node.is_cut or teller.is_cut:
                continue
            if self._random.random() >= _LOST_PART:
                hear = functools.partial(
                    node.gate.merge_updates, told, teller.name
                )
                self._at(_NEWS_SECONDS, hear)

    def _renew(self, node: Node) -> None:
        if node.is_alive:
            node.gate.refresh({_LIFE})
            self._at(_RENEW_SECONDS, functools.partial(self._renew, node))

    def _ask(self, node: Node) -> None:
        if not node.is_alive:
            return
        self._at(self._pause(), functools.partial(self._ask, node))
        if not node.gate.accepts(_LIFE):
            return
        node.gate.record_sent(_LIFE)
        is_slow = self._random.random() < _SLOW_PART
        way = _SLOW_SECONDS if is_slow else _WAY_SECONDS
        self._at(way, functools.partial(self._arrive, node, self.now))

    def _arrive(self, node: Node, sent_at: float) -> None:
        self.arrivals.append((self.now, node.name))
        facts = AnswerFacts('r', True, False, limit=self.limit)
        self._at(
            self._random.expovariate(1 / _ANSWER_SECONDS),
            functools.partial(self._answer, node, facts, sent_at),
        )

    def _answer(self, node: Node, facts: AnswerFacts, sent_at: float) -> None:
        if facts.limit is not None and node.told_at is None:
            node.told_at = self.now
        node.gate.record_response(_LIFE, facts, sent_at)

    def _pause(self) -> float:
        return self._random.expovariate(self.per_second)

    def _at(self, seconds: float, event: Callable[[], None]) -> None:
        due = (self.now + seconds, next(self._numbers), event)
        heapq.heappush(self._due, due)


def _main() -> None:
    """Print what each way lets through, beside the aim."""
    rules: tuple[ShareRule, ...] = (DividedByAll(), OneNode(), FewestNodes())
    for nodes, limit in itertools.product(
        (4, 9, 30, 78, 300),
        (0.3, 1.4, 2.0, 5.0, 10.0, 50.0),
    ):
        told = []
        for rule in rules:
            most, used = _measured(nodes, limit, rule)
            told.append(f'{most:4} {used:5.2f}')
        aim = int(limit * SPAN_SECONDS + MOST_EXTRA)
        row = ' | '.join((f'{nodes:4} {limit:5} {aim:4}', *told))
        sys.stdout.write(f'{row}\n')


def _measured(nodes: int, limit: float, rule: ShareRule) -> tuple[int, float]:
    seconds = max(30, 20 / limit)
    world = LimitSimulation(nodes, limit, rule=rule)
    world.run(RULE_BEGINS_SECONDS + seconds)
    return (
        world.most_in_span(RULE_BEGINS_SECONDS),
        world.per_second_between(RULE_BEGINS_SECONDS, world.now) / limit,
    )


if __name__ == '__main__':
    _main()
