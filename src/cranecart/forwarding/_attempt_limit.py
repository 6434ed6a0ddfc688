"""Keep a request to its route's attempts, over this node and its peers."""

from collections.abc import Awaitable, Callable

import attrs

from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._handover import Handover
from cranecart.forwarding._request_state import RequestState
from cranecart.forwarding._target_choice import TargetChoice


@attrs.define
class AttemptLimit:
    """Counts the targets that may run a request.

    For a peer's request, ``_ask`` asks that peer before each attempt beyond
    those it knows of: it may try a target by itself if it hears no more of this
    node.
    """

    _state: RequestState
    _handover: Handover
    _choice: TargetChoice
    _allowed: int = attrs.field(default=0, init=False)
    _ask: Callable[[], Awaitable[bool]] | None = attrs.field(
        default=None, init=False
    )

    def require_grants(
        self, allowed: int, ask: Callable[[], Awaitable[bool]]
    ) -> None:
        """Ask before each attempt beyond those that are allowed."""
        self._allowed = allowed
        self._ask = ask

    async def is_granted(self) -> bool:
        """Return whether another target may be tried."""
        if self._ask is None:
            return True
        running = self._handover.target_count
        lost = self._choice.lost_count
        target_count = self._state.failures.sent_count + running + lost
        # If so, the next target is one whose attempt was cancelled.
        is_counted = lost and lost >= self._state.attempts_left(running)
        if is_counted or target_count < self._allowed:
            return True
        if await self._ask():
            self._allowed += 1
            return True
        self._state.call.trace.add('attempt_not_granted', targets=target_count)
        return False

    def grant(self, attempt: Attempt) -> bool:
        """Return whether a peer may try another target; count it if so."""
        left = self._state.attempts_left(self._handover.target_count)
        is_granted = left > self._choice.lost_count
        attempt.granted += is_granted
        self._state.call.trace.add(
            'attempt_granted' if is_granted else 'attempt_denied',
            peer=attempt.name,
            left=left,
        )
        return is_granted
