"""Tell of rows that cannot be read, once a change and within a rate."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs._decisions import log_decision

# Rows are named by whoever writes them, so that what is remembered is bounded.
_MOST_REMEMBERED = 256
# A writer whose every row is wrong in another way must not fill the log, which
# holds 4,000 lines: what is over this in a second is counted.
_MOST_A_SECOND = 5


@attrs.define
class UnreadableRowLog:
    """What was said last of each row that could not be read."""

    event: str
    _clock: Callable[[], float] = since_boot
    _said: dict[str, str] = attrs.field(factory=dict, init=False)
    _second: int = attrs.field(default=0, init=False)
    _told: int = attrs.field(default=0, init=False)
    _left_out: int = attrs.field(default=0, init=False)

    def report(self, key: str, why: str) -> None:
        """Log that a row cannot be read, unless that was said."""
        if self._said.get(key) == why:
            return
        self._said[key] = why
        for oldest in list(self._said)[:-_MOST_REMEMBERED]:
            self._said.pop(oldest)
        if not self._has_room():
            self._left_out += 1
            return
        log_decision(self.event, row=key, why=why, left_out=self._left_out)
        self._left_out = 0

    def mark_readable(self, key: str) -> None:
        """Take over that a row can be read, or has gone."""
        self._said.pop(key, None)

    def _has_room(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._told = 0
        self._told += 1
        return self._told <= _MOST_A_SECOND
