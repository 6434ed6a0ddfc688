"""Back-off times that targets request from this node."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation


@attrs.define
class BackoffRegistry:
    """The back-offs that targets requested from this node, by incarnation.

    A later request can extend a back-off but not shorten it, as responses
    overtake each other. A success does not end it, as its request was sent
    before.
    """

    _clock: Callable[[], float] = since_boot
    _until: dict[Incarnation, float] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return the number of targets with a recorded back-off."""
        return len(self._until)

    def record(self, incarnation: Incarnation, seconds: float) -> None:
        """Record that a target requests a back-off from now on."""
        until = self._clock() + seconds
        previous = self._until.get(incarnation, 0)
        self._until[incarnation] = max(previous, until)
        log_decision(
            'target_rest',
            instance=incarnation.id,
            born=incarnation.born,
            seconds=seconds,
            left=round(self.remaining_seconds(incarnation), 3),
        )

    def remaining_seconds(self, incarnation: Incarnation) -> float:
        """Return the remaining seconds of a target's back-off, 0 if none."""
        until = self._until.get(incarnation)
        return 0 if until is None else max(0, until - self._clock())

    def prune(self) -> None:
        """Drop the back-offs that have ended."""
        now = self._clock()
        for incarnation, until in list(self._until.items()):
            if until <= now:
                self._until.pop(incarnation)
                log_decision(
                    'target_rest_over',
                    instance=incarnation.id,
                    born=incarnation.born,
                )
