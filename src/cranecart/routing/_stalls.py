"""Detect replicas that have stopped sending events on all streams; no I/O.

A replica that lost a member, or is cut off from this node, goes on accepting
requests and answers none of them; requests that were sent there missed their
objective. The silence of one stream says little, as it may wait for the
prompts of others. Where several streams have begun and none of them delivers an
event, the replica is stalled.
"""

import contextlib
from collections import Counter
from collections.abc import Callable, Generator, Hashable

import attrs

from cranecart.clocks import since_boot
from cranecart.routing._responses import LastResponses

# Streams that must all be silent.
_MIN_STREAMS = 2
# The events of a replica's streams come close together: their gaps are no
# longer than the 99th percentile of the gaps within one stream. Half as much
# again is a clear stall.
_STALL_FACTOR = 1.5


@attrs.define
class StallDetector:
    """The time of each replica's last event, and its number of begun streams.

    ``responses`` are those of all targets, whether they are streams or not.
    ``_stall_seconds`` returns how many seconds a model's stream may be silent.
    """

    _stall_seconds: Callable[[str], float]
    _clock: Callable[[], float] = since_boot
    responses: LastResponses = attrs.field(
        default=attrs.Factory(
            lambda detector: LastResponses(detector._clock), takes_self=True
        ),
        init=False,
    )
    _active_streams: Counter[Hashable] = attrs.field(
        factory=Counter, init=False
    )
    _last_event_at: dict[Hashable, float] = attrs.field(
        factory=dict, init=False
    )

    @contextlib.contextmanager
    def track_stream(
        self, key: Hashable
    ) -> Generator['StreamActivity', None, None]:
        """Track a stream of a replica, which counts from its first event."""
        stream = StreamActivity(self, key)
        try:
            yield stream
        finally:
            if stream.has_started:
                self.remove_stream(key)

    def record_event(self, key: Hashable, is_first: bool) -> None:
        """Record an event on a stream of a replica."""
        self._active_streams[key] += is_first
        self._last_event_at[key] = self._clock()

    def is_stalled(self, key: Hashable, model: str) -> bool:
        """Return whether a replica has stopped sending on all its streams."""
        if self._active_streams[key] < _MIN_STREAMS:
            return False
        silence = self._clock() - self._last_event_at[key]
        return silence > _STALL_FACTOR * self._stall_seconds(model)

    def has_heard(self, key: Hashable, since: float) -> bool:
        """Return whether a target has begun a response, or sent an event, since."""
        has_event = self._last_event_at.get(key, float('-inf')) >= since
        return has_event or self.responses.has_begun(key, since)

    def has_events_since(
        self, since: float, is_relevant: Callable[[Hashable], bool]
    ) -> bool:
        """Return whether any relevant replica has sent an event since."""
        return any(
            at >= since and is_relevant(key)
            for key, at in self._last_event_at.items()
        )

    def remove_stream(self, key: Hashable) -> None:
        """Record that a begun stream has ended or is not read at present."""
        self._active_streams[key] -= 1
        if self._active_streams[key] <= 0:
            self._active_streams.pop(key)
            self._last_event_at.pop(key, None)


@attrs.define
class StreamActivity:
    """Reports the events of one stream to the detector."""

    _detector: StallDetector
    _key: Hashable
    has_started: bool = attrs.field(default=False, init=False)

    def record_event(self) -> None:
        """Record that the stream has delivered an event."""
        self._detector.record_event(self._key, not self.has_started)
        self.has_started = True

    @contextlib.contextmanager
    def exclude(self) -> Generator[None, None, None]:
        """Exclude the begun stream while its events are sent to the client.

        Nothing is read from the replica meanwhile. If the client does not read,
        the silence would otherwise be taken for a stall of the replica.
        """
        self._detector.remove_stream(self._key)
        try:
            yield
        finally:
            self._detector.record_event(self._key, is_first=True)
