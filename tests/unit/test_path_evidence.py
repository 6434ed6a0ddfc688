"""What a node concludes from failures that may be those of its own paths."""

import unittest
from collections.abc import Awaitable, Callable

import curio

from tests.lib.fake_targets import Exchange, GatewayTestbed
from tests.lib.waiting import until

_PAUSE_SECONDS = 1.2
# Within this time evidence is reported, if it is.
_REPORT_SECONDS = 0.3
_FAILURES_TO_EJECT = 3
_EVENTS = b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n'

Scenario = Callable[[GatewayTestbed], Awaitable[None]]


async def _pause(exchange: Exchange) -> None:
    """Fall silent for a second or so in the middle of a stream."""
    first = int(exchange.headers.get('last-event-id', '0')) + 1
    await exchange.start_stream()
    await exchange.events(first, 2)
    await curio.sleep(_PAUSE_SECONDS)
    await exchange.events(max(first, 3), 3)
    await exchange.end_stream()


async def _answer(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 3)
    await exchange.end_stream()


class SilentTargetTest(unittest.TestCase):
    """Sound targets that fall silent for a second, and go on."""

    def test_silence_is_no_lost_path(self) -> None:
        """The stream is whole, and the paths to the targets count as sound."""
        testbed = GatewayTestbed(_pause, _pause)
        curio.run(testbed.run, self._check_silent)

    async def _check_silent(self, testbed: GatewayTestbed) -> None:
        answer = await testbed.ask('/stream/x')
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))
        self.assertEqual(testbed.router.paths.losses, 0)
        self.assertFalse(testbed.router.paths.is_impaired)


class UnreachedTargetTest(unittest.TestCase):
    """Connections that fail at one node."""

    def test_lost_path_taken_for_stopped_replicas(self) -> None:
        """A node that reaches no replica suspects none of them."""
        testbed = GatewayTestbed(_answer, _answer, _answer)
        for name in ('i0', 'i1', 'i2'):
            testbed.make_unreachable(name)
        curio.run(testbed.run, self._check_lost)

    def test_unreached_replica_is_suspected(self) -> None:
        """A replica that alone is not reached is suspected at once."""
        testbed = GatewayTestbed(_answer, _answer)
        testbed.make_unreachable('i0')
        curio.run(testbed.run, self._check_one_unreached)

    async def _check_lost(self, testbed: GatewayTestbed) -> None:
        answer = await testbed.ask('/stream/x')
        self.assertEqual(answer.status, 503)
        await curio.sleep(_REPORT_SECONDS)
        self.assertEqual(testbed.evidence, [])

    async def _check_one_unreached(self, testbed: GatewayTestbed) -> None:
        sound = testbed.fleet.instances['i1'].incarnation
        for _ in range(_FAILURES_TO_EJECT):
            testbed.router.record_failure(sound)
        answer = await testbed.ask('/once/x')
        self.assertEqual(answer.status, 200)
        await until(lambda: testbed.evidence, _REPORT_SECONDS)
        self.assertIn('cannot be reached', testbed.evidence[0])


if __name__ == '__main__':
    unittest.main()
