"""Targets that answer a long upload at once and reset the connection.

A socket reports a reset once. If the task that writes the upload learns of it,
the reader sees an end of file, which ends an answer without a length.
"""

import contextlib
import functools
import socket
import struct
import threading
import time
import unittest
from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.exceptions import ConnectionBrokenError
from cranecart.http import Address, HttpConnection, Request
from tests.lib.fake_targets import (
    ENGINES,
    PLAIN,
    ClientAnswer,
    GatewayTestbed,
)
from tests.lib.peer_testbed import HelperNode, PeerTestbed

_OK = 200
# More than socket buffers hold.
_UPLOAD = bytes(4_000_000)
_TRIES = 25
_READ_BYTES = 4096
_SETTLE_SECONDS = 0.05
_DEADLINE_MS = 8000
# How long a target keeps a connection whose upload it does not read, and until
# when the client has its answer.
_UNREAD_SECONDS = 4.0
_MAX_ANSWER_SECONDS = 1.5
_LINGER_NOT = struct.pack('ii', 1, 0)
_EVENT = b'id: 1\ndata: 1\n\n'


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)


def _leave_input_unread(_sock: socket.socket) -> None:
    """Let the kernel reset the connection because of it."""


def _read_all(sock: socket.socket) -> None:
    """End the answer, then take the whole upload, as a sound target does."""
    sock.shutdown(socket.SHUT_WR)
    left = len(_UPLOAD)
    while left > 0:
        received = sock.recv(_READ_BYTES)
        left -= len(received) or left


