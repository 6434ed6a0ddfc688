"""A request that reaches no target is answered at once.

After a closed connection or a 500 a client cannot tell whether its request was
run, must not repeat one that must not run twice, and has no retry time. So any
failure before a target is reached is answered by a 503 with a retry time, or by
a 4xx where the request itself is wrong.
"""

import time
import unittest
from collections.abc import Mapping
from typing import Any

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.http import HttpConnection, Request
from cranecart.models import Share
from tests.lib.fake_targets import (
    CONFIG,
    HOST,
    KEY,
    MODEL,
    PLAIN,
    ClientAnswer,
    Exchange,
    GatewayTestbed,
    route,
)

# An immediate answer, on a busy machine.
_MAX_SECONDS = 2.0
_EXPECTED_STATUSES = frozenset((400, 401, 404, 503))
_PATHS = ('/stream/x', '/once/x', '/safe/x', '/unsafe/x')


async def _serve(exchange: Exchange) -> None:
    await exchange.answer(b'id: 1\ndata: 1\n\n')


def _request(target: str, **changes: str) -> Request:
    headers = {
        'host': HOST,
        'request-id': 'r1',
        'model': MODEL,
        'deadline-ms': '3000',
        'authorization': f'Bearer {KEY}',
        'content-length': '3',
    }
    changed_headers = {
        name.replace('_', '-'): text for name, text in changes.items()
    }
    return Request('POST', target, {**headers, **changed_headers}, b'abc')


class RequestsWithoutTargetTest(unittest.TestCase):
    """The ways in which a request reaches no target."""

    def test_no_configuration(self) -> None:
        """A node that has just started answers with a retry time."""
        testbed = GatewayTestbed(_serve)
        testbed.config = None
        for path in _PATHS:
            self._assert_refused(_ask(testbed, _request(path)))

    def test_no_target(self) -> None:
        """There is neither a replica nor an instance."""
        testbed = GatewayTestbed(_serve)
        testbed.fleet.apply_instances({}, True)
        for path in _PATHS:
            self._assert_refused(_ask(testbed, _request(path)))

    def test_unreachable_targets(self) -> None:
        """Nothing listens at the addresses of the listed targets."""
        for service, path in ((PLAIN, '/unsafe/x'), ('drafts', '/once/x')):
            testbed = GatewayTestbed(_serve, _serve, service=service)
            testbed.make_unreachable('i0')
            testbed.make_unreachable('i1')
            self._assert_refused(_ask(testbed, _request(path)))

    def test_no_time_left(self) -> None:
        """A request that would time out at once is not sent."""
        for remaining in ('0', '1', '-5', '0.4', 'nan'):
            for service, path in ((PLAIN, '/unsafe/x'), ('drafts', '/once/x')):
                testbed = GatewayTestbed(_serve, service=service)
                request = _request(path, deadline_ms=remaining)
                self._assert_refused(_ask(testbed, request))
                self.assertEqual(testbed.targets[0].received, [], remaining)

    def test_zero_weight_shares(self) -> None:
        """A split whose weights are all zero is drawn evenly."""
        testbed = GatewayTestbed(_serve, service=PLAIN)
        shares = (Share(PLAIN, 0), Share(PLAIN, 0))
        split = route('split', shares=shares)
        testbed.config = attrs.evolve(CONFIG, routes=(split,))
        answer = _ask(testbed, _request('/split/x'))
        self.assertEqual(answer.status, 200)

    def test_malformed_request_targets(self) -> None:
        """What is not a valid path has no route, and still gets an answer."""
        for target in ('//[', '//[x/', 'http://[/safe/x', '*', '/safe/%zz'):
            testbed = GatewayTestbed(_serve, service=PLAIN)
            answer = _ask(testbed, _request(target))
            self.assertIn(answer.status, {200, 400, 404}, target)

    def test_malformed_headers(self) -> None:
        """A request with an invalid header value still gets an answer."""
        for name, text in (
            ('token_usage', f'{"9" * 5000},1'),
            ('token_usage', f'{"9" * 400},{"9" * 400}'),
            ('token_usage', '-1,x'),
            ('deadline_ms', '1e999'),
            ('deadline_ms', 'soon'),
            ('model', '\xff\x80'),
            ('request_id', '\xff' * 50),
            ('authorization', 'Bearer \xff'),
        ):
            for path in _PATHS:
                testbed = GatewayTestbed(_serve)
                answer = _ask(testbed, _request(path, **{name: text}))
                self.assertIn(
                    answer.status, _EXPECTED_STATUSES | {200}, (name, path)
                )

    def test_an_organisation_name_beyond_ascii(self) -> None:
        """The name reaches the target unchanged."""
        testbed = GatewayTestbed(_serve, service=PLAIN)
        assert CONFIG.holders is not None
        holder = attrs.evolve(CONFIG.holders[0], name='Győr')
        testbed.config = attrs.evolve(CONFIG, holders=(holder,))
        answer = _ask(testbed, _request('/safe/x'))
        self.assertEqual(answer.status, 200)
        received = testbed.targets[0].received[0]
        sent = received.headers['tenant']
        self.assertEqual(sent.encode('latin-1').decode(), 'Győr')

    def test_internal_error(self) -> None:
        """It is logged, and a request that was not sent is refused."""
        self._assert_refused(_ask(FaultyTestbed(), _request('/safe/x')))

    def test_internal_error_after_sending(self) -> None:
        """The answer does not say that the request has not run."""
        testbed = FaultyTestbed(after_sending=True)
        answer = _ask(testbed, _request('/unsafe/x'))
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(testbed.targets[0].received), 1)

    @settings(max_examples=40)
    @given(
        headers=st.dictionaries(
            st.sampled_from(
                ('token_usage', 'deadline_ms', 'model', 'last_event_id'),
            ),
            st.text(
                st.characters(min_codepoint=33, max_codepoint=255).filter(
                    lambda character: not 127 <= ord(character) < 161,
                ),
                min_size=1,
                max_size=30,
            ),
        ),
        path=st.sampled_from(_PATHS),
    )
    def test_arbitrary_headers(
        self, headers: Mapping[str, str], path: str
    ) -> None:
        """Any headers lead to an answer."""
        testbed = GatewayTestbed(_serve)
        answer = _ask(testbed, _request(path, **headers))
        self.assertIn(answer.status, _EXPECTED_STATUSES | {200})

    def _assert_refused(self, answer: ClientAnswer) -> None:
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers['retry-after']), 0)


