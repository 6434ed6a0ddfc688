"""Hold requests briefly after this process was stopped; no I/O, no clock."""

import attrs

# Shorter pauses do not endanger the bound of 5 s for the last request to an
# evacuated target: one second is allowed for an evacuation to reach the nodes.
_MAX_PAUSE_SECONDS = 3.0
# Messages that arrived during the pause are read within some milliseconds of
# the event loop.
_CATCH_UP_SECONDS = 0.1


@attrs.define
class ResumeGuard:
    """Makes a process that was stopped read its messages before it sends.

    Answers the load that waits in the sockets of a node that was frozen: its
    requests are handled in any order with the news that arrived meanwhile.
    Without calls of ``record_awake``, or if it is not enabled, nothing is held.
    """

    _is_enabled: bool = True

    _awake_at: float = attrs.field(default=float('inf'), init=False)
    _hold_until: float = attrs.field(default=0, init=False)

    def record_awake(self, now: float) -> None:
        """Record that the process runs; called a few times a second."""
        if self._is_enabled and now - self._awake_at > _MAX_PAUSE_SECONDS:
            self._hold_until = now + _CATCH_UP_SECONDS
        self._awake_at = now

    def seconds_to_wait(self, now: float) -> float:
        """Return for how long a request must not be sent yet."""
        if self._awake_at < now:
            self.record_awake(now)
        return max(0, self._hold_until - now)
