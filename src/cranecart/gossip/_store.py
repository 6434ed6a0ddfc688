"""The entries that a node holds, and what is left to be passed on."""

import heapq
import math
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from cranecart.gossip._entries import Entry, EntryKey, Topic

_SPREAD_FACTOR = 2
_MAX_PER_MESSAGE = 48
# Told again at times, or bounded in number: not asked for where it is missing.
_PASSING = frozenset((Topic.SUMMARY, Topic.DEMAND, Topic.CASE))


@attrs.define
class EntryStore:
    """Last-writer-wins entries with a queue of news for the next messages.

    ``digest`` is equal on two nodes that hold the same lasting entries.
    """

    _entries: dict[EntryKey, Entry] = attrs.field(factory=dict, init=False)
    _news: dict[EntryKey, int] = attrs.field(factory=dict, init=False)
    digest: int = attrs.field(default=0, init=False)
    member_changes: int = attrs.field(default=0, init=False)

    def get(self, key: EntryKey) -> Entry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def of_topic(self, topic: Topic) -> Iterator[Entry]:
        """Yield the entries of a topic."""
        return (
            entry
            for entry in self._entries.values()
            if entry.key.topic is topic
        )

    def every(self) -> tuple[Entry, ...]:
        """Return all entries."""
        return tuple(self._entries.values())

    def accept(self, entry: Entry) -> bool:
        """Take an entry if it is newer; return whether it was."""
        known = self._entries.get(entry.key)
        if known is not None and known.version >= entry.version:
            return False
        self._count(known)
        self._count(entry)
        self.member_changes += entry.key.topic is Topic.MEMBER
        self._entries[entry.key] = entry
        self._news[entry.key] = 0
        return True

    def forget(self, keys: Iterable[EntryKey]) -> None:
        """Drop entries, without telling anybody."""
        for key in list(keys):
            known = self._entries.pop(key, None)
            self._news.pop(key, None)
            self.member_changes += key.topic is Topic.MEMBER
            self._count(known)

    def next_news(self, nodes: int) -> tuple[Entry, ...]:
        """Return the news for one message, the least often sent first.

        News is dropped after being sent a multiple of the logarithm of the
        number of nodes, by when all have it with high probability; digests
        find the few that have not.
        """
        limit = _SPREAD_FACTOR * math.ceil(math.log2(nodes + 1))
        chosen = heapq.nsmallest(
            _MAX_PER_MESSAGE,
            self._news,
            key=self._news.__getitem__,
        )
        for key in chosen:
            self._news[key] += 1
            if self._news[key] >= limit:
                self._news.pop(key)
        return tuple(self._entries[key] for key in chosen)

    def _count(self, entry: Entry | None) -> None:
        """Take an entry into the digest, or out of it again.

        What is published again and again anyway is left out: it differs
        between any two nodes at most times, and need not be asked for.
        """
        if entry is not None and entry.key.topic not in _PASSING:
            self.digest ^= _mark(entry)


def _mark(entry: Entry) -> int:
    key = entry.key
    name: tuple[Any, ...] = (
        key.topic.value,
        key.subject,
        key.origin,
        *map(int, entry.version),
    )
    return zlib.crc32(repr(name).encode())