class FaultyTestbed(GatewayTestbed):
    """A gateway with an unexpected internal error."""

    def __init__(self, *, after_sending: bool = False) -> None:
        """Fail when choosing a target, or after sending."""
        super().__init__(_serve, service=PLAIN)
        faulty_member = 'gaps' if after_sending else 'choose'
        sender: Any = self.gateway._forwarder.sender
        sender.router = FaultyRouter(self.router, faulty_member)


@attrs.frozen
class FaultyRouter:
    """A router one member of which fails."""

    _router: object
    _faulty_member: str

    def __getattr__(self, name: str) -> object:
        """Return the router's member, but fail for the faulty one."""
        if name == self._faulty_member:
            raise ZeroDivisionError('unexpected internal error')
        return getattr(self._router, name)


def _ask(testbed: GatewayTestbed, request: Request) -> ClientAnswer:
    exchange = _Exchange(request)
    started = time.monotonic()
    curio.run(testbed.run, exchange.run)
    assert time.monotonic() - started < _MAX_SECONDS
    return exchange.answers[0]


@attrs.define
class _Exchange:
    request: Request
    answers: list[ClientAnswer] = attrs.field(factory=list)

    async def run(self, testbed: GatewayTestbed) -> None:
        connection = await HttpConnection.open(testbed.server.address)
        head = await connection.send_and_read_head(self.request)
        body = await connection.read_body()
        await connection.close()
        answer = ClientAnswer(head.status, head.headers, body, True)
        self.answers.append(answer)
