"""Targets that say what load they take, before several nodes."""

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
    GatewayWorld,
)
from tests.lib.spans import most_in_span

_EVENTS = 3
_EVENT_SECONDS = 0.01
_OK = 200
_LOOK_SECONDS = 0.01
# Half of what routes allow: less than that ended no request.
_PAUSE_SECONDS = 1.0
_PAST_THEIR_TIME = (
    b'"timeout_passed"',
    b'was silent for',
    b'no time is left for any target',
)


@attrs.frozen
class Words:
    """What a target says with an answer: header lines, and a refusal."""

    lines: str = ''
    refuses: bool = False


# What a target says so many seconds after the start.
Says = Callable[[str, float], Words]


@attrs.frozen
class Arrival:
    """A request of a node that came to a target, and what that said.

    ``at`` is in seconds after the start.
    """

    at: float
    target: str
    node: int
    words: Words


class ThrottlingDeployment:
    """Nodes before the same targets, in one event loop."""

    def __init__(
        self,
        nodes: int,
        targets: int,
        says: Says,
        *,
        service: str = ENGINES,
    ) -> None:
        """Build everything; nothing runs until ``run``."""
        self.arrivals: list[Arrival] = []
        # For how long everything here stood still at the most, in seconds.
        self.longest_pause = float(0)
        self.service = service
        self._says = says
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
        play: Callable[['ThrottlingDeployment'], Awaitable[None]],
    ) -> None:
        """Run everything while a play lasts."""
        tasks = [await curio.spawn(target.run) for target in self.targets]
        tasks.append(await curio.spawn(self._watch))
        for node in self.nodes:
            node.server.open()
            tasks.append(await curio.spawn(node.server.run))
        self._started_at = time.monotonic()
        try:
            await play(self)
        finally:
            for task in tasks:
                await task.cancel()

    async def ask(
        self,
        seconds: float,
        per_second: float,
        nodes: Sequence[GatewayWorld] = (),
    ) -> list[ClientAnswer]:
        """Ask nodes by turns at a rate; return what came back."""
        asked = []
        started = time.monotonic()
        turns = itertools.cycle(nodes or self.nodes)
        for number, node in enumerate(turns):
            due = started + number / per_second
            if due > started + seconds:
                break
            await curio.sleep(max(0, due - time.monotonic()))
            asked.append(await curio.spawn(self._ask, node, number))
        answers = [await task.join() for task in asked]
        return [one for one in answers if one is not None]

    def not_served(self, answers: Sequence[ClientAnswer]) -> list[ClientAnswer]:
        """Return the answers that are none, but for those a pause explains.

        On a machine with more to do than it can this whole process stands
        still for seconds, and the requests under way are past their time then.
        """
        failed = [one for one in answers if one.status != _OK]
        if self.longest_pause < _PAUSE_SECONDS:
            return failed
        return [
            one
            for one in failed
            if not any(code in one.body for code in _PAST_THEIR_TIME)
        ]

    def most_within(
        self,
        seconds: float,
        targets: Sequence[str],
        since: float,
    ) -> int:
        """Return the most arrivals at one target in any span of a length."""
        return max(
            most_in_span(
                [
                    one.at
                    for one in self.arrivals
                    if one.target == target and one.at >= since
                ],
                seconds,
            )
            for target in targets
        )

    def most_in_rest(self, rest_seconds: float, from_seconds: float) -> int:
        """Return the most requests of one node at a target within one rest.

        A rest is told with each refusal; those count that come so many seconds
        after it or later.
        """
        return max(
            sum(
                later.target == told.target
                and later.node == told.node
                and from_seconds < later.at - told.at < rest_seconds
                for later in self.arrivals
            )
            for told in self.arrivals
            if told.words.refuses
        )

    def after_word(self, seconds: float) -> int:
        """Count requests that came to a target from a node it had told.

        Those count that come so many seconds after the first such answer.
        """
        first: dict[tuple[str, int], float] = {}
        for one in self.arrivals:
            if one.words.lines:
                first.setdefault((one.target, one.node), one.at)
        return sum(
            one.at > first.get((one.target, one.node), one.at) + seconds
            for one in self.arrivals
        )

    def count(self, target: str, since: float, until: float) -> int:
        """Return the arrivals at a target in a span."""
        return sum(
            one.target == target and since <= one.at < until
            for one in self.arrivals
        )

    def _new_node(self, number: int) -> GatewayWorld:
        """Build a node that hears the others, and sends by the first names."""
        node = GatewayWorld(
            service=self.service,
            others={target.name: target for target in self.targets},
            seed=number,
        )
        node.sharing_node_count = functools.partial(self._sharing_nodes, number)
        node.tell_limits = functools.partial(self._tell_limits, number)
        node.tell_leaving = functools.partial(self._tell_leaving, number)
        return node

    def _sharing_nodes(
        self,
        number: int,
        _domain: str,
        name: str,
        most: int,
    ) -> int:
        """Rank nodes as the mesh does, by the numbers of node and target."""
        count = len(self.nodes)
        turn = (number - zlib.crc32(name.encode())) % count
        return min(most, count) if turn < most else 0

    def _tell_limits(self, teller: int, told: Sequence[LimitUpdate]) -> None:
        for node in self._others(teller):
            node.router.throttle.merge_updates(told, f'node-{teller}')

    def _tell_leaving(self, teller: int, incarnation: Incarnation) -> None:
        for node in self._others(teller):
            mark_leaving(node.fleet, incarnation, f'node-{teller}')

    def _others(self, teller: int) -> list[GatewayWorld]:
        return self.nodes[:teller] + self.nodes[teller + 1 :]

    async def _watch(self) -> None:
        while True:
            before = time.monotonic()
            await curio.sleep(_LOOK_SECONDS)
            pause = time.monotonic() - before
            self.longest_pause = max(self.longest_pause, pause)

    async def _ask(
        self,
        node: GatewayWorld,
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
        words = self._says(name, self.now)
        self.arrivals.append(Arrival(self.now, name, node, words))
        if words.refuses:
            refusal = f'not-executed: 1\r\n{words.lines}'
            await exchange.answer(b'full', 503, signature='', extra=refusal)
        elif self.service == PLAIN:
            await curio.sleep(_EVENTS * _EVENT_SECONDS)
            await exchange.answer(b'fine', extra=words.lines)
        else:
            await exchange.start_stream(words.lines)
            for event in range(1, _EVENTS):
                await exchange.events(event, event)
                await curio.sleep(_EVENT_SECONDS)
            await exchange.end_stream()
