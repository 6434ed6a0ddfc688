"""Surplus responses of a target reach no client.

A service that sends a second response, 88 bytes without a request id, after
every other one causes the failure. The second response arrives in the same read
as the first, stays in the parser of the idle connection and is taken for the
response to the next request, sent 1 to 4 ms later: 11 clients got the response
to another request. This happens if the node compares request ids only where
there is one, stops after two mismatches, and checks the socket but not the
parser before it reuses a connection.

A response that is received in parts is truncated if the part read so far is
lost at each poll of the target's state, every 25 ms.
"""

import itertools
import time
import unittest
from collections.abc import Iterable, Sequence

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.exceptions import TargetFailedError
from cranecart.forwarding import EventSplitter
from cranecart.http import Address
from cranecart.instances import Instance, InstanceKind
from cranecart.standins import (
    NamedRequest,
    ResponseStyle,
    ScriptedResponse,
    ScriptedService,
    SurplusResponse,
    SurplusTiming,
    expected_body,
)
from cranecart.targets import ServiceCall, ServiceClient
from tests.lib.fake_targets import PLAIN, ClientAnswer, GatewayTestbed
from tests.lib.waiting import until

_STYLE = ResponseStyle(
    'request-id', extra_headers=(('replica-signature', 'sig'),)
)
_ANY_PORT = Address('127.0.0.1', 0)
_FAILURE_STATUSES = (502, 504)
# Number of calls that may still fail after the target's last surplus response.
_MAX_LATE_FAILURES = 1

_SURPLUS = st.builds(
    SurplusResponse,
    st.sampled_from(NamedRequest),
    st.sampled_from(SurplusTiming),
    st.sampled_from((200, 204, 429, 500, 503)),
    st.booleans(),
)
_RESPONSES = st.builds(
    ScriptedResponse,
    st.lists(_SURPLUS, max_size=4).map(tuple),
    st.sampled_from((0, 0.03)),
)


@attrs.define
class _CallSequence:
    """Calls made one after the other, and their responses."""

    paths: Sequence[str]
    targets: Sequence[ScriptedService]
    # Before this call the sequence waits until the targets have sent all surplus
    # responses, so that delays on a busy machine do not matter.
    settle_before: int = 0
    answers: list[ClientAnswer] = attrs.field(factory=list)

    async def run(self, testbed: GatewayTestbed) -> None:
        """Make the calls."""
        for number, path in enumerate(self.paths):
            if number == self.settle_before:
                await until(self._is_settled)
            answer = await testbed.ask(
                path,
                request_id=f'r{number}',
                deadline_ms=4000,
            )
            self.answers.append(answer)

    def _is_settled(self) -> bool:
        return not any(target.active_responses for target in self.targets)


def _make_calls(
    responses: Iterable[ScriptedResponse],
    paths: Sequence[str],
    *,
    has_sound_target: bool = False,
) -> tuple[list[ClientAnswer], ScriptedService]:
    """Make calls in sequence; return the responses and the faulty target.

    With ``has_sound_target`` there is another one, which works correctly.
    """
    script = tuple(responses)
    target = ScriptedService(_ANY_PORT, _STYLE, script)
    targets = [target]
    if has_sound_target:
        targets.append(ScriptedService(_ANY_PORT, _STYLE))
    others = {f's{number}': instance for number, instance in enumerate(targets)}
    sequence = _CallSequence(paths, targets, len(script) + _MAX_LATE_FAILURES)
    curio.run(
        GatewayTestbed(service=PLAIN, other_targets=others).run, sequence.run
    )
    return sequence.answers, target


def _paths(path: str, count: int) -> Sequence[str]:
    return tuple(itertools.repeat(path, count))


