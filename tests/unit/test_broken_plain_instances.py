"""Instances of a plain service that go down and up.

One of three did, for 6 s: 22 calls that must not run twice were sent to it by
22 nodes, each of which lost its one: '10.3.64.89:8008 broke the connection'
from ten nodes within a third of a second. Each node sends it too little to
learn anything by itself.
"""

from unittest import TestCase, mock

import curio

from cranecart.ports import Incarnation
from cranecart.routing import OutlierEjection, RoutingRequest
from tests.lib.fake_targets import CONFIG, PLAIN, Exchange, GatewayWorld
from tools.bench import _plain

_WRITE = '/unsafe/x'
_CALLS = 12


async def _whole(exchange: Exchange) -> None:
    await exchange.answer(b'whole')


async def _break(exchange: Exchange) -> None:
    await exchange.sock.shutdown(2)


async def _fail(exchange: Exchange) -> None:
    await exchange.answer(b'no', 500)


class BrokenPlainTest(TestCase):
    """What a node does once one of its plain targets broke a connection."""

    def test_it_is_passed_over_at_once(self) -> None:
        """One call is lost, and all nodes are told once."""
        world = GatewayWorld(_whole, _break, service=PLAIN)
        curio.run(world.run, self._write)
        self.assertLessEqual(self.statuses.count(502), 1)
        self.assertEqual(len(world.told_broken), self.statuses.count(502))

    def test_what_another_node_told_is_heeded(self) -> None:
        """No call is lost to it."""
        world = GatewayWorld(_whole, _break, service=PLAIN)
        world.router.eject_reported(world.fleet.instances['i1'].incarnation)
        curio.run(world.run, self._write)
        self.assertEqual(set(self.statuses), {200})

    def test_the_others_are_full(self) -> None:
        """Rather than refusing, the one that is passed over is tried."""
        world = GatewayWorld(_whole, _whole, service=PLAIN)
        first, second = world.fleet.available(PLAIN)
        world.router.eject_reported(second.incarnation)
        call = RoutingRequest(CONFIG, CONFIG.routes[0], PLAIN, '', 0, 2)
        for _held in range(first.slots * 3):
            self.assertIs(world.router.choose(call).instance, first)
            world.router.in_flight_counts()[first.id] += 1
        self.assertIs(world.router.choose(call).instance, second)

    def test_all_break(self) -> None:
        """Each call is still tried: nobody is told the same again and again."""
        world = GatewayWorld(_break, _break, service=PLAIN)
        curio.run(world.run, self._write)
        self.assertEqual(set(self.statuses), {502})
        self.assertLessEqual(len(world.told_broken), 2)

    def test_an_error_is_no_broken_connection(self) -> None:
        """A call may be at fault itself: three in a row count, as before."""
        world = GatewayWorld(_whole, _fail, service=PLAIN)
        curio.run(world.run, self._write)
        self.assertFalse(world.told_broken)

    def test_it_is_tried_again_after_a_second(self) -> None:
        """What it broke once does not keep it out."""
        clock = mock.Mock(return_value=5)
        ejection = OutlierEjection(clock)
        ejection.eject_reported(Incarnation('a'))
        self.assertTrue(ejection.is_ejected(Incarnation('a')))
        clock.return_value = 6.1
        self.assertFalse(ejection.is_ejected(Incarnation('a')))

    def test_drawn_faults(self) -> None:
        """Told to all, less than half of the calls fail."""
        alone, at_once, told = _plain.measure().values()
        self.assertLess(told, alone / 2)
        self.assertLess(told, at_once / 2)

    async def _write(self, world: GatewayWorld) -> None:
        self.statuses = [
            (await world.ask(_WRITE, request_id=f'r{number}')).status
            for number in range(_CALLS)
        ]
