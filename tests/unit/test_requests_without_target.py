"""A request that no target was asked for ends in an answer, and at once.

A closed connection or a 500 tells a client nothing: it may not repeat what
must not run twice, and nobody told it when to come back. Whatever goes wrong
before a target was asked ends in a 503 that names a time, or in a 4xx where
the request itself is wrong.
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
    GatewayWorld,
    route,
)

# An answer at once, on a busy machine.
_AT_ONCE_SECONDS = 2.0
_PROPER = frozenset((400, 401, 404, 503))
_PATHS = ('/stream/x', '/once/x', '/safe/x', '/unsafe/x')


async def _fine(exchange: Exchange) -> None:
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
    named = {name.replace('_', '-'): text for name, text in changes.items()}
    return Request('POST', target, {**headers, **named}, b'abc')


class UnofferedTest(unittest.TestCase):
    """Every way in which a request meets no target."""

    def test_no_configuration(self) -> None:
        """A node that has just started says when to come back."""
        world = GatewayWorld(_fine)
        world.config = None
        for path in _PATHS:
            self._refused(_ask(world, _request(path)))

    def test_no_target(self) -> None:
        """Neither a replica nor an instance."""
        world = GatewayWorld(_fine)
        world.fleet.apply_instances({}, True)
        for path in _PATHS:
            self._refused(_ask(world, _request(path)))

    def test_out_of_reach(self) -> None:
        """Nothing listens where the targets are listed."""
        for service, path in ((PLAIN, '/unsafe/x'), ('drafts', '/once/x')):
            world = GatewayWorld(_fine, _fine, service=service)
            world.put_out_of_reach('i0')
            world.put_out_of_reach('i1')
            self._refused(_ask(world, _request(path)))

    def test_no_time_left(self) -> None:
        """What would be cut at once is not sent at all."""
        for left in ('0', '1', '-5', '0.4', 'nan'):
            for service, path in ((PLAIN, '/unsafe/x'), ('drafts', '/once/x')):
                world = GatewayWorld(_fine, service=service)
                request = _request(path, deadline_ms=left)
                self._refused(_ask(world, request))
                self.assertEqual(world.targets[0].seen, [], left)

    def test_shares_of_nothing(self) -> None:
        """A split whose parts are all zero is drawn evenly."""
        world = GatewayWorld(_fine, service=PLAIN)
        shares = (Share(PLAIN, 0), Share(PLAIN, 0))
        split = route('split', shares=shares)
        world.config = attrs.evolve(CONFIG, routes=(split,))
        answer = _ask(world, _request('/split/x'))
        self.assertEqual(answer.status, 200)

    def test_odd_targets(self) -> None:
        """What is no path has no route; it ends in an answer still."""
        for target in ('//[', '//[x/', 'http://[/safe/x', '*', '/safe/%zz'):
            world = GatewayWorld(_fine, service=PLAIN)
            answer = _ask(world, _request(target))
            self.assertIn(answer.status, {200, 400, 404}, target)

    def test_odd_figures(self) -> None:
        """A header that is no figure of use costs no answer."""
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
                world = GatewayWorld(_fine)
                answer = _ask(world, _request(path, **{name: text}))
                self.assertIn(answer.status, _PROPER | {200}, (name, path))

    def test_a_name_in_any_letters(self) -> None:
        """An organisation's name goes to the target as it is written."""
        world = GatewayWorld(_fine, service=PLAIN)
        assert CONFIG.holders is not None
        holder = attrs.evolve(CONFIG.holders[0], name='Győr')
        world.config = attrs.evolve(CONFIG, holders=(holder,))
        answer = _ask(world, _request('/safe/x'))
        self.assertEqual(answer.status, 200)
        seen = world.targets[0].seen[0]
        sent = seen.headers['tenant']
        self.assertEqual(sent.encode('latin-1').decode(), 'Győr')

    def test_a_fault_of_our_own(self) -> None:
        """It is logged, and what was not sent is refused."""
        self._refused(_ask(FaultyWorld(), _request('/safe/x')))

    def test_a_fault_of_our_own_after_it_was_sent(self) -> None:
        """Nobody says then that it has not run."""
        world = FaultyWorld(after_sending=True)
        answer = _ask(world, _request('/unsafe/x'))
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(world.targets[0].seen), 1)

    @settings(max_examples=40)
    @given(
        headers=st.dictionaries(
            st.sampled_from(
                ('token_usage', 'deadline_ms', 'model', 'last_event_id'),
            ),
            st.text(
                st.characters(min_codepoint=33, max_codepoint=255).filter(
                    lambda one: not 127 <= ord(one) < 161,
                ),
                min_size=1,
                max_size=30,
            ),
        ),
        path=st.sampled_from(_PATHS),
    )
    def test_any_headers(self, headers: Mapping[str, str], path: str) -> None:
        """They end in an answer."""
        world = GatewayWorld(_fine)
        answer = _ask(world, _request(path, **headers))
        self.assertIn(answer.status, _PROPER | {200})

    def _refused(self, answer: ClientAnswer) -> None:
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers['retry-after']), 0)


class FaultyWorld(GatewayWorld):
    """A gateway with a fault that nobody has thought of."""

    def __init__(self, *, after_sending: bool = False) -> None:
        """Break the choice of a target, or what follows an answer."""
        super().__init__(_fine, service=PLAIN)
        broken = 'gaps' if after_sending else 'choose'
        sender: Any = self.gateway._sender
        sender.router = Broken(self.router, broken)


@attrs.frozen
class Broken:
    """A router one part of which fails."""

    _router: object
    _part: str

    def __getattr__(self, name: str) -> object:
        """Return the router's own, but fail for the broken part."""
        if name == self._part:
            raise ZeroDivisionError('nobody has thought of this')
        return getattr(self._router, name)


def _ask(world: GatewayWorld, request: Request) -> ClientAnswer:
    asking = _Asking(request)
    started = time.monotonic()
    curio.run(world.run, asking.play)
    assert time.monotonic() - started < _AT_ONCE_SECONDS
    return asking.answers[0]


@attrs.define
class _Asking:
    request: Request
    answers: list[ClientAnswer] = attrs.field(factory=list)

    async def play(self, world: GatewayWorld) -> None:
        connection = await HttpConnection.open(world.server.address)
        head = await connection.send_and_read_head(self.request)
        body = await connection.read_body()
        await connection.close()
        answer = ClientAnswer(head.status, head.headers, body, True)
        self.answers.append(answer)
