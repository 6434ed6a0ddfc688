"""What clients get of targets that behave, fail, stop and mix things up."""

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

_EVENTS = ''.join(f'id: {one}\ndata: {one}\n\n' for one in range(1, 6)).encode()
_NOT_RUN = 'not-executed: 1\r\n'


async def _whole_stream(exchange: Exchange) -> None:
    first = int(exchange.headers.get('last-event-id', '0')) + 1
    await exchange.start_stream()
    await exchange.events(first, 5)
    await exchange.end_stream()


async def _silent(exchange: Exchange) -> None:
    await curio.sleep(30)


async def _stops_in_an_event(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await exchange.chunk(b'id: 3\nda')
    await exchange.sock.shutdown(2)


async def _stalls_after_two(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await curio.sleep(30)


async def _fine(exchange: Exchange) -> None:
    await exchange.answer(b'fine')


async def _refuses(exchange: Exchange) -> None:
    await exchange.answer(b'', 503, extra=_NOT_RUN)


async def _refuses_without_saying(exchange: Exchange) -> None:
    await exchange.answer(b'', 503)


async def _fails(exchange: Exchange) -> None:
    await exchange.answer(b'sorry', 500)


async def _cuts(exchange: Exchange) -> None:
    await exchange.sock.shutdown(2)


async def _crossed(exchange: Exchange) -> None:
    await exchange.answer(b'of another', request_id='r0')
    await exchange.answer(b'own')


async def _unsigned(exchange: Exchange) -> None:
    await exchange.answer(b'forged', signature='')


async def _without_length(exchange: Exchange) -> None:
    await exchange.sock.sendall(
        b'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nreplica-signature: s\r\n\r\nabc',
    )
    await exchange.sock.shutdown(2)


class StreamTest(unittest.TestCase):
    """Streams over one replica or two."""

    took: float

    def test_whole(self) -> None:
        """Everything comes, in order, with the target's head."""
        answer = _ask('/stream/x', _whole_stream)
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))
        self.assertTrue(answer.is_whole)

    def test_moves_between_events(self) -> None:
        """Half an event is never passed on, and none twice."""
        for script in (_stops_in_an_event, _stalls_after_two):
            with self.subTest(script.__name__):
                answer = _ask('/stream/x', script, _whole_stream, first=script)
                self.assertEqual(answer.body, _EVENTS)
                self.assertTrue(answer.is_whole)

    def test_two_attempts_at_the_most(self) -> None:
        """A cut stream does not look complete."""
        scripts = (_stops_in_an_event, _stops_in_an_event, _whole_stream)
        testbed = GatewayTestbed(*scripts[:2])
        answer = _ask_world(testbed, '/stream/x')
        self.assertFalse(answer.is_whole)
        self.assertEqual(sum(len(one.received) for one in testbed.targets), 2)

    def test_silence_of_the_last_attempt_is_waited_for(self) -> None:
        """Nothing is cut that may still come: there is no other attempt."""
        answer = _ask(
            '/stream/x',
            _stalls_after_two,
            _slow_third,
            first=_stalls_after_two,
            deadline_ms=5000,
        )
        self.assertTrue(answer.is_whole)

    def test_a_stream_that_must_not_run_twice(self) -> None:
        """It is not sent to a second replica."""
        testbed = GatewayTestbed(_stops_in_an_event, _stops_in_an_event)
        answer = _ask_world(testbed, '/once/x')
        self.assertFalse(answer.is_whole)
        self.assertEqual(sum(len(one.received) for one in testbed.targets), 1)

    def test_a_stopped_replica_is_left_at_once(self) -> None:
        """A finding moves the stream long before silence would."""
        testbed = GatewayTestbed(_stalls_after_two, _stalls_after_two)
        curio.run(testbed.run, self._stop_in_the_middle)
        self.assertLess(self.took, 0.3)

    def test_client_leaves(self) -> None:
        """The target's connection is closed at once."""
        curio.run(GatewayTestbed(_silent_but_reading).run, self._leave)

    def test_client_leaves_before_it_was_read(self) -> None:
        """It sent its request and closed; the target is not kept at work."""
        testbed = GatewayTestbed(_silent_but_reading)
        curio.run(testbed.run, self._send_and_close)
        self.assertEqual(testbed.gateway.in_flight, 0)

    async def _send_and_close(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        await connection.send(client_request('/stream/x'))
        await connection.close()
        await curio.sleep(0.4)
        seen, closed = testbed.targets[0].received, testbed.targets[0].closed
        self.assertEqual(bool(seen), bool(closed))

    async def _stop_in_the_middle(self, testbed: GatewayTestbed) -> None:
        asking = await curio.spawn(testbed.ask, '/stream/x')
        await until(lambda: any(one.received for one in testbed.targets))
        used = _used(testbed)
        other = next(one for one in testbed.targets if one is not used)
        other.script = _whole_stream
        await curio.sleep(0.1)
        started = time.monotonic()
        testbed.fleet.mark_stopped((used.name, 1), 'a test says so')
        answer = await asking.join()
        self.took = time.monotonic() - started
        self.assertEqual(answer.body, _EVENTS)

    async def _leave(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        await connection.send(client_request('/stream/x'))
        await until(lambda: testbed.targets[0].received)
        await connection.close()
        await until(lambda: testbed.targets[0].closed, 0.4)


async def _slow_third(exchange: Exchange) -> None:
    await exchange.start_stream()
    await curio.sleep(1.5)
    await exchange.events(3, 5)
    await exchange.end_stream()


async def _silent_but_reading(exchange: Exchange) -> None:
    if not await exchange.sock.recv(1):
        raise ConnectionResetError


class WholeAnswerTest(unittest.TestCase):
    """Plain services."""

    def test_client_leaves(self) -> None:
        """The work on its unanswered request ends at once."""
        testbed = GatewayTestbed(_silent_but_reading, service=PLAIN)
        curio.run(testbed.run, self._leave)

    def test_out_of_reach_costs_no_retry(self) -> None:
        """Nothing came to a target, so that the first one is still to come."""
        for seed in range(6):
            testbed = GatewayTestbed(_fine, _fine, service=PLAIN, retries=0)
            testbed.make_unreachable(f'i{seed % 2}')
            self.assertEqual(_ask_world(testbed, '/unsafe/x').status, 200)

    def test_a_mute_target_is_left(self) -> None:
        """Half of the objective is kept for another target."""
        started = time.monotonic()
        answer = _ask('/safe/x', _silent, _fine, first=_silent, service=PLAIN)
        self.assertEqual(answer.body, b'fine')
        self.assertLess(time.monotonic() - started, 1)

    def test_answers(self) -> None:
        """Status, body and signature are the target's."""
        answer = _ask('/safe/x', _fine, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (200, b'fine'))
        self.assertEqual(answer.headers['replica-signature'], 'sig')

    def test_a_foreign_answer_is_dropped(self) -> None:
        """The one behind it is the client's."""
        answer = _ask('/unsafe/x', _crossed, service=PLAIN)
        self.assertEqual(answer.body, b'own')

    def test_an_unsigned_answer_is_none(self) -> None:
        """Nobody gets bytes that no target stands for."""
        answer = _ask('/unsafe/x', _unsigned, service=PLAIN)
        self.assertEqual(answer.status, 502)

    def test_an_answer_without_length(self) -> None:
        """It ends with its connection."""
        answer = _ask('/unsafe/x', _without_length, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (200, b'abc'))

    def test_unknown_outcome_is_not_repeated(self) -> None:
        """And never called 'not run'."""
        for script in (_cuts, _refuses_without_saying):
            testbed = GatewayTestbed(script, script, service=PLAIN)
            answer = _ask_world(testbed, '/unsafe/x')
            self.assertEqual(answer.status, 502)
            self.assertEqual(
                sum(len(one.received) for one in testbed.targets), 1
            )

    def test_refused_is_sent_elsewhere(self) -> None:
        """What has not run may go to another target."""
        answer = _ask(
            '/unsafe/x', _refuses, _fine, first=_refuses, service=PLAIN
        )
        self.assertEqual(answer.body, b'fine')

    def test_refused_by_all(self) -> None:
        """The client hears that it has not run, and when to come back."""
        answer = _ask('/unsafe/x', _refuses, _refuses, service=PLAIN)
        self.assertEqual(answer.status, 503)
        self.assertIn('retry-after', answer.headers)

    def test_a_failure_is_tried_again(self) -> None:
        """Only where that is safe; the last failure is passed on."""
        answer = _ask('/safe/x', _fails, _fine, first=_fails, service=PLAIN)
        self.assertEqual(answer.body, b'fine')
        answer = _ask('/safe/x', _fails, _fails, service=PLAIN)
        self.assertEqual((answer.status, answer.body), (500, b'sorry'))

    def test_the_routes_time(self) -> None:
        """The final answer comes when it is over, not later."""
        started = time.monotonic()
        answer = _ask('/brief/x', _silent, service=PLAIN)
        self.assertEqual(answer.status, 504)
        self.assertLess(time.monotonic() - started, 0.8)

    def test_keys_and_routes(self) -> None:
        """Unknown ones reach no target, and the key is not passed on."""
        testbed = GatewayTestbed(_fine, service=PLAIN)
        self.assertEqual(_ask_world(testbed, '/safe/x', key='no').status, 401)
        testbed = GatewayTestbed(_fine, service=PLAIN)
        self.assertEqual(_ask_world(testbed, '/none/x').status, 404)
        testbed = GatewayTestbed(_fine, service=PLAIN)
        self.assertEqual(_ask_world(testbed, '/open/x', key='no').status, 200)
        testbed = GatewayTestbed(_fine, service=PLAIN)
        _ask_world(testbed, '/safe/x')
        sent = testbed.targets[0].received[0].headers
        self.assertEqual(sent['tenant'], 'org')
        self.assertNotIn('authorization', sent)

    def test_a_large_body_refused_early(self) -> None:
        """An answer that comes before the body is read is the answer."""
        answer = _ask('/unsafe/x', _fine, service=PLAIN, body=b'x' * 300000)
        self.assertEqual(answer.status, 200)

    async def _leave(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        await connection.send(client_request('/safe/x'))
        await until(lambda: testbed.targets[0].received)
        await connection.close()
        await until(lambda: testbed.targets[0].closed, 0.4)


def _used(testbed: GatewayTestbed) -> FakeTarget:
    return next(one for one in testbed.targets if one.received)


def _ask(
    path: str,
    *scripts: Script,
    first: Script | None = None,
    service: str = 'drafts',
    **how: Any,
) -> ClientAnswer:
    """Ask a world, in which ``first`` is the least loaded, if it is given."""
    testbed = GatewayTestbed(*scripts, service=service)
    for target in testbed.targets:
        # One more in flight, so that the other is chosen.
        is_later = first is not None and target.script is not first
        testbed.router.in_flight_counts()[target.name] += is_later
    return _ask_world(testbed, path, **how)


def _ask_world(
    testbed: GatewayTestbed,
    path: str,
    **how: Any,
) -> ClientAnswer:
    asking = _Asking(path, how)
    curio.run(testbed.run, asking.play)
    return asking.answers[0]


@attrs.define
class _Asking:
    path: str
    how: Mapping[str, Any]
    answers: list[ClientAnswer] = attrs.field(factory=list)

    async def play(self, testbed: GatewayTestbed) -> None:
        self.answers.append(await testbed.ask(self.path, **self.how))
