"""Headers of calls in and out."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import InvalidRequestError
from cranecart.http import HeaderLines, Request, ResponseHead
from cranecart.platform import PlatformCallForm
from cranecart.ports import Dispatch

_LIMIT = 'server-limit'
_REST = 'retry-after'
_LEAVING = 'server-leaving'
_FORM = PlatformCallForm()
_LINES: HeaderLines = (
    ('host', 'a.example'),
    ('request-id', 'r1'),
    ('model', 'm'),
    ('token-usage', '1460,80'),
    ('prefix-hash', '5c1e07a2:800,91bd3f06:410'),
    ('deadline-ms', '8000'),
    ('authorization', 'Bearer key'),
    ('tenant', 'forged'),
    ('expect-replica', 'forged'),
    ('request-priority', '0'),
    ('connection', 'keep-alive, x-hop'),
    ('x-hop', '1'),
    ('x-kept', '1'),
    ('x-kept', '2'),
    ('last-event-id', '3'),
)
_SYSTEM = frozenset(
    ('tenant', 'expect-replica', 'request-priority', 'deadline-ms'),
)


def _request(lines: HeaderLines = _LINES, body: bytes = b'abc') -> Request:
    return Request('POST', '/x/', dict(lines), body, lines)


class ReadRequestTest(unittest.TestCase):
    """What a client's headers say."""

    def test_facts(self) -> None:
        """All that decides is read, in the product's units."""
        facts = _FORM.read_request(_request())
        self.assertEqual(facts.request_id, 'r1')
        self.assertEqual(facts.key, 'key')
        self.assertEqual(facts.deadline_seconds, 8)
        self.assertEqual((facts.prompt_tokens, facts.max_tokens), (1460, 80))
        self.assertEqual(facts.resume_after, '3')

    def test_numbers_of_any_length(self) -> None:
        """What no request can ask for is read like nothing."""
        for usage in (f'{"9" * 5000},7', f'{"9" * 400},7'):
            request = Request('POST', '/x', {'token-usage': usage})
            facts = PlatformCallForm().read_request(request)
            self.assertEqual((facts.prompt_tokens, facts.max_tokens), (0, 7))

    def test_bad_deadline(self) -> None:
        """It is the client's error."""
        with self.assertRaises(InvalidRequestError):
            _FORM.read_request(_request((('deadline-ms', 'soon'),)))

    @given(st.text(), st.text())
    def test_odd_headers(self, usage: str, authorization: str) -> None:
        """Nothing odd in a header is more than an unknown value."""
        lines = (('token-usage', usage), ('authorization', authorization))
        _FORM.read_request(_request(lines))


class RequestForTest(unittest.TestCase):
    """What a target gets."""

    def setUp(self) -> None:
        """Build what is sent on."""
        dispatch = Dispatch('i-1', 1.5, 'org', 2, '9')
        self.sent = _FORM.request_for(_request(), dispatch).header_lines

    def test_the_system_sets_its_own(self) -> None:
        """Nothing that a client forged remains."""
        own = {name: text for name, text in self.sent if name in _SYSTEM}
        self.assertEqual(
            own,
            {
                'tenant': 'org',
                'expect-replica': 'i-1',
                'request-priority': '2',
                'deadline-ms': '1500',
            },
        )
        self.assertEqual(len([1 for name, _ in self.sent if name in own]), 4)

    def test_the_key_stays_here(self) -> None:
        """No target sees it, nor headers of one connection."""
        names = {name for name, _text in self.sent}
        self.assertFalse(names & {'authorization', 'x-hop', 'connection'})

    def test_the_rest_is_unchanged(self) -> None:
        """Repeated lines stay, in order."""
        kept = [line for line in self.sent if line[0] == 'x-kept']
        self.assertEqual(kept, [('x-kept', '1'), ('x-kept', '2')])
        self.assertIn(('prefix-hash', _LINES[4][1]), self.sent)

    def test_a_move_names_the_last_event(self) -> None:
        """Ours replaces the client's own."""
        resumed = [line for line in self.sent if line[0] == 'last-event-id']
        self.assertEqual(resumed, [('last-event-id', '9')])


