"""Decide whether a node handles another request of a peer; no I/O.

Answers the load of many nodes whose requests all come to the few that reach
targets: the clients of those come first.
"""

import attrs

# The first events of this node's own clients are delayed by about this much at
# most, far less than objectives.
_MAX_LOOP_DELAY_SECONDS = 0.015
# Weight of the latest measurement, a hundredth of a second apart.
_DELAY_WEIGHT = 0.1
# Each request takes up to some hundred kilobytes of a small node's memory.
_MAX_IN_FLIGHT = 96
# Requests end within about a second.
RETRY_AFTER_SECONDS = 0.3


@attrs.define
class PeerAdmission:
    """Admits requests of peers while this node has time and memory for them.

    ``delay_seconds`` is by how much its own work delays what its event loop has
    to run, smoothed.
    ``in_flight`` is the number of requests of peers that it handles.
    """

    delay_seconds: float = attrs.field(default=0, init=False)
    in_flight: int = attrs.field(default=0, init=False)

    def admits(self) -> bool:
        """Return whether another request may be handled."""
        return (
            self.in_flight < _MAX_IN_FLIGHT
            and self.delay_seconds < _MAX_LOOP_DELAY_SECONDS
        )

    def record_delay(self, seconds: float) -> None:
        """Record by how much own work has just delayed a timer."""
        self.delay_seconds += _DELAY_WEIGHT * (
            max(0, seconds) - self.delay_seconds
        )
