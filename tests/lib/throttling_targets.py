"""Targets of several nodes that announce limits and back-offs."""

import functools
import itertools
import time
import zlib
from collections.abc import Awaitable, Callable, Sequence

import attrs
import curio

from cranecart.exceptions import HttpError
from cranecart.fleet import mark_leaving
from cranecart.ports import Incarnation
from cranecart.throttling import LimitUpdate
from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    ClientAnswer,
    Exchange,
    FakeTarget,
    GatewayTestbed,
)
from tests.lib.time_windows import max_in_window

_EVENTS = 3
_EVENT_SECONDS = 0.01
_OK = 200
_CHECK_SECONDS = 0.01
# Half of the silence that routes allow: no shorter pause ended a request.
_PAUSE_SECONDS = 1.0
_TIMEOUT_MARKERS = (
    b'"timeout_passed"',
    b'was silent for',
    b'no time is left for any target',
)


@attrs.frozen
class Announcement:
    """What a target announces with a response: header lines, and a refusal."""

    lines: str = ''
    refuses: bool = False


# Returns what a target announces at a time in seconds after the start.
Announce = Callable[[str, float], Announcement]


@attrs.frozen
class Arrival:
    """A request of a node that arrived at a target, and the announcement.

    ``at`` is in seconds after the start.
    """

    at: float
    target: str
    node: int
    announcement: Announcement


