"""Listed instances, their replica memberships, and orders to them."""

import enum
from collections.abc import Mapping, Sequence
from typing import Generic, Protocol, TypeVar

import attrs

from cranecart.http import Address
from cranecart.ports._numbers import CounterInt

Item = TypeVar('Item')


class MemberPhase(enum.Enum):
    """The state of an instance's membership in a replica."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@attrs.frozen
class Membership:
    """An instance's reported membership; the member of rank 0 is the head."""

    replica: str
    epoch: CounterInt
    rank: CounterInt
    phase: MemberPhase

    def belongs_to(self, replica: str, epoch: int) -> bool:
        """Return whether this is a membership in this epoch of a replica."""
        return self.replica == replica and self.epoch == epoch


@attrs.frozen
class Incarnation:
    """One run of an instance, which may restart under the same id.

    ``born`` distinguishes incarnations: the start time in ms by the clock of
    the instance, 0 if it reports none. Clocks may be set back, so it does not
    order incarnations.
    """

    id: str
    born: CounterInt = 0

    def differs_from(self, incarnation: 'Incarnation') -> bool:
        """Return whether two incarnations are known to be different."""
        return (
            bool(self.born and incarnation.born)
            and self.born != incarnation.born
        )


@attrs.frozen
class ListedInstance:
    """What the platform lists about one incarnation of an instance.

    ``loaded`` names the models in accelerator memory; that of the last
    membership stays loaded. ``staged`` names those cached in host memory, which
    load faster. ``cold_seconds`` is how long it stays cold from when the entry
    was read, ``None`` if it does not say so.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    leaving: bool = False
    fabric_domain: str = ''
    loaded: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    born: CounterInt = 0
    cold_seconds: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that the entry belongs to."""
        return Incarnation(self.id, self.born)

    def phase_in(self, replica: str, epoch: int) -> MemberPhase | None:
        """Return its phase in a replica, or ``None`` if it is not a member."""
        membership = self.membership
        if membership is None or not membership.belongs_to(replica, epoch):
            return None
        return membership.phase


@attrs.frozen
class Snapshot(Generic[Item]):
    """All items of a source as of one version, by key."""

    version: int
    items: Mapping[str, Item]


@attrs.frozen
class Changes(Generic[Item]):
    """Items changed up to a version; ``None`` marks a deleted item."""

    version: int
    items: Mapping[str, Item | None]


class Source(Protocol[Item]):
    """A collection that can be read in full and then watched for changes.

    Both methods raise ``PlatformUnavailableError``; ``changes`` raises
    ``HistoryLostError`` if a full read is needed.
    """

    async def snapshot(self) -> 'Snapshot[Item]':
        """Read all items."""

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> 'Changes[Item]':
        """Wait for changes after a version; return none on timeout."""

    @property
    def is_receiving_changes(self) -> bool:
        """Return whether the changes waited for have begun to arrive."""


class Orders(Protocol):
    """Orders to engine instances.

    Each returns once the instance accepted the order or already follows it.
    Each raises ``OrderRefusedError``, ``OrderUnknownError`` if the order may
    have been accepted or may be executed later, ``TargetNotListeningError``, or
    ``TargetGoneError``.
    """

    async def join(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        fencing: int,
    ) -> None:
        """Make an instance a member; the first member is the head."""

    async def open(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a ready replica accept requests."""

    async def close(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a replica finish its requests and accept no new ones."""

    async def leave(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """End a membership at once."""

    async def stage(
        self,
        instance: ListedInstance,
        model: str,
        fencing: int,
    ) -> None:
        """Load a model into host memory without stopping other work."""
