"""Message transport between nodes over pyzmq, driven by curio."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import msgspec
import zmq
from curio.traps import _read_wait  # noqa: PLC2701

from cranecart.clocks import since_boot
from cranecart.http import Address

MessageT = TypeVar('MessageT')

_LOG = logging.getLogger(__name__)
_SEND_QUEUE_MESSAGES = 64
_RECONNECT_INTERVAL_MS = 100
_RECONNECT_MAX_INTERVAL_MS = 1000
# An established connection may stop delivering while a new one would work, which
# only heartbeats reveal. Peers that receive nothing from a node for 0.8 s no
# longer count it as alive, so detection may take 1.5 s at most; two heartbeats
# may be lost in that time.
_HEARTBEAT_INTERVAL_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1500
_MAX_MESSAGE_BYTES = 16777216
# Numbers of more than 64 bits, lone surrogates, and deeply nested values.
_ENCODING_ERRORS = (OverflowError, ValueError, TypeError, RecursionError)


class PeerTransport(Generic[MessageT]):
    """A PULL socket to receive from all peers and a PUSH socket to each peer.

    Sending never blocks: a message that cannot be queued is dropped and
    counted, since all messages are sent periodically or requested again.
    """

    def __init__(
        self,
        address: Address,
        encode: Callable[[MessageT], bytes],
        decode: Callable[[bytes], MessageT],
    ) -> None:
        """Bind; raise ``zmq.ZMQError`` if the address is taken."""
        self._encode = encode
        self._decode = decode
        self.address = address
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self._context = zmq.Context(io_threads=1)
        self._pull_socket = self._context.socket(zmq.PULL)
        self._pull_socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        self._pull_socket.setsockopt(zmq.LINGER, 0)
        self._pull_socket.bind(f'tcp://{address}')
        self._push_sockets: dict[str, zmq.Socket[bytes]] = {}
        self._last_sent_at: dict[str, float] = {}
        self._sent_bytes_by_type: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return the number of open PUSH sockets."""
        return len(self._push_sockets)

    def send(self, address: str, message: MessageT) -> None:
        """Queue a message for the node at an address, or drop it if full."""
        self.send_all((address,), message)

    def send_all(self, addresses: Iterable[str], message: MessageT) -> None:
        """Queue a message for several nodes; it is encoded once.

        A message that cannot be encoded is logged and dropped.
        """
        try:
            encoded = self._encode(message)
        except _ENCODING_ERRORS as error:
            self.dropped_messages += 1
            _LOG.warning(
                'could not encode a %s: %s', type(message).__name__, error
            )
            return
        bytes_before = self.sent_bytes
        for address in addresses:
            self._queue(address, encoded)
        type_name = type(message).__name__.lower()
        self._sent_bytes_by_type[type_name] += self.sent_bytes - bytes_before

    def counts(self) -> dict[str, int]:
        """Return the counters of messages and bytes, by metric name."""
        return {
            'peer_messages_sent': self.sent_messages,
            'peer_bytes_sent': self.sent_bytes,
            'peer_messages_received': self.received_messages,
            'peer_bytes_received': self.received_bytes,
            'peer_messages_dropped': self.dropped_messages,
            'peer_connections': self.connections,
            **{
                f'peer_bytes_{type_name}': sent_bytes
                for type_name, sent_bytes in self._sent_bytes_by_type.items()
            },
        }

    async def receive(self) -> MessageT:
        """Return the next message that can be decoded."""
        while True:
            encoded = await self._receive_bytes()
            self.received_messages += 1
            self.received_bytes += len(encoded)
            try:
                return self._decode(encoded)
            except msgspec.MsgspecError as error:
                _LOG.warning('could not decode a peer message: %s', error)

    def disconnect(self, address: str) -> None:
        """Close the socket to an address."""
        self._last_sent_at.pop(address, None)
        push_socket = self._push_sockets.pop(address, None)
        if push_socket is not None:
            push_socket.close(0)

    def close_idle(self, seconds: float) -> None:
        """Close the sockets on which nothing was sent for ``seconds``.

        Each open socket exchanges a heartbeat twice a second, and one to a node
        that no longer runs keeps trying to reconnect.
        """
        idle_since = since_boot() - seconds
        for address, sent_at in list(self._last_sent_at.items()):
            if sent_at < idle_since:
                self.disconnect(address)

    def close(self) -> None:
        """Close all sockets and drop the queued messages."""
        for address in list(self._push_sockets):
            self.disconnect(address)
        self._pull_socket.close(0)
        self._context.term()

    def _queue(self, address: str, encoded: bytes) -> None:
        self._last_sent_at[address] = since_boot()
        try:
            self._push_socket(address).send(encoded, zmq.NOBLOCK)
        except zmq.Again:
            self.dropped_messages += 1
            return
        except zmq.ZMQError as error:
            self.dropped_messages += 1
            _LOG.warning('could not send to %r: %s', address, error)
            return
        self.sent_messages += 1
        self.sent_bytes += len(encoded)

    def _push_socket(self, address: str) -> zmq.Socket[bytes]:
        push_socket = self._push_sockets.get(address)
        if push_socket is None:
            push_socket = self._context.socket(zmq.PUSH)
            push_socket.setsockopt(zmq.LINGER, 0)
            push_socket.setsockopt(zmq.SNDHWM, _SEND_QUEUE_MESSAGES)
            push_socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
            push_socket.setsockopt(
                zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_INTERVAL_MS
            )
            push_socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
            push_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
            push_socket.setsockopt(zmq.TCP_MAXRT, _HEARTBEAT_TIMEOUT_MS)
            self._connect(push_socket, address)
            self._push_sockets[address] = push_socket
        return push_socket

    def _connect(self, push_socket: zmq.Socket[bytes], address: str) -> None:
        try:
            push_socket.connect(f'tcp://{address}')
        except zmq.ZMQError:
            push_socket.close(0)
            raise

    async def _receive_bytes(self) -> bytes:
        # The descriptor of a ZeroMQ socket is edge-triggered, so messages that
        # have already arrived must be read before each wait.
        while not int(self._pull_socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            await _read_wait(self._pull_socket.FD)
        return bytes(self._pull_socket.recv(zmq.NOBLOCK))
