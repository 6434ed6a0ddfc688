"""Cold targets: what a node is told, what it sends, and how it refuses."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import attrs
import curio
import msgspec

from cranecart.exceptions import OverloadedError
from cranecart.fleet import Fleet
from cranecart.http import Address
from cranecart.mesh import (
    TargetLimits,
    decode_mesh_message,
    encode_mesh_message,
)
from cranecart.models import ColdStart, ServiceProfile
from cranecart.ports import Incarnation, ListedInstance, ResponseInfo
from cranecart.routing import RoutingRequest
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._factories import make_cold_entries
from cranecart.serving._followers import RowDispatcher
from cranecart.serving._node_registration import NodeRegistration
from cranecart.throttling import (
    ColdEntries,
    ColdSharing,
    ColdUpdate,
    TargetThrottle,
)
from tests.lib.fake_platform import FakePlatform
from tests.lib.fake_targets import (
    CONFIG,
    ENGINES,
    MODEL,
    Exchange,
    GatewayTestbed,
    instance,
)
from tests.lib.registration_settings import registration_settings

_INCARNATION = Incarnation('i1', 7)
_ENTRY = attrs.evolve(
    instance('i1', Address('127.0.0.1', 1), ENGINES), born=_INCARNATION.born
)
_COLD = ColdStart(3, 14)
# In the own failure domain: 18 of 26 requests in any second.
_FIRST_SECOND = 18
# As long as failure domains are cut off.
_CUT_SECONDS = 6.0
# A share is full again after 1.1 s; clients' retries are spread by half of that.
_MAX_RETRY_SECONDS = 1.66


class ColdThrottleTest(unittest.TestCase):
    """A node that is alone, on a simulated clock."""

    def setUp(self) -> None:
        """Start a node, which has been running for ten seconds."""
        self.now = float(0)
        self.published: list[ColdUpdate] = []
        self.services = {ENGINES: _COLD}
        self.throttle = TargetThrottle(
            find_instance=lambda _name: _ENTRY,
            clock=lambda: self.now,
            cold_sharing=ColdSharing(
                self.services.get, publish=self.published.extend
            ),
        )
        self.has_traffic = True
        self.entries = ColdEntries(
            self.throttle,
            self.services.get,
            lambda: self.has_traffic,
            lambda: self.now,
        )
        self.now = 10

    def test_it_ends_at_the_announced_time(self) -> None:
        """Without a message, on the node's own clock."""
        self.throttle.set_cold(_INCARNATION, 14, 3, 'a test', is_new=True)
        self.assertLessEqual(self._send_for(1), _FIRST_SECOND)
        self.assertLessEqual(
            self.throttle.seconds_until_accepted(_INCARNATION), 1.1
        )
        self.now = 12.9
        self.assertAlmostEqual(self.throttle.cold_seconds(_INCARNATION), 0.1)
        self.now = 13
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 0)
        self.assertGreater(self._send_for(1), 90)
        self.throttle.refresh({_INCARNATION})
        self.assertTrue(self.throttle.is_unrestricted)

    def test_only_assumed_periods_become_shorter(self) -> None:
        """Messages overtake each other, so an earlier end may be outdated."""
        for is_assumed, expected in ((False, 3), (True, 1)):
            target = Incarnation('i1', int(is_assumed))
            self.throttle.set_cold(target, 14, 3, 'x', is_assumed=is_assumed)
            self.throttle.set_cold(target, 14, 1, 'x')
            self.throttle.set_cold(target, 14, 9, 'x', is_assumed=True)
            self.assertEqual(self.throttle.cold_seconds(target), expected)

    def test_responses_are_published_to_other_nodes(self) -> None:
        """Once, and again every two seconds while it lasts."""
        answer = ResponseInfo('r', True, False, cold_seconds=4)
        for _number in range(2):
            self.throttle.record_response(_INCARNATION, answer, 9)
        self.assertEqual(self.published, [ColdUpdate('i1', 7, 14, 4)])
        other = TargetThrottle(clock=lambda: self.now)
        other.merge_updates((), 'n1', self.published)
        self.assertEqual(other.cold_seconds(_INCARNATION), 4)
        self.now = 12
        self.throttle.refresh({_INCARNATION})
        self.assertEqual(self.published[1:], [ColdUpdate('i1', 7, 14, 2)])

    def test_a_limit_and_a_cold_period_both_apply(self) -> None:
        """The stricter one wins, and the limit goes on after the period."""
        limited = ResponseInfo('r', True, False, limit=2)
        self.throttle.record_response(_INCARNATION, limited, 9)
        self.throttle.set_cold(_INCARNATION, 14, 3, 'a test', is_new=True)
        self.assertLessEqual(self._send_for(3), 8)
        self.assertLessEqual(self._send_for(3), 8)
        other = Incarnation('i1', 8)
        self.throttle.record_response(other, attrs.evolve(limited, limit=90), 9)
        self.throttle.set_cold(other, 1, 3, 'a test', is_new=True)
        self.assertLessEqual(self._send_for(1, other), 2)

    def test_services_without_a_rate(self) -> None:
        """Neither answers nor entries of their targets change anything."""
        self.services.clear()
        answer = ResponseInfo('r', True, False, cold_seconds=4)
        self.throttle.record_response(_INCARNATION, answer, 9)
        self._read(_ENTRY)
        self._read(attrs.evolve(_ENTRY, born=8, cold_seconds=2))
        self.assertTrue(self.throttle.is_unrestricted)
        self.assertFalse(self.published)

    def test_a_new_incarnation_is_assumed_to_be_cold(self) -> None:
        """But not in the first list, nor before traffic, nor if it says so."""
        self._read(_ENTRY)
        self._read(attrs.evolve(_ENTRY, born=8))
        self._read(attrs.evolve(_ENTRY, born=9, cold_seconds=0))
        self.has_traffic = False
        self._read(attrs.evolve(_ENTRY, born=10))
        remaining = [
            self.throttle.cold_seconds(Incarnation('i1', born))
            for born in (7, 8, 9, 10)
        ]
        self.assertEqual(remaining, [0, 3, 0, 0])

    def test_an_entry_that_is_read_again_says_nothing_new(self) -> None:
        """A full read repeats entries that were written long ago."""
        entry = attrs.evolve(_ENTRY, cold_seconds=2)
        self._read(entry)
        self.now = 11
        self._read(entry)
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 1)
        self._read(attrs.evolve(entry, cold_seconds=5))
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 5)

    def test_the_list_is_read_before_the_configuration(self) -> None:
        """Nodes read both at their start, in any order."""
        self.services.clear()
        self._read(attrs.evolve(_ENTRY, cold_seconds=2))
        self.now = 11
        self.services[ENGINES] = _COLD
        self.entries.apply_config()
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 1)

    def test_a_restarted_node_waits_first(self) -> None:
        """It does not know what it sent in the second before."""
        throttle = TargetThrottle(clock=lambda: self.now)
        throttle.set_cold(_INCARNATION, 14, 9, 'a test', is_new=True)
        self.assertFalse(throttle.accepts(_INCARNATION))
        self.now += 1.05
        self.assertFalse(throttle.accepts(_INCARNATION))
        self.now += 0.1
        self.assertTrue(throttle.accepts(_INCARNATION))

    def test_an_increased_share_waits_first(self) -> None:
        """The node that had it may have used it in the second before."""
        dealt = [1]
        throttle = TargetThrottle(
            clock=lambda: self.now,
            cold_sharing=ColdSharing(deal=lambda *_target: dealt[-1]),
        )
        self.now += 5
        throttle.set_cold(_INCARNATION, 14, 9, 'a test', is_new=True)
        self.throttle = throttle
        self.assertEqual(self._send_for(1), 1)
        dealt.append(9)
        self.assertEqual(self._send_for(1), 1)
        self.assertGreaterEqual(self._send_for(1), 9)

    def test_requests_that_waited_are_counted_again(self) -> None:
        """Those that wait for connections together are sent together."""
        self.throttle.set_cold(_INCARNATION, 14, 30, 'a test', is_new=True)
        chosen = 0
        for _step in range(300):
            self.now += 0.01
            if self.throttle.accepts(_INCARNATION):
                self.throttle.record_sent(_INCARNATION)
                chosen += 1
        sent = [self.throttle.may_send(_INCARNATION, 10) for _ in range(chosen)]
        self.assertLessEqual(sum(sent), _FIRST_SECOND)
        self.assertTrue(self.throttle.may_send(_INCARNATION, self.now - 0.05))

    def test_a_target_says_the_same_of_a_later_period(self) -> None:
        """Its entry says nothing of it in between."""
        told = attrs.evolve(_ENTRY, cold_seconds=2)
        self._read(told)
        self.now = 13
        self._read(_ENTRY)
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 0)
        self._read(told)
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 2)

    def test_many_restarts_of_other_instances(self) -> None:
        """A target that has run for hours is not taken for a new one."""
        self._read(_ENTRY)
        other = attrs.evolve(_ENTRY, id='i2')
        for born in range(5000):
            self._read(attrs.evolve(other, born=born))
        self._read(_ENTRY)
        self.assertEqual(self.throttle.cold_seconds(_INCARNATION), 0)
        self.assertLess(len(self.entries._statements), 5000)

    def test_a_rate_is_configured_while_a_target_is_cold(self) -> None:
        """What was sent without a limit counts for a second."""
        self.services.clear()
        self._read(attrs.evolve(_ENTRY, cold_seconds=9))
        self.now = 12
        self.services[ENGINES] = _COLD
        self.entries.apply_config()
        self.assertEqual(self._send_for(1), 0)
        self.assertGreater(self._send_for(1), 0)

    def _read(self, entry: ListedInstance) -> None:
        self.entries.apply((entry,))

    def _send_for(
        self, seconds: float, incarnation: Incarnation = _INCARNATION
    ) -> int:
        sent = 0
        for _step in range(int(seconds * 100)):
            self.now += 0.01
            if self.throttle.accepts(incarnation):
                self.throttle.record_sent(incarnation)
                sent += 1
        return sent


