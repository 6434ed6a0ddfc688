"""What must reach every node, repeated until it surely has."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.mesh._messages import Stopped

# Twelve beats, so that a message lost with a relay, or on a connection that
# carries nothing any more (found after 1.5 s), comes by another way.
_TELL_SECONDS = 3.0
# Long after nobody repeats it any more, so that none goes round for ever.
_REMEMBER_SECONDS = 30.0


@attrs.define
class StopNotices:
    """The replicas that were said to have stopped, and since when."""

    _clock: Callable[[], float] = since_boot
    _since: dict[tuple[str, int, bool], tuple[Stopped, float]] = attrs.field(
        factory=dict,
        init=False,
    )

    def note(self, message: Stopped) -> bool:
        """Take a message over; return whether it is news."""
        key = (message.replica, message.epoch, message.finishes)
        if key in self._since:
            return False
        self._since[key] = (message, self._clock())
        return True

    def recent(self) -> list[Stopped]:
        """Return what is to be repeated now."""
        if not self._since:
            return []
        now = self._clock()
        self._since = {
            key: (message, since)
            for key, (message, since) in self._since.items()
            if now - since < _REMEMBER_SECONDS
        }
        return [
            message
            for message, since in self._since.values()
            if now - since < _TELL_SECONDS
        ]
