"""One attempt at a request."""

from contextlib import ExitStack

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.peer_calls import Peer
from cranecart.quarantine import AttemptProgress
from cranecart.routing import Target


@attrs.define(eq=False)
class Attempt:
    """One attempt, at a target or through a peer.

    ``withdrawn_at`` is when its retry was withdrawn from the budget, None if it
    was not charged, and ``has_ended`` whether nothing more of its response is
    read. ``task`` is the one that it runs in, None for that of the request.
    ``progress`` is what is known of the target, and the client ``is_paused`` if
    it has left the response unread for a while.
    An attempt that ``is_cancelled`` lost to another one, and one that
    ``is_collected`` has told its result. ``tracking`` counts it at its target,
    from the choice on: requests that choose at the same moment would not see it
    otherwise. ``granted`` is how many more attempts a peer was granted.
    """

    choice: Target | Peer
    withdrawn_at: float | None = None
    progress: AttemptProgress = attrs.field(
        factory=lambda: AttemptProgress(since_boot)
    )
    tracking: ExitStack = attrs.field(factory=ExitStack, init=False)
    granted: int = attrs.field(default=0, init=False)
    is_paused: bool = attrs.field(default=False, init=False)
    is_cancelled: bool = attrs.field(default=False, init=False)
    is_collected: bool = attrs.field(default=False, init=False)
    task: curio.Task | None = attrs.field(default=None, init=False)
    _ended: curio.Event = attrs.field(factory=curio.Event, init=False)

    @property
    def name(self) -> str:
        """Return the name of the target or peer."""
        match self.choice:
            case Peer(name=name):
                return name
            case Target(instance=instance):
                return instance.id

    @property
    def is_charged(self) -> bool:
        """Return whether it was charged to the retry budget."""
        return self.withdrawn_at is not None

    @property
    def target_count(self) -> int:
        """Return how many targets it may have reached."""
        return 1 + self.granted

    @property
    def has_ended(self) -> bool:
        """Return whether nothing more of its response is read."""
        return self._ended.is_set()

    async def end(self) -> None:
        """Record that nothing more of its response is read."""
        await self._ended.set()

    async def wait_ended(self) -> None:
        """Return once nothing more of its response is read."""
        await self._ended.wait()

    async def result(self) -> bool:
        """Return whether it succeeded, once its task has ended.

        From the call on it counts as collected.
        """
        assert self.task is not None
        self.is_collected = True
        await self.task.wait()
        return bool(self.task.result)
