"""Pass over targets that keep failing, for a while and never all of them."""

import operator
from collections.abc import Callable, Hashable, Iterable
from typing import Any, TypeVar

import attrs

from cranecart.clocks import since_boot

Target = TypeVar('Target')
# What tells targets apart: an id, or a life where ids may come again.
Key = Hashable

_FAILURES = 3
_FIRST_SECONDS = 1.0
_LONGEST_SECONDS = 8.0


@attrs.define
class _Record:
    failures: int = 0
    ejected_until: float = 0


@attrs.define
class OutlierEjection:
    """Failures in a row by target; each one more doubles the time out.

    ``_key`` returns what failures of a target are counted under.
    """

    _clock: Callable[[], float] = since_boot
    _key: Callable[[Any], Key] = operator.attrgetter('id')
    _records: dict[Key, _Record] = attrs.field(factory=dict, init=False)

    def record_failure(self, name: Key, *, reached: bool = True) -> None:
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
            record.ejected_until = self._clock() + seconds

    def eject_reported(self, name: Key) -> None:
        """Take over that a target broke another node's connection."""
        record = self._records.setdefault(name, _Record())
        record.ejected_until = max(
            record.ejected_until, self._clock() + _FIRST_SECONDS
        )

    def record_success(self, name: Key) -> None:
        """Forget a target's failures."""
        self._records.pop(name, None)

    def is_ejected(self, name: Key) -> bool:
        """Tell whether a target is passed over now."""
        return self._is_ejected(name, self._clock())

    def without_ejected(self, targets: Iterable[Target]) -> list[Target]:
        """Return the targets in good standing, or all if none is."""
        every = list(targets)
        now = self._clock()
        good = [
            one for one in every if not self._is_ejected(self._key(one), now)
        ]
        return good or every

    def _is_ejected(self, name: Key, now: float) -> bool:
        record = self._records.get(name)
        return record is not None and record.ejected_until > now
