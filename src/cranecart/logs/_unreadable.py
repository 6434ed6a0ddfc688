"""Log unreadable rows once per change and within a rate limit."""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs._decisions import log_decision

# Other writers choose the row keys, so the number remembered is bounded.
_MAX_REMEMBERED_ROWS = 256
# A writer that produces many different errors must not fill the log queue of
# 4,000 lines; lines over this rate are only counted.
_MAX_LINES_PER_SECOND = 5


@attrs.define
class UnreadableRowLog:
    """Logs each unreadable row once, and again when its error changes."""

    event: str
    _clock: Callable[[], float] = since_boot
    _last_errors: dict[str, str] = attrs.field(factory=dict, init=False)
    _second: int = attrs.field(default=0, init=False)
    _logged_in_second: int = attrs.field(default=0, init=False)
    _left_out: int = attrs.field(default=0, init=False)

    def report(self, key: str, why: str) -> None:
        """Log that a row is unreadable, unless its last error was the same."""
        if self._last_errors.get(key) == why:
            return
        self._last_errors[key] = why
        for oldest in list(self._last_errors)[:-_MAX_REMEMBERED_ROWS]:
            self._last_errors.pop(oldest)
        if not self._is_within_rate():
            self._left_out += 1
            return
        log_decision(self.event, row=key, why=why, left_out=self._left_out)
        self._left_out = 0

    def mark_readable(self, key: str) -> None:
        """Discard the error of a row that is readable now or was deleted."""
        self._last_errors.pop(key, None)

    def _is_within_rate(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._logged_in_second = 0
        self._logged_in_second += 1
        return self._logged_in_second <= _MAX_LINES_PER_SECOND
