"""Targets with few free slots, which refuse what they cannot run at once."""

from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import curio

from tests.lib.fake_targets import Exchange, Script

_REFUSED = 'not-executed: 1\r\nretry-after: 1\r\n'
_UNAVAILABLE = 503


@attrs.define
class SlotLimits:
    """Refuses requests beyond the slots of a target, as not run.

    ``arrivals`` counts what each request sent to any target, ``refusals`` what
    was refused, ``most_at_once`` the most targets that ran a request at once.
    """

    slots: int
    arrivals: Counter[str] = attrs.field(factory=Counter, init=False)
    refusals: int = attrs.field(default=0, init=False)
    most_at_once: int = attrs.field(default=0, init=False)
    _used: Counter[int] = attrs.field(factory=Counter, init=False)
    _running: Counter[str] = attrs.field(factory=Counter, init=False)

    @property
    def repeated_arrivals(self) -> int:
        """Return the number of arrivals beyond the first of each request."""
        return self.arrivals.total() - len(self.arrivals)

    def limit(self, target: int, script: Script) -> Script:
        """Return a script that runs another one while a slot is free."""

        async def limited(exchange: Exchange) -> None:  # noqa: WPS430
            request_id = exchange.headers['request-id']
            self.arrivals[request_id] += 1
            if self._used[target] >= self.slots:
                self.refusals += 1
                await exchange.answer(b'', status=_UNAVAILABLE, extra=_REFUSED)
                return
            await self._run(target, request_id, script, exchange)

        return limited

    async def _run(
        self, target: int, request_id: str, script: Script, exchange: Exchange
    ) -> None:
        self._used[target] += 1
        self._running[request_id] += 1
        self.most_at_once = max(self.most_at_once, self._running[request_id])
        try:
            await script(exchange)
        finally:
            self._used[target] -= 1
            self._running[request_id] -= 1


def answer_after(
    seconds: float, body: bytes = b'done'
) -> Callable[[Exchange], Awaitable[None]]:
    """Return a script that sends a complete response after some time."""

    async def answer(exchange: Exchange) -> None:  # noqa: WPS430
        await curio.sleep(seconds)
        await exchange.answer(body)

    return answer