class SurplusResponseTest(unittest.TestCase):
    """Targets that send more responses than they get requests."""

    def test_surplus_responses_reach_no_caller(self) -> None:
        """Regardless of their ids, timing and number."""
        for surplus in (
            (SurplusResponse(NamedRequest.NONE),),
            (SurplusResponse(NamedRequest.NONE, SurplusTiming.BEFORE_NEXT),),
            (
                SurplusResponse(
                    NamedRequest.NONE, SurplusTiming.BEFORE_NEXT, 503
                ),
            ),
            tuple(
                itertools.repeat(
                    SurplusResponse(timing=SurplusTiming.BEFORE_NEXT), 5
                )
            ),
        ):
            with self.subTest(surplus=surplus):
                self._assert_own_responses(ScriptedResponse(surplus))

    def test_truncated_surplus_response_costs_one_call(self) -> None:
        """At most one non-repeatable call fails because of such responses.

        The first such response cannot be detected before the call that it
        breaks.
        """
        cut = SurplusResponse(timing=SurplusTiming.DELAYED, is_truncated=True)
        answers, _ = _make_calls(
            itertools.repeat(ScriptedResponse((cut,)), 6),
            _paths('/unsafe/x', 6),
        )
        lost = [answer.status for answer in answers if answer.status != 200]
        self.assertLessEqual(len(lost), 1)

    def test_desynchronized_connection_is_closed(self) -> None:
        """Later surplus responses on it can then reach no client."""
        responses = itertools.repeat(ScriptedResponse((SurplusResponse(),)), 3)
        _answers, target = _make_calls(responses, _paths('/safe/x', 4))
        self.assertEqual(target.connections, 4)

    def test_response_received_in_parts(self) -> None:
        """Polls between the parts lose no data."""
        self._assert_own_responses(ScriptedResponse(pause_seconds=0.07))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(_RESPONSES, max_size=8))
    def test_random_sequences(self, responses: list[ScriptedResponse]) -> None:
        """Clients get their own response or an error.

        A target that works again is used again. Non-repeatable calls run once
        at most. Repeatable calls succeed at the other target.
        """
        count = len(responses) + _MAX_LATE_FAILURES + 3
        non_repeatable, target = _make_calls(
            responses, _paths('/unsafe/x', count)
        )
        self._assert_own_or_failed(non_repeatable)
        self.assertLessEqual(max(target.run_counts.values()), 1)
        after = non_repeatable[len(responses) + _MAX_LATE_FAILURES :]
        self.assertEqual({answer.status for answer in after}, {200})
        repeatable, _ = _make_calls(
            responses, _paths('/safe/x', count), has_sound_target=True
        )
        self._assert_own_or_failed(repeatable)
        self.assertEqual({answer.status for answer in repeatable}, {200})

    def _assert_own_responses(self, response: ScriptedResponse) -> None:
        for path in ('/safe/x', '/unsafe/x'):
            answers, _ = _make_calls(
                itertools.repeat(response, 3), _paths(path, 4)
            )
            self.assertEqual({answer.status for answer in answers}, {200})
            self._assert_own_or_failed(answers)

    def _assert_own_or_failed(self, answers: Sequence[ClientAnswer]) -> None:
        for number, answer in enumerate(answers):
            if answer.status == 200:
                self.assertEqual(answer.body, expected_body(f'r{number}'))
            else:
                self.assertIn(answer.status, _FAILURE_STATUSES)


class NativeServiceCallTest(unittest.TestCase):
    """Calls of plain services in the native protocol."""

    def test_response_without_request_id(self) -> None:
        """It is rejected in this protocol too."""
        silent = ResponseStyle('x-request-id', includes_id=False)
        with self.assertRaises(TargetFailedError):
            curio.run(_call_natively, ScriptedService(_ANY_PORT, silent))


class ResumedStreamTest(unittest.TestCase):
    """A stream that is resumed at another target."""

    def test_stream_that_starts_over(self) -> None:
        """Events that were relayed already are not relayed again."""
        splitter = EventSplitter()
        splitter.feed(b'id: 4\ndata: d\n\nid: 5')
        splitter.restart()
        with self.assertRaises(TargetFailedError):
            splitter.feed(b'id: 1\ndata: a\n\n')

    def test_stream_that_continues(self) -> None:
        """The event after the last complete one is relayed next."""
        splitter = EventSplitter()
        splitter.feed(b'id: 4\ndata: d\n\nid: 5')
        splitter.restart()
        event = b'id: 5\ndata: e\n\n'
        self.assertEqual(splitter.feed(event), event)


async def _call_natively(service: ScriptedService) -> None:
    serving = await curio.spawn(service.run)
    call = ServiceCall(
        request_id='r1',
        organisation='org',
        body=b'',
        deadline=time.monotonic() + 1,
        service=PLAIN,
        path='/',
        method='GET',
    )
    address = service.address
    instance = Instance(
        'i',
        InstanceKind.SERVICE,
        address.host,
        address.port,
        'east',
        '',
    )
    try:
        await ServiceClient().call(instance, call)
    finally:
        await serving.cancel()
