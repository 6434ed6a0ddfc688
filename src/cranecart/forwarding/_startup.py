"""Let requests wait for a node that has just started.

Load answered: all nodes lose power at once and come back within a second,
while their clients ask anew; a kill of one node, to which its balancer goes on
sending for some seconds. Refused at once, every request of that second is lost,
as clients ask only twice; what waits is served late.
"""

from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    NoReplicaError,
    NotInformedError,
    RequestError,
)

# On half a core a node has read what it must know within half a second of its
# start; one that has not meets a store that is slow or away, for seconds.
_MAX_WAIT_SECONDS = 1.2
# Of the time that its client has left, so that there is enough to be served.
_MAX_DEADLINE_FRACTION = 0.5
_POLL_SECONDS = 0.01
_RETRY_AFTER_SECONDS = 0.5


@attrs.define
class StartupGate:
    """Lets requests through once the node knows where they may go."""

    _is_informed: Callable[[], bool] = attrs.field(default=lambda: True)
    _clock: Callable[[], float] = since_boot
    _started_at: float = attrs.field(init=False)

    async def wait(self, deadline_seconds: float | None) -> None:
        """Return once the node knows enough, or waiting does not pay."""
        wait_until = self._started_at + _MAX_WAIT_SECONDS
        if deadline_seconds is not None:
            wait_until = min(
                wait_until,
                self._clock() + _MAX_DEADLINE_FRACTION * deadline_seconds,
            )
        while not self._is_informed() and self._clock() < wait_until:
            await curio.sleep(_POLL_SECONDS)

    def error_for_client(self, error: RequestError) -> RequestError:
        """Return what to tell: who has not read of replicas denies none."""
        if self._is_informed() or not isinstance(error, NoReplicaError):
            return error
        return NotInformedError(
            'this node has not read yet which replicas serve',
            retry_after=_RETRY_AFTER_SECONDS,
        )

    @_started_at.default
    def _now(self) -> float:
        return self._clock()
