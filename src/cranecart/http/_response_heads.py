"""Parse responses, and refuse heads that the parser is lenient with.

The parser joins a line that begins with a blank to the line before it, so that
a field whose name begins with a blank changes another field or is lost: its
response may be framed otherwise than the target meant. A gateway may refuse
such lines (RFC 9112, section 5.2), and status codes and versions that HTTP does
not have (RFC 9110, sections 15 and 2.5).
"""

import re

import h11

_HEAD_END = re.compile(rb'\n\r?\n')
_FOLDED_LINE = re.compile(rb'\n[ \t]')
_MAJOR_VERSION = b'1.'
_MAX_STATUS = 599
_MAX_QUOTED_BYTES = 80


def next_event(parser: h11.Connection) -> object:
    """Return the next event of a client's parser.

    Raise ``h11.RemoteProtocolError`` for a malformed response.
    """
    if parser.their_state is not h11.SEND_RESPONSE:
        return parser.next_event()
    received, _is_closed = parser.trailing_data
    event = parser.next_event()
    if isinstance(event, h11.Response | h11.InformationalResponse):
        _check_head(event, received)
    return event


def _check_head(
    head: h11.Response | h11.InformationalResponse, received: bytes
) -> None:
    if head.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(f'invalid status {head.status_code}')
    if not head.http_version.startswith(_MAJOR_VERSION):
        raise h11.RemoteProtocolError(f'invalid version {head.http_version!r}')
    end = _HEAD_END.search(received)
    folded = _FOLDED_LINE.search(received, 0, end.start() if end else 0)
    if folded:
        line = received[folded.start() + 1 :].partition(b'\n')[0]
        raise h11.RemoteProtocolError(
            f'header line begins with a blank: {line[:_MAX_QUOTED_BYTES]!r}'
        )
