"""Plain service instances that restart repeatedly are ejected by all nodes.

Each of many nodes sends such an instance too few calls to detect the failure
alone: one of three instances restarted for 6 s, and 22 calls that must not be
repeated failed at 22 different nodes, ten of them within a third of a second.
"""

from unittest import TestCase, mock

import curio

from cranecart.ports import Incarnation
from cranecart.routing import OutlierEjection, RoutingRequest
from tests.lib.fake_targets import CONFIG, PLAIN, Exchange, GatewayTestbed
from tools.bench import _plain

_WRITE = '/unsafe/x'
_CALLS = 12


async def _succeed(exchange: Exchange) -> None:
    await exchange.answer(b'whole')


async def _break(exchange: Exchange) -> None:
    await exchange.sock.shutdown(2)


async def _fail(exchange: Exchange) -> None:
    await exchange.answer(b'no', 500)


class BrokenPlainInstanceTest(TestCase):
    """What a node does when a plain instance breaks a connection."""

    def test_a_broken_connection_ejects_at_once(self) -> None:
        """At most one call fails, and the other nodes are informed once."""
        testbed = GatewayTestbed(_succeed, _break, service=PLAIN)
        curio.run(testbed.run, self._write)
        self.assertLessEqual(self.statuses.count(502), 1)
        self.assertEqual(len(testbed.reported_broken), self.statuses.count(502))

    def test_an_instance_reported_by_another_node_is_avoided(self) -> None:
        """No call fails at an instance that another node reported."""
        testbed = GatewayTestbed(_succeed, _break, service=PLAIN)
        testbed.router.broken.apply_report(
            testbed.fleet.instances['i1'].incarnation
        )
        curio.run(testbed.run, self._write)
        self.assertEqual(set(self.statuses), {200})

    def test_an_ejected_instance_is_used_when_others_are_full(self) -> None:
        """The call is sent to it instead of being refused."""
        testbed = GatewayTestbed(_succeed, _succeed, service=PLAIN)
        first, second = testbed.fleet.available(PLAIN)
        testbed.router.broken.apply_report(second.incarnation)
        request = RoutingRequest(CONFIG, CONFIG.routes[0], PLAIN, '', 0, 2)
        for _number in range(first.slots * 3):
            self.assertIs(testbed.router.choose(request).instance, first)
            testbed.router.in_flight_counts()[first.id] += 1
        self.assertIs(testbed.router.choose(request).instance, second)

    def test_all_instances_break_connections(self) -> None:
        """Each call is still sent, and each instance is reported once."""
        testbed = GatewayTestbed(_break, _break, service=PLAIN)
        curio.run(testbed.run, self._write)
        self.assertEqual(set(self.statuses), {502})
        self.assertLessEqual(len(testbed.reported_broken), 2)

    def test_an_error_response_does_not_eject(self) -> None:
        """The call itself may be at fault: only three in a row count."""
        testbed = GatewayTestbed(_succeed, _fail, service=PLAIN)
        curio.run(testbed.run, self._write)
        self.assertFalse(testbed.reported_broken)

    def test_a_reported_instance_is_ejected_for_a_second(self) -> None:
        """One broken connection does not exclude it for longer."""
        clock = mock.Mock(return_value=5)
        ejection = OutlierEjection(clock)
        ejection.eject_reported(Incarnation('a'))
        self.assertTrue(ejection.is_ejected(Incarnation('a')))
        clock.return_value = 6.1
        self.assertFalse(ejection.is_ejected(Incarnation('a')))

    def test_reports_halve_failures_under_random_faults(self) -> None:
        """With reports to all nodes, less than half as many calls fail."""
        unshared, at_once, shared = _plain.measure().values()
        self.assertLess(shared, unshared / 2)
        self.assertLess(shared, at_once / 2)

    async def _write(self, testbed: GatewayTestbed) -> None:
        self.statuses = [
            (await testbed.ask(_WRITE, request_id=f'r{number}')).status
            for number in range(_CALLS)
        ]
