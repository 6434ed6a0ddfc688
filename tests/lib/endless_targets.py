"""Targets that send responses without end."""

import enum

import attrs
import curio

from tests.lib.fake_targets import Exchange, Script

_PART = b'x' * 65536


class Framing(enum.Enum):
    """How the end of a body is told."""

    CHUNKED = 'transfer-encoding: chunked'
    DECLARED = 'content-length: 100000000000'
    UNTIL_CLOSE = 'connection: close'


@attrs.define
class EndlessTargets:
    """Scripts of targets that send a body until the caller closes.

    The body begins with ``start``, and they pause after each part.
    ``sent_bytes`` counts what they sent, ``begun`` the bodies.
    """

    framing: Framing = Framing.CHUNKED
    part: bytes = _PART
    pause_seconds: float = 0
    start: bytes = b''
    sent_bytes: int = attrs.field(default=0, init=False)
    begun: int = attrs.field(default=0, init=False)

    def script(self) -> Script:
        """Return a script that answers each request without end."""
        return self._send

    async def _send(self, exchange: Exchange) -> None:
        self.begun += 1
        answered_id = exchange.headers.get('request-id', '')
        head = (
            f'HTTP/1.1 200 OK\r\nrequest-id: {answered_id}\r\n'
            f'replica-signature: sig\r\n{self.framing.value}\r\n\r\n'
        )
        await exchange.sock.sendall(head.encode())
        if self.start:
            await exchange.sock.sendall(self._encode(self.start))
        encoded = self._encode(self.part)
        while True:
            await exchange.sock.sendall(encoded)
            self.sent_bytes += len(encoded)
            await curio.sleep(self.pause_seconds)

    def _encode(self, part: bytes) -> bytes:
        if self.framing is Framing.CHUNKED:
            return b'%x\r\n%b\r\n' % (len(part), part)
        return part
