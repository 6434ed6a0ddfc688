"""Transport between nodes when connections stall or are closed."""

import time
import unittest

import curio
import msgspec

from cranecart.http import Address
from cranecart.standins import FaultProxy, LinkFaults
from cranecart.transport import PeerTransport
from tools.processes import Addresses

_TIMEOUT_SECONDS = 6.0
_SEND_INTERVAL_SECONDS = 0.05


class SilentConnectionTest(unittest.TestCase):
    """An established connection stops delivering without being closed."""

    def setUp(self) -> None:
        """Allocate addresses for two nodes and the proxy between them."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        self.sender_address = addresses.take()
        self.receiver_address = addresses.take()
        self.proxy_address = addresses.take()
        self.proxy_control = addresses.take()
        self.received: list[int] = []

    def test_silent_connection_is_replaced(self) -> None:
        """Heartbeats detect the silent connection and it is replaced.

        Otherwise the peer would never receive the node's heartbeats again.
        """
        curio.run(self._run)
        self.assertEqual(self.received[0], 1)
        self.assertEqual(self.received[-1], 2)

    async def _run(self) -> None:
        sender, receiver = (
            _make_transport(self.sender_address),
            _make_transport(self.receiver_address),
        )
        proxy = FaultProxy(
            self.proxy_address, self.receiver_address, self.proxy_control
        )
        tasks = [
            await curio.spawn(proxy.run, daemon=True),
            await curio.spawn(self._receive, receiver, daemon=True),
        ]
        await self._send_until_received(sender, 1)
        proxy.faults = LinkFaults(mute_first=1)
        await self._send_until_received(sender, 2)
        for task in tasks:
            await task.cancel()
        sender.close()
        receiver.close()

    async def _receive(self, transport: PeerTransport[int]) -> None:
        while True:
            self.received.append(await transport.receive())

    async def _send_until_received(
        self, transport: PeerTransport[int], message: int
    ) -> None:
        deadline = time.monotonic() + _TIMEOUT_SECONDS
        while time.monotonic() < deadline and message not in self.received:
            transport.send(str(self.proxy_address), message)
            await curio.sleep(_SEND_INTERVAL_SECONDS)


class IdleConnectionTest(unittest.TestCase):
    """Idle connections are closed and opened again on demand."""

    def test_idle_connection_is_reopened_on_send(self) -> None:
        """A message sent after an idle close is still delivered."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        curio.run(self._run, addresses.take(), addresses.take())

    async def _run(
        self, sender_address: Address, receiver_address: Address
    ) -> None:
        sender, receiver = (
            _make_transport(sender_address),
            _make_transport(receiver_address),
        )
        for message in (1, 2):
            sender.send_all((str(receiver_address),), message)
            received = await curio.timeout_after(
                _TIMEOUT_SECONDS, receiver.receive
            )
            self.assertEqual(received, message)
            self.assertEqual(sender.connections, 1)
            sender.close_idle(10)
            self.assertEqual(sender.connections, 1)
            sender.close_idle(0)
            self.assertEqual(sender.connections, 0)
        sender.close()
        receiver.close()


def _make_transport(address: Address) -> PeerTransport[int]:
    return PeerTransport(
        address,
        msgspec.msgpack.encode,
        msgspec.msgpack.Decoder(int).decode,
    )