class IncreasedShareTest(unittest.TestCase):
    """A share that grows as other nodes stop, which may just have sent."""

    def setUp(self) -> None:
        """Use up a share of two requests."""
        self.now = float(0)
        self.dealt = 2
        self.throttle = TargetThrottle(
            clock=lambda: self.now,
            cold_sharing=ColdSharing(deal=lambda *_target: self.dealt),
        )
        self.now = 10
        self.throttle.set_cold(_INCARNATION, 14, 30, 'a test', is_new=True)
        self.assertEqual(self._send_all(), 2)

    def test_each_increase_is_delayed(self) -> None:
        """A second one does not take effect when the first one does."""
        sent = []
        for now, dealt in ((11.2, 3), (12.2, 16), (12.5, 16), (12.8, 16)):
            self.now = now
            self.dealt = dealt
            sent.append(self._send_all())
        self.assertEqual(sent, [2, 0, 3, 0])
        self.now = 14
        self.assertEqual(self._send_all(), 16)

    def test_a_longer_period_does_not_end_the_delay(self) -> None:
        """The share is found anew when a target says more of its period."""
        self.dealt = 16
        self.now = 11.2
        self.throttle.set_cold(_INCARNATION, 14, 40, 'a test')
        self.assertEqual(self._send_all(), 2)

    def _send_all(self) -> int:
        sent = 0
        while self.throttle.accepts(_INCARNATION):
            self.throttle.record_sent(_INCARNATION)
            sent += 1
        return sent


