"""Translation of the platform's headers in requests and answers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import InvalidRequestError
from cranecart.http import HeaderLines, Request, ResponseHead
from cranecart.platform import PlatformCallTranslator
from cranecart.ports import Dispatch

_LIMIT = 'server-limit'
_RETRY_AFTER = 'retry-after'
_LEAVING = 'server-leaving'
_CALL_TRANSLATOR = PlatformCallTranslator()
_HEADER_LINES: HeaderLines = (
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
_SYSTEM_HEADERS = frozenset(
    ('tenant', 'expect-replica', 'request-priority', 'deadline-ms'),
)


def _request(
    lines: HeaderLines = _HEADER_LINES, body: bytes = b'abc'
) -> Request:
    return Request('POST', '/x/', dict(lines), body, lines)


class ReadRequestTest(unittest.TestCase):
    """Reading a client's request."""

    def test_fields_of_a_request(self) -> None:
        """All fields are read and converted to internal units."""
        info = _CALL_TRANSLATOR.read_request(_request())
        self.assertEqual(info.request_id, 'r1')
        self.assertEqual(info.key, 'key')
        self.assertEqual(info.deadline_seconds, 8)
        self.assertEqual((info.prompt_tokens, info.max_tokens), (1460, 80))
        self.assertEqual(info.resume_after, '3')
        self.assertEqual(info.shared_segments, ('5c1e07a2',))

    def test_segments_of_prompts(self) -> None:
        """The last one is the request's own; odd ones are no error."""
        for text, segments in (
            ('', ()),
            ('aa:1', ()),
            ('AA:800, bb:20,cc:1', ('aa', 'bb')),
            ('aa,:5,,bb:x:y,cc', ('aa', 'bb')),
        ):
            with self.subTest(text=text):
                request = Request('POST', '/x', {'prefix-hash': text})
                info = _CALL_TRANSLATOR.read_request(request)
                self.assertEqual(info.shared_segments, segments)

    def test_huge_token_counts_are_ignored(self) -> None:
        """Token counts too long to parse are read as 0."""
        for usage in (f'{"9" * 5000},7', f'{"9" * 400},7'):
            request = Request('POST', '/x', {'token-usage': usage})
            info = PlatformCallTranslator().read_request(request)
            self.assertEqual((info.prompt_tokens, info.max_tokens), (0, 7))

    def test_malformed_deadline_is_rejected(self) -> None:
        """An unreadable deadline is the client's error."""
        with self.assertRaises(InvalidRequestError):
            _CALL_TRANSLATOR.read_request(_request((('deadline-ms', 'soon'),)))

    @given(st.text(), st.text())
    def test_arbitrary_headers_are_accepted(
        self, usage: str, authorization: str
    ) -> None:
        """Arbitrary header values raise no error."""
        lines = (('token-usage', usage), ('authorization', authorization))
        _CALL_TRANSLATOR.read_request(_request(lines))


class RequestForTest(unittest.TestCase):
    """The request that is sent to a target."""

    def setUp(self) -> None:
        """Build the forwarded request."""
        dispatch = Dispatch('i-1', 1.5, 'org', 2, '9')
        self.sent = _CALL_TRANSLATOR.request_for(
            _request(), dispatch
        ).header_lines

    def test_forged_headers_are_replaced(self) -> None:
        """Headers that only the system may set are replaced."""
        system_headers = {
            name: text for name, text in self.sent if name in _SYSTEM_HEADERS
        }
        self.assertEqual(
            system_headers,
            {
                'tenant': 'org',
                'expect-replica': 'i-1',
                'request-priority': '2',
                'deadline-ms': '1500',
            },
        )
        self.assertEqual(
            len([1 for name, _ in self.sent if name in system_headers]), 4
        )

    def test_key_is_not_forwarded(self) -> None:
        """Neither the API key nor hop-by-hop headers are forwarded."""
        names = {name for name, _text in self.sent}
        self.assertFalse(names & {'authorization', 'x-hop', 'connection'})

    def test_other_headers_are_unchanged(self) -> None:
        """Repeated headers stay, in their order."""
        kept = [line for line in self.sent if line[0] == 'x-kept']
        self.assertEqual(kept, [('x-kept', '1'), ('x-kept', '2')])
        self.assertIn(('prefix-hash', _HEADER_LINES[4][1]), self.sent)

    def test_resumption_replaces_last_event_id(self) -> None:
        """The client's last-event-id is replaced by that of the resumption."""
        resumed = [line for line in self.sent if line[0] == 'last-event-id']
        self.assertEqual(resumed, [('last-event-id', '9')])


