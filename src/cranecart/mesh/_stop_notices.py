"""Notices of stopped replicas, repeated until they reach every node."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.mesh._messages import Stopped

# Twelve heartbeats, so that a notice lost with a relay, or on a connection that has
# stopped delivering (detected after 1.5 s), arrives by another path.
_REPEAT_SECONDS = 3.0
# Well beyond the time of repetition, so that a notice repeated by another node
# is still recognized and does not circulate for ever.
_RETENTION_SECONDS = 30.0


@attrs.define
class StopNotices:
    """Notices of stopped replicas, with the time of their arrival."""

    _clock: Callable[[], float] = since_boot
    _received: dict[tuple[str, int, bool], tuple[Stopped, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def add(self, message: Stopped) -> bool:
        """Add a notice; return whether it is new."""
        key = (message.replica, message.epoch, message.finishes)
        if key in self._received:
            return False
        self._received[key] = (message, self._clock())
        return True

    def to_repeat(self) -> list[Stopped]:
        """Return the notices to repeat in the next heartbeat."""
        if not self._received:
            return []
        now = self._clock()
        self._received = {
            key: (message, added_at)
            for key, (message, added_at) in self._received.items()
            if now - added_at < _RETENTION_SECONDS
        }
        return [
            message
            for message, added_at in self._received.values()
            if now - added_at < _REPEAT_SECONDS
        ]
