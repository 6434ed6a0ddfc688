"""Temporarily eject targets that keep failing, but never all of them."""

import operator
from collections.abc import Callable, Hashable, Iterable
from typing import Any, TypeVar

import attrs

from cranecart.clocks import since_boot

Target = TypeVar('Target')
# Identifies a target: an id, or an incarnation where ids are reused.
Key = Hashable

_FAILURE_THRESHOLD = 3
_FIRST_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 8.0


@attrs.define
class _Record:
    failures: int = 0
    silences: int = 0
    ejected_until: float = 0
    reported_until: float = 0


@attrs.define
class OutlierEjection:
    """Counts consecutive failures by target.

    From the third failure on a target is ejected; each further failure doubles
    the ejection time. ``_key`` returns the key under which a target's failures
    are counted.
    """

    _clock: Callable[[], float] = since_boot
    _key: Callable[[Any], Key] = operator.attrgetter('id')
    _records: dict[Key, _Record] = attrs.field(factory=dict, init=False)

    def record_failure(self, key: Key, *, reached: bool = True) -> None:
        """Record a failure that the target caused.

        A target that could not be reached at all is ejected at once.
        """
        record = self._records.setdefault(key, _Record())
        record.failures += 1
        if not reached:
            record.failures = max(record.failures, _FAILURE_THRESHOLD)
        excess = record.failures - _FAILURE_THRESHOLD
        if excess >= 0:
            seconds = min(
                _MAX_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2**excess
            )
            record.ejected_until = self._clock() + seconds

    def record_silence(self, key: Key) -> None:
        """Record a failure that counts until the target sends anything."""
        self.record_failure(key)
        self._records[key].silences += 1

    def record_event(self, key: Key) -> None:
        """Record that a target sends: it was silent, but has not failed."""
        record = self._records.get(key)
        if record is None or not record.silences:
            return
        record.failures -= record.silences
        record.silences = 0
        if record.failures < _FAILURE_THRESHOLD:
            record.ejected_until = 0

    def eject_reported(self, key: Key) -> None:
        """Eject a target that broke another node's connection."""
        record = self._records.setdefault(key, _Record())
        record.reported_until = self._clock() + _FIRST_EJECTION_SECONDS

    def record_success(self, key: Key) -> None:
        """Reset a target's failures."""
        self._records.pop(key, None)

    def is_ejected(self, key: Key) -> bool:
        """Return whether a target is ejected now."""
        return self._is_ejected(key, self._clock())

    def without_ejected(self, targets: Iterable[Target]) -> list[Target]:
        """Return the targets that are not ejected, or all if all are."""
        candidates = list(targets)
        now = self._clock()
        healthy = [
            target
            for target in candidates
            if not self._is_ejected(self._key(target), now)
        ]
        return healthy or candidates

    def _is_ejected(self, key: Key, now: float) -> bool:
        record = self._records.get(key)
        return record is not None and (
            max(record.ejected_until, record.reported_until) > now
        )
