"""Clients that hold on to what they have sent, in crowds."""

import contextlib
import itertools
from collections.abc import Iterator, Mapping

import attrs
import curio

from cranecart.http import Address

_READ_BYTES = 65536
# Long enough for a node to take in what the whole crowd sends.
_SEND_SECONDS = 6.0
_CONNECT_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class CrowdClient:
    """What one client sends: a head, and a body in parts.

    With ``stays_open`` it then holds the connection and reads what comes,
    otherwise it closes it at once.
    """

    head: bytes
    part: bytes = b''
    parts: int = 1
    end: bytes = b''
    stays_open: bool = True

    def sent(self) -> Iterator[bytes]:
        """Yield what is sent, in order."""
        yield self.head
        yield from itertools.repeat(self.part, self.parts)
        yield self.end


@attrs.frozen(kw_only=True)
class Crowd:
    """Equal clients that come at once, and again ``rounds`` times."""

    client: CrowdClient
    size: int
    rounds: int = 1
    hold_seconds: float = 2.0

    async def run(self, address: Address) -> None:
        """Play it against an address; what servers answer does not matter."""
        for _ in range(self.rounds):
            async with curio.TaskGroup(wait=all) as clients:
                for _ in range(self.size):
                    await clients.spawn(self._act, address)

    async def _act(self, address: Address) -> None:
        with contextlib.suppress(OSError, curio.TaskTimeout):
            sock = await curio.timeout_after(
                _CONNECT_SECONDS,
                curio.open_connection,
                address.host,
                address.port,
            )
            async with sock:
                await self._send(sock)

    async def _send(self, sock: curio.io.Socket) -> None:
        with contextlib.suppress(OSError, curio.TaskTimeout):
            await curio.timeout_after(_SEND_SECONDS, self._send_all, sock)
        if self.client.stays_open:
            await curio.ignore_after(self.hold_seconds, _read_all, sock)

    async def _send_all(self, sock: curio.io.Socket) -> None:
        for part in self.client.sent():
            await sock.sendall(part)


def head_bytes(path: str, headers: Mapping[str, str]) -> bytes:
    """Return the head of a POST request."""
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(
        (f'POST {path} HTTP/1.1', 'host: a.example', *lines, '', '')
    ).encode()


def chunk(size: int) -> bytes:
    """Return a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (size, b'x' * size)


async def _read_all(sock: curio.io.Socket) -> None:
    with contextlib.suppress(OSError):
        while await sock.recv(_READ_BYTES):
            await curio.sleep(0)
