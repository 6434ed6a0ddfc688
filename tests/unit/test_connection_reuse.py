"""Connections with unread or surplus data are not reused.

A review after clients had received responses of other requests found three more
faults of this kind. The end of a response, parsed ahead, stayed on an idle
connection, so that the next request got no response. A native 'not run' was
accepted before the request id was compared. Endless surplus responses held a
call beyond its deadline, and the node with it: 19.2 s for a deadline of 0.5 s.
"""

import itertools
import os
import time
import unittest
from collections.abc import Callable

import attrs
import curio

from cranecart.exceptions import TargetFailedError
from cranecart.forwarding import EventSplitter, TargetConnectionPool
from cranecart.http import Address, HttpConnection, HttpConnectionPool, Request
from cranecart.ports import ListedInstance
from cranecart.standins import (
    ResponseStyle,
    ScriptedResponse,
    ScriptedService,
    SurplusResponse,
    SurplusTiming,
    expected_body,
)
from cranecart.targets import CompletionCall, EngineClient, ServingReplica
from tests.lib.fake_clock import FakeClock
from tests.lib.fake_targets import (
    PLAIN,
    ClientAnswer,
    Exchange,
    GatewayTestbed,
    client_request,
)

_STYLE = ResponseStyle(
    'request-id', extra_headers=(('replica-signature', 'sig'),)
)
_ANY_PORT = Address('127.0.0.1', 0)
_SURPLUS_RESPONSE = ScriptedResponse((SurplusResponse(),))


@attrs.define
class _PoolClient:
    """Sends requests to a target one after the other, over a pool."""

    pool: TargetConnectionPool
    target: ScriptedService
    _numbers: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    async def ask(
        self, *, require_recent: bool, read_fully: bool = True
    ) -> None:
        """Send a request and read all or only the start of the response."""
        instance = ListedInstance('i', PLAIN, self.target.address, 'east', 13)
        connection = await self.pool.acquire(
            instance, require_recent=require_recent
        )
        number = next(self._numbers)
        request = client_request('/safe/x', request_id=f'r{number}')
        await connection.send_and_read_head(request)
        await (
            connection.read_body() if read_fully else connection.read_chunk()
        )
        await self.pool.release(instance, connection)


def _connections_opened(
    responses: (
        'itertools.repeat[ScriptedResponse] | tuple[ScriptedResponse, ...]'
    ),
    scenario: Callable[[ScriptedService], object],
) -> int:
    """Run a scenario; return how many connections the target accepted."""
    target = ScriptedService(_ANY_PORT, _STYLE, responses)
    curio.run(_run_with_target, target, scenario)
    return target.connections


async def _run_with_target(
    target: ScriptedService,
    scenario: Callable[[ScriptedService], object],
) -> None:
    serving = await curio.spawn(target.run)
    try:
        await scenario(target)  # type: ignore[misc]
    finally:
        await serving.cancel()


class TargetConnectionPoolTest(unittest.TestCase):
    """Which released connections are reused."""

    def test_partly_read_connection_is_not_reused(self) -> None:
        """Its end, parsed already, would be taken for the next response."""
        self.assertEqual(_connections_opened((), _stop_reading_early), 2)

    def test_connection_with_discarded_response_is_not_reused(self) -> None:
        """The target may send further surplus responses on it."""
        late = ScriptedResponse(
            (SurplusResponse(timing=SurplusTiming.BEFORE_NEXT),)
        )
        target = ScriptedService(_ANY_PORT, _STYLE, (late,))
        curio.run(
            GatewayTestbed(service=PLAIN, other_targets={'s': target}).run,
            _make_three_calls,
        )
        self.assertEqual(target.connections, 2)

    def test_non_repeatable_calls_to_an_unreliable_target(self) -> None:
        """Each uses a new connection, and few of these stay open."""
        self.assertEqual(
            _connections_opened((_SURPLUS_RESPONSE,), _call_unreliable_target),
            6,
        )

    def test_target_becomes_reliable_again(self) -> None:
        """Later calls reuse connections again."""
        self.assertEqual(
            _connections_opened(
                (_SURPLUS_RESPONSE,), _call_until_reliable_again
            ),
            2,
        )

    def test_client_deadline_does_not_make_a_target_unreliable(self) -> None:
        """The target is not at fault."""
        opened: list[int] = []
        scenario = _ShortDeadlineClient(opened)
        curio.run(
            GatewayTestbed(_delay_slow_request, service=PLAIN).run, scenario.run
        )
        self.assertLessEqual(opened[0], 3)

    def test_more_than_a_thousand_descriptors(self) -> None:
        """A node may hold thousands, and select supports only 1,024."""
        descriptors = [
            os.open('/dev/null', os.O_RDONLY) for _number in range(1100)
        ]
        for descriptor in descriptors:
            self.addCleanup(os.close, descriptor)
        self.assertEqual(_connections_opened((), _make_two_calls), 1)


