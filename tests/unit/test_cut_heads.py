"""Responses that a target breaks off within their head or body."""

import enum
import socket
import struct
import unittest

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.exceptions import HttpError
from cranecart.http import Address, Request, exchange
from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    ClientAnswer,
    Exchange,
    FakeTarget,
    GatewayTestbed,
)
from tests.lib.peer_testbed import HelperNode, PeerTestbed

_EXAMPLES = 150
_OK = 200
_PAUSE_SECONDS = 0.01
_TIMEOUT_SECONDS = 5
_READ_BYTES = 4096
_LAST_EVENT = 3
_PLAIN_PATHS = ('/safe/x', '/unsafe/x')
_STREAM_PATHS = ('/stream/x', '/once/x')
# More than socket buffers hold, so that it is not sent before the response.
_UPLOAD_BYTES = 3_000_000
_UPLOAD_PATH = '/unsafe/upload'
_PLAIN_BODY = b'a whole body'
_STREAM_BODY = b''.join(
    f'id: {number}\ndata: {number}\n\n'.encode()
    for number in range(1, _LAST_EVENT + 1)
)


class Framing(enum.Enum):
    """How the end of a response is told."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    INTERIM = 'length, after an interim response'
    CLOSE = 'end of the connection'
    OLD = 'HTTP/1.0'


class End(enum.Enum):
    """How a target breaks a response off."""

    CLOSE = 'close'
    RESET = 'reset'
    LATE_CLOSE = 'close after a pause'
    HALF_CLOSE = 'close of its side only'


@attrs.frozen
class Cut:
    """A response that is sent up to a part of its bytes.

    ``position`` is that part, from 0 to 1. ``follows`` is whether a response to
    another request has been sent on the connection before.
    """

    framing: Framing
    end: End
    position: float
    follows: bool = False

    async def send(self, request: Exchange) -> None:
        """Send it as the response to a request, and break it off."""
        is_stream = request.target.startswith(('/stream', '/once'))
        body = _STREAM_BODY if is_stream else _PLAIN_BODY
        request_id = request.headers.get('request-id', '')
        if self.follows:
            await request.answer(b'another', request_id='earlier')
        head, framed = self._encoded(request_id, body, is_stream=is_stream)
        message = head + framed
        # The last byte is never sent, and without a frame no part of the body.
        size = len(message) if self._is_framed else len(head)
        await request.sock.sendall(message[: int(self.position * size)])
        await self._break_off(request.sock)

    @property
    def _is_framed(self) -> bool:
        return self.framing not in {Framing.CLOSE, Framing.OLD}

    def _encoded(
        self, request_id: str, body: bytes, *, is_stream: bool
    ) -> tuple[bytes, bytes]:
        """Return the head and the framed body."""
        version = '1.0' if self.framing is Framing.OLD else '1.1'
        kind = 'text/event-stream' if is_stream else 'text/plain'
        lines = [
            f'HTTP/{version} 200 OK',
            f'request-id: {request_id}',
            'replica-signature: sig',
            f'content-type: {kind}',
        ]
        if self.framing is Framing.CHUNKS:
            lines.append('transfer-encoding: chunked')
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        elif self._is_framed:
            lines.append(f'content-length: {len(body)}')
        if self.framing is Framing.INTERIM:
            lines.insert(0, 'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n')
        return '\r\n'.join((*lines, '', '')).encode(), body

    async def _break_off(self, sock: curio.io.Socket) -> None:
        match self.end:
            case End.RESET:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
            case End.LATE_CLOSE:
                await curio.sleep(_PAUSE_SECONDS)
            case End.HALF_CLOSE:
                await sock.shutdown(socket.SHUT_WR)
                await curio.sleep(_PAUSE_SECONDS)
        await sock.close()


_Cuts = st.builds(
    Cut,
    st.sampled_from(Framing),
    st.sampled_from(End),
    st.floats(0, 1, exclude_max=True),
    st.booleans(),
)


class CutHeadsTest(unittest.TestCase):
    """No client gets a broken response framed as a whole one."""

    @given(_Cuts, st.sampled_from(_PLAIN_PATHS))
    @settings(max_examples=_EXAMPLES, deadline=None)
    def test_plain_response_is_framed_as_whole(
        self, cut: Cut, path: str
    ) -> None:
        """The client gets an error response."""
        self._check(_ask(cut, path, PLAIN))

    @given(_Cuts, st.sampled_from(_STREAM_PATHS))
    @settings(max_examples=_EXAMPLES, deadline=None)
    def test_stream_is_framed_as_whole(self, cut: Cut, path: str) -> None:
        """The client gets an error response or a stream that is cut."""
        self._check(_ask(cut, path, ENGINES))

    @given(_Cuts, st.sampled_from((*_PLAIN_PATHS, *_STREAM_PATHS)))
    @settings(max_examples=_EXAMPLES, deadline=None)
    def test_response_through_a_peer_is_framed_as_whole(
        self, cut: Cut, path: str
    ) -> None:
        """The same where another node passes the request on."""
        service = PLAIN if path in _PLAIN_PATHS else ENGINES
        helper = HelperNode('n1', (cut.send, cut.send), service=service)
        answers: list[ClientAnswer] = []

        async def scenario(testbed: PeerTestbed) -> None:  # noqa: WPS430
            answers.append(await testbed.own.ask(path))

        curio.run(PeerTestbed(helper).run, scenario)
        self._check(answers[0])

    @given(_Cuts)
    @settings(max_examples=_EXAMPLES, deadline=None)
    def test_response_beside_an_upload_is_framed_as_whole(
        self, cut: Cut
    ) -> None:
        """The target answers and closes before it has read the body."""
        curio.run(self._check_upload, cut)

    @given(_Cuts.filter(lambda cut: not cut.follows))
    @settings(max_examples=_EXAMPLES, deadline=None)
    def test_response_to_this_node_is_taken_for_whole(self, cut: Cut) -> None:
        """Reads of the store, probes and orders fail."""
        curio.run(self._check_exchange, cut)

    async def _check_upload(self, cut: Cut) -> None:
        testbed = GatewayTestbed(
            service=PLAIN, other_targets={'i0': _EarlyTarget(cut)}
        )
        answers: list[ClientAnswer] = []

        async def scenario(_testbed: GatewayTestbed) -> None:  # noqa: WPS430
            answers.append(
                await testbed.ask(_UPLOAD_PATH, body=bytes(_UPLOAD_BYTES))
            )

        await testbed.run(scenario)
        self._check(answers[0])

    async def _check_exchange(self, cut: Cut) -> None:
        target = FakeTarget('t', cut.send)
        task = await curio.spawn(target.run)
        try:
            with self.assertRaises(HttpError):
                await exchange(
                    target.address, Request('GET', '/x'), _TIMEOUT_SECONDS
                )
        finally:
            await task.cancel()

    def _check(self, answer: ClientAnswer) -> None:
        self.assertFalse(
            answer.status == _OK and answer.is_complete, answer.body
        )


def _ask(cut: Cut, path: str, service: str) -> ClientAnswer:
    """Return what a client gets whose targets all break off."""
    testbed = GatewayTestbed(cut.send, cut.send, service=service)
    answers: list[ClientAnswer] = []

    async def scenario(_testbed: GatewayTestbed) -> None:  # noqa: WPS430
        answers.append(await testbed.ask(path))

    curio.run(testbed.run, scenario)
    return answers[0]


@attrs.define
class _EarlyTarget:
    """A target that responds as soon as it has read the head of a request."""

    _cut: Cut
    _listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(('127.0.0.1', 0))
    )

    @property
    def address(self) -> Address:
        """Return the address that it listens on."""
        return Address(*self._listener.getsockname()[:2])

    async def run(self) -> None:
        """Serve connections until cancelled."""
        async with curio.io.Socket(self._listener) as listener:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        async with sock:
            received = b''
            while b'\r\n\r\n' not in received:
                part = await sock.recv(_READ_BYTES)
                if not part:
                    # A node found out whether it is reached.
                    return
                received += part
            head, _, _body = received.partition(b'\r\n\r\n')
            first, *lines = head.decode().split('\r\n')
            method, path, _version = first.split()
            headers = dict(line.split(': ', 1) for line in lines)
            await self._cut.send(Exchange(sock, method, path, headers, b''))
