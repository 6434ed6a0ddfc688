"""Cut a stream into whole events and remember the id of the last one."""

import itertools
import re
from collections.abc import Sequence

import attrs

from cranecart.exceptions import TargetBrokenError

_EVENT_END = b'\n\n'
_ID_LINE = re.compile(rb'^id: ?(.*)$', re.MULTILINE)


@attrs.define
class EventCutter:
    """Holds back what has come of an event that is not whole yet."""

    last_id: str = ''
    events: int = 0
    _rest: bytes = b''
    # Whether ids must rise: from the first attempt at a stream on, over all
    # the targets that it moves between.
    _is_ordered: bool = False

    @property
    def is_between_events(self) -> bool:
        """Tell whether nothing of an event is held back."""
        return not self._rest

    def feed(self, piece: bytes) -> bytes:
        """Take what one read brought; return the whole events in it.

        Raise ``TargetBrokenError`` where a stream that should go on behind
        the last event starts over: a caller would get events twice.
        """
        held = self._rest + piece if self._rest else piece
        end = held.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._rest = held
            return b''
        self._rest = held[end:]
        whole = held[:end]
        self.events += whole.count(_EVENT_END)
        ids = _ID_LINE.findall(whole)
        if ids:
            self._check_order(ids)
            self.last_id = ids[-1].decode('latin-1').strip()
        return whole

    def restart(self) -> None:
        """Drop what is held back, as its stream has broken off."""
        self._rest = b''
        self._is_ordered = True

    def _check_order(self, ids: Sequence[bytes]) -> None:
        if not self._is_ordered:
            return
        named = [self.last_id, *(one.decode('latin-1').strip() for one in ids)]
        numbers = [int(one) for one in named if one.isdecimal()]
        if any(later <= one for one, later in itertools.pairwise(numbers)):
            raise TargetBrokenError(
                f'its events fall back behind {self.last_id}',
            )
