"""A file in which stand-ins record events, as JSON lines.

Tests check the nodes' behaviour against it.
"""

import os
import time
from pathlib import Path
from typing import Any

import attrs
import msgspec


@attrs.define
class EventRecord:
    """Appends events to a file that several processes may share.

    Each line is a single ``write`` to a file opened for appending, so that
    lines of different processes don't interleave. Without a file it discards
    the events.
    """

    source: str
    _descriptor: int | None

    @classmethod
    def from_path(cls, source: str, path: str) -> 'EventRecord':
        """Open the file; with an empty path, events are discarded."""
        if not path:
            return cls(source, None)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        return cls(source, os.open(path, flags))

    def write(self, event: str, **fields: object) -> None:
        """Append one event with the monotonic time, which processes share."""
        if self._descriptor is None:
            return
        line = msgspec.json.encode(
            {
                'at': time.monotonic(),
                'source': self.source,
                'event': event,
                **fields,
            },
        )
        os.write(self._descriptor, b'%b\n' % line)


def read_record(path: Path) -> list[dict[str, Any]]:
    """Return all events of a record file, ordered by time."""
    if not path.exists():
        return []
    events = map(msgspec.json.decode, path.read_bytes().splitlines())
    return sorted(events, key=lambda event: event['at'])
