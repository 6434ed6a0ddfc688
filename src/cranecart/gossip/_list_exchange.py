"""Get the list of instances from a peer while the platform is away."""

from collections.abc import Callable, Sequence

import attrs
import msgspec

from cranecart.gossip._entries import Message, MessageKind
from cranecart.gossip._sender import GossipSender
from cranecart.instances import Instance

Instances = Sequence[Instance]


@attrs.define
class ListExchange:
    """Asks a peer while this node has no list; gives to whoever asks."""

    _speaker: GossipSender
    _read: Callable[[], Instances]
    _take: Callable[[Instances], object]

    def ask(self, address: str) -> None:
        """Ask a node for its list, if there is none here."""
        if not self._read():
            self._speaker.send(address, MessageKind.LIST_ASK)

    def give(self, message: Message) -> None:
        """Answer a node that asked."""
        held = self._read()
        if held:
            self._speaker.send(
                message.address,
                MessageKind.LIST_GIVE,
                payload=msgspec.msgpack.encode(held),
            )

    def receive(self, message: Message) -> None:
        """Take a list, as long as there is none here."""
        if not self._read():
            self._take(
                msgspec.msgpack.decode(message.payload, type=list[Instance]),
            )
