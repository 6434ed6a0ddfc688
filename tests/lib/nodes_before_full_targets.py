"""Several nodes before the same targets, which are silent, full or dead."""

import random
from collections import Counter
from collections.abc import Sequence
from typing import Any, Self

import attrs
import curio

from tests.lib.fake_targets import FakeTarget, GatewayTestbed
from tests.lib.full_targets import SlotLimits
from tests.lib.silent_targets import (
    Silence,
    SilentTargets,
    StreamOutcomes,
    run_streams,
)

# So seldom that a busy machine keeps up with them.
_EVENT_SECONDS = 0.08
_EVENTS = 20
# Far beyond what the streams take, also on a busy machine.
_DEADLINE_SECONDS = 20.0
_TROUBLE_AT = 0.5
_NEWS_SECONDS = 0.25
_RETRIES_AFTER_DEATH = 4
# Targets notice that a client has left as they send the next event.
_SETTLE_SECONDS = 0.5


@attrs.frozen
class TroubleCase:
    """Targets with few free slots, some in trouble, before several nodes."""

    nodes: int
    targets: int
    slots: int
    streams: int
    share: float
    seconds: float
    retries: float
    die: bool = False

    @classmethod
    def draw(cls, seed: int) -> Self:
        """Return the case of a seed."""
        source = random.Random(seed)
        targets = source.randint(3, 12)
        slots = source.randint(4, 12)
        die = not source.randrange(3)
        share = source.uniform(0.1, 0.6 if die else 1)
        streams = round(targets * slots * source.uniform(0.5, 1))
        # What a dead target ran needs a retry.
        retries = _RETRIES_AFTER_DEATH * streams if die else None
        return cls(
            source.choice((1, 2, 3, 4)),
            targets,
            slots,
            streams,
            share,
            source.uniform(0.3, 1.5),
            retries or source.choice((0, 4, 20, 100, 200)),
            die,
        )


@attrs.frozen
class TroubleResult:
    """What the clients of all nodes got, and what the targets saw."""

    outcomes: Sequence[StreamOutcomes]
    limits: SlotLimits
    left_in_flight: Counter[str]

    @property
    def cut(self) -> int:
        """Return the number of streams that ended midway."""
        return sum(outcome.cut for outcome in self.outcomes)

    @property
    def mixed(self) -> int:
        """Return the number of streams with a missing or repeated event."""
        return sum(outcome.mixed for outcome in self.outcomes)

    @property
    def refused(self) -> Counter[int]:
        """Return the number of streams that never began, by status."""
        counts: Counter[int] = Counter()
        for outcome in self.outcomes:
            counts.update(outcome.refused)
        return counts


@attrs.frozen
class _SharedTarget:
    """A target that another node's testbed runs."""

    target: FakeTarget

    @property
    def address(self) -> Any:
        """Return the address that it listens on."""
        return self.target.address

    async def run(self) -> None:
        """Return at once."""


class TroubledNodes:
    """Nodes that tell each other their requests a few times a second."""

    def __init__(self, case: TroubleCase) -> None:
        """Create nodes and targets; nothing runs yet."""
        self._case = case
        self.troubled = frozenset(
            range(max(1, round(case.targets * case.share)))
        )
        self._targets = SilentTargets(
            Silence(_TROUBLE_AT, case.seconds, self.troubled),
            _EVENTS,
            case.die,
            _EVENT_SECONDS,
        )
        self.limits = SlotLimits(case.slots)
        retries = case.retries / case.nodes
        first = GatewayTestbed(
            *(
                self.limits.limit(number, self._targets.script(number))
                for number in range(case.targets)
            ),
            retries=retries,
        )
        shared = {
            target.name: _SharedTarget(target) for target in first.targets
        }
        others = (
            GatewayTestbed(other_targets=shared, retries=retries, seed=seed)
            for seed in range(2, case.nodes + 1)
        )
        self.nodes = [first, *others]
        self._told: list[Counter[str]] = [Counter() for _ in self.nodes]
        for index, node in enumerate(self.nodes):
            self._prepare(index, node)

    def run(self) -> TroubleResult:
        """Run all streams; return what became of them."""
        results: list[TroubleResult] = []

        async def scenario(_node: GatewayTestbed) -> None:  # noqa: WPS430
            await curio.spawn(self._tell, daemon=True)
            if self._case.die:
                await curio.spawn(self._unlist, daemon=True)
            outcomes = await self._run_streams()
            await curio.sleep(_SETTLE_SECONDS)
            left = sum(
                (node.router.in_flight_counts() for node in self.nodes),
                Counter(),
            )
            results.append(TroubleResult(outcomes, self.limits, left))

        curio.run(self._run_from, 0, scenario)
        return results[0]

    async def _run_from(self, index: int, scenario: Any) -> None:
        """Run a node around the following ones, and these the scenario."""
        if index == len(self.nodes):
            await scenario(self.nodes[0])
            return

        async def run_next(_node: GatewayTestbed) -> None:  # noqa: WPS430
            await self._run_from(index + 1, scenario)

        await self.nodes[index].run(run_next)

    async def _run_streams(self) -> Sequence[StreamOutcomes]:
        count, rest = divmod(self._case.streams, len(self.nodes))
        async with curio.TaskGroup(wait=all) as groups:
            for index, node in enumerate(self.nodes):
                await groups.spawn(
                    run_streams,
                    node,
                    self._targets,
                    count + (index < rest),
                    _DEADLINE_SECONDS,
                    f'n{index}-',
                )
        return groups.results

    async def _tell(self) -> None:
        while True:
            self._told = [
                Counter(node.router.in_flight_counts()) for node in self.nodes
            ]
            await curio.sleep(_NEWS_SECONDS)

    async def _unlist(self) -> None:
        await curio.sleep(_TROUBLE_AT)
        for node in self.nodes:
            for number in self.troubled:
                node.make_unreachable(f'i{number}')

    def _prepare(self, index: int, node: GatewayTestbed) -> None:
        config = node.config
        assert config is not None
        routes = tuple(
            attrs.evolve(route, timeout_seconds=_DEADLINE_SECONDS)
            for route in config.routes
        )
        node.config = attrs.evolve(config, routes=routes)
        node.remote_in_flight = lambda name: sum(
            told[name]
            for other, told in enumerate(self._told)
            if other != index
        )
