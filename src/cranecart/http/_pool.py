"""A connection pool, and single exchanges without one."""

from collections import defaultdict
from collections.abc import Callable

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.exceptions import PeerTimeoutError
from cranecart.http._client import CONNECT_TIMEOUT_SECONDS, HttpConnection
from cranecart.http._messages import Address, Request, Response
from cranecart.http._response_memory import ResponseMemory

_MAX_IDLE = 32


@attrs.define
class HttpConnectionPool:
    """Idle connections by address.

    An acquired connection serves one request at a time until it is released.
    ``_memory`` bounds what is kept of the responses, if it is given.
    """

    _tcp_keepalive: bool = False
    _connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    _memory: ResponseMemory | None = None
    _idle: dict[Address, list[HttpConnection]] = attrs.field(
        factory=lambda: defaultdict(list),
        init=False,
    )

    async def acquire(
        self, address: Address, *, require_new: bool = False
    ) -> HttpConnection:
        """Return an idle connection or open a new one."""
        idle = self._idle.get(address)
        while idle and not require_new:
            connection = idle.pop()
            if connection.has_no_pending_input():
                return connection
            await connection.close()
        return await HttpConnection.open(
            address,
            self._connect_timeout_seconds,
            tcp_keepalive=self._tcp_keepalive,
            memory=self._memory,
        )

    async def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        idle = self._idle[connection.address]
        if connection.is_reusable and len(idle) < _MAX_IDLE:
            connection.reset()
            idle.append(connection)
        else:
            await connection.close()

    async def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            await connection.close()

    async def close_all_idle(self) -> None:
        """Close the idle connections to all addresses."""
        for address in list(self._idle):
            await self.close_idle(address)


def _no_check() -> None:
    """Let the request be sent."""


async def exchange(
    address: Address,
    request: Request,
    seconds: float,
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    check_connected: Callable[[], object] = _no_check,
) -> Response:
    """Send one request on a new connection and return the response.

    ``check_connected`` is called right before sending, and may raise.
    Raise ``ConnectFailedError`` if nothing was sent, ``PeerTimeoutError`` or
    ``ConnectionBrokenError`` if something may have been.
    """
    connection = await HttpConnection.open(
        address,
        min(seconds, connect_timeout_seconds),
    )
    try:
        check_connected()
        return await curio.timeout_after(
            seconds, _send_and_read, connection, request
        )
    except TaskTimeout as error:
        raise PeerTimeoutError(
            f'{address} did not answer within {seconds} s',
        ) from error
    finally:
        await connection.close()


async def _send_and_read(
    connection: HttpConnection, request: Request
) -> Response:
    await connection.send(request)
    head = await connection.read_head()
    return Response(head.status, head.headers, await connection.read_body())
