"""What a node concludes from failures that may be those of its own paths."""

import unittest
from collections.abc import Awaitable, Callable

import curio

from tests.lib.fake_targets import Exchange, GatewayTestbed

_PAUSE_SECONDS = 1.2
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


if __name__ == '__main__':
    unittest.main()
