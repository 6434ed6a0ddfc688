"""Requests passed on to a peer that has no memory for them."""

import unittest

import curio

from cranecart.http._request_memory import HeldRequest
from tests.lib.fake_targets import PLAIN, Exchange
from tests.lib.peer_testbed import HelperNode, PeerTestbed

_BODY = b'x' * 300_000
_CALLS = 4
_OK = 200
_NOT_RUN = 503


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'ok')


class PeerWithoutMemoryTest(unittest.TestCase):
    """A node without paths; what its first helper has is taken."""

    def test_calls_are_lost_at_a_peer_without_memory(self) -> None:
        """Calls that must not run twice are served by the other helper."""
        testbed = PeerTestbed(_helper('n1'), _helper('n2'))
        self.assertEqual(self._ask(testbed), [_OK for _ in range(_CALLS)])

    def test_calls_refused_by_all_peers_may_have_run(self) -> None:
        """They are refused as not run."""
        testbed = PeerTestbed(_helper('n1'))
        self.assertEqual(self._ask(testbed), [_NOT_RUN for _ in range(_CALLS)])

    def _ask(self, testbed: PeerTestbed) -> list[int]:
        statuses: list[int] = []
        curio.run(testbed.run, lambda _testbed: _ask_all(testbed, statuses))
        runs = sum(
            len(target.received)
            for helper in testbed.helpers
            for target in helper.testbed.targets
        )
        self.assertEqual(runs, statuses.count(_OK))
        return statuses


def _helper(name: str) -> HelperNode:
    return HelperNode(name, (_answer,), service=PLAIN)


async def _ask_all(testbed: PeerTestbed, statuses: list[int]) -> None:
    memory = testbed.helpers[0].server.memory
    for _ in range(2):
        held = HeldRequest(memory)
        held.is_complete = True
        held.grow(round(memory.limit_bytes))
    for number in range(_CALLS):
        answer = await testbed.own.ask(
            '/unsafe/', body=_BODY, request_id=f'r{number}'
        )
        statuses.append(answer.status)
