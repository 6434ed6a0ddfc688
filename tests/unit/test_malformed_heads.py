"""Responses whose heads are malformed, against a strict reading of RFC 9112."""

import re
import socket
import unittest
from collections.abc import Iterable, Sequence

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.exceptions import HttpError
from cranecart.http import Address, HttpConnection, Request
from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    ClientAnswer,
    Exchange,
    GatewayTestbed,
)

_EXAMPLES = 400
_BODY = b'wrong'
_REQUEST = Request('GET', '/x')
_OK = b'HTTP/1.1 200 OK'
_START = (_OK, b'x-first: 1')
_LENGTH = b'content-length: 5'
# Heads of a target in trouble, as lines.
_REFUSED = (
    (b'HTTP/1.1 000 X', _LENGTH),
    (b'HTTP/1.1 099 X', _LENGTH),
    (b'HTTP/1.1 600 X', _LENGTH),
    (b'HTTP/1.1 999 X', _LENGTH),
    (b'HTTP/1.1 20 X', _LENGTH),
    (b'HTTP/1.1 2000 X', _LENGTH),
    (b'HTTP/1.1 2 0 X', _LENGTH),
    (b'HTTP/2.0 200 OK', _LENGTH),
    (b'HTTP/0.9 200 OK', _LENGTH),
    (*_START, b'x a: 1', _LENGTH),
    (*_START, b'x\x01a: 1', _LENGTH),
    (*_START, b'x\x7fa: 1', _LENGTH),
    (*_START, b'x\x00a: 1', _LENGTH),
    (*_START, b'x\x80a: 1', _LENGTH),
    (*_START, b'x-a : 1', _LENGTH),
    (*_START, b': 1', _LENGTH),
    (*_START, b'x-a', _LENGTH),
    (*_START, b' x-a: 1', _LENGTH),
    (*_START, b'\tx-a: 1', _LENGTH),
    (*_START, b' content-length: 5'),
    (*_START, b' transfer-encoding: chunked'),
    (*_START, _LENGTH, b' '),
    (*_START, b'content-length: 5', b'content-length: 6'),
    (*_START, b'content-length: +5'),
    (*_START, b'content-length: 0x5'),
    (*_START, b'transfer-encoding: gzip'),
    (*_START, b'x-a: a\x00b', _LENGTH),
    (*_START, b'x-a: a\rb', _LENGTH),
)
# Heads that HTTP lets a recipient accept; some sound servers send them.
_ALLOWED = (
    (b'HTTP/1.0 200 OK', _LENGTH),
    # Served as the highest minor version that is known (RFC 9110, 2.5).
    (b'HTTP/1.7 200 OK', _LENGTH),
    (b'HTTP/1.1 200', _LENGTH),
    (b'HTTP/1.1 299 Odd', _LENGTH),
    # Nobody reads the reason (RFC 9112, 4).
    (b'HTTP/1.1 200 O\x01K', _LENGTH),
    # Cookies hold control bytes (RFC 9110, 5.5).
    (*_START, b'set-cookie: a=\x01\x7f', _LENGTH),
    (*_START, b'x-a:', _LENGTH),
    (*_START, b'x-a: caf\xe9', _LENGTH),
    # A lone LF may end a line (RFC 9112, 2.2).
    (b'HTTP/1.1 200 OK\ncontent-length: 5',),
    # Lengths that are alike count once (RFC 9112, 6.3).
    (*_START, b'content-length: 5, 5'),
)