class ColdRoutingTest(unittest.TestCase):
    """Requests for a model with two replicas."""

    def setUp(self) -> None:
        """Create a node with two targets."""
        self.testbed = GatewayTestbed(_serve, _serve)
        route = next(
            candidate
            for candidate in CONFIG.routes
            if candidate.name == 'stream'
        )
        self.request = RoutingRequest(CONFIG, route, ENGINES, MODEL, 100, 8)
        self.now = float(0)
        self.router = self.testbed.router
        self.router.throttle = TargetThrottle(clock=lambda: self.now)
        self.now = 10

    def test_the_rest_goes_to_warm_targets(self) -> None:
        """A cold target gets its share, and nothing is refused."""
        self._set_cold('i0')
        chosen = []
        for _number in range(200):
            self.now += 0.005
            chosen.append(self.router.choose(self.request).instance.id)
        self.assertLessEqual(chosen.count('i0'), _FIRST_SECOND)
        self.assertGreater(chosen.count('i0'), 7)

    def test_warm_targets_are_full(self) -> None:
        """Requests are refused until the cold target accepts the next one."""
        self._set_cold('i0')
        self.router.choose(self.request)
        self.router._remote_in_flight = lambda name: 200 * (name == 'i1')
        with self.assertRaises(OverloadedError) as caught:
            for _number in range(200):
                self.router.choose(self.request)
        self.assertLess(caught.exception.retry_after or 9, _MAX_RETRY_SECONDS)

    def test_announced_limits_do_not_change_retry_times(self) -> None:
        """Without cold targets these follow the wait for a slot alone."""
        retry_times = []
        for limits in ((), ('i0',)):
            self.router._random.seed(1)
            self.router._remote_in_flight = lambda _name: 200
            for name in limits:
                self.router.throttle.record_response(
                    Incarnation(name),
                    ResponseInfo('r', True, False, limit=9),
                    9,
                )
            with self.assertRaises(OverloadedError) as caught:
                self.router.choose(self.request)
            retry_times.append(caught.exception.retry_after)
        self.assertAlmostEqual(retry_times[1] or 0, retry_times[0] or 9, 2)

    def test_all_targets_are_cold(self) -> None:
        """The excess is refused with the time at which a target accepts."""
        for name in ('i0', 'i1'):
            self._set_cold(name)
        with self.assertRaises(OverloadedError) as caught:
            for _number in range(200):
                self.router.choose(self.request)
        self.assertLess(caught.exception.retry_after or 9, _MAX_RETRY_SECONDS)

    def _set_cold(self, name: str) -> None:
        self.router.throttle.set_cold(
            Incarnation(name), 14, 3, 'a test', is_new=True
        )


