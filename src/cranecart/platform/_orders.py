"""Send orders to engine instances and translate their answers to errors."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    OrderFencedError,
    OrderRefusedError,
    OrderUnknownError,
    TargetGoneError,
    TargetNotListeningError,
)
from cranecart.http import (
    HttpConnection,
    HttpConnectionPool,
    Request,
    ResponseLimits,
    ResponseMemory,
)
from cranecart.ports import ListedInstance

# Orders are answered within 3 to 8 ms on an idle link. No answer for this long
# means that the instance is unreachable or carries the order out late.
_ORDER_TIMEOUT_SECONDS = 0.4
# Far more than the answer to an order, of which only the status counts.
_MAX_ANSWER_BYTES = 65536
_ACCEPTED_STATUSES = frozenset((200, 202))
_MISDIRECTED = 421
_FENCED = 412
IsPathSound = Callable[[ListedInstance, float], Awaitable[bool]]
_SendOrder = Callable[[ListedInstance, Request], Awaitable[int]]


async def _trust_path(_instance: ListedInstance, _since: float) -> bool:
    """Treat refused connections as refused by the instance's machine."""
    return True


@attrs.define
class PlatformOrders:
    """Sends orders on persistent connections, one at a time per instance.

    ``_is_path_sound`` returns whether other instances near one were reached
    since a time. ``sent`` counts the orders, including failed ones.
    """

    _is_path_sound: IsPathSound = _trust_path
    sent: int = attrs.field(default=0, init=False)
    _pool: HttpConnectionPool = attrs.field(
        factory=lambda: HttpConnectionPool(
            memory=ResponseMemory(ResponseLimits(body_bytes=_MAX_ANSWER_BYTES))
        ),
        init=False,
    )

    async def join(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        model: str,
        members: Sequence[str],
        fencing: int,
    ) -> None:
        """Make an instance a member; the first of ``members`` is the head."""
        body = {'model': model, 'members': list(members)}
        await self._submit(
            instance,
            fencing,
            {**_membership_order('join', replica, epoch), **body},
        )

    async def open(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a ready replica accept requests."""
        await self._submit(
            head, fencing, _membership_order('open', replica, epoch)
        )

    async def close(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a replica finish its requests and accept no new ones."""
        await self._submit(
            head,
            fencing,
            {**_membership_order('close', replica, epoch), 'method': 'queue'},
        )

    async def leave(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """End a membership at once.

        The instance may join another replica as soon as this order is
        confirmed. Answers do not identify their orders, so the order is sent on
        a new connection, where no answer to an earlier order can arrive.
        """
        body = _membership_order('leave', replica, epoch)
        await self._submit(
            instance, fencing, body, self._send_on_new_connection
        )

    async def stage(
        self,
        instance: ListedInstance,
        model: str,
        fencing: int,
    ) -> None:
        """Stage a model on an instance's host while it does other work."""
        await self._submit(
            instance,
            fencing,
            {'operation': 'phase', 'model': model},
        )

    async def _submit(
        self,
        instance: ListedInstance,
        fencing: int,
        body: Mapping[str, object],
        send: _SendOrder | None = None,
    ) -> None:
        self.sent += 1
        started = since_boot()
        request = Request(
            'POST',
            '/order',
            {
                'content-type': 'application/json',
                'expect-replica': instance.id,
            },
            msgspec.json.encode({**body, 'fencingToken': fencing}),
        )
        try:
            status = await curio.timeout_after(
                _ORDER_TIMEOUT_SECONDS,
                send or self._send,
                instance,
                request,
            )
        except ConnectFailedError as error:
            is_path_sound = await self._is_path_sound(instance, started)
            raise _connect_error(
                instance, error, is_path_sound=is_path_sound
            ) from error
        except (HttpError, TaskTimeout) as error:
            raise OrderUnknownError(f'{instance.id}: {error!r}') from error
        _check_status(instance, status)

    async def _send(self, instance: ListedInstance, request: Request) -> int:
        connection = await self._pool.acquire(instance.address)
        try:
            status = await _read_status(connection, request)
        except BaseException:
            await connection.close()
            raise
        await self._pool.release(connection)
        return status

    async def _send_on_new_connection(
        self,
        instance: ListedInstance,
        request: Request,
    ) -> int:
        connection = await self._pool.acquire(
            instance.address, require_new=True
        )
        try:
            return await _read_status(connection, request)
        finally:
            await connection.close()


async def _read_status(connection: HttpConnection, request: Request) -> int:
    head = await connection.send_and_read_head(request)
    await connection.read_body()
    return head.status


def _membership_order(
    operation: str, replica: str, epoch: int
) -> dict[str, object]:
    """Return the fields that limit an order to a single membership."""
    return {'operation': operation, 'group': replica, 'epoch': epoch}


def _connect_error(
    instance: ListedInstance,
    error: ConnectFailedError,
    *,
    is_path_sound: bool,
) -> OrderUnknownError | TargetNotListeningError:
    is_refused = isinstance(error.__cause__, ConnectionRefusedError)
    if is_refused and is_path_sound:
        return TargetNotListeningError(f'{instance.id}: connection refused')
    return OrderUnknownError(f'{instance.id}: {error}')


def _check_status(instance: ListedInstance, status: int) -> None:
    if status == _MISDIRECTED:
        raise TargetGoneError(
            f'{instance.id}: another instance answers at its address'
        )
    if status == _FENCED:
        raise OrderFencedError(
            f'{instance.id}: order fenced off by a higher fencing token'
        )
    if status not in _ACCEPTED_STATUSES:
        raise OrderRefusedError(
            f'{instance.id}: order refused with status {status}'
        )
