"""What followers of the same source share with each other."""

import enum
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import attrs

from cranecart.clocks import since_boot

Item = TypeVar('Item')

# Length of a long poll of a node that other nodes rely on: every answer shows
# that it still reaches the store.
SHARED_POLL_SECONDS = 0.5

# Called with items by key, ``None`` for a removed item, and whether the items
# are the complete contents of the source.
ItemsConsumer = Callable[[Mapping[str, Item | None], bool], None]
# Called with all items of a store that was restored from a backup.
RestoredItemsConsumer = Callable[[Mapping[str, Item]], None]


class Extent(enum.Enum):
    """How much of a source an update covers."""

    # Only what has changed.
    CHANGES = 'changes'
    # The contents of a store that was just restored from a backup; items that
    # it lacks may still exist.
    RESTORED = 'restored'
    # The complete contents.
    COMPLETE = 'whole'


@attrs.frozen
class SourceUpdate(Generic[Item]):
    """What a node has read from a source, as of ``version``.

    ``items`` are the differences from the contents at the version ``since``,
    that of the last change before. Applied to those contents, they yield what
    ``extent`` states. If the update was read as a snapshot and not as changes,
    the contents had not changed between ``since`` and ``until``.
    """

    since: int
    version: int
    items: Mapping[str, Item | None]
    extent: Extent = Extent.CHANGES
    until: int = 0


@attrs.frozen
class UpdateSharing(Generic[Item]):
    """How nodes share the updates of one reader instead of all reading.

    ``announced_version`` returns the version of the last change announced by
    a node that reaches the store, or ``None`` if this node has to read for
    itself. ``publish`` sends to other nodes what this node has read. A read
    waits up to ``poll_seconds`` for changes. ``min_interval_seconds`` returns
    the current minimum time between two reads, ``takeover_rank`` the position
    of this node in the order in which nodes replace a reader that has stopped.
    ``clock`` measures how long the reader has been silent.
    """

    announced_version: Callable[[], int | None]
    publish: Callable[[SourceUpdate[Item]], None]
    poll_seconds: float = SHARED_POLL_SECONDS
    min_interval_seconds: Callable[[], float] = float
    takeover_rank: Callable[[], int] = int
    clock: Callable[[], float] = since_boot
