"""The entries that a node stores, and which of them are still to be sent."""

import heapq
import math
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from cranecart.gossip._entries import Entry, EntryKey, Topic

_RETRANSMIT_FACTOR = 2
_MAX_ENTRIES_PER_MESSAGE = 48
# Entries of these topics are published again periodically or bounded in number,
# so a missing one does not require a full sync.
_UNDIGESTED_TOPICS = frozenset((Topic.SUMMARY, Topic.DEMAND, Topic.CASE))


@attrs.define
class EntryStore:
    """Last-writer-wins entries, with those pending for the next messages.

    ``digest`` is equal on two nodes that hold the same entries, apart from the
    topics that it leaves out. ``member_changes`` counts the changes of member
    entries, so that callers know when to rebuild what they derive from them.
    """

    _entries: dict[EntryKey, Entry] = attrs.field(factory=dict, init=False)
    _send_counts: dict[EntryKey, int] = attrs.field(factory=dict, init=False)
    digest: int = attrs.field(default=0, init=False)
    member_changes: int = attrs.field(default=0, init=False)

    def get(self, key: EntryKey) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        return self._entries.get(key)

    def of_topic(self, topic: Topic) -> Iterator[Entry]:
        """Yield the entries of a topic."""
        return (
            entry
            for entry in self._entries.values()
            if entry.key.topic is topic
        )

    def all_entries(self) -> tuple[Entry, ...]:
        """Return all entries."""
        return tuple(self._entries.values())

    def accept(self, entry: Entry) -> bool:
        """Store an entry if it is newer; return whether it was."""
        known = self._entries.get(entry.key)
        if known is not None and known.version >= entry.version:
            return False
        self._toggle_in_digest(known)
        self._toggle_in_digest(entry)
        self.member_changes += entry.key.topic is Topic.MEMBER
        self._entries[entry.key] = entry
        self._send_counts[entry.key] = 0
        return True

    def remove(self, keys: Iterable[EntryKey]) -> None:
        """Remove entries locally, without notifying other nodes."""
        for key in list(keys):
            known = self._entries.pop(key, None)
            self._send_counts.pop(key, None)
            self.member_changes += key.topic is Topic.MEMBER
            self._toggle_in_digest(known)

    def next_pending(self, node_count: int) -> tuple[Entry, ...]:
        """Return the pending entries for one message, least often sent first.

        An entry stops being pending once the number of times it was sent
        reaches a multiple of the logarithm of the number of nodes; by then all
        nodes have it with high probability, and digests reveal those that do
        not.
        """
        limit = _RETRANSMIT_FACTOR * math.ceil(math.log2(node_count + 1))
        chosen = heapq.nsmallest(
            _MAX_ENTRIES_PER_MESSAGE,
            self._send_counts,
            key=self._send_counts.__getitem__,
        )
        for key in chosen:
            self._send_counts[key] += 1
            if self._send_counts[key] >= limit:
                self._send_counts.pop(key)
        return tuple(self._entries[key] for key in chosen)

    def _toggle_in_digest(self, entry: Entry | None) -> None:
        """Add an entry to the digest, or remove it from the digest.

        Topics that are published periodically are left out: they differ
        between any two nodes most of the time and need no full sync.
        """
        if entry is not None and entry.key.topic not in _UNDIGESTED_TOPICS:
            self.digest ^= _checksum(entry)


def _checksum(entry: Entry) -> int:
    key = entry.key
    identity: tuple[Any, ...] = (
        key.topic.value,
        key.subject,
        key.origin,
        *map(int, entry.version),
    )
    return zlib.crc32(repr(identity).encode())