@attrs.frozen
class _Message:
    """A response as it is understood."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


class MalformedHeadsTest(unittest.TestCase):
    """A head that a sound server would not send is no response."""

    def test_malformed_head_is_passed_on(self) -> None:
        """Nothing of it is returned, whatever the body is."""
        for head in _REFUSED:
            with self.subTest(head=head):
                self.assertIsNone(_receive(_response(head)))

    def test_lenient_head_is_refused(self) -> None:
        """Sound servers are understood."""
        for head in _ALLOWED:
            with self.subTest(head=head):
                message = _receive(_response(head))
                assert message is not None
                self.assertEqual(message.body, _BODY)

    def test_interim_head_is_malformed(self) -> None:
        """What follows a malformed interim response is not trusted."""
        interim = (b'HTTP/1.1 103 X', b'link: </a>', b' x-a: 1')
        final = _response((*_START, _LENGTH))
        self.assertIsNone(_receive(_response(interim, b''), final))

    def test_body_looks_like_a_folded_line(self) -> None:
        """Only the head counts, also where more arrives with it."""
        body = b'\n x'
        head = (*_START, b'content-length: 3')
        message = _receive(_response(head, body))
        assert message is not None
        self.assertEqual(message.body, body)

    def test_head_arrives_byte_by_byte(self) -> None:
        """A folded line is found whatever the parts are."""
        sent = _response((*_START, b' x-a: 1', _LENGTH))
        parts = [sent[place : place + 1] for place in range(len(sent))]
        self.assertIsNone(_receive(*parts))

    def test_client_gets_a_malformed_head(self) -> None:
        """The client is told that the target failed."""
        for service, path in ((PLAIN, '/unsafe/x'), (ENGINES, '/once/x')):
            for line in (' x-a: 1', ' transfer-encoding: chunked', 'x a: 1'):
                with self.subTest(path=path, line=line):
                    answer = _ask(service, path, line)
                    self.assertEqual(answer.status, 502)

    @settings(max_examples=_EXAMPLES, deadline=None)
    @given(st.data())
    def test_drawn_heads(self, data: st.DataObject) -> None:
        """What is accepted is what a strict reading of the bytes says."""
        sound = data.draw(_messages())
        self.assertEqual(_receive(sound), _read_strictly(sound))
        spoilt = data.draw(_spoilt(sound))
        received = _receive(spoilt)
        if received is not None:
            self.assertEqual(received, _read_strictly(spoilt), spoilt)


_TOKEN = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
_STATUS_LINE = re.compile(rb'HTTP/1\.[0-9] ([1-5][0-9]{2})( [^\r\n\x00]*)?')
_VALUE = re.compile(rb'[^\x00\r\n\x0b\x0c]*')
_CHUNK = re.compile(rb'([0-9A-Fa-f]{1,20})(;.*)?[ \t]*\r\n')


def _read_strictly(received: bytes) -> _Message | None:
    """Read a response by the grammar, with the leniencies that are allowed."""
    head, body = re.split(rb'\n\r?\n', received, maxsplit=1)
    first, *lines = [line.removesuffix(b'\r') for line in head.split(b'\n')]
    status_line = _STATUS_LINE.fullmatch(first)
    if status_line is None:
        return None
    fields = [_read_field(line) for line in lines]
    if None in fields:
        return None
    known = tuple(field for field in fields if field)
    status = int(status_line[1])
    if status < 200:
        return _read_strictly(body)
    content = _read_body(status, known, body)
    return None if content is None else _Message(status, known, content)


def _read_field(line: bytes) -> tuple[str, str] | None:
    name, colon, content = line.partition(b':')
    is_field = colon and _TOKEN.fullmatch(name) and _VALUE.fullmatch(content)
    if not is_field:
        return None
    text = content.strip(b' \t').decode('latin-1')
    # Names of codings are case-insensitive.
    is_coding = name.lower() == b'transfer-encoding'
    return name.decode().lower(), text.lower() if is_coding else text


def _read_body(
    status: int, fields: Sequence[tuple[str, str]], body: bytes
) -> bytes | None:
    if status in {204, 304}:
        return b''
    codings = [text for name, text in fields if name == 'transfer-encoding']
    if codings:
        is_chunked = [text.lower() for text in codings] == ['chunked']
        return _read_chunks(body) if is_chunked else None
    lengths = {
        length.strip()
        for name, text in fields
        if name == 'content-length'
        for length in text.split(',')
    }
    if not lengths:
        return body
    length = lengths.pop()
    if lengths or not re.fullmatch('[0-9]{1,20}', length):
        return None
    size = int(length)
    return body[:size] if len(body) >= size else None


def _read_chunks(body: bytes) -> bytes | None:
    content = b''
    while True:
        header = _CHUNK.match(body)
        if header is None:
            return None
        size = int(header[1], 16)
        body = body[header.end() :]
        if not size:
            return content
        if body[size : size + 2] != b'\r\n':
            return None
        content += body[:size]
        body = body[size + 2 :]


@st.composite
def _messages(draw: st.DrawFn) -> bytes:
    """Draw a sound response, framed in any way."""
    status = draw(st.sampled_from((200, 201, 204, 299, 304, 404, 500, 599)))
    names = st.sampled_from(('x-a', 'Server', 'X_b', 'set-cookie', "x!#$'"))
    texts = st.sampled_from(('', 'a', 'a b', 'a=\x01; b', 'caf\xe9', '"a, b"'))
    fields = [
        f'{name}: {text}'
        for name, text in draw(st.lists(st.tuples(names, texts), max_size=4))
    ]
    framing = draw(st.sampled_from(('length', 'chunks', 'close')))
    body = draw(st.sampled_from((b'', b'whole', b'\n x', b'5\r\nwrong\r\n')))
    if framing == 'length':
        fields.append(f'content-length: {len(body)}')
    if framing == 'chunks':
        fields.append('Transfer-Encoding: chunked')
        chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
        body = b''.join((chunk, b'0\r\n\r\n'))
    lines = draw(st.permutations(fields))
    head = '\r\n'.join((f'HTTP/1.1 {status} X', *lines, '', ''))
    return b''.join((head.encode('latin-1'), body))


@st.composite
def _spoilt(draw: st.DrawFn, message: bytes) -> bytes:
    """Draw a response of which some bytes of the head are changed."""
    spoilt = bytearray(message)
    for _ in range(draw(st.integers(1, 3))):
        end = max(1, spoilt.find(b'\r\n\r\n'))
        place = draw(st.integers(0, end - 1))
        odd = draw(st.sampled_from(b' \t\r\n\x00\x01\x7f\x80:,;019AaHx/.'))
        match draw(st.sampled_from(('replace', 'insert', 'remove', 'fold'))):
            case 'replace':
                spoilt[place] = odd
            case 'insert':
                spoilt.insert(place, odd)
            case 'remove':
                spoilt.pop(place)
            case 'fold':
                spoilt.insert(spoilt.find(b'\r\n', place) + 2, odd)
    return bytes(spoilt) if re.search(rb'\n\r?\n', spoilt) else message


def _response(head: Iterable[bytes], body: bytes = _BODY) -> bytes:
    return b'\r\n'.join((*head, b'', body))


def _receive(*parts: bytes) -> _Message | None:
    """Return what a connection reads from a peer that sends and closes."""
    return curio.run(_exchange, parts)


async def _exchange(parts: Sequence[bytes]) -> _Message | None:
    own, peer = socket.socketpair()
    connection = HttpConnection(Address('127.0.0.1', 1), curio.io.Socket(own))
    with peer:
        sender = await curio.spawn(_send_all, peer, parts)
        try:
            head = await connection.send_and_read_head(_REQUEST)
            body = await connection.read_body()
        except HttpError:
            return None
        finally:
            await sender.join()
            await connection.close()
    return _Message(head.status, head.header_lines, body)


async def _send_all(peer: socket.socket, parts: Sequence[bytes]) -> None:
    for part in parts:
        peer.sendall(part)
        await curio.sleep(0)
    peer.shutdown(socket.SHUT_WR)


def _ask(service: str, path: str, line: str) -> ClientAnswer:
    """Return what a client gets whose target's head has a malformed line."""

    async def answer(exchange: Exchange) -> None:  # noqa: WPS430
        await exchange.answer(_BODY, extra=f'x-first: 1\r\n{line}\r\n')
        await exchange.sock.close()

    testbed = GatewayTestbed(answer, service=service)
    answers: list[ClientAnswer] = []

    async def scenario(_testbed: GatewayTestbed) -> None:  # noqa: WPS430
        answers.append(await testbed.ask(path))

    curio.run(testbed.run, scenario)
    return answers[0]
