"""What a node may send to targets that announced limits or back-offs."""

import operator
import time
import unittest
from collections import Counter
from collections.abc import Sequence

import attrs
import curio

from cranecart.forwarding import TargetConnectionPool
from cranecart.http import HttpConnection
from cranecart.ports import Incarnation, ListedInstance, ResponseInfo
from cranecart.routing import RoutingRequest
from cranecart.throttling import TargetThrottle
from tests.lib.fake_targets import CONFIG, MODEL, Exchange, GatewayTestbed

_INCARNATION = Incarnation('i1', 7)
_REFUSAL = ResponseInfo('r1', False, True, backoff_seconds=3)
_SUCCESS = ResponseInfo('r1', True, False)


class BackoffTest(unittest.TestCase):
    """Back-offs, on a simulated clock."""

    def setUp(self) -> None:
        """Receive a request to back off for three seconds at second ten."""
        self.now = float(10)
        self.throttle = TargetThrottle(clock=self.clock)
        self.throttle.record_response(_INCARNATION, _REFUSAL, 9)

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now

    def test_back_off_ends(self) -> None:
        """Nothing is sent until then, and the remaining time is returned."""
        self.assertFalse(self.throttle.accepts(_INCARNATION))
        self.now = 12
        self.assertEqual(self.throttle.seconds_until_accepted(_INCARNATION), 1)
        self.now = 13
        self.assertTrue(self.throttle.accepts(_INCARNATION))
        self.throttle.refresh({_INCARNATION})
        self.assertTrue(self.throttle.is_unrestricted)

    def test_a_success_does_not_end_a_back_off(self) -> None:
        """Its request was sent before the target asked to back off."""
        self.throttle.record_response(_INCARNATION, _SUCCESS, 9.5)
        self.assertFalse(self.throttle.accepts(_INCARNATION))

    def test_a_later_back_off_only_extends_it(self) -> None:
        """Responses may arrive in another order than they were sent."""
        self.now = 12
        brief = attrs.evolve(_REFUSAL, backoff_seconds=0.1)
        self.throttle.record_response(_INCARNATION, brief, 11)
        self.assertEqual(self.throttle.seconds_until_accepted(_INCARNATION), 1)
        self.throttle.record_response(_INCARNATION, _REFUSAL, 11)
        self.assertEqual(self.throttle.seconds_until_accepted(_INCARNATION), 3)

    def test_another_incarnation_is_not_backed_off_from(self) -> None:
        """An instance that restarted under its id has not requested it."""
        self.assertTrue(self.throttle.accepts(Incarnation('i1', 8)))

    def test_the_share_of_a_limit_is_logged(self) -> None:
        """A log line shows the share of the limit that the node may send."""
        limited = ResponseInfo('r1', True, False, limit=2)
        with self.assertLogs('cranecart.decisions', 'INFO') as captured:
            self.throttle.record_response(_INCARNATION, limited, 9)
        events = map(operator.attrgetter('fields'), captured.records)
        shares = [event for event in events if event['event'] == 'target_share']
        self.assertEqual(len(shares), 1)
        self.assertEqual(shares[0]['per_second'], 2)
        self.assertEqual(shares[0]['nodes'], 1)

    def test_a_back_off_and_a_limit_both_apply(self) -> None:
        """The limit goes on after the back-off has ended."""
        limited = ResponseInfo('r1', True, False, limit=2)
        self.throttle.record_response(_INCARNATION, limited, 9)
        self.now = 11
        self.assertFalse(self.throttle.accepts(_INCARNATION))
        self.now = 14
        self.assertTrue(self.throttle.accepts(_INCARNATION))
        self.throttle.record_sent(_INCARNATION)
        self.throttle.record_sent(_INCARNATION)
        self.assertFalse(self.throttle.accepts(_INCARNATION))


