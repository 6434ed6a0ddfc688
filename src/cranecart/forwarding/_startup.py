"""Delay requests until a node that has just started can route them.

This covers a power loss of all nodes that ends within a second while clients
retry, and a killed node to which its load balancer keeps sending for some
seconds. Clients retry only once, so rejecting requests at once would lose all
of that second; requests that wait are answered late.
"""

from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    NoReplicaError,
    ReplicasUnknownError,
    RequestError,
)

# With half a CPU core a node has read its state within 0.5 s of its start. If
# it has not, the store is slow or unavailable, which lasts for seconds.
_MAX_WAIT_SECONDS = 1.2
# Share of the client's remaining time that may be spent waiting; the rest is
# left for the request itself.
_MAX_DEADLINE_FRACTION = 0.5
_POLL_SECONDS = 0.01
_RETRY_AFTER_SECONDS = 0.5


@attrs.define
class StartupGate:
    """Delays requests until the node has read its routing state."""

    _is_informed: Callable[[], bool] = attrs.field(default=lambda: True)
    _clock: Callable[[], float] = since_boot
    _started_at: float = attrs.field(init=False)
    _waiting_count: int = attrs.field(default=0, init=False)

    async def wait(
        self,
        deadline_seconds: float | None,
        is_late: Callable[[], bool] = bool,
    ) -> None:
        """Return once the node is informed or the longest wait is over.

        Of the requests that waited, those that miss their objective already
        (``is_late``, asked at the end) return after all others.
        """
        if self._is_informed():
            return
        self._waiting_count += 1
        try:
            await self._wait_until_informed(deadline_seconds)
        finally:
            self._waiting_count -= 1
        while is_late() and self._waiting_count and self._is_informed():
            await curio.sleep(_POLL_SECONDS)

    def error_for_client(self, error: RequestError) -> RequestError:
        """Return the error that the client gets.

        Until the node has read the list of replicas, ``NoReplicaError`` is
        replaced, as replicas may well exist.
        """
        if self._is_informed() or not isinstance(error, NoReplicaError):
            return error
        return ReplicasUnknownError(
            'this node has started and has not read the list of replicas yet',
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def _wait_until_informed(
        self, deadline_seconds: float | None
    ) -> None:
        wait_until = self._started_at + _MAX_WAIT_SECONDS
        if deadline_seconds is not None:
            wait_until = min(
                wait_until,
                self._clock() + _MAX_DEADLINE_FRACTION * deadline_seconds,
            )
        while not self._is_informed() and self._clock() < wait_until:
            await curio.sleep(_POLL_SECONDS)

    @_started_at.default
    def _now(self) -> float:
        return self._clock()