class ReadAnswerTest(unittest.TestCase):
    """Reading a target's answer."""

    def test_not_run(self) -> None:
        """Only not-executed or a 421 mean that the request was not run."""
        refused = ResponseHead(503, {'not-executed': '1', 'at-server': 'i-2'})
        info = _CALL_TRANSLATOR.read_response(refused)
        self.assertTrue(info.not_run)
        self.assertEqual(info.failed_instance, 'i-2')
        self.assertTrue(
            _CALL_TRANSLATOR.read_response(ResponseHead(421)).not_run
        )
        self.assertFalse(
            _CALL_TRANSLATOR.read_response(ResponseHead(503)).not_run
        )

    def test_limit(self) -> None:
        """A decimal number is the limit; a huge one is capped."""
        for text, limit in (
            ('2', 2),
            ('1.4', 1.4),
            (' 0.25 ', 0.25),
            ('0', 0),
            ('999999999', 1e6),
        ):
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(200, {_LIMIT: text})
            )
            self.assertEqual((info.limit, info.unreadable), (limit, ()))
        self.assertIsNone(
            _CALL_TRANSLATOR.read_response(ResponseHead(200)).limit
        )

    def test_unreadable_limits(self) -> None:
        """Malformed limits are ignored and reported, truncated."""
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
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(200, {_LIMIT: text})
            )
            self.assertIsNone(info.limit, text)
            self.assertEqual(len(info.unreadable), 1)
            self.assertLess(len(info.unreadable[0]), 100)

    def test_repeated_limits(self) -> None:
        """Two limits in one answer are ambiguous and ignored."""
        lines = ((_LIMIT, '2'), (_LIMIT, '3'))
        info = _CALL_TRANSLATOR.read_response(
            ResponseHead(200, dict(lines), lines)
        )
        self.assertIsNone(info.limit)
        self.assertEqual(info.unreadable, (f'{_LIMIT}: 2, 3',))

    def test_backoff(self) -> None:
        """A back-off only counts with a 503; a huge one is capped."""
        for text, seconds in (('3', 3), ('0.5', 0.5), ('99999999', 3600)):
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(503, {_RETRY_AFTER: text})
            )
            self.assertEqual(info.backoff_seconds, seconds)
        for status in (200, 429):
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(status, {_RETRY_AFTER: '3'})
            )
            self.assertIsNone(info.backoff_seconds)
        for text in ('-1', 'nan', 'Wed, 21 Oct 2026 07:28:00 GMT', '9' * 5000):
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(503, {_RETRY_AFTER: text})
            )
            self.assertIsNone(info.backoff_seconds)
            self.assertEqual(len(info.unreadable), 1)

    def test_leaving(self) -> None:
        """Only the value 1 announces leaving, with any status."""
        for status in (200, 500, 503):
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(status, {_LEAVING: '1'})
            )
            self.assertTrue(info.is_leaving)
        for text in ('0', '', 'true'):
            info = _CALL_TRANSLATOR.read_response(
                ResponseHead(200, {_LEAVING: text})
            )
            self.assertFalse(info.is_leaving)
            self.assertEqual(len(info.unreadable), 1)

    def test_refusal(self) -> None:
        """An error answer contains the retry time and the request id."""
        error_response = _CALL_TRANSLATOR.error_response(
            'r1', 503, 'no_replica', 'none', 0.25
        )
        self.assertEqual(error_response.headers['retry-after'], '0.25')
        self.assertEqual(error_response.headers['request-id'], 'r1')
