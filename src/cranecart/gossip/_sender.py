"""Send messages with entries piggybacked."""

from typing import Any

import attrs

from cranecart.gossip._entries import Entry, Message, MessageKind, Topic
from cranecart.gossip._members import Members, member_key
from cranecart.gossip._store import EntryStore
from cranecart.transport import PeerTransport


@attrs.define
class GossipSender:
    """Sends messages of this node, with entries chosen for the receiver."""

    members: Members
    store: EntryStore
    _transport: PeerTransport[Message]

    def send(self, address: str, kind: MessageKind, **fields: Any) -> None:
        """Send a message with the entries that its receiver needs.

        ``fields`` are further fields of the ``Message``.
        """
        self._send(address, kind, self._entries_for(address), fields)

    def send_full_state(self, address: str) -> None:
        """Send all entries of this node."""
        self._send(address, MessageKind.ACK, self.store.all_entries(), {})

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
        self._transport.send(address, message)

    def _entries_for(self, address: str) -> tuple[Entry, ...]:
        domain_addresses = self.members.addresses()
        if address in domain_addresses:
            return self.store.next_pending(len(domain_addresses) + 1)
        # Unknown nodes and those of other failure domains get only this node's
        # member entry and the topics that cross failure domains.
        own = self.store.get(member_key(self.members.node_id))
        return (
            *([own] if own else []),
            *self.store.of_topic(Topic.SUMMARY),
            *self.store.of_topic(Topic.CASE),
        )
