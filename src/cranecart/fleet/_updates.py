"""What followers of the same source tell each other."""

import enum
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import attrs

Item = TypeVar('Item')

# Where others depend on what a node reads, each answer shows that its path to
# the store is good.
SHARED_POLL_SECONDS = 0.5

# Takes items by key, ``None`` for one that is gone, and whether the items
# are everything that there is.
ItemsConsumer = Callable[[Mapping[str, Item | None], bool], None]
# Takes all items of a store that has come back from a copy.
RestoredItemsConsumer = Callable[[Mapping[str, Item]], None]


class Extent(enum.Enum):
    """What a reading holds."""

    # What has changed.
    CHANGES = 'changes'
    # All that a store holds that has just come back from a copy; what it lacks
    # may be there all the same.
    RESTORED = 'restored'
    # Everything that there is.
    COMPLETE = 'whole'


@attrs.frozen
class SourceUpdate(Generic[Item]):
    """What a node has read, as of one version.

    It holds what differs from the last change before it, that of the version
    ``since``; with what was known then it gives all that ``extent`` says. Where
    it does not follow a feed, nothing else had changed up to ``until``.
    """

    since: int
    version: int
    items: Mapping[str, Item | None]
    extent: Extent = Extent.CHANGES
    until: int = 0


@attrs.frozen
class UpdateSharing(Generic[Item]):
    """How a follower is spared from reading, and spares others.

    ``announced`` returns the version of the last change that a node with a
    good path to the store tells of, or nothing if this node must read for
    itself; ``pass_on`` takes what this node has read. One read waits for
    changes for ``wait_seconds``; ``gap_seconds`` returns the least time between
    two reads as things stand, ``turn`` which in the row of nodes this one is
    that go on reading once the reader is gone.
    """

    announced_version: Callable[[], int | None]
    publish: Callable[[SourceUpdate[Item]], None]
    wait_seconds: float = SHARED_POLL_SECONDS
    gap_seconds: Callable[[], float] = float
    turn: Callable[[], int] = int
