"""Start the next attempt at a request while a silent one still runs."""

from collections.abc import Awaitable, Callable

import attrs

from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._handover import Handover


@attrs.frozen
class Replacement:
    """Lets another attempt take over from one whose target is silent.

    ``_try_beside`` starts one if that is allowed, and logs why.
    """

    _handover: Handover
    _attempt: Attempt
    _try_beside: Callable[[str], Awaitable[None]]

    @property
    def is_under_way(self) -> bool:
        """Return whether another attempt may take over at any moment."""
        return self._handover.running_count > 1

    async def check(self, reason: str) -> None:
        """Start another attempt if there is a reason to.

        Raise ``TargetAbandonedError`` if another has taken over.
        """
        self._handover.check_running(self._attempt)
        if reason and self._handover.is_newest(self._attempt):
            await self._try_beside(f'{self._attempt.name} {reason}')
