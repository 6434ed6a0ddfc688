"""What a node concludes from failures that may be those of its own paths."""

import socket
import struct
import unittest
from collections.abc import Awaitable, Callable

import curio

from tests.lib.fake_targets import PLAIN, Exchange, GatewayTestbed
from tests.lib.waiting import until

_PAUSE_SECONDS = 1.2
# Within this time evidence is reported, if it is.
_REPORT_SECONDS = 0.3
_FAILURES_TO_EJECT = 3
_REQUESTS = 12
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
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


async def _sleep(_exchange: Exchange) -> None:
    await curio.sleep(30)


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


class BrokenConnectionsTest(unittest.TestCase):
    """Connections that are reset while no new ones can be opened."""

    def test_own_reset_connections_eject_plain_targets_everywhere(self) -> None:
        """No node passes over instances for the sake of one node's paths."""
        testbed = GatewayTestbed(_sleep, _sleep, _sleep, service=PLAIN)
        curio.run(testbed.run, self._check_plain)

    def test_own_reset_connections_eject_replicas(self) -> None:
        """Replicas are used again as soon as the paths are back."""
        testbed = GatewayTestbed(_sleep, _sleep, _sleep)
        curio.run(testbed.run, self._check_replicas)

    async def _check_plain(self, testbed: GatewayTestbed) -> None:
        await _reset_all(testbed, '/unsafe/x')
        self.assertEqual(testbed.reported_broken, [])
        self._check_none_ejected(testbed)

    async def _check_replicas(self, testbed: GatewayTestbed) -> None:
        await _reset_all(testbed, '/once/x')
        self._check_none_ejected(testbed)

    def _check_none_ejected(self, testbed: GatewayTestbed) -> None:
        ejected = [
            name
            for name, item in testbed.fleet.instances.items()
            if testbed.router.ejection.is_ejected(item.incarnation)
        ]
        self.assertEqual(ejected, [])


async def _reset_all(testbed: GatewayTestbed, path: str) -> None:
    """Reset many requests' connections while new ones are refused."""
    asking = [
        await curio.spawn(testbed.ask(path, request_id=f'r{number}'))
        for number in range(_REQUESTS)
    ]
    await until(
        lambda: sum(len(item.received) for item in testbed.targets) == _REQUESTS
    )
    for target in testbed.targets:
        testbed.make_unreachable(target.name)
        for exchange in target.received:
            exchange.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            await exchange.sock.close()
    for task in asking:
        await task.join()


if __name__ == '__main__':
    unittest.main()
