"""Bound the memory that is held for clients that do not read."""

import contextlib
import socket
from collections.abc import Callable, Iterable, Iterator

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.http._resets import reset_on_close

# A client that has accepted nothing for this long does not read. The kernel
# sends a lost packet again after at least 0.2 s, and then after twice the time.
# Until then a response can hold no more than the link brings in this time.
_UNREAD_SECONDS = 0.5
# How much of a response the kernel accepts beyond what the client can receive.
# By default it accepts up to 4 MB for each client that does not read: 200
# unread streams held 253 MB, which count as the node's memory although its
# process does not see them.
_UNSENT_BYTES = 16384
# Receive buffer of a connection to a target, which fills up while the client
# reads nothing. The kernel doubles it for its own overhead. It lets a target
# send 1.3 MB/s at a round trip of 50 ms, as much as a node's link carries.
TARGET_RECEIVE_BYTES = 65536
# What an unread response holds besides the bytes to write: twice the buffers
# above, as the kernel counts their overhead too.
_OVERHEAD_BYTES = 2 * (_UNSENT_BYTES + TARGET_RECEIVE_BYTES)
# A chunk is held as received, as split into events, and as encoded.
_COPIES = 3


@attrs.define(eq=False)
class UnreadResponse:
    """A response whose client does not read.

    ``since`` is when the client last accepted bytes, ``size`` the number of
    bytes to write, ``ends_at`` when nobody waits for it any more. ``note_cut``
    is called with the seconds unread if it is cut.
    """

    since: float
    size: int
    sock: curio.io.Socket
    note_cut: Callable[[float], None]
    ends_at: float = float('inf')

    @property
    def held_bytes(self) -> int:
        """Return how much memory is held for it, at most."""
        return self.size * _COPIES + _OVERHEAD_BYTES


def responses_to_cut(
    responses: Iterable[UnreadResponse], limit_bytes: float
) -> Iterator[UnreadResponse]:
    """Yield the responses to cut so that the others fit into the limit.

    The load is clients that stop reading while others go on, each of which
    holds some hundred kilobytes until it leaves. The longest unread is cut
    first: its client is the least likely to go on, and the target cuts off
    responses that stay unread anyway.
    """
    longest_first = sorted(responses, key=lambda response: response.since)
    remaining_bytes = sum(response.held_bytes for response in longest_first)
    for response in longest_first:
        if remaining_bytes <= limit_bytes:
            return
        remaining_bytes -= response.held_bytes
        yield response


@attrs.define
class UnreadResponses:
    """Sends bytes to clients and cuts off unread responses over a limit.

    ``_limit_bytes`` returns the limit in force, or ``None`` for no limit.
    """

    _limit_bytes: Callable[[], float | None]
    cut_count: int = attrs.field(default=0, init=False)
    _unread: dict[UnreadResponse, None] = attrs.field(factory=dict, init=False)

    @property
    def response_count(self) -> int:
        """Return the number of responses that are unread now."""
        return len(self._unread)

    @property
    def held_bytes(self) -> int:
        """Return how much memory is held for all unread responses, at most."""
        return sum(response.held_bytes for response in self._unread)

    def prepare(self, sock: curio.io.Socket) -> None:
        """Limit what the kernel buffers for a new connection."""
        if self._limit_bytes() is None:
            return
        # A kernel without this option only buffers more.
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
            )

    async def send_all(
        self,
        sock: curio.io.Socket,
        encoded: bytes,
        note_cut: Callable[[float], None],
        seconds_left: float | None = None,
    ) -> None:
        """Send bytes; raise ``OSError`` if the client left or was cut off.

        With a limit, a response that is unread when ``seconds_left`` have
        passed is cut off too.
        """
        if self._limit_bytes() is None:
            await sock.sendall(encoded)
            return
        started = since_boot()
        ends_at = (
            float('inf') if seconds_left is None else started + seconds_left
        )
        unsent = memoryview(encoded)
        while unsent:
            try:
                count = await curio.timeout_after(
                    _UNREAD_SECONDS, sock.send, unsent
                )
            except TaskTimeout:
                response = UnreadResponse(
                    since_boot() - _UNREAD_SECONDS,
                    len(encoded),
                    sock,
                    note_cut,
                    ends_at,
                )
                count = await self._send_unread(response, unsent)
            unsent = unsent[count:]

    async def _send_unread(
        self, response: UnreadResponse, unsent: memoryview
    ) -> int:
        self._unread[response] = None
        try:
            await self._enforce_limit()
            count: int = await curio.timeout_after(
                max(0, response.ends_at - since_boot()),
                response.sock.send,
                unsent,
            )
        except TaskTimeout as error:
            await self._cut(response)
            raise BrokenPipeError('unread until its deadline') from error
        finally:
            self._unread.pop(response, None)
        return count

    async def _enforce_limit(self) -> None:
        limit = self._limit_bytes()
        if limit is not None:
            for response in list(responses_to_cut(self._unread, limit)):
                await self._cut(response)

    async def _cut(self, response: UnreadResponse) -> None:
        """Reset a response's connection, which makes its task fail to send."""
        self._unread.pop(response, None)
        self.cut_count += 1
        response.note_cut(since_boot() - response.since)
        reset_on_close(response.sock)
        with contextlib.suppress(OSError):
            await response.sock.shutdown(socket.SHUT_RDWR)
