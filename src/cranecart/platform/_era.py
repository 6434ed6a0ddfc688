"""The store's era, which rises when the store is restored from a backup."""

from collections.abc import Mapping

import attrs

from cranecart.logs import log_decision

_HEADER = 'store-era'
# No store is restored a billion times; longer numbers are no valid era.
_MAX_DIGITS = 9


@attrs.define
class StoreEra:
    """The highest era in any answer of the store.

    Answers on different connections may arrive out of order: one with a lower
    era was sent before the store was restored.
    """

    _current: int | None = attrs.field(default=None, init=False)

    @property
    def current(self) -> int:
        """Return the highest era, or 0 if no answer has stated one."""
        return self._current or 0

    def record(self, headers: Mapping[str, str]) -> int:
        """Record the era in an answer's headers and return it.

        An answer that states no valid era is assumed to be of the highest one.
        """
        era = _parse_era(headers.get(_HEADER, ''))
        if era is None:
            return self.current
        if self._current is not None and era > self._current:
            log_decision('store_restored', earlier=self._current, era=era)
        self._current = max(era, self.current)
        return era


def _parse_era(text: str) -> int | None:
    is_number = text.isdecimal() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None
