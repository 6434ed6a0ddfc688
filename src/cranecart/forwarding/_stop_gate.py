"""Refuse requests that a stopping node could not finish.

Answers a planned stop beside which clients still send: on connections that are
open, with requests begun earlier, or as the load balancer has not noticed yet.
Refused at once and not run, a request is served by another node; run and cut, it
is lost, and one that must not run twice cannot be sent again.
"""

from collections.abc import Callable
from typing import Self

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import NodeStoppingError
from cranecart.forwarding._call import RoutedCall

# Weight of a request's duration in the mean of its route.
_MEAN_WEIGHT = 0.1
# Share of the longest recent duration that a shorter request leaves.
_KEPT_FRACTION = 0.95
_MAX_ROUTES = 4096
# The load balancer stops sending to a node after two failed health checks, a
# second apart.
SENDING_SECONDS = 3.0
# Of a shorter grace period, this share counts as the time in which it sends.
_SENDING_FRACTION = 0.5


@attrs.frozen
class _Stop:
    """Until when clients are sent here, and when the node cuts what is left."""

    sent_until: float
    ends_at: float

    @classmethod
    def of_period(cls, began_at: float, ends_at: float) -> Self:
        """Return the stop of a grace period."""
        seconds = min(SENDING_SECONDS, _SENDING_FRACTION * (ends_at - began_at))
        return cls(began_at + seconds, ends_at)


@attrs.frozen
class _Durations:
    """The mean and the longest of recent durations, in seconds."""

    mean: float
    longest: float

    def updated(self, seconds: float) -> Self:
        """Return them with one more."""
        return attrs.evolve(
            self,
            mean=self.mean + _MEAN_WEIGHT * (seconds - self.mean),
            longest=max(seconds, _KEPT_FRACTION * self.longest),
        )


@attrs.define
class StopGate:
    """Knows how long the requests of each route take, and when the node stops.

    While clients are still sent here, all that probably ends in time is taken,
    and then what ends in time if it takes as long as any of late. Times are of
    ``since_boot``, in seconds.
    """

    _clock: Callable[[], float] = since_boot
    _stop: _Stop | None = attrs.field(default=None, init=False)
    _durations: dict[str, _Durations] = attrs.field(factory=dict, init=False)

    def record(self, call: RoutedCall) -> None:
        """Record that a request has been answered just now."""
        route = call.route.name
        seconds = self._clock() - call.started_at
        known = self._durations.pop(route, _Durations(seconds, seconds))
        # The routes used last are at the end.
        self._durations[route] = known.updated(seconds)
        if len(self._durations) > _MAX_ROUTES:
            self._durations.pop(next(iter(self._durations)))

    def stop(self, began_at: float, ends_at: float) -> None:
        """Refuse from now on what would not end by then."""
        self._stop = _Stop.of_period(began_at, ends_at)

    def check(self, call: RoutedCall) -> None:
        """Raise ``NodeStoppingError`` if a request cannot be finished."""
        stop = self._stop
        if stop is None or call.ends_at <= stop.ends_at:
            return
        now = self._clock()
        if now + self._duration(call.route.name, stop, now) > stop.ends_at:
            raise NodeStoppingError(
                f'this node stops in {max(0, stop.ends_at - now):.3f} s; send '
                'the request again, on a new connection'
            )

    def _duration(self, route: str, stop: _Stop, now: float) -> float:
        """Return how long a request has to be expected to take."""
        durations = self._durations.get(route)
        if now < stop.sent_until:
            return 0 if durations is None else durations.mean
        return float('inf') if durations is None else durations.longest
