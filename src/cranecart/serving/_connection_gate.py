"""Decide whether a node takes another new connection; no I/O.

Answers a balancer that sends most new connections to one node: what that node
cannot serve is better tried elsewhere at once.
"""

from collections.abc import Callable

import attrs

from cranecart.clocks import RunningClock
from cranecart.logs import log_decision

# Half of the usual objective for a first event, which passes before it is sent.
_MAX_DELAY_SECONDS = 0.1
# One in so many is taken in any case, as a node that takes none would seem dead.
_ADMITTED_TURN = 4


@attrs.define
class ConnectionGate:
    """Closes new connections unread while the node's own work is late.

    ``closed_unread`` counts them. Without other live nodes all are taken.
    """

    _clock: RunningClock
    _has_live_peers: Callable[[], bool]
    closed_unread: int = attrs.field(default=0, init=False)
    _turn: int = attrs.field(default=0, init=False)
    _is_closing: bool = attrs.field(default=False, init=False)

    def admits(self) -> bool:
        """Return whether a new connection is taken."""
        delay = self._clock.own_delay_seconds
        is_late = delay >= _MAX_DELAY_SECONDS and self._has_live_peers()
        if is_late != self._is_closing:
            self._is_closing = is_late
            log_decision(
                'connections_closed_unread' if is_late else 'connections_taken',
                delay=round(delay, 3),
                closed=self.closed_unread,
            )
        if not is_late:
            return True
        self._turn += 1
        if self._turn % _ADMITTED_TURN == 0:
            return True
        self.closed_unread += 1
        return False
