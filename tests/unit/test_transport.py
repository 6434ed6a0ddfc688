"""What nodes send each other when a connection fails without a word."""

import time
import unittest

import curio
import msgspec

from cranecart.http import Address
from cranecart.standins import FaultProxy, LinkFaults
from cranecart.transport import PeerTransport
from tools.processes import Addresses

_PATIENCE_SECONDS = 6.0
_EVERY_SECONDS = 0.05


class SilentLinkTest(unittest.TestCase):
    """An open connection carries nothing any more, and is not broken."""

    def setUp(self) -> None:
        """Take addresses for two nodes and the proxy between them."""
        taken = Addresses()
        self.addCleanup(taken.release)
        self.near = taken.take()
        self.far = taken.take()
        self.middle = taken.take()
        self.control = taken.take()
        self.heard: list[int] = []

    def test_a_new_connection_is_made(self) -> None:
        """Without that, a peer never hears a node's beats again."""
        curio.run(self._play)
        self.assertEqual(self.heard[0], 1)
        self.assertEqual(self.heard[-1], 2)

    async def _play(self) -> None:
        near, far = _link(self.near), _link(self.far)
        proxy = FaultProxy(self.middle, self.far, self.control)
        tasks = [
            await curio.spawn(proxy.run, daemon=True),
            await curio.spawn(self._hear, far, daemon=True),
        ]
        await self._say_until_heard(near, 1)
        proxy.faults = LinkFaults(mute_first=1)
        await self._say_until_heard(near, 2)
        for task in tasks:
            await task.cancel()
        near.close()
        far.close()

    async def _hear(self, link: PeerTransport[int]) -> None:
        while True:
            self.heard.append(await link.receive())

    async def _say_until_heard(
        self, link: PeerTransport[int], word: int
    ) -> None:
        until = time.monotonic() + _PATIENCE_SECONDS
        while time.monotonic() < until and word not in self.heard:
            link.send(str(self.middle), word)
            await curio.sleep(_EVERY_SECONDS)


class IdleLinkTest(unittest.TestCase):
    """Connections that nothing is sent on are closed, and made again."""

    def test_it_is_made_again(self) -> None:
        """Open ones cost, and urgent news must still arrive."""
        taken = Addresses()
        self.addCleanup(taken.release)
        curio.run(self._play, taken.take(), taken.take())

    async def _play(self, one: Address, other: Address) -> None:
        near, far = _link(one), _link(other)
        for word in (1, 2):
            near.send_all((str(other),), word)
            heard = await curio.timeout_after(_PATIENCE_SECONDS, far.receive)
            self.assertEqual(heard, word)
            self.assertEqual(near.connections, 1)
            near.close_idle(10)
            self.assertEqual(near.connections, 1)
            near.close_idle(0)
            self.assertEqual(near.connections, 0)
        near.close()
        far.close()


def _link(address: Address) -> PeerTransport[int]:
    return PeerTransport(
        address,
        msgspec.msgpack.encode,
        msgspec.msgpack.Decoder(int).decode,
    )