def _short_listener() -> socket.socket:
    """Return a listener whose connections hold little that is not read."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BYTES)
    return listener


def _read_nothing(sock: socket.socket) -> None:
    """End the answer, and keep the connection without reading from it."""
    sock.shutdown(socket.SHUT_WR)
    time.sleep(_UNREAD_SECONDS)


@attrs.define
class _EarlyTarget:
    """Answers without a length once it has read the head of a request.

    It runs in a thread, so that it closes while the node is writing.
    """

    body: bytes
    before_close: Callable[[socket.socket], None]
    content_type: str = 'text/plain'
    _listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(('127.0.0.1', 0))
    )

    @property
    def address(self) -> Address:
        """Return the address that it listens on."""
        return Address(*self._listener.getsockname()[:2])

    async def run(self) -> None:
        """Serve connections until cancelled."""
        threading.Thread(target=self._serve_all, daemon=True).start()
        try:
            await curio.Event().wait()
        finally:
            # Ends the wait for the next connection as well.
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def _serve_all(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                with sock, contextlib.suppress(OSError):
                    self._serve(sock)

    def _serve(self, sock: socket.socket) -> None:
        received = _receive_head(sock)
        if not received:
            return
        lines = received.partition(b'\r\n\r\n')[0].decode().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines[1:])
        head = (
            f'HTTP/1.1 200 OK\r\nrequest-id: {headers.get("request-id")}\r\n'
            f'replica-signature: sig\r\ncontent-type: {self.content_type}\r\n'
            '\r\n'
        )
        sock.sendall(head.encode() + self.body)
        self.before_close(sock)


def _receive_head(sock: socket.socket) -> bytes:
    """Return what arrives with the head of a request, if one does."""
    received = b''
    while b'\r\n\r\n' not in received:
        part = sock.recv(_READ_BYTES)
        if not part:
            return b''
        received += part
    return received


_stream_target = functools.partial(
    _EarlyTarget, _EVENT, content_type='text/event-stream'
)


class ResetUploadTest(unittest.TestCase):
    """No client gets a part of an answer as a complete one."""

    def test_plain_answer(self) -> None:
        """Whether the target resets or closes without reading all."""
        for before_close in (_reset, _leave_input_unread):
            make_target = functools.partial(
                _EarlyTarget, b'half of it', before_close
            )
            with self.subTest(before_close=before_close.__name__):
                self._check_none_is_whole(_ask(make_target, '/unsafe/x', PLAIN))

    def test_answer_without_a_byte_of_its_body(self) -> None:
        """An empty answer that a reset ends is not whole either."""
        answers = _ask(
            lambda: _EarlyTarget(b'', _leave_input_unread),
            '/unsafe/x',
            PLAIN,
        )
        self._check_none_is_whole(answers)

    def test_stream(self) -> None:
        """Not even where the stream was broken off behind an event."""
        answers = _ask(
            lambda: _stream_target(_leave_input_unread),
            '/once/x',
            ENGINES,
        )
        self._check_none_is_whole(answers)

    def test_answer_through_a_peer(self) -> None:
        """The same where another node passes the request on."""
        answers: list[ClientAnswer] = []

        async def scenario(testbed: PeerTestbed) -> None:  # noqa: WPS430
            for _ in range(_TRIES):
                answers.append(await _upload(testbed.own, '/unsafe/x'))

        target = _EarlyTarget(b'half of it', _leave_input_unread)
        helper = HelperNode(
            'n1', (), service=PLAIN, other_targets={'i0': target}
        )
        curio.run(_run_with_target, helper, target, scenario)
        self._check_none_is_whole(answers)

    def test_writer_learns_of_the_reset(self) -> None:
        """The reader is told, although the socket shows an end of file."""
        with self.assertRaises(ConnectionBrokenError):
            curio.run(self._read_after_writing_failed)

    def test_target_takes_the_upload_after_its_answer(self) -> None:
        """A sound answer that ends before the upload is whole."""
        answer = _ask(
            lambda: _EarlyTarget(b'all of it', _read_all),
            '/unsafe/x',
            PLAIN,
            tries=1,
        )[0]
        self.assertEqual((answer.status, answer.body), (_OK, b'all of it'))
        self.assertTrue(answer.is_complete)

    def test_target_never_reads_the_upload(self) -> None:
        """A sound answer is not held until the deadline of its request."""
        started = time.monotonic()
        answer = _ask(
            lambda: _EarlyTarget(
                b'all of it', _read_nothing, listener=_short_listener()
            ),
            '/unsafe/x',
            PLAIN,
            tries=1,
        )[0]
        self.assertLess(time.monotonic() - started, _MAX_ANSWER_SECONDS)
        self.assertEqual((answer.status, answer.body), (_OK, b'all of it'))
        self.assertTrue(answer.is_complete)

    async def _read_after_writing_failed(self) -> None:
        target = _EarlyTarget(b'half of it', _reset)
        task = await curio.spawn(target.run)
        connection = await HttpConnection.open(target.address)
        try:
            await connection.start_sending(
                Request('POST', '/x', {}, body=_UPLOAD)
            )
            await curio.sleep(_SETTLE_SECONDS)
            await connection.read_head()
            await connection.read_body()
        finally:
            await connection.close()
            await task.cancel()

    def _check_none_is_whole(self, answers: list[ClientAnswer]) -> None:
        whole = [
            answer
            for answer in answers
            if answer.status == _OK and answer.is_complete
        ]
        self.assertEqual(whole, [])


async def _upload(testbed: GatewayTestbed, path: str) -> ClientAnswer:
    return await testbed.ask(path, body=_UPLOAD, deadline_ms=_DEADLINE_MS)


def _ask(
    make_target: Callable[[], _EarlyTarget],
    path: str,
    service: str,
    tries: int = _TRIES,
) -> list[ClientAnswer]:
    """Return what clients get, each of whom uploads to one target."""
    answers = []
    for _ in range(tries):
        testbed = GatewayTestbed(
            service=service, other_targets={'i0': make_target()}
        )

        async def scenario(testbed: GatewayTestbed) -> None:  # noqa: WPS430
            answers.append(await _upload(testbed, path))  # noqa: B023

        curio.run(testbed.run, scenario)
    return answers


async def _run_with_target(
    helper: HelperNode,
    target: _EarlyTarget,
    scenario: Callable[[PeerTestbed], Awaitable[None]],
) -> None:
    task = await curio.spawn(target.run)
    try:
        await PeerTestbed(helper).run(scenario)
    finally:
        await task.cancel()
