"""A file to which stand-ins write what truly happened, one JSON a line."""

import os
import time
from pathlib import Path
from typing import Any

import attrs
import msgspec


@attrs.define
class Record:
    """Appends events; many processes may share one file.

    A line is one ``write`` to a file opened for appending, so that lines of
    several processes never mix. Without a file nothing is written.
    """

    source: str
    _descriptor: int | None

    @classmethod
    def from_path(cls, source: str, path: str) -> 'Record':
        """Open the file; an empty path gives a record that keeps nothing."""
        if not path:
            return cls(source, None)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        return cls(source, os.open(path, flags))

    def write(self, event: str, **fields: object) -> None:
        """Append one event with the machine's monotonic time."""
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
    """Return all events of a record file in the order of their times."""
    if not path.exists():
        return []
    events = map(msgspec.json.decode, path.read_bytes().splitlines())
    return sorted(events, key=lambda event: event['at'])
