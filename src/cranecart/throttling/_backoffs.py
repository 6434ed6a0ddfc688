"""Until when targets want nothing of this node."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import decision
from cranecart.ports import Incarnation


@attrs.define
class BackoffRegistry:
    """The rests that targets have asked this node for, by life.

    A later one makes a rest longer and never shorter, as answers pass each
    other; no success ends it, as those come of requests sent before it.
    """

    _clock: Callable[[], float] = since_boot
    _until: dict[Incarnation, float] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return how many targets rest."""
        return len(self._until)

    def record(self, incarnation: Incarnation, seconds: float) -> None:
        """Take over that a target asks for so many seconds from now on."""
        until = self._clock() + seconds
        earlier = self._until.get(incarnation, 0)
        self._until[incarnation] = max(earlier, until)
        decision(
            'target_rest',
            instance=incarnation.id,
            born=incarnation.born,
            seconds=seconds,
            left=round(self.remaining_seconds(incarnation), 3),
        )

    def remaining_seconds(self, incarnation: Incarnation) -> float:
        """Return for how long a target still rests, 0 if it does not."""
        until = self._until.get(incarnation)
        return 0 if until is None else max(0, until - self._clock())

    def prune(self) -> None:
        """Forget the rests that are over."""
        now = self._clock()
        for incarnation, until in list(self._until.items()):
            if until <= now:
                self._until.pop(incarnation)
                decision(
                    'target_rest_over',
                    instance=incarnation.id,
                    born=incarnation.born,
                )