class ReadAnswerTest(unittest.TestCase):
    """What a target's headers say."""

    def test_not_run(self) -> None:
        """Only the target's own word, or another instance's, counts."""
        refused = ResponseHead(503, {'not-executed': '1', 'at-server': 'i-2'})
        facts = _FORM.read_answer(refused)
        self.assertTrue(facts.not_run)
        self.assertEqual(facts.at_fault, 'i-2')
        self.assertTrue(_FORM.read_answer(ResponseHead(421)).not_run)
        self.assertFalse(_FORM.read_answer(ResponseHead(503)).not_run)

    def test_limit(self) -> None:
        """A decimal number is the target's limit; a huge one is bounded."""
        for text, limit in (
            ('2', 2),
            ('1.4', 1.4),
            (' 0.25 ', 0.25),
            ('0', 0),
            ('999999999', 1e6),
        ):
            facts = _FORM.read_answer(ResponseHead(200, {_LIMIT: text}))
            self.assertEqual((facts.limit, facts.unreadable), (limit, ()))
        self.assertIsNone(_FORM.read_answer(ResponseHead(200)).limit)

    def test_unreadable_limits(self) -> None:
        """They name nothing, and are told with a bounded part of the text."""
        for text in (
            '',
            '-1',
            '+2',
            'nan',
            'inf',
            '1e3',
            '1,4',
            '٣',
            '9' * 5000,
            'Wed, 21 Oct 2026 07:28:00 GMT',
        ):
            facts = _FORM.read_answer(ResponseHead(200, {_LIMIT: text}))
            self.assertIsNone(facts.limit, text)
            self.assertEqual(len(facts.unreadable), 1)
            self.assertLess(len(facts.unreadable[0]), 100)

    def test_repeated_limits(self) -> None:
        """Nobody can tell which of two is meant."""
        lines = ((_LIMIT, '2'), (_LIMIT, '3'))
        facts = _FORM.read_answer(ResponseHead(200, dict(lines), lines))
        self.assertIsNone(facts.limit)
        self.assertEqual(facts.unreadable, (f'{_LIMIT}: 2, 3',))

    def test_rest(self) -> None:
        """Seconds beside a 503 alone; a huge number is bounded."""
        for text, seconds in (('3', 3), ('0.5', 0.5), ('99999999', 3600)):
            facts = _FORM.read_answer(ResponseHead(503, {_REST: text}))
            self.assertEqual(facts.rest_seconds, seconds)
        for status in (200, 429):
            facts = _FORM.read_answer(ResponseHead(status, {_REST: '3'}))
            self.assertIsNone(facts.rest_seconds)
        for text in ('-1', 'nan', 'Wed, 21 Oct 2026 07:28:00 GMT', '9' * 5000):
            facts = _FORM.read_answer(ResponseHead(503, {_REST: text}))
            self.assertIsNone(facts.rest_seconds)
            self.assertEqual(len(facts.unreadable), 1)

    def test_leaving(self) -> None:
        """Only the one word says so, beside any status."""
        for status in (200, 500, 503):
            facts = _FORM.read_answer(ResponseHead(status, {_LEAVING: '1'}))
            self.assertTrue(facts.is_leaving)
        for text in ('0', '', 'true'):
            facts = _FORM.read_answer(ResponseHead(200, {_LEAVING: text}))
            self.assertFalse(facts.is_leaving)
            self.assertEqual(len(facts.unreadable), 1)

    def test_refusal(self) -> None:
        """The product's own answer says when to come back."""
        refusal = _FORM.refusal('r1', 503, 'no_replica', 'none', 0.25)
        self.assertEqual(refusal.headers['retry-after'], '0.25')
        self.assertEqual(refusal.headers['request-id'], 'r1')