class HttpConnectionPoolTest(unittest.TestCase):
    """The pool for the store, for engines and for orders."""

    def test_desynchronized_connections_are_closed(self) -> None:
        """Data arrived after the response."""
        self.assertEqual(
            _connections_opened((_SURPLUS_RESPONSE,), _make_pooled_calls), 2
        )

    def test_connections_with_unrequested_data_are_closed(self) -> None:
        """Data that arrives on an idle connection is no response."""
        late = ScriptedResponse(
            (SurplusResponse(timing=SurplusTiming.DELAYED),)
        )
        self.assertEqual(_connections_opened((late,), _make_pooled_calls), 2)


class SurplusResponseLimitTest(unittest.TestCase):
    """Surplus responses affect only the call that receives them."""

    def test_target_that_answers_only_other_requests(self) -> None:
        """The call succeeds at the other target in time."""
        answers: list[ClientAnswer] = []
        testbed = GatewayTestbed(
            _answer_other_requests, _succeed, service=PLAIN
        )
        curio.run(testbed.run, _RepeatableClient(answers).run)
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_endless_responses(self) -> None:
        """Neither the call nor the node is blocked by them."""
        started = time.monotonic()
        testbed = GatewayTestbed(_send_endless_responses, service=PLAIN)
        answers: list[ClientAnswer] = []
        curio.run(testbed.run, _NonRepeatableClient(answers).run)
        self.assertEqual({answer.status for answer in answers}, {502})
        self.assertLess(time.monotonic() - started, 1.5)


class NativeCompletionTest(unittest.TestCase):
    """Responses in the native protocol."""

    def test_late_refusal_of_another_call(self) -> None:
        """'Not run' applies only to the call that the response names."""
        with self.assertRaises(TargetFailedError):
            curio.run(
                GatewayTestbed(_LateRefusal().script).run,
                _request_two_completions,
            )


class ResumedStreamTest(unittest.TestCase):
    """Events of a stream after it was resumed."""

    def test_event_ids_must_ascend(self) -> None:
        """Each event is checked, not only the first one."""
        for later_events in (
            b'id: 5\ndata: e\n\nid: 1\ndata: a\n\n',
            b'id: 4\ndata: d\n\n',
        ):
            with self.subTest(later_events):
                splitter = EventSplitter()
                splitter.feed(b'id: 4\ndata: d\n\n')
                splitter.restart()
                with self.assertRaises(TargetFailedError):
                    splitter.feed(later_events)


class RequestWithoutIdTest(unittest.TestCase):
    """A request without an id, to which no response can be matched."""

    def test_uses_a_new_connection(self) -> None:
        """Only then its response cannot be that of another request."""
        bodies: list[bytes] = []
        testbed = GatewayTestbed(_respond_twice, service=PLAIN)
        curio.run(testbed.run, _ClientWithoutId(bodies).run)
        self.assertEqual(bodies, [b'a', b'b', b'c'])


async def _stop_reading_early(target: ScriptedService) -> None:
    client = _PoolClient(TargetConnectionPool(), target)
    await client.ask(require_recent=False, read_fully=False)
    await client.ask(require_recent=False)


async def _make_three_calls(testbed: GatewayTestbed) -> None:
    for number in range(3):
        answer = await testbed.ask('/safe/x', request_id=f'r{number}')
        assert answer.body == expected_body(f'r{number}')


async def _call_unreliable_target(target: ScriptedService) -> None:
    client = _PoolClient(TargetConnectionPool(), target)
    await client.ask(require_recent=False)
    for _number in range(5):
        await client.ask(require_recent=True)
    assert client.pool.idle_count('i') <= 2


async def _call_until_reliable_again(target: ScriptedService) -> None:
    clock = FakeClock()
    client = _PoolClient(TargetConnectionPool(clock), target)
    await client.ask(require_recent=False)
    clock.now += 11
    await client.ask(require_recent=True)
    await client.ask(require_recent=True)


async def _make_two_calls(target: ScriptedService) -> None:
    client = _PoolClient(TargetConnectionPool(), target)
    await client.ask(require_recent=True)
    await client.ask(require_recent=True)


