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

    _stall_seconds: Callable[[str], float]
    _clock: Callable[[], float] = since_boot
    _active_streams: Counter[Hashable] = attrs.field(
        factory=Counter, init=False
    )
    _last_event_at: dict[Hashable, float] = attrs.field(
        factory=dict, init=False
    )

    @contextlib.contextmanager
    def track_stream(
        self, name: Hashable
    ) -> Generator['StreamActivity', None, None]:
        """Follow a stream of an instance; it counts from its first event."""
        stream = StreamActivity(self, name)
        try:
            yield stream
        finally:
            if stream.has_started:
                self._remove_stream(name)

    def record_event(self, name: Hashable, is_first: bool) -> None:
        """Take over that a stream of an instance brought something."""
        self._active_streams[name] += is_first
        self._last_event_at[name] = self._clock()

    def is_stalled(self, name: Hashable, model: str) -> bool:
        """Tell whether an instance gives none of its streams anything."""
        if self._active_streams[name] < _LEAST_STREAMS:
            return False
        silence = self._clock() - self._last_event_at[name]
        return silence > _FACTOR * self._stall_seconds(model)

    def _remove_stream(self, name: Hashable) -> None:
        self._active_streams[name] -= 1
        if self._active_streams[name] <= 0:
            self._active_streams.pop(name)
            self._last_event_at.pop(name, None)


@attrs.define
class StreamActivity:
    """One stream's part in what is known of its instance."""

    _detector: StallDetector
    _name: Hashable
    has_started: bool = attrs.field(default=False, init=False)

    def record_event(self) -> None:
        """Take over that the stream brought something."""
        self._detector.record_event(self._name, not self.has_started)
        self.has_started = True
