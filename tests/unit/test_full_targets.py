"""Requests are not given up for targets that turn out to be full."""

import unittest
from typing import Any

import attrs
import curio

from cranecart.models import Route, ServiceProfile
from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    ClientAnswer,
    GatewayTestbed,
)
from tests.lib.full_targets import SlotLimits, answer_after
from tests.lib.silent_targets import (
    Silence,
    SilentTargets,
    StreamOutcomes,
    run_streams,
)

# So seldom that a busy machine keeps up with them.
_EVENT_SECONDS = 0.08
_EVENTS = 30
_TROUBLE_AT = 0.8
# Far beyond what the streams take, also on a busy machine.
_DEADLINE_SECONDS = 20.0
_ATTEMPTS = 2
# The part of the retry budget that one node uses.
_USED_FRACTION = 0.95
_RETRY_RATIO = 1 / 500
_OK = 200


@attrs.frozen
class _Case:
    """Targets with few free slots, some silent for a while or dead."""

    targets: int
    slots: int
    streams: int
    share: float
    retries: int = 100
    seconds: float = 1.2
    die: bool = False

    @property
    def allowed_retries(self) -> float:
        """Return how many retries the budget allows in all."""
        requests = self.streams * _RETRY_RATIO * self.retries
        return _USED_FRACTION * (self.retries + requests)


_SILENT = (
    _Case(6, 11, 60, 0.5),
    _Case(6, 11, 60, 0.5, retries=10),
    _Case(10, 10, 90, 0.5, retries=200),
    _Case(10, 10, 90, 0.3, retries=200),
    _Case(14, 8, 80, 0.6, retries=134),
    _Case(3, 8, 20, 0.34, retries=130),
    _Case(10, 20, 90, 1, retries=200),
)
_DYING = (
    _Case(10, 12, 90, 0.3, retries=200, die=True),
    _Case(6, 11, 40, 0.5, retries=100, die=True),
)


class FullTargetsTest(unittest.TestCase):
    """Targets that refuse what exceeds their slots."""

    def test_streams_cut_where_other_targets_are_full(self) -> None:
        """Their targets go on in a moment, and all deadlines are far."""
        for case in _SILENT:
            with self.subTest(case=case):
                self._check_streams(case)

    def test_streams_of_dead_targets_cut_for_one_refusal(self) -> None:
        """Slots of other targets come free long before the deadlines."""
        for case in _DYING:
            with self.subTest(case=case):
                self._check_streams(case)

    def test_calls_left_for_full_targets(self) -> None:
        """They take longer than half of their objective, and are sound."""
        limits = SlotLimits(10)
        answers = _run_calls(limits, targets=10, count=90)
        self.assertEqual({answer.status for answer in answers}, {_OK})
        self.assertEqual(len(answers), 90)
        self.assertLessEqual(limits.most_at_once, _ATTEMPTS)

    def _check_streams(self, case: _Case) -> None:
        limits = SlotLimits(case.slots)
        outcomes = _run_streams(case, limits)
        self.assertEqual(
            (outcomes.cut, outcomes.refused, outcomes.mixed), (0, {}, 0)
        )
        self.assertEqual(outcomes.whole, case.streams)
        self.assertLessEqual(limits.repeated_arrivals, case.allowed_retries)
        self.assertLessEqual(limits.most_at_once, _ATTEMPTS)


def _run_streams(case: _Case, limits: SlotLimits) -> StreamOutcomes:
    troubled = frozenset(range(round(case.targets * case.share)))
    silence = Silence(_TROUBLE_AT, case.seconds, troubled)
    targets = SilentTargets(silence, _EVENTS, case.die, _EVENT_SECONDS)
    testbed = GatewayTestbed(
        *(
            limits.limit(number, targets.script(number))
            for number in range(case.targets)
        ),
        retries=case.retries,
    )
    _change_routes(testbed, timeout_seconds=_DEADLINE_SECONDS)
    _declare_slots(testbed, case.slots)
    outcomes: list[StreamOutcomes] = []

    async def scenario(running: GatewayTestbed) -> None:  # noqa: WPS430
        if case.die:
            await curio.spawn(_unlist, running, troubled, daemon=True)
        outcomes.append(
            await run_streams(running, targets, case.streams, _DEADLINE_SECONDS)
        )

    curio.run(testbed.run, scenario)
    return outcomes[0]


def _declare_slots(testbed: GatewayTestbed, slots: int) -> None:
    config = testbed.config
    assert config is not None
    engine = config.engine(ENGINES)
    assert engine is not None
    profile = ServiceProfile(ENGINES, attrs.evolve(engine, slots=slots))
    services = {**config.services, ENGINES: profile}
    testbed.config = attrs.evolve(config, services=services)


async def _unlist(testbed: GatewayTestbed, dead: frozenset[int]) -> None:
    await curio.sleep(_TROUBLE_AT)
    for number in dead:
        testbed.make_unreachable(f'i{number}')


def _run_calls(
    limits: SlotLimits, targets: int, count: int
) -> list[ClientAnswer]:
    testbed = GatewayTestbed(
        *(limits.limit(number, answer_after(1)) for number in range(targets)),
        service=PLAIN,
    )
    _change_routes(testbed, objective_seconds=1.5, timeout_seconds=4)
    answers: list[ClientAnswer] = []

    async def scenario(running: GatewayTestbed) -> None:  # noqa: WPS430
        async with curio.TaskGroup(wait=all) as clients:
            for number in range(count):
                await clients.spawn(_call, running, f'c{number}')
        answers.extend(clients.results)

    curio.run(testbed.run, scenario)
    return answers


async def _call(testbed: GatewayTestbed, request_id: str) -> ClientAnswer:
    return await testbed.ask('/safe/', request_id=request_id, deadline_ms=4000)


def _change_routes(testbed: GatewayTestbed, **changes: Any) -> None:
    config = testbed.config
    assert config is not None
    routes: tuple[Route, ...] = tuple(
        attrs.evolve(route, **changes) for route in config.routes
    )
    testbed.config = attrs.evolve(config, routes=routes)
