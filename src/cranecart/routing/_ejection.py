"""Pass over targets that keep failing, for a while and never all of them."""

import time
from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

import attrs


class Named(Protocol):
    """Anything that is told apart by an id."""

    @property
    def id(self) -> str:
        """Return the id."""


Target = TypeVar('Target', bound=Named)

_FAILURES = 3
_FIRST_SECONDS = 1.0
_LONGEST_SECONDS = 8.0


@attrs.define
class _Record:
    failures: int = 0
    until: float = 0


@attrs.define
class Ejection:
    """Failures in a row by target; each one more doubles the time out."""

    _clock: Callable[[], float] = time.monotonic
    _records: dict[str, _Record] = attrs.field(factory=dict, init=False)

    def failed(self, name: str, *, reached: bool = True) -> None:
        """Count a failure that was the target's.

        One that could not be reached at all is passed over at once.
        """
        record = self._records.setdefault(name, _Record())
        record.failures += 1
        if not reached:
            record.failures = max(record.failures, _FAILURES)
        over = record.failures - _FAILURES
        if over >= 0:
            seconds = min(_LONGEST_SECONDS, _FIRST_SECONDS * 2**over)
            record.until = self._clock() + seconds

    def succeeded(self, name: str) -> None:
        """Forget a target's failures."""
        self._records.pop(name, None)

    def without_ejected(self, targets: Iterable[Target]) -> list[Target]:
        """Return the targets in good standing, or all if none is."""
        every = list(targets)
        now = self._clock()
        good = [one for one in every if not self._is_out(one.id, now)]
        return good or every

    def _is_out(self, name: str, now: float) -> bool:
        record = self._records.get(name)
        return record is not None and record.until > now
