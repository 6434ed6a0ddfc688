"""Fetch the list of instances from a peer while the platform is down."""

from collections.abc import Callable, Sequence

import attrs
import msgspec

from cranecart.gossip._entries import Message, MessageKind
from cranecart.gossip._sender import GossipSender
from cranecart.instances import Instance

Instances = Sequence[Instance]


@attrs.define
class ListExchange:
    """Requests the list while this node has none; answers requests."""

    _sender: GossipSender
    _read_local: Callable[[], Instances]
    _accept: Callable[[Instances], object]

    def request_if_missing(self, address: str) -> None:
        """Request the list from a node if this node has none."""
        if not self._read_local():
            self._sender.send(address, MessageKind.LIST_REQUEST)

    def respond(self, message: Message) -> None:
        """Send the local list, if any, to the node that requested it."""
        instances = self._read_local()
        if instances:
            self._sender.send(
                message.address,
                MessageKind.LIST_RESPONSE,
                payload=msgspec.msgpack.encode(instances),
            )

    def receive(self, message: Message) -> None:
        """Accept a received list if this node still has none."""
        if not self._read_local():
            self._accept(
                msgspec.msgpack.decode(message.payload, type=list[Instance]),
            )
