"""Messages between nodes over pyzmq, driven by curio."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import msgspec
import zmq
from curio.traps import _read_wait  # noqa: PLC2701

from cranecart.clocks import since_boot
from cranecart.http import Address

Sent = TypeVar('Sent')

_LOG = logging.getLogger(__name__)
_HIGH_WATER = 64
_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 1000
# An open connection may go silent for good while a new one would work, and
# nothing but its own questions shows that. Peers that hear nothing for 0.8 s
# take a node for gone, so that a second and a half is as late as may be; two
# questions may be lost on the way.
_HEARTBEAT_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1500
_MAX_BYTES = 16777216


class PeerTransport(Generic[Sent]):
    """One socket to hear all peers, and one to speak to each.

    Sending never waits: a message that cannot be queued is dropped and
    counted, since everything sent here is repeated or asked for again.
    """

    def __init__(
        self,
        address: Address,
        encode: Callable[[Sent], bytes],
        decode: Callable[[bytes], Sent],
    ) -> None:
        """Bind; raise ``zmq.ZMQError`` if the address is taken."""
        self._encode = encode
        self._decode = decode
        self.address = address
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped = 0
        self._context = zmq.Context(io_threads=1)
        self._inbox = self._context.socket(zmq.PULL)
        self._inbox.setsockopt(zmq.MAXMSGSIZE, _MAX_BYTES)
        self._inbox.setsockopt(zmq.LINGER, 0)
        self._inbox.bind(f'tcp://{address}')
        self._outboxes: dict[str, zmq.Socket[bytes]] = {}
        self._sent_at: dict[str, float] = {}
        self._bytes_by_kind: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return how many nodes this one has a socket to speak to."""
        return len(self._outboxes)

    def send(self, address: str, message: Sent) -> None:
        """Queue a message for the node at an address, or drop it."""
        self.send_all((address,), message)

    def send_all(self, addresses: Iterable[str], message: Sent) -> None:
        """Queue a message for several nodes; it is encoded once."""
        encoded = self._encode(message)
        before = self.sent_bytes
        for address in addresses:
            self._queue(address, encoded)
        kind = type(message).__name__.lower()
        self._bytes_by_kind[kind] += self.sent_bytes - before

    def counts(self) -> dict[str, int]:
        """Return the messages and bytes so far, by name."""
        return {
            'peer_messages_sent': self.sent_messages,
            'peer_bytes_sent': self.sent_bytes,
            'peer_messages_received': self.received_messages,
            'peer_bytes_received': self.received_bytes,
            'peer_messages_dropped': self.dropped,
            'peer_connections': self.connections,
            **{
                f'peer_bytes_{kind}': size
                for kind, size in self._bytes_by_kind.items()
            },
        }

    async def receive(self) -> Sent:
        """Return the next message that can be read."""
        while True:
            encoded = await self._receive_bytes()
            self.received_messages += 1
            self.received_bytes += len(encoded)
            try:
                return self._decode(encoded)
            except msgspec.MsgspecError as error:
                _LOG.warning('a message could not be read: %s', error)

    def forget(self, address: str) -> None:
        """Close the socket to an address."""
        self._sent_at.pop(address, None)
        outbox = self._outboxes.pop(address, None)
        if outbox is not None:
            outbox.close(0)

    def close_idle(self, seconds: float) -> None:
        """Close the sockets that nothing was sent on for so long.

        Each open one asks and answers twice a second, and one to a node that
        is gone tries to connect for ever.
        """
        oldest = since_boot() - seconds
        for address, at in list(self._sent_at.items()):
            if at < oldest:
                self.forget(address)

    def close(self) -> None:
        """Close all sockets and drop what is queued."""
        for address in list(self._outboxes):
            self.forget(address)
        self._inbox.close(0)
        self._context.term()

    def _queue(self, address: str, encoded: bytes) -> None:
        outbox = self._outbox(address)
        self._sent_at[address] = since_boot()
        try:
            outbox.send(encoded, zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return
        self.sent_messages += 1
        self.sent_bytes += len(encoded)

    def _outbox(self, address: str) -> zmq.Socket[bytes]:
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._context.socket(zmq.PUSH)
            outbox.setsockopt(zmq.LINGER, 0)
            outbox.setsockopt(zmq.SNDHWM, _HIGH_WATER)
            outbox.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
            outbox.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
            outbox.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
            outbox.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
            outbox.setsockopt(zmq.TCP_MAXRT, _HEARTBEAT_TIMEOUT_MS)
            outbox.connect(f'tcp://{address}')
            self._outboxes[address] = outbox
        return outbox

    async def _receive_bytes(self) -> bytes:
        # The descriptor tells of changes only, so what is already there has
        # to be taken before each wait.
        while not int(self._inbox.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            await _read_wait(self._inbox.FD)
        return bytes(self._inbox.recv(zmq.NOBLOCK))
