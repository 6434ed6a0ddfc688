"""A target in a process of its own that records what it is asked to run.

Usage: python -m tests.lib.recorded_target RECORD_FILE SLOTS EVENTS

It prints its address, then serves streams of so many events and plain calls. A
request beyond its slots is refused as not run, and one whose client has gone
away is stopped. Each line of the record has a time of the monotonic clock, what
happened and the request's id; that of ``expires`` is until when it may work.
"""

import contextlib
import json
import os
import socket
import sys
import time

import attrs
import curio

from tests.lib.fake_targets import Exchange, FakeTarget

_EVENT_SECONDS = 0.04
_CALL_SECONDS = 1.0
_MILLISECONDS = 1000
_REFUSED = 503
_REFUSAL_LINES = 'not-executed: full\r\nretry-after: 1\r\n'
_ORDER = '/order'
_STREAM = '/stream/'


@attrs.define
class RecordedTarget:
    """Serves requests in its slots and writes a line about each step."""

    _record_file: int
    _slots: int
    _events: int
    _running: int = attrs.field(default=0, init=False)

    async def serve(self, exchange: Exchange) -> None:
        """Answer an order, or run or refuse a request."""
        if exchange.target == _ORDER:
            self._record('ordered', exchange.body.decode())
            await exchange.answer(b'{}', request_id='order')
            return
        request_id = exchange.headers['request-id']
        self._record('arrived', request_id)
        given = float(exchange.headers['deadline-ms']) / _MILLISECONDS
        self._record('expires', request_id, time.monotonic() + given)
        if self._running >= self._slots:
            self._record('refused', request_id)
            await exchange.answer(b'', _REFUSED, extra=_REFUSAL_LINES)
            return
        self._running += 1
        self._record('began', request_id)
        try:
            await self._run(exchange)
        finally:
            self._running -= 1
            self._record('ended', request_id)

    async def _run(self, exchange: Exchange) -> None:
        is_stream = exchange.target.startswith(_STREAM)
        work = self._stream if is_stream else _call
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(work, exchange)
            await tasks.spawn(_wait_closed, exchange)

    async def _stream(self, exchange: Exchange) -> None:
        first = int(exchange.headers.get('last-event-id') or 0) + 1
        with contextlib.suppress(OSError):
            await exchange.start_stream()
            for number in range(first, self._events + 1):
                await exchange.events(number, number)
                await curio.sleep(_EVENT_SECONDS)
            await exchange.end_stream()

    def _record(self, what: str, about: str, at: float | None = None) -> None:
        line = json.dumps([at or time.monotonic(), what, about])
        # At once, as the process may be killed.
        os.write(self._record_file, f'{line}\n'.encode())


async def _call(exchange: Exchange) -> None:
    await curio.sleep(_CALL_SECONDS)
    with contextlib.suppress(OSError):
        await exchange.answer(exchange.headers['request-id'].encode())


async def _wait_closed(exchange: Exchange) -> None:
    """Return once the client has closed, and leave what it sends unread."""
    with contextlib.suppress(OSError):
        await exchange.sock.recv(1, socket.MSG_PEEK)


async def _serve(record: str, slots: int, events: int) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    target = RecordedTarget(os.open(record, flags), slots, events)
    server = FakeTarget(record, target.serve)
    sys.stdout.write(f'{server.address}\n')
    sys.stdout.flush()
    await server.run()


if __name__ == '__main__':
    record, slots, events = sys.argv[1:]
    curio.run(_serve, record, int(slots), int(events))
