"""The store's era, which rises when the store comes back from a copy."""

from collections.abc import Mapping

import attrs

from cranecart.logs import decision

_HEADER = 'store-era'
# No store has come back a milliard times; longer numbers are no era.
_MOST_DIGITS = 9


@attrs.define
class StoreEra:
    """The latest era that any answer of the store has told.

    Answers on different connections may pass each other, so that a lower
    era comes from an answer that was made earlier.
    """

    _current: int | None = attrs.field(default=None, init=False)

    @property
    def current(self) -> int:
        """Return the latest era, 0 while no answer has told one."""
        return self._current or 0

    def note(self, headers: Mapping[str, str]) -> int:
        """Take over an answer's era and return it.

        An answer that tells none is taken to be of the latest one.
        """
        told = _read(headers.get(_HEADER, ''))
        if told is None:
            return self.current
        if self._current is not None and told > self._current:
            decision('store_restored', earlier=self._current, era=told)
        self._current = max(told, self.current)
        return told


def _read(text: str) -> int | None:
    is_number = text.isdecimal() and len(text) <= _MOST_DIGITS
    return int(text) if is_number else None
