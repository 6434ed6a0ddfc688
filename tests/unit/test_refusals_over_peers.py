"""Refusals that a request meets through peers count as arrivals."""

import unittest
from collections.abc import Sequence

import attrs
import curio

from cranecart.http import Address
from cranecart.retries import RetryLimits
from tests.lib.fake_targets import (
    PLAIN,
    ClientAnswer,
    Exchange,
    FakeTarget,
    RunnableTarget,
    Script,
)
from tests.lib.peer_testbed import HelperNode, PeerTestbed

_ATTEMPTS = 2
_HELPERS = 6
_DEPLOYMENTS = 8
_OK = 200
_NOT_RUN = 503


async def _refuse(exchange: Exchange) -> None:
    """Refuse as full."""
    await exchange.answer(
        b'', _NOT_RUN, signature='', extra='not-executed: 1\r\n'
    )


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'ok')


class RefusalsOverPeersTest(unittest.TestCase):
    """A node without paths asks helpers that reach few of the targets."""

    def test_each_helper_is_asked_though_all_refuse(self) -> None:
        """A request arrives at no more targets than its route's attempts."""
        testbed, targets = _cut_from_helpers(_refuse)
        answers = curio.run(_ask_all, testbed, targets, 1)
        arrivals = sum(len(target.received) for target in targets)
        self.assertEqual(arrivals, _ATTEMPTS)
        self.assertEqual(answers[0].status, _NOT_RUN)
        self.assertGreater(float(answers[0].headers['retry-after']), 0)

    def test_second_helper_asks_the_target_that_refused_the_first(self) -> None:
        """The next peer tries another target."""
        for seed in range(_DEPLOYMENTS):
            full = FakeTarget('full', _refuse)
            free = FakeTarget('free', _answer)
            testbed = PeerTestbed(
                _helper('n1', [full], 'free'),
                _helper('n2', [full, free], seed=seed),
            )
            answers = curio.run(_ask_all, testbed, (full, free), 1)
            with self.subTest(seed=seed):
                self.assertEqual(answers[0].status, _OK)
                self.assertLessEqual(len(full.received), 1)

    def test_refusals_over_peers_are_free(self) -> None:
        """An attempt that follows a refusal is charged to the budget."""
        testbed, targets = _cut_from_helpers(_refuse)
        testbed.own.budget.limits = RetryLimits(0, 0, 10)
        curio.run(_ask_all, testbed, targets, 1)
        arrivals = sum(len(target.received) for target in targets)
        self.assertEqual(arrivals, 1)


@attrs.frozen
class _UnreachedTarget:
    """A target to which no connection can be opened."""

    address: Address = Address('127.0.0.1', 1)

    async def run(self) -> None:
        """Return at once."""


def _helper(
    name: str,
    targets: Sequence[FakeTarget],
    unreached: str = '',
    seed: int = 1,
) -> HelperNode:
    """Return a node that reaches some targets, and not another one."""
    others: dict[str, RunnableTarget] = {
        target.name: target for target in targets
    }
    if unreached:
        others[unreached] = _UnreachedTarget()
    return HelperNode(name, (), service=PLAIN, other_targets=others, seed=seed)


def _cut_from_helpers(script: Script) -> tuple[PeerTestbed, list[FakeTarget]]:
    """Return helpers with a target each that they reach, and those."""
    targets = [FakeTarget(f'i-{number}', script) for number in range(_HELPERS)]
    helpers = (
        _helper(f'n{number}', [target], f'gone-{number}')
        for number, target in enumerate(targets)
    )
    return PeerTestbed(*helpers), targets


async def _ask_all(
    testbed: PeerTestbed, targets: Sequence[FakeTarget], count: int
) -> Sequence[ClientAnswer]:
    """Ask the node without paths some times, one after the other."""
    answers: list[ClientAnswer] = []

    async def scenario(_testbed: PeerTestbed) -> None:  # noqa: WPS430
        tasks = [await curio.spawn(target.run) for target in targets]
        for number in range(count):
            answers.append(
                await testbed.own.ask('/safe/x', request_id=f'r{number}')
            )
        for task in tasks:
            await task.cancel()

    await testbed.run(scenario)
    return answers