async def _make_pooled_calls(target: ScriptedService) -> None:
    pool = HttpConnectionPool()
    for number in range(2):
        connection = await pool.acquire(target.address)
        request = client_request('/x', request_id=f'r{number}')
        await connection.send_and_read_head(request)
        await connection.read_body()
        await pool.release(connection)
        await curio.sleep(0.03)


async def _delay_slow_request(exchange: Exchange) -> None:
    if exchange.headers['request-id'] == 'slow':
        await curio.sleep(0.3)
    await exchange.answer(b'fine')


@attrs.frozen
class _ShortDeadlineClient:
    opened: list[int]

    async def run(self, testbed: GatewayTestbed) -> None:
        await testbed.ask('/unsafe/x', request_id='r0')
        await testbed.ask('/unsafe/x', request_id='slow', deadline_ms=100)
        for number in range(10):
            await testbed.ask('/unsafe/x', request_id=f's{number}')
        self.opened.append(testbed.connections.opened)


async def _answer_other_requests(exchange: Exchange) -> None:
    for number in itertools.count():
        await exchange.answer(b'another', request_id=f'other{number}')
        await curio.sleep(0.03)


async def _succeed(exchange: Exchange) -> None:
    await exchange.answer(b'fine')


async def _send_endless_responses(exchange: Exchange) -> None:
    response = (
        b'HTTP/1.1 200 X\r\nrequest-id: o\r\ncontent-length: 4\r\n\r\nbody'
    )
    end_at = time.monotonic() + 3
    while time.monotonic() < end_at:
        await exchange.sock.sendall(response * 200)


@attrs.frozen
class _RepeatableClient:
    answers: list[ClientAnswer]

    async def run(self, testbed: GatewayTestbed) -> None:
        for number in range(4):
            self.answers.append(
                await testbed.ask(
                    '/safe/x',
                    request_id=f'r{number}',
                    deadline_ms=800,
                ),
            )


@attrs.frozen
class _NonRepeatableClient:
    answers: list[ClientAnswer]

    async def run(self, testbed: GatewayTestbed) -> None:
        self.answers.append(await testbed.ask('/unsafe/x', deadline_ms=500))


@attrs.frozen
class _ClientWithoutId:
    bodies: list[bytes]

    async def run(self, testbed: GatewayTestbed) -> None:
        for mark in ('a', 'b', 'c'):
            plain = client_request('/safe/x')
            headers = {**plain.headers, 'x-mark': mark}
            headers.pop('request-id')
            connection = await HttpConnection.open(testbed.server.address)
            await connection.send_and_read_head(
                Request('POST', '/safe/x', headers, b'')
            )
            self.bodies.append(await connection.read_body())
            await connection.close()


async def _respond_twice(exchange: Exchange) -> None:
    own = (
        'HTTP/1.1 200 X\r\nreplica-signature: s\r\ncontent-length: 1\r\n\r\n'
        f'{exchange.headers["x-mark"]}'
    ).encode()
    await exchange.sock.sendall(own)
    await curio.sleep(0.01)
    await exchange.sock.sendall(own)


@attrs.frozen
class _LateRefusal:
    """Sends a late refusal of the previous call before each response."""

    ran: list[str] = attrs.field(factory=list)

    async def script(self, exchange: Exchange) -> None:
        request_id = exchange.headers['x-request-id']
        if self.ran:
            refusal = _native_response(
                self.ran[-1], 409, 'x-execution: not run\r\n'
            )
            await exchange.sock.sendall(refusal)
        self.ran.append(request_id)
        await exchange.sock.sendall(_native_response(request_id, 200))


def _native_response(
    request_id: str, status: int, extra_headers: str = ''
) -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\nx-request-id: {request_id}\r\nx-replica: r\r\n'
        f'x-generation: 1\r\n{extra_headers}content-length: 2\r\n\r\nok'
    ).encode()


async def _request_two_completions(testbed: GatewayTestbed) -> None:
    address = testbed.targets[0].address
    replica = ServingReplica(
        'r', 1, 'm', '', (), ('i0',), address, 'east', 0, 0, 1
    )
    client = EngineClient()
    for name in ('a', 'b'):
        call = CompletionCall(
            request_id=name,
            organisation='o',
            body=b'{}',
            deadline=time.monotonic() + 2,
            model='m',
        )
        async with await client.start_completion(replica, call) as answer:
            await answer.read_body()
