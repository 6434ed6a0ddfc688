"""Write log lines to standard output without blocking."""

import contextlib
import logging
import os
import select
import sys
import time
import zlib
from collections import deque
from collections.abc import Callable, Mapping
from typing import Self

import attrs
import curio
import msgspec

from cranecart.clocks import since_boot

_FLUSH_SECONDS = 0.1
# About two seconds of output at a node's highest log rate.
_MAX_QUEUED_LINES = 4000
# What a pipe with any room takes without blocking.
_MAX_BLOCK_BYTES = select.PIPE_BUF
_CRC_RANGE = 1 << 32  # noqa: WPS432
_ENCODER = msgspec.json.Encoder(enc_hook=str)


class LogQueue(logging.Handler):
    """Queues lines until they can be written; drops and counts the excess."""

    def __init__(self, node: str, file_descriptor: int) -> None:
        """Start with an empty queue."""
        super().__init__()
        self.dropped = 0
        self.written_bytes = 0
        self._node = node
        self._descriptor = file_descriptor
        self._lines: deque[bytes] = deque()
        # Taken from the queue, but not written yet.
        self._block = b''
        self._reported_dropped = 0

    @classmethod
    def to_standard_output(cls, node: str) -> Self:
        """Return a queue that writes to standard output."""
        return cls(node, sys.stdout.fileno())

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record as a JSON object."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        fields = getattr(record, 'fields', None)
        if fields is None:
            fields = {
                'event': 'log',
                'level': record.levelname,
                'logger': record.name,
                'text': record.getMessage(),
            }
            if record.exc_info and record.exc_info[1] is not None:
                fields['error'] = self._format_error(record)
        line = {'time': round(record.created, 4), 'node': self._node, **fields}
        self._lines.append(_encode(line))

    async def run(self) -> None:
        """Write queued lines periodically until cancelled."""
        try:
            while True:
                await curio.sleep(_FLUSH_SECONDS)
                self.write_queued()
        finally:
            self.write_queued()

    def write_queued(self) -> None:
        """Write as much as standard output accepts without blocking.

        A reader that stalls or is gone must not stop the node: what is not
        written waits in the queue.
        """
        self._report_drops()
        with contextlib.suppress(OSError):
            while self._fill_block() and self._is_writable():
                self._write_block()

    def write_rest(self, seconds: float) -> None:
        """Write all lines, waiting up to ``seconds`` for a slow reader."""
        deadline = since_boot() + seconds
        self.write_queued()
        with contextlib.suppress(OSError):
            while self._fill_block() and self._is_writable(
                max(0, deadline - since_boot())
            ):
                self._write_block()

    def _fill_block(self) -> bool:
        """Return whether there is anything to write."""
        block = bytearray(self._block)
        while self._lines and len(block) < _MAX_BLOCK_BYTES:
            block += self._lines.popleft()
        self._block = bytes(block)
        return bool(block)

    def _write_block(self) -> None:
        written = os.write(self._descriptor, self._block[:_MAX_BLOCK_BYTES])
        self.written_bytes += written
        self._block = self._block[written:]

    def _report_drops(self) -> None:
        newly_dropped = self.dropped - self._reported_dropped
        if newly_dropped and len(self._lines) < _MAX_QUEUED_LINES:
            self._reported_dropped = self.dropped
            line = {
                'time': round(time.time(), 4),
                'node': self._node,
                'event': 'log_lines_dropped',
                'lines': newly_dropped,
            }
            self._lines.append(_encode(line))

    def _is_writable(self, wait_seconds: float = 0) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], wait_seconds)
        return bool(writable)

    def _format_error(self, record: logging.LogRecord) -> str:
        formatter = logging.Formatter()
        return formatter.formatException(record.exc_info or ())  # type: ignore[arg-type]


def _encode(line: dict[str, object]) -> bytes:
    return b'%b\n' % _ENCODER.encode(line)


def set_up_log_queue(level: str, node: str) -> LogQueue:
    """Send all logs to a queue for standard output; return the queue."""
    log_queue = LogQueue.to_standard_output(node)
    root = logging.getLogger()
    root.handlers = [log_queue]
    set_log_level(level)
    # Curio warns if a call ends just as its timeout fires, which is handled.
    logging.getLogger('curio').setLevel(logging.ERROR)
    return log_queue


def set_log_level(level: str) -> None:
    """Set the minimum level of the lines that are logged."""
    logging.getLogger().setLevel(level.upper())


_DECISIONS = logging.getLogger('cranecart.decisions')


_TracedLine = tuple[float, str, dict[str, object]]


def sampling_position(request_id: str) -> float:
    """Return where in [0, 1) a request's id lies.

    An unremarkable request is logged if this is below the configured fraction.
    """
    return zlib.crc32(request_id.encode()) / _CRC_RANGE


@attrs.define
class RequestTrace:
    """Log lines of one request, written together or not at all.

    A notable request is always logged, whatever its outcome, and from then on
    at once: a process that is killed writes nothing at the end.
    ``describe_progress`` returns how far it has come, for a line on its end.
    """

    request_id: str
    is_notable: bool = attrs.field(default=False, init=False)
    describe_progress: Callable[[], Mapping[str, object]] = attrs.field(
        default=dict, init=False
    )
    _lines: list[_TracedLine] = attrs.field(
        factory=list,
        init=False,
    )

    def add(self, event: str, **fields: object) -> None:
        """Buffer one decision until the trace is written or discarded."""
        self._lines.append((time.time(), event, fields))
        if self.is_notable:
            self.write()

    def write(self) -> None:
        """Log all decisions of the request, each with its own timestamp."""
        for at, event, fields in self._lines:
            _DECISIONS.info(
                event,
                extra={
                    'fields': {
                        'event': event,
                        'request': self.request_id,
                        'at': round(at, 4),
                        **fields,
                    },
                },
            )
        self._lines.clear()