class ThrottlingDeployment:
    """Nodes with the same targets, in one event loop."""

    def __init__(
        self,
        nodes: int,
        targets: int,
        announce: Announce,
        *,
        service: str = ENGINES,
    ) -> None:
        """Create everything; nothing runs until ``run``."""
        self.arrivals: list[Arrival] = []
        # The longest time for which this process did not run, in seconds.
        self.longest_pause = float(0)
        self.service = service
        self._announce = announce
        self._started_at = time.monotonic()
        self.targets = [
            FakeTarget(name, functools.partial(self._serve, name))
            for name in map('i{}'.format, range(targets))
        ]
        self.nodes = [self._new_node(number) for number in range(nodes)]

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    async def run(
        self,
        scenario: Callable[['ThrottlingDeployment'], Awaitable[None]],
    ) -> None:
        """Run everything while a scenario lasts."""
        tasks = [await curio.spawn(target.run) for target in self.targets]
        tasks.append(await curio.spawn(self._measure_pauses))
        for node in self.nodes:
            node.server.open()
            tasks.append(await curio.spawn(node.server.run))
        self._started_at = time.monotonic()
        try:
            await scenario(self)
        finally:
            for task in tasks:
                await task.cancel()

    async def ask(
        self,
        seconds: float,
        per_second: float,
        nodes: Sequence[GatewayTestbed] = (),
    ) -> list[ClientAnswer]:
        """Send requests to the nodes in turn at a rate; return the answers."""
        tasks = []
        started = time.monotonic()
        turns = itertools.cycle(nodes or self.nodes)
        for number, node in enumerate(turns):
            due = started + number / per_second
            if due > started + seconds:
                break
            await curio.sleep(max(0, due - time.monotonic()))
            tasks.append(await curio.spawn(self._ask, node, number))
        answers = [await task.join() for task in tasks]
        return [answer for answer in answers if answer is not None]

    def not_served(self, answers: Sequence[ClientAnswer]) -> list[ClientAnswer]:
        """Return the failed answers, except those that a pause explains.

        On an overloaded machine this whole process may not run for seconds, so
        that the requests in flight time out.
        """
        failed = [answer for answer in answers if answer.status != _OK]
        if self.longest_pause < _PAUSE_SECONDS:
            return failed
        return [
            answer
            for answer in failed
            if not any(code in answer.body for code in _TIMEOUT_MARKERS)
        ]

    def max_within(
        self,
        seconds: float,
        targets: Sequence[str],
        since: float,
    ) -> int:
        """Return the most arrivals at one target within any ``seconds``."""
        return max(
            max_in_window(
                [
                    arrival.at
                    for arrival in self.arrivals
                    if arrival.target == target and arrival.at >= since
                ],
                seconds,
            )
            for target in targets
        )

    def max_in_backoff(
        self, backoff_seconds: float, grace_seconds: float
    ) -> int:
        """Return the most requests of one node at a target during one back-off.

        A back-off begins with a refusal; requests count from a grace period
        after it.
        """
        return max(
            sum(
                later.target == refusal.target
                and later.node == refusal.node
                and grace_seconds < later.at - refusal.at < backoff_seconds
                for later in self.arrivals
            )
            for refusal in self.arrivals
            if refusal.announcement.refuses
        )

    def arrivals_after_announcement(self, seconds: float) -> int:
        """Count the requests of nodes to targets that had announced something.

        Requests count from a number of seconds after the first such response.
        """
        first: dict[tuple[str, int], float] = {}
        for arrival in self.arrivals:
            if arrival.announcement.lines:
                first.setdefault((arrival.target, arrival.node), arrival.at)
        return sum(
            arrival.at
            > first.get((arrival.target, arrival.node), arrival.at) + seconds
            for arrival in self.arrivals
        )

    def count(self, target: str, since: float, until: float) -> int:
        """Return the arrivals at a target in a period."""
        return sum(
            arrival.target == target and since <= arrival.at < until
            for arrival in self.arrivals
        )

    def _new_node(self, number: int) -> GatewayTestbed:
        """Create a node that is connected to the others."""
        node = GatewayTestbed(
            service=self.service,
            other_targets={target.name: target for target in self.targets},
            seed=number,
        )
        node.sharing_node_count = functools.partial(self._sharing_nodes, number)
        node.publish_limits = functools.partial(self._publish_limits, number)
        node.publish_leaving = functools.partial(self._publish_leaving, number)
        return node

    def _sharing_nodes(
        self,
        number: int,
        _domain: str,
        name: str,
        max_nodes: int,
    ) -> int:
        """Return how many nodes share a target, or 0 if this one does not.

        Instead of the hash of the mesh, the number of the node and the name of
        the target determine the rank of the node.
        """
        count = len(self.nodes)
        position = (number - zlib.crc32(name.encode())) % count
        return min(max_nodes, count) if position < max_nodes else 0

    def _publish_limits(
        self, sender: int, updates: Sequence[LimitUpdate]
    ) -> None:
        for node in self._others(sender):
            node.router.throttle.merge_updates(updates, f'node-{sender}')

    def _publish_leaving(self, sender: int, incarnation: Incarnation) -> None:
        for node in self._others(sender):
            mark_leaving(node.fleet, incarnation, f'node-{sender}')

    def _others(self, sender: int) -> list[GatewayTestbed]:
        return self.nodes[:sender] + self.nodes[sender + 1 :]

    async def _measure_pauses(self) -> None:
        while True:
            before = time.monotonic()
            await curio.sleep(_CHECK_SECONDS)
            pause = time.monotonic() - before
            self.longest_pause = max(self.longest_pause, pause)

    async def _ask(
        self,
        node: GatewayTestbed,
        number: int,
    ) -> ClientAnswer | None:
        path = '/safe/x' if self.service == PLAIN else '/stream/x'
        try:
            name = f'{self.nodes.index(node)}.{number}'
            return await node.ask(path, request_id=name)
        except HttpError:
            return None

    async def _serve(self, name: str, exchange: Exchange) -> None:
        node = int(exchange.headers['request-id'].partition('.')[0])
        announcement = self._announce(name, self.now)
        self.arrivals.append(Arrival(self.now, name, node, announcement))
        if announcement.refuses:
            refusal = f'not-executed: 1\r\n{announcement.lines}'
            await exchange.answer(b'full', 503, signature='', extra=refusal)
        elif self.service == PLAIN:
            await curio.sleep(_EVENTS * _EVENT_SECONDS)
            await exchange.answer(b'fine', extra=announcement.lines)
        else:
            await exchange.start_stream(announcement.lines)
            for event in range(1, _EVENTS):
                await exchange.events(event, event)
                await curio.sleep(_EVENT_SECONDS)
            await exchange.end_stream()
