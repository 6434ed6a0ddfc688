"""Send a client's request through another node."""

import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    PeerBrokenError,
    PeerUnreachableError,
    TargetTimeoutError,
)
from cranecart.http import (
    HttpConnection,
    HttpConnectionPool,
    ResponseHead,
    ResponseMemory,
)
from cranecart.peer_calls._choice import Peer, PeerChoice
from cranecart.peer_calls._grants import AttemptGrants
from cranecart.peer_calls._messages import (
    PeerOutcome,
    PeerRequest,
    encode_peer_request,
    outcome_of,
)

AnswerT = TypeVar('AnswerT')

_CONNECT_TIMEOUT_SECONDS = 0.1
# How often a waiting request checks whether its peer is still alive.
_POLL_SECONDS = 0.05
# How long a peer to which a connection failed is not asked again.
_UNREACHABLE_SECONDS = 1.0


async def _keep_waiting(_reason: str) -> None:
    """Try no other peer."""


def _grant_none() -> bool:
    """Allow the peer no attempt beyond its first."""
    return False


@attrs.frozen
class PeerCall:
    """One request at one peer; ``seconds_left`` until its deadline.

    ``check`` is called while the response is awaited, with the reason to try
    another peer as well, or an empty string; it raises ``TargetError`` if this
    one is not needed any more. ``grant`` is called when the peer asks for another
    attempt, and returns whether it may make one.
    """

    peer: Peer
    request: PeerRequest
    may_repeat: bool
    seconds_left: Callable[[], float]
    check: Callable[[str], Awaitable[None]] = _keep_waiting
    grant: Callable[[], bool] = _grant_none


@attrs.frozen
class PeerAnswer:
    """A peer's response: its head and outcome, and how to read its body.

    ``read`` awaits one of the connection's methods, with the limits of the
    call.
    """

    head: ResponseHead
    outcome: PeerOutcome
    connection: HttpConnection


@attrs.define
class PeerClient:
    """Sends requests to peers; ``sent`` counts them since the start.

    ``_memory`` bounds what is kept of their responses.
    """

    choice: PeerChoice
    _memory: ResponseMemory = attrs.field(factory=ResponseMemory)
    grants: AttemptGrants = attrs.field(factory=AttemptGrants)
    sent: int = attrs.field(default=0, init=False)
    _pool: HttpConnectionPool = attrs.field(
        default=attrs.Factory(
            lambda client: HttpConnectionPool(
                connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
                memory=client._memory,
            ),
            takes_self=True,
        ),
        init=False,
    )

    @contextlib.asynccontextmanager
    async def start(self, call: PeerCall) -> AsyncGenerator[PeerAnswer, None]:
        """Send a request and yield the response.

        Raise ``PeerUnreachableError`` if nothing was sent, ``PeerBrokenError``
        or ``TargetTimeoutError`` if the request may have run.
        """
        connection = await self._connect(call)
        self.sent += 1
        try:
            with (
                self.choice.track_in_flight(call.peer),
                self.grants.register(call.grant) as call_id,
            ):
                call.request.call_id = call_id
                call.request.grant_address = self.grants.address
                call.request.update_times(call.seconds_left())
                yield await self._send(call, connection)
        finally:
            await self._pool.release(connection)

    async def read(
        self, call: PeerCall, read: Callable[[], Awaitable[AnswerT]]
    ) -> AnswerT:
        """Await ``read`` until the deadline, or until the connection breaks.

        ``read`` is interrupted and called again, so it must not lose what it
        has read.
        """
        is_reported = False
        while True:
            try:
                return await curio.timeout_after(
                    max(0, min(_POLL_SECONDS, call.seconds_left())), read
                )
            except TaskTimeout:
                is_reported = await self._check(call, is_reported)
            except HttpError as error:
                raise PeerBrokenError(f'{call.peer.name}: {error}') from error

    async def close_idle(self) -> None:
        """Close the connections that are not in use."""
        await self._pool.close_all_idle()

    async def _connect(self, call: PeerCall) -> HttpConnection:
        try:
            # A request that must not run twice goes on no connection that the
            # peer may just have closed.
            return await self._pool.acquire(
                call.peer.address, require_new=not call.may_repeat
            )
        except ConnectFailedError as error:
            self.choice.record_unable(call.peer, _UNREACHABLE_SECONDS)
            raise PeerUnreachableError(f'{call.peer.name}: {error}') from error

    async def _send(
        self, call: PeerCall, connection: HttpConnection
    ) -> PeerAnswer:
        try:
            await connection.start_sending(encode_peer_request(call.request))
        except HttpError as error:
            raise PeerBrokenError(f'{call.peer.name}: {error}') from error
        head = await self.read(call, connection.read_head)
        outcome = outcome_of(head)
        if outcome is None:
            raise PeerBrokenError(f'{call.peer.name} answered without outcome')
        return PeerAnswer(head, outcome, connection)

    async def _check(self, call: PeerCall, is_reported: bool) -> bool:
        """Check a silent peer; return whether it was reported as unable."""
        if call.seconds_left() <= 0:
            raise TargetTimeoutError('no complete response before the deadline')
        if self.choice.is_live(call.peer) or not call.may_repeat:
            await call.check('')
            return is_reported
        if not is_reported:
            self.choice.record_unable(call.peer, _UNREACHABLE_SECONDS)
        # Its heartbeats may be lost while its response arrives, so it is not
        # given up before another peer has taken over.
        await call.check('is not alive any more')
        return True
