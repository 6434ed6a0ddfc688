"""Which replicas have fallen silent as a whole; no I/O.

Load answered: a replica that lost a member, or is cut off from this node, goes
on taking requests while it answers none of them. Requests went on being sent
there for over a second, and each lost its objective. One stream's silence says
little, as a stream may wait for others' prompts; where several streams are due
and not one event comes, the replica stands still for this node.
"""

import contextlib
from collections import Counter
from collections.abc import Callable, Generator, Hashable

import attrs

from cranecart.clocks import since_boot

# Streams whose events must all stay away.
_LEAST_STREAMS = 2
# A replica's events come together, at most as far apart as those of its
# streams do in all but one of a hundred cases; half as long again is clear.
_FACTOR = 1.5


@attrs.define
class StallDetector:
    """When each replica last gave an event, and how many streams are due.

    ``_suspect_seconds`` tells how long a stream of a model may be silent.
    """

    _suspect_seconds: Callable[[str], float]
    _clock: Callable[[], float] = since_boot
    _due: Counter[Hashable] = attrs.field(factory=Counter, init=False)
    _at: dict[Hashable, float] = attrs.field(factory=dict, init=False)

    @contextlib.contextmanager
    def following(
        self, name: Hashable
    ) -> Generator['StreamActivity', None, None]:
        """Follow a stream of an instance; it counts from its first event."""
        stream = StreamActivity(self, name)
        try:
            yield stream
        finally:
            if stream.is_due:
                self._end(name)

    def beat(self, name: Hashable, is_first: bool) -> None:
        """Take over that a stream of an instance brought something."""
        self._due[name] += is_first
        self._at[name] = self._clock()

    def is_still(self, name: Hashable, model: str) -> bool:
        """Tell whether an instance gives none of its streams anything."""
        if self._due[name] < _LEAST_STREAMS:
            return False
        silence = self._clock() - self._at[name]
        return silence > _FACTOR * self._suspect_seconds(model)

    def _end(self, name: Hashable) -> None:
        self._due[name] -= 1
        if self._due[name] <= 0:
            self._due.pop(name)
            self._at.pop(name, None)


@attrs.define
class StreamActivity:
    """One stream's part in what is known of its instance."""

    _pulse: StallDetector
    _name: Hashable
    is_due: bool = attrs.field(default=False, init=False)

    def beat(self) -> None:
        """Take over that the stream brought something."""
        self._pulse.beat(self._name, not self.is_due)
        self.is_due = True
