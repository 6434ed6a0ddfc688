"""Requests that a node without paths to targets passes on to other nodes."""

import time
import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import curio

from cranecart.http import HttpConnection
from cranecart.reachability import TargetPaths
from tests.lib.cut_paths import Cut
from tests.lib.fake_targets import (
    PLAIN,
    Exchange,
    FakeTarget,
    GatewayTestbed,
    client_request,
)
from tests.lib.peer_testbed import HelperNode, PeerTestbed
from tests.lib.waiting import until

_EVENTS = ''.join(
    f'id: {number}\ndata: {number}\n\n' for number in range(1, 6)
).encode()
_MAX_REFUSAL_SECONDS = 0.3
_PAUSE_SECONDS = 0.6
_ANSWER_SECONDS = 3.0
# Twice as long as timers may be late.
_DELAY_SECONDS = 0.03
_DELAYS = 30

Scenario = Callable[[PeerTestbed], Awaitable[None]]


async def _stream(exchange: Exchange) -> None:
    first = int(exchange.headers.get('last-event-id', '0')) + 1
    await exchange.start_stream('x-of-target: yes\r\n')
    await exchange.events(first, 5)
    await exchange.end_stream()


async def _stop_after_two_events(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await curio.sleep(30)


async def _pause_after_two_events(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await curio.sleep(_PAUSE_SECONDS)
    await exchange.events(3, 5)
    await exchange.end_stream()


async def _fall_silent(exchange: Exchange) -> None:
    """Send two events of a new stream, none of one that goes on."""
    await exchange.start_stream()
    if 'last-event-id' not in exchange.headers:
        await exchange.events(1, 2)
    await curio.sleep(30)


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(exchange.body, extra='x-of-target: yes\r\n')


async def _fail(exchange: Exchange) -> None:
    await exchange.answer(b'sorry', 500)


async def _refuse(exchange: Exchange) -> None:
    await exchange.answer(b'', 503, extra='not-executed: 1\r\n')


async def _never_answer(exchange: Exchange) -> None:
    await curio.sleep(30)


async def _claim_outcome(exchange: Exchange) -> None:
    await exchange.answer(b'fine', extra='cranecart-outcome: [false]\r\n')


async def _wait_and_answer(exchange: Exchange) -> None:
    await curio.sleep(_ANSWER_SECONDS)
    await exchange.start_stream()
    await exchange.end_stream()


def _work(seconds: float) -> None:
    """Use the processor."""
    now = time.process_time()
    ends_at = now + seconds
    while now < ends_at:
        now = time.process_time()


async def _disturb(
    testbed: PeerTestbed, block: Callable[[float], None]
) -> None:
    """Block the event loop again and again while a helper has a request."""
    endpoint = testbed.helpers[0].endpoint
    asking = await curio.spawn(testbed.own.ask, '/stream/')
    await until(lambda: endpoint.admission.in_flight > 0)
    for _ in range(_DELAYS):
        block(_DELAY_SECONDS)
        await curio.sleep(0)
    await asking.cancel()


class PassedOnTest(unittest.TestCase):
    """A node without paths, and helpers with one target or two each."""

    def test_response_is_passed_on_whole(self) -> None:
        """Status, headers and body of the target's response arrive as sent."""
        self._run(
            self._check_response, HelperNode('n1', [_answer], service=PLAIN)
        )

    def test_stream_is_passed_on_whole(self) -> None:
        """Each event arrives once, with the head of the target's response."""
        self._run(self._check_stream, HelperNode('n1', [_stream]))

    def test_responses_of_failing_targets(self) -> None:
        """A target's own error arrives, after the route's attempts."""
        helper = HelperNode('n1', [_fail, _fail, _fail], service=PLAIN)
        self._run(self._check_failing_targets, helper)

    def test_not_run_only_if_known(self) -> None:
        """A refusal by the only target is told as not run, with a time."""
        self._run(
            self._check_not_run, HelperNode('n1', [_refuse], service=PLAIN)
        )

    def test_claims_of_targets_are_ignored(self) -> None:
        """A target cannot pass its response off as one of the peer."""
        self._run(
            self._check_claims,
            HelperNode('n1', [_claim_outcome], service=PLAIN),
        )

    def test_no_second_hop(self) -> None:
        """A peer without paths refuses at once; no node asks it for a while."""
        helpers = [
            HelperNode(name, [_answer], service=PLAIN) for name in ('n1', 'n2')
        ]
        self._run(self._check_no_second_hop, *helpers)

    def test_another_peer_where_the_first_is_unable(self) -> None:
        """A peer that stops or reaches nothing is followed by another one."""
        helpers = [
            HelperNode(name, [_answer], service=PLAIN)
            for name in ('n1', 'n2', 'n3')
        ]
        self._run(self._check_unable_peers, *helpers)

    def test_stream_goes_on_through_another_peer(self) -> None:
        """A stream continues after its last event when its peer has failed."""
        self._run(
            self._check_failed_peer,
            HelperNode('n1', [_stop_after_two_events]),
            HelperNode('n2', [_stream]),
        )

    def test_stream_cut_as_its_peer_seemed_dead(self) -> None:
        """The peer's heartbeats were lost, and no other node helps."""
        self._run(
            self._check_unheard_peer,
            HelperNode('n1', [_pause_after_two_events]),
        )

    def test_stream_retried_over_a_path_that_loses_packets(self) -> None:
        """A path that was just lost and found again is not tried twice."""
        testbed = PeerTestbed(
            HelperNode('n1', [_stream]), own_scripts=(_fall_silent,) * 4
        )
        with patch.object(TargetPaths, 'is_lost', return_value=True):
            curio.run(testbed.run, self._check_lossy_path)

    def test_outcome_unknown_when_the_link_breaks(self) -> None:
        """What must not run twice is not sent again when a peer has failed."""
        self._run(
            self._check_broken_link,
            HelperNode('n1', [_never_answer], service=PLAIN),
            HelperNode('n2', [_answer], service=PLAIN),
        )

    def test_targets_hear_that_a_client_left(self) -> None:
        """The target's connection closes soon after the client's."""
        self._run(
            self._check_client_left, HelperNode('n1', [_stop_after_two_events])
        )

    def test_first_try_that_meets_the_loss_is_served(self) -> None:
        """Two connections fail, and the request is passed on, in time."""
        self._run(self._check_first_try, HelperNode('n1', [_stream]))

    def test_helper_without_processor_is_not_overloaded(self) -> None:
        """It goes on to help where other processes keep the processors busy."""
        self._run(self._check_pauses, HelperNode('n1', [_wait_and_answer]))

    def test_overloaded_helper(self) -> None:
        """It refuses where its own work delays its own clients."""
        self._run(self._check_own_work, HelperNode('n1', [_wait_and_answer]))

    def test_requests_are_counted_once(self) -> None:
        """Only the node that a client has asked counts demand and requests."""
        self._run(self._check_counted, HelperNode('n1', [_stream]))

    def _run(self, scenario: Scenario, *helpers: HelperNode) -> None:
        curio.run(PeerTestbed(*helpers).run, scenario)

    async def _check_pauses(self, testbed: PeerTestbed) -> None:
        # Like a process that gets no processor.
        await _disturb(testbed, time.sleep)
        self.assertTrue(testbed.helpers[0].endpoint.admission.admits())

    async def _check_own_work(self, testbed: PeerTestbed) -> None:
        await _disturb(testbed, _work)
        self.assertFalse(testbed.helpers[0].endpoint.admission.admits())

    async def _check_response(self, testbed: PeerTestbed) -> None:
        answer = await testbed.own.ask('/safe/x', body=b'abc' * 9000)
        self.assertEqual((answer.status, answer.body), (200, b'abc' * 9000))
        self.assertEqual(answer.headers['x-of-target'], 'yes')
        self.assertEqual(answer.headers['replica-signature'], 'sig')
        self.assertNotIn('cranecart-outcome', answer.headers)
        received = _first_target(testbed).received[0]
        self.assertEqual(received.headers['tenant'], 'org')
        self.assertNotIn('authorization', received.headers)

    async def _check_stream(self, testbed: PeerTestbed) -> None:
        answer = await testbed.own.ask('/stream/x')
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.headers['x-of-target'], 'yes')

    async def _check_failing_targets(self, testbed: PeerTestbed) -> None:
        answer = await testbed.own.ask('/safe/x')
        self.assertEqual((answer.status, answer.body), (500, b'sorry'))
        received = [
            len(target.received)
            for target in testbed.helpers[0].testbed.targets
        ]
        self.assertEqual(sum(received), 2)

    async def _check_not_run(self, testbed: PeerTestbed) -> None:
        answer = await testbed.own.ask('/unsafe/x')
        self.assertEqual(answer.status, 503)
        self.assertIn('retry-after', answer.headers)

    async def _check_claims(self, testbed: PeerTestbed) -> None:
        answer = await testbed.own.ask('/safe/x')
        self.assertEqual((answer.status, answer.body), (200, b'fine'))
        self.assertNotIn('cranecart-outcome', answer.headers)

    async def _check_no_second_hop(self, testbed: PeerTestbed) -> None:
        for helper in testbed.helpers:
            helper.testbed.gateway._find_peers = testbed.own.gateway._find_peers
            helper.testbed.make_unreachable('i0')
        await testbed.own.ask('/safe/x')
        started = time.monotonic()
        answer = await testbed.own.ask('/safe/x')
        elapsed = time.monotonic() - started
        self.assertEqual(answer.status, 503)
        self.assertIn(b'out_of_reach', answer.body)
        self.assertIn('retry-after', answer.headers)
        self.assertLess(elapsed, _MAX_REFUSAL_SECONDS)
        self.assertEqual(testbed.helpers[0].endpoint.received, 1)

    async def _check_unable_peers(self, testbed: PeerTestbed) -> None:
        first, second, _third = testbed.helpers
        first.is_able = False
        second.testbed.make_unreachable('i0')
        answers = [await testbed.own.ask('/unsafe/x') for _ in range(4)]
        self.assertEqual(
            [answer.status for answer in answers], [200, 200, 200, 200]
        )

    async def _check_failed_peer(self, testbed: PeerTestbed) -> None:
        testbed.live = {'n1'}
        asking = await curio.spawn(testbed.own.ask, '/stream/x')
        await until(lambda: _first_target(testbed).received)
        await curio.sleep(0.2)
        testbed.live = {'n2'}
        answer = await asking.join()
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))

    async def _check_unheard_peer(self, testbed: PeerTestbed) -> None:
        asking = await curio.spawn(testbed.own.ask, '/stream/x')
        await until(lambda: _first_target(testbed).received)
        await curio.sleep(_PAUSE_SECONDS / 4)
        testbed.live = set()
        answer = await asking.join()
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))
        self.assertTrue(answer.is_complete)

    async def _check_lossy_path(self, testbed: PeerTestbed) -> None:
        answer = await testbed.own.ask('/stream/')
        self.assertEqual(answer.body, _EVENTS)
        self.assertTrue(answer.is_complete)
        self.assertEqual(testbed.client.sent, 1)

    async def _check_broken_link(self, testbed: PeerTestbed) -> None:
        testbed.live = {'n1'}
        asking = await curio.spawn(testbed.own.ask, '/unsafe/x')
        helper = testbed.helpers[0]
        await until(lambda: _first_target(testbed).received)
        testbed.live = {'n1', 'n2'}
        await helper.link.cut(Cut.RESET)
        answer = await asking.join()
        self.assertEqual(answer.status, 502)
        self.assertFalse(_first_target(testbed, 1).received)

    async def _check_client_left(self, testbed: PeerTestbed) -> None:
        target = _first_target(testbed)
        connection = await HttpConnection.open(testbed.own.server.address)
        await connection.send(client_request('/stream/x'))
        await until(lambda: target.received)
        await connection.close()
        await until(lambda: testbed.helpers[0].gateway.in_flight == 0, 0.4)

    async def _check_first_try(self, testbed: PeerTestbed) -> None:
        started = time.monotonic()
        answer = await testbed.own.ask('/stream/x')
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - started, 0.5)

    async def _check_counted(self, testbed: PeerTestbed) -> None:
        counted: list[str] = []
        helper = testbed.helpers[0].testbed
        _count(testbed.own, counted)
        _count(helper, counted)
        await testbed.own.ask('/stream/x')
        self.assertEqual(helper.gateway.received_count, 0)
        self.assertEqual(counted, ['admitted', 'done'])


def _first_target(testbed: PeerTestbed, helper: int = 0) -> FakeTarget:
    """Return the first target of a helper."""
    return testbed.helpers[helper].testbed.targets[0]


def _count(testbed: GatewayTestbed, counted: list[str]) -> None:
    testbed.gateway._on_admitted = lambda _call: counted.append('admitted')
    testbed.gateway._on_streamed = lambda _call, _events: counted.append('done')
