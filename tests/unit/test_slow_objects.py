"""A large object of the platform that arrives slowly is used.

The limit on a call counted the time in which the answer arrives like silence.
"""

import time
import unittest
from collections.abc import Awaitable, Callable

import curio

from cranecart.exceptions import PlatformUnavailableError
from cranecart.http import Address, HttpServer, Request, Responder
from cranecart.native import PlatformClient

_PARTS = 30
_PART = b'x' * 30_000
# Some 300 KB/s, so that the object takes longer than a call may be silent.
_PART_SECONDS = 0.1
_SLACK_SECONDS = 6.0
_NAME = '84d5dc3b1a6a1ac2b9b1e8cc0bd5b1d7'


class SlowObjectTest(unittest.TestCase):
    """Objects over a link that carries little else."""

    def test_large_object(self) -> None:
        """It is read in one call."""
        curio.run(_with_server, _send_slowly, self._read)

    def test_silent_platform(self) -> None:
        """A call ends once nothing has arrived for its timeout."""
        started = time.monotonic()
        with self.assertRaises(PlatformUnavailableError):
            curio.run(_with_server, _send_part, self._read)
        self.assertLess(time.monotonic() - started, 2 + _SLACK_SECONDS)

    async def _read(self, client: PlatformClient) -> None:
        response = await client._get(f'/objects/{_NAME}')
        self.assertEqual(response.body, _PARTS * _PART)


async def _send_slowly(_request: Request, responder: Responder) -> None:
    await _start(responder)
    for _number in range(_PARTS):
        await responder.write(_PART)
        await curio.sleep(_PART_SECONDS)
    await responder.end()


async def _send_part(_request: Request, responder: Responder) -> None:
    await _start(responder)
    await responder.write(_PART)
    await curio.sleep(60)


async def _start(responder: Responder) -> None:
    await responder.start(200, {'content-length': str(_PARTS * len(_PART))})


async def _with_server(
    handle: Callable[[Request, Responder], Awaitable[None]],
    scenario: Callable[[PlatformClient], Awaitable[None]],
) -> None:
    server = HttpServer(Address('127.0.0.1', 0), handle)
    server.open()
    task = await curio.spawn(server.run)
    try:
        await scenario(PlatformClient(server.address))
    finally:
        await task.cancel()


if __name__ == '__main__':
    unittest.main()
