"""Send messages that carry news."""

from typing import Any

import attrs

from cranecart.gossip._entries import Entry, Message, MessageKind, Topic
from cranecart.gossip._members import Members, member_key
from cranecart.gossip._store import EntryStore
from cranecart.transport import PeerTransport


@attrs.define
class GossipSender:
    """Sends in this node's name; what it sends fits who it is sent to."""

    members: Members
    store: EntryStore
    _link: PeerTransport[Message]

    def send(self, address: str, kind: MessageKind, **fields: Any) -> None:
        """Send a message with the news that its receiver should hear."""
        self._send(address, kind, self._news_for(address), fields)

    def send_everything(self, address: str) -> None:
        """Send all that this node holds."""
        self._send(address, MessageKind.ACK, self.store.every(), {})

    def _send(
        self,
        address: str,
        kind: MessageKind,
        entries: tuple[Entry, ...],
        fields: dict[str, Any],
    ) -> None:
        info = self.members.info
        message = Message(
            kind=kind,
            sender=self.members.node_id,
            address=info.address,
            failure_domain=info.failure_domain,
            digest=self.store.digest,
            entries=entries,
            **fields,
        )
        self._link.send(address, message)

    def _news_for(self, address: str) -> tuple[Entry, ...]:
        near = self.members.addresses()
        if address in near:
            return self.store.next_news(len(near) + 1)
        # Strangers and other failure domains hear who speaks, and little else.
        own = self.store.get(member_key(self.members.node_id))
        return (
            *([own] if own else []),
            *self.store.of_topic(Topic.SUMMARY),
            *self.store.of_topic(Topic.CASE),
        )
