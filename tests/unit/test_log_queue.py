"""What happens to log lines whose reader is slow or gone, and to the node."""

import itertools
import json
import logging
import os
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from cranecart.logs import LogQueue

# Far beyond what writing some hundred lines takes, also on a busy machine.
_TIMEOUT_SECONDS = 5.0
# More than a pipe holds, with the text below.
_LINES = 2000
_TEXT = 'x' * 100
_SHORT_TEXTS = tuple(itertools.repeat(_TEXT, _LINES))
# Longer than a pipe takes at once.
_LONG_TEXT = 'y' * 10000
_READ_BYTES = 4096
_REST_SECONDS = 2.0


def _emit(queue: LogQueue, *texts: str) -> None:
    for text in texts:
        queue.emit(logging.makeLogRecord({'msg': text, 'levelname': 'INFO'}))


def _texts(output: bytes | bytearray) -> list[str]:
    return [json.loads(line)['text'] for line in output.splitlines()]


class LogQueueTest(unittest.TestCase):
    """A queue that writes to a pipe."""

    def setUp(self) -> None:
        """Open a pipe that nobody reads."""
        reader, writer = os.pipe()
        self.reader = reader
        self.queue = LogQueue('n', writer)
        self.is_reader_open = True
        self.addCleanup(os.close, writer)
        self.addCleanup(self._close_reader)

    def test_blocked_by_a_stalled_reader(self) -> None:
        """Writing returns at once, and goes on where it stopped."""
        texts = [f'{number} {_TEXT}' for number in range(_LINES)]
        _emit(self.queue, *texts)
        self._assert_returns(self.queue.write_queued)
        self.assertEqual(_texts(self._read_and_write(_LINES)), texts)

    def test_long_line_at_a_stalled_reader(self) -> None:
        """It is written in parts, without others in between."""
        texts = [f'{number} {_LONG_TEXT}' for number in range(20)]
        _emit(self.queue, *texts)
        self.assertEqual(_texts(self._read_and_write(len(texts))), texts)

    def test_ended_by_a_reader_that_is_gone(self) -> None:
        """The queue goes on, and drops and counts what does not fit."""
        self._close_reader()
        for _turn in range(3):
            _emit(self.queue, *_SHORT_TEXTS)
            self._assert_returns(self.queue.write_queued)
        self.assertGreater(self.queue.dropped, 0)

    def test_last_lines_lost_at_a_slow_reader(self) -> None:
        """The end of the process waits for it, but not for long."""
        texts = [f'{number} {_TEXT}' for number in range(_LINES)]
        _emit(self.queue, *texts)
        output = bytearray()
        reading = threading.Thread(
            target=self._read_slowly, args=(output,), daemon=True
        )
        reading.start()
        self._assert_returns(lambda: self.queue.write_rest(_REST_SECONDS))
        reading.join(_TIMEOUT_SECONDS)
        self.assertEqual(_texts(output), texts)

    def test_end_delayed_by_a_stalled_reader(self) -> None:
        """The process ends without its last lines."""
        _emit(self.queue, *_SHORT_TEXTS)
        started = time.monotonic()
        self._assert_returns(lambda: self.queue.write_rest(0.2))
        self.assertLess(time.monotonic() - started, 1)

    def test_end_of_a_file(self) -> None:
        """All lines are there at once."""
        with tempfile.NamedTemporaryFile() as file:
            queue = LogQueue('n', file.fileno())
            _emit(queue, *_SHORT_TEXTS)
            queue.write_rest(0)
            output = Path(file.name).read_bytes()
        self.assertEqual(_texts(output), list(_SHORT_TEXTS))

    def _read_and_write(self, lines: int) -> bytes:
        """Read until so many lines have come; return them."""
        output = bytearray()
        while output.count(b'\n') < lines:
            self._assert_returns(self.queue.write_queued)
            output += os.read(self.reader, _READ_BYTES)
        return bytes(output)

    def _read_slowly(self, output: bytearray) -> None:
        while output.count(b'\n') < _LINES:
            time.sleep(0.002)
            output += os.read(self.reader, _READ_BYTES)

    def _assert_returns(self, function: Callable[[], None]) -> None:
        """Fail if a function blocks or raises."""
        errors: list[BaseException] = []

        def run() -> None:  # noqa: WPS430
            try:
                function()
            except OSError as error:
                errors.append(error)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(_TIMEOUT_SECONDS)
        is_blocked = thread.is_alive()
        if is_blocked:
            # Ends the blocked write, so that the descriptor can be closed.
            self._close_reader()
            thread.join()
        self.assertFalse(is_blocked, 'writing was blocked')
        self.assertEqual(errors, [])

    def _close_reader(self) -> None:
        if self.is_reader_open:
            self.is_reader_open = False
            os.close(self.reader)