class PriorityTest(unittest.TestCase):
    """Ten requests a second of each of two ranks, at a limited target."""

    def setUp(self) -> None:
        """Receive a limit of two requests a second."""
        self.now = float(10)
        self.throttle = TargetThrottle(clock=self.clock)
        limited = ResponseInfo('r1', True, False, limit=2)
        self.throttle.record_response(_INCARNATION, limited, 9)
        self.sent: Counter[int] = Counter()

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now

    def test_urgent_requests_are_sent_first(self) -> None:
        """They use nearly the whole limit, whoever asks first."""
        self._ask((3, 1))
        self.assertGreater(self.sent[1], 9 * self.sent[3])
        self.assertGreaterEqual(self.sent.total(), 0.9 * 2 * 20)

    def test_other_requests_get_the_rest(self) -> None:
        """Without rejected urgent requests nothing is reserved for them."""
        self._ask((3,))
        self.assertGreaterEqual(self.sent[3], 0.9 * 2 * 20)

    def _ask(self, ranks: Sequence[int]) -> None:
        for _turn in range(200):
            self.now += 0.1
            for rank in ranks:
                if self.throttle.accepts(_INCARNATION, rank):
                    self.throttle.record_sent(_INCARNATION)
                    self.sent[rank] += 1
                else:
                    self.throttle.record_rejection((_INCARNATION,), rank)


class ChangedLimitTest(unittest.TestCase):
    """A limit that decreases while many nodes share it."""

    def test_sharing_nodes_are_recomputed_at_once(self) -> None:
        """Until the next regular check each of them could send once more."""
        requested: list[int] = []
        throttle = TargetThrottle(
            lambda _domain, _name, max_nodes: _record_max_nodes(
                requested, max_nodes
            )
        )
        for limit in (50, 2):
            info = ResponseInfo('r1', True, False, limit=limit)
            throttle.record_response(_INCARNATION, info, time.monotonic() + 60)
        self.assertEqual(requested, [12, 1])


def _record_max_nodes(requested: list[int], max_nodes: int) -> int:
    requested.append(max_nodes)
    return max_nodes


class CheckBeforeSendingTest(unittest.TestCase):
    """A back-off that arrives while a request connects to the target."""

    def test_back_off_is_checked_before_sending(self) -> None:
        """The request goes elsewhere, without counting as failure or retry."""
        testbed = GatewayTestbed(_serve, _serve, retries=0)
        curio.run(testbed.run, self._ask)
        self.assertEqual(len(testbed.targets[0].received), 0)

    def test_no_other_target_is_left(self) -> None:
        """A stream has no other target if that one is backed off from."""
        testbed = GatewayTestbed(_serve, _serve)
        route = next(
            candidate
            for candidate in CONFIG.routes
            if candidate.name == 'stream'
        )
        request = RoutingRequest(CONFIG, route, 'drafts', MODEL, 100, 2)
        arguments = (CONFIG, 'drafts', MODEL, ['i0'])
        self.assertTrue(testbed.router.has_untried_target(*arguments))
        testbed.router.throttle.record_response(Incarnation('i1'), _REFUSAL, 0)
        self.assertFalse(testbed.router.has_untried_target(*arguments))
        chosen = {testbed.router.choose(request).instance.id for _ in range(20)}
        self.assertEqual(chosen, {'i0'})

    async def _ask(self, testbed: GatewayTestbed) -> None:
        sender = testbed.gateway._forwarder.sender
        sender.connections = SlowConnections(throttle=testbed.router.throttle)
        for _number in range(6):
            answer = await testbed.ask('/stream/x')
            self.assertEqual(answer.status, 200)


@attrs.define(kw_only=True)
class SlowConnections(TargetConnectionPool):
    """A pool in which a back-off arrives while a connection is acquired."""

    throttle: TargetThrottle

    async def acquire(
        self,
        instance: ListedInstance,
        *,
        require_recent: bool,
        require_new: bool = False,
    ) -> HttpConnection:
        """Record the back-off, then return a connection."""
        self.throttle.record_response(Incarnation('i0'), _REFUSAL, 0)
        return await super().acquire(
            instance, require_recent=require_recent, require_new=require_new
        )


async def _serve(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await exchange.end_stream()
