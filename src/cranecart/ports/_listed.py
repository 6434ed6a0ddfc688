"""Instances as the platform lists them, and the replicas they say they form."""

import enum
from collections.abc import Mapping, Sequence
from typing import Generic, Protocol, TypeVar

import attrs

from cranecart.http import Address

Item = TypeVar('Item')


class MemberPhase(enum.Enum):
    """How far an instance has come as a member of a replica."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@attrs.frozen
class Membership:
    """The replica that an instance says it belongs to; rank 0 is its head."""

    replica: str
    epoch: int
    rank: int
    phase: MemberPhase

    def belongs_to(self, replica: str, epoch: int) -> bool:
        """Tell whether this is a membership of one forming of a replica."""
        return self.replica == replica and self.epoch == epoch


@attrs.frozen
class Incarnation:
    """One run of an instance, which may restart under the same id.

    ``born`` distinguishes incarnations: the start time in ms by the clock of
    the instance, 0 if it reports none. Clocks may be set back, so it does not
    order incarnations.
    """

    id: str
    born: int = 0

    def differs_from(self, incarnation: 'Incarnation') -> bool:
        """Tell whether two incarnations are known to be different."""
        return (
            bool(self.born and incarnation.born)
            and self.born != incarnation.born
        )


@attrs.frozen
class ListedInstance:
    """What the platform lists about one incarnation of an instance.

    ``loaded`` and ``staged`` name models: in the accelerators, where that of
    the last membership stays, and on the host, from where loading is quick.
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
    born: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that the entry belongs to."""
        return Incarnation(self.id, self.born)

    def phase_in(self, replica: str, epoch: int) -> MemberPhase | None:
        """Return how far it has come in a replica, if it is a member."""
        found = self.membership
        if found is None or not found.belongs_to(replica, epoch):
            return None
        return found.phase


@attrs.frozen
class Snapshot(Generic[Item]):
    """Everything a source holds as of one version, by key."""

    version: int
    items: Mapping[str, Item]


@attrs.frozen
class Changes(Generic[Item]):
    """What changed up to a version; no item means that it is gone."""

    version: int
    items: Mapping[str, Item | None]


class Source(Protocol[Item]):
    """Something that can be read whole and then followed by changes.

    Both methods raise ``PlatformUnavailableError``; ``changes`` raises
    ``HistoryLostError`` where only reading whole helps.
    """

    async def snapshot(self) -> 'Snapshot[Item]':
        """Read everything."""

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> 'Changes[Item]':
        """Wait for changes after a version; without any, return none."""


class Orders(Protocol):
    """Orders to engine instances.

    Each returns once the instance took the order or already follows it.
    Each raises ``OrderRefusedError``, ``OrderUnknownError`` where it may
    have been taken or may be carried out later, ``TargetNotListeningError``, or
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
        """Let a ready replica serve."""

    async def close(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a replica finish what it has and take nothing new."""

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
        """Bring a model to an instance's host beside its other work."""