class ListedColdTest(unittest.TestCase):
    """What a node reads from the instance list, as it is built to serve."""

    def test_entries_that_the_fleet_accepts(self) -> None:
        """A delayed write of an ended incarnation says nothing any more."""
        fleet = Fleet()
        throttle = TargetThrottle()
        config = ActiveRouteConfig()
        mesh: Any = SimpleNamespace(has_traffic=lambda: True)
        nothing: Any = None
        dispatcher = RowDispatcher(
            mesh,
            fleet,
            nothing,
            cold_entries=make_cold_entries(throttle, config, mesh),
        )
        dispatcher.apply_instances({'i1': _ENTRY}, True, 0)
        restarted = attrs.evolve(_ENTRY, born=9, cold_seconds=20)
        late = attrs.evolve(_ENTRY, cold_seconds=20)
        for entry in (restarted, late):
            dispatcher.apply_instances({'i1': entry}, False, 0)
        profile = ServiceProfile(ENGINES, cold=_COLD)
        services = {**CONFIG.services, ENGINES: profile}
        config.apply_from_peer(attrs.evolve(CONFIG, services=services))
        self.assertGreater(throttle.cold_seconds(restarted.incarnation), 15)
        self.assertEqual(throttle.cold_seconds(late.incarnation), 0)


class ColdMessagesTest(unittest.TestCase):
    """Messages between nodes of this version and of the earlier one."""

    def test_message_of_the_earlier_version(self) -> None:
        """It has no field for cold targets."""
        message = TargetLimits('n1', [], [ColdUpdate('i1', 7, 14, 2)])
        encoded = encode_mesh_message(message)
        self.assertEqual(decode_mesh_message(encoded), message)
        fields = msgspec.msgpack.decode(encoded)
        earlier = decode_mesh_message(msgspec.msgpack.encode(fields[:-1]))
        self.assertEqual(earlier, TargetLimits('n1', []))


class EstablishedNodeTest(unittest.TestCase):
    """A node that other nodes may not know of gets no share."""

    def test_only_a_restarted_node_is_established(self) -> None:
        """Its row was in the store before, so that others know of it."""
        table = FakePlatform()
        settings = registration_settings(first_start=False)
        established = []
        for _start in range(2):
            registration = NodeRegistration(settings, table, True)
            curio.run(registration.register)
            established.append(
                registration.is_established(hears_all_peers=True)
            )
        self.assertEqual(established, [False, True])

    def test_node_cut_off_does_not_know_of_a_restarted_one(self) -> None:
        """Its settings still say that the whole deployment starts."""
        settings = registration_settings(first_start=True)
        registration = NodeRegistration(settings, FakePlatform(), True)
        curio.run(registration.register)
        later = registration.registered_at + _CUT_SECONDS
        with patch(
            'cranecart.serving._node_registration.since_boot', lambda: later
        ):
            self.assertTrue(registration.is_established(hears_all_peers=True))
            self.assertFalse(registration.is_established(hears_all_peers=False))


async def _serve(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.end_stream()
