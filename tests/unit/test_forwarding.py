"""Responses to clients if targets work, fail, stop or swap responses."""

import time
import unittest
from collections.abc import Mapping
from typing import Any

import attrs
import curio

from cranecart.http import HttpConnection
from tests.lib.fake_targets import (
    PLAIN,
    ClientAnswer,
    Exchange,
    FakeTarget,
    GatewayTestbed,
    Script,
    client_request,
)
from tests.lib.waiting import until

_EVENTS = ''.join(
    f'id: {number}\ndata: {number}\n\n' for number in range(1, 6)
).encode()
_NOT_RUN = 'not-executed: 1\r\n'


async def _complete_stream(exchange: Exchange) -> None:
    first = int(exchange.headers.get('last-event-id', '0')) + 1
    await exchange.start_stream()
    await exchange.events(first, 5)
    await exchange.end_stream()


async def _silent(exchange: Exchange) -> None:
    await curio.sleep(30)


async def _disconnects_within_an_event(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await exchange.chunk(b'id: 3\nda')
    await exchange.sock.shutdown(2)


async def _stalls_after_two_events(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await curio.sleep(30)


async def _succeeds(exchange: Exchange) -> None:
    await exchange.answer(b'fine')


async def _refuses_as_not_run(exchange: Exchange) -> None:
    await exchange.answer(b'', 503, extra=_NOT_RUN)


async def _answers_unavailable(exchange: Exchange) -> None:
    await exchange.answer(b'', 503)


async def _fails(exchange: Exchange) -> None:
    await exchange.answer(b'sorry', 500)


async def _disconnects(exchange: Exchange) -> None:
    await exchange.sock.shutdown(2)


async def _sends_another_response_first(exchange: Exchange) -> None:
    await exchange.answer(b'of another', request_id='r0')
    await exchange.answer(b'own')


async def _sends_no_signature(exchange: Exchange) -> None:
    await exchange.answer(b'forged', signature='')


async def _sends_no_content_length(exchange: Exchange) -> None:
    await exchange.sock.sendall(
        b'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nreplica-signature: s\r\n\r\nabc',
    )
    await exchange.sock.shutdown(2)


class StreamTest(unittest.TestCase):
    """Streams from one or two replicas."""

    elapsed: float

    def test_complete_stream(self) -> None:
        """All events arrive in order, with the status of the target."""
        answer = _ask('/stream/x', _complete_stream)
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))
        self.assertTrue(answer.is_complete)

    def test_resumes_between_complete_events(self) -> None:
        """Incomplete events are not relayed, and no event is sent twice."""
        for script in (_disconnects_within_an_event, _stalls_after_two_events):
            with self.subTest(script.__name__):
                answer = _ask(
                    '/stream/x', script, _complete_stream, first=script
                )
                self.assertEqual(answer.body, _EVENTS)
                self.assertTrue(answer.is_complete)

    def test_gives_up_after_two_attempts(self) -> None:
        """An aborted stream does not look complete to the client."""
        scripts = (
            _disconnects_within_an_event,
            _disconnects_within_an_event,
            _complete_stream,
        )
        testbed = GatewayTestbed(*scripts[:2])
        answer = _ask_testbed(testbed, '/stream/x')
        self.assertFalse(answer.is_complete)
        self.assertEqual(
            sum(len(target.received) for target in testbed.targets), 2
        )

    def test_last_attempt_is_not_given_up_for_silence(self) -> None:
        """There is no other target to try, so the node keeps waiting."""
        answer = _ask(
            '/stream/x',
            _stalls_after_two_events,
            _sends_third_event_late,
            first=_stalls_after_two_events,
            deadline_ms=5000,
        )
        self.assertTrue(answer.is_complete)

    def test_non_repeatable_stream_is_not_retried(self) -> None:
        """It is sent to one replica only and aborted if that fails."""
        testbed = GatewayTestbed(
            _disconnects_within_an_event, _disconnects_within_an_event
        )
        answer = _ask_testbed(testbed, '/once/x')
        self.assertFalse(answer.is_complete)
        self.assertEqual(
            sum(len(target.received) for target in testbed.targets), 1
        )

    def test_stream_moves_once_its_replica_has_stopped(self) -> None:
        """The stream moves long before the silence limit."""
        testbed = GatewayTestbed(
            _stalls_after_two_events, _stalls_after_two_events
        )
        curio.run(testbed.run, self._report_stopped_during_stream)
        self.assertLess(self.elapsed, 0.3)

    def test_client_disconnect_cancels_the_request(self) -> None:
        """The target's connection is closed at once."""
        curio.run(
            GatewayTestbed(_never_answers).run, self._disconnect_while_waiting
        )

    def test_client_disconnects_right_after_its_request(self) -> None:
        """The target is not kept busy after the client has closed."""
        testbed = GatewayTestbed(_never_answers)
        curio.run(testbed.run, self._disconnect_after_sending)
        self.assertEqual(testbed.gateway.in_flight, 0)

    async def _disconnect_after_sending(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        await connection.send(client_request('/stream/x'))
        await connection.close()
        await curio.sleep(0.4)
        received, closed = (
            testbed.targets[0].received,
            testbed.targets[0].closed,
        )
        self.assertEqual(bool(received), bool(closed))

    async def _report_stopped_during_stream(
        self, testbed: GatewayTestbed
    ) -> None:
        client = await curio.spawn(testbed.ask, '/stream/x')
        await until(lambda: any(target.received for target in testbed.targets))
        used = _target_with_request(testbed)
        other = next(target for target in testbed.targets if target is not used)
        other.script = _complete_stream
        await curio.sleep(0.1)
        started = time.monotonic()
        testbed.fleet.mark_stopped((used.name, 1), 'a test says so')
        answer = await client.join()
        self.elapsed = time.monotonic() - started
        self.assertEqual(answer.body, _EVENTS)

    async def _disconnect_while_waiting(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        await connection.send(client_request('/stream/x'))
        await until(lambda: testbed.targets[0].received)
        await connection.close()
        await until(lambda: testbed.targets[0].closed, 0.4)


async def _sends_third_event_late(exchange: Exchange) -> None:
    await exchange.start_stream()
    await curio.sleep(1.5)
    await exchange.events(3, 5)
    await exchange.end_stream()


async def _never_answers(exchange: Exchange) -> None:
    if not await exchange.sock.recv(1):
        raise ConnectionResetError


class BufferedResponseTest(unittest.TestCase):
    """Responses of plain services."""

    def test_client_disconnect_cancels_the_request(self) -> None:
        """The connection to the target is closed at once."""
        testbed = GatewayTestbed(_never_answers, service=PLAIN)
        curio.run(testbed.run, self._disconnect_while_waiting)

    def test_unreachable_targets_use_no_retry_budget(self) -> None:
        """No target has received anything, so a retry needs no budget."""
        for seed in range(6):
            testbed = GatewayTestbed(
                _succeeds, _succeeds, service=PLAIN, retries=0
            )
            testbed.make_unreachable(f'i{seed % 2}')
            self.assertEqual(_ask_testbed(testbed, '/unsafe/x').status, 200)

    def test_silent_target_leaves_time_for_another(self) -> None:
        """Half of the objective is left for another target."""
        started = time.monotonic()
        answer = _ask(
            '/safe/x', _silent, _succeeds, first=_silent, service=PLAIN
        )
        self.assertEqual(answer.body, b'fine')
        self.assertLess(time.monotonic() - started, 1)

    def test_response_of_the_target_is_forwarded(self) -> None:
        """Status, body and signature are those of the target."""
        answer = _ask('/safe/x', _succeeds, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (200, b'fine'))
        self.assertEqual(answer.headers['replica-signature'], 'sig')

    def test_response_of_another_request_is_discarded(self) -> None:
        """The client gets the response after it."""
        answer = _ask('/unsafe/x', _sends_another_response_first, service=PLAIN)
        self.assertEqual(answer.body, b'own')

    def test_unsigned_response_is_rejected(self) -> None:
        """The client gets no data that a target did not sign."""
        answer = _ask('/unsafe/x', _sends_no_signature, service=PLAIN)
        self.assertEqual(answer.status, 502)

    def test_response_without_content_length(self) -> None:
        """The body ends when the connection is closed."""
        answer = _ask('/unsafe/x', _sends_no_content_length, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (200, b'abc'))

    def test_unknown_outcome_is_not_repeated(self) -> None:
        """It is not reported as 'not run' either."""
        for script in (_disconnects, _answers_unavailable):
            testbed = GatewayTestbed(script, script, service=PLAIN)
            answer = _ask_testbed(testbed, '/unsafe/x')
            self.assertEqual(answer.status, 502)
            self.assertEqual(
                sum(len(target.received) for target in testbed.targets), 1
            )

    def test_refused_request_is_retried_elsewhere(self) -> None:
        """A request that was not run may be sent to another target."""
        answer = _ask(
            '/unsafe/x',
            _refuses_as_not_run,
            _succeeds,
            first=_refuses_as_not_run,
            service=PLAIN,
        )
        self.assertEqual(answer.body, b'fine')

    def test_request_refused_by_all_targets(self) -> None:
        """The client gets a 503 with a retry time, as it was not run."""
        answer = _ask(
            '/unsafe/x', _refuses_as_not_run, _refuses_as_not_run, service=PLAIN
        )
        self.assertEqual(answer.status, 503)
        self.assertIn('retry-after', answer.headers)

    def test_server_error_is_retried_if_repeatable(self) -> None:
        """If all targets fail, the last response is forwarded."""
        answer = _ask('/safe/x', _fails, _succeeds, first=_fails, service=PLAIN)
        self.assertEqual(answer.body, b'fine')
        answer = _ask('/safe/x', _fails, _fails, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (500, b'sorry'))

    def test_route_timeout(self) -> None:
        """The client gets an error when the route's timeout expires."""
        started = time.monotonic()
        answer = _ask('/brief/x', _silent, service=PLAIN)
        self.assertEqual(answer.status, 504)
        self.assertLess(time.monotonic() - started, 0.8)

    def test_unknown_keys_and_routes(self) -> None:
        """They reach no target, and a valid key is not forwarded."""
        testbed = GatewayTestbed(_succeeds, service=PLAIN)
        self.assertEqual(_ask_testbed(testbed, '/safe/x', key='no').status, 401)
        testbed = GatewayTestbed(_succeeds, service=PLAIN)
        self.assertEqual(_ask_testbed(testbed, '/none/x').status, 404)
        testbed = GatewayTestbed(_succeeds, service=PLAIN)
        self.assertEqual(_ask_testbed(testbed, '/open/x', key='no').status, 200)
        testbed = GatewayTestbed(_succeeds, service=PLAIN)
        _ask_testbed(testbed, '/safe/x')
        sent = testbed.targets[0].received[0].headers
        self.assertEqual(sent['tenant'], 'org')
        self.assertNotIn('authorization', sent)

    def test_response_before_the_end_of_a_large_body(self) -> None:
        """A response sent before the body was read is forwarded."""
        answer = _ask('/unsafe/x', _succeeds, service=PLAIN, body=b'x' * 300000)
        self.assertEqual(answer.status, 200)

    async def _disconnect_while_waiting(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        await connection.send(client_request('/safe/x'))
        await until(lambda: testbed.targets[0].received)
        await connection.close()
        await until(lambda: testbed.targets[0].closed, 0.4)


def _target_with_request(testbed: GatewayTestbed) -> FakeTarget:
    return next(target for target in testbed.targets if target.received)


def _ask(
    path: str,
    *scripts: Script,
    first: Script | None = None,
    service: str = 'drafts',
    **options: Any,
) -> ClientAnswer:
    """Send a request; the target with the script ``first`` is chosen first."""
    testbed = GatewayTestbed(*scripts, service=service)
    for target in testbed.targets:
        # With one more request in flight the other target is chosen.
        is_later = first is not None and target.script is not first
        testbed.router.in_flight_counts()[target.name] += is_later
    return _ask_testbed(testbed, path, **options)


def _ask_testbed(
    testbed: GatewayTestbed,
    path: str,
    **options: Any,
) -> ClientAnswer:
    client = _Client(path, options)
    curio.run(testbed.run, client.play)
    return client.answers[0]


@attrs.define
class _Client:
    path: str
    options: Mapping[str, Any]
    answers: list[ClientAnswer] = attrs.field(factory=list)

    async def play(self, testbed: GatewayTestbed) -> None:
        self.answers.append(await testbed.ask(self.path, **self.options))
