"""Cut a stream into whole events and remember the id of the last one."""

import itertools
import re
from collections.abc import Sequence

import attrs

from cranecart.exceptions import TargetBrokenError

_EVENT_END = b'\n\n'
_ID_FIELD = re.compile(rb'^id: ?(.*)$', re.MULTILINE)


@attrs.define
class EventSplitter:
    """Holds back what has come of an event that is not whole yet."""

    last_id: str = ''
    event_count: int = 0
    _partial: bytes = b''
    # Whether ids must rise: from the first attempt at a stream on, over all
    # the targets that it moves between.
    _requires_ascending_ids: bool = False

    @property
    def is_between_events(self) -> bool:
        """Tell whether nothing of an event is held back."""
        return not self._partial

    def feed(self, chunk: bytes) -> bytes:
        """Take what one read brought; return the whole events in it.

        Raise ``TargetBrokenError`` where a stream that should go on behind
        the last event starts over: a caller would get events twice.
        """
        buffered = self._partial + chunk if self._partial else chunk
        complete_end = buffered.rfind(_EVENT_END) + len(_EVENT_END)
        if complete_end < len(_EVENT_END):
            self._partial = buffered
            return b''
        self._partial = buffered[complete_end:]
        complete = buffered[:complete_end]
        self.event_count += complete.count(_EVENT_END)
        ids = _ID_FIELD.findall(complete)
        if ids:
            self._check_ids_ascend(ids)
            self.last_id = ids[-1].decode('latin-1').strip()
        return complete

    def restart(self) -> None:
        """Drop what is held back, as its stream has broken off."""
        self._partial = b''
        self._requires_ascending_ids = True

    def _check_ids_ascend(self, ids: Sequence[bytes]) -> None:
        if not self._requires_ascending_ids:
            return
        ids_so_far = [
            self.last_id,
            *(one.decode('latin-1').strip() for one in ids),
        ]
        numbers = [int(one) for one in ids_so_far if one.isdecimal()]
        if any(later <= one for one, later in itertools.pairwise(numbers)):
            raise TargetBrokenError(
                f'its events fall back behind {self.last_id}',
            )
