"""Orders to engine instances, and what their answers mean."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    OrderFencedError,
    OrderRefusedError,
    OrderUnknownError,
    TargetClosedError,
    TargetGoneError,
)
from cranecart.http import HttpConnectionPool, Request, exchange
from cranecart.ports import ListedInstance

# Orders are answered in 3 to 8 ms on a calm link, so that a longer silence
# means a dark instance or an order that is carried out late.
_ORDER_SECONDS = 0.4
_TAKEN = frozenset((200, 202))
_WRONG_INSTANCE = 421
_FENCED = 412
_Ask = Callable[[ListedInstance, Request], Awaitable[int]]


@attrs.define
class PlatformOrders:
    """Sends orders on kept connections, one at a time to an instance."""

    sent: int = attrs.field(default=0, init=False)
    _pool: HttpConnectionPool = attrs.field(
        factory=HttpConnectionPool, init=False
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
        """Make an instance a member; the first member is the head."""
        body = {'model': model, 'members': list(members)}
        await self._order(
            instance,
            fencing,
            {**_change('join', replica, epoch), **body},
        )

    async def open(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a ready replica serve."""
        await self._order(head, fencing, _change('open', replica, epoch))

    async def close(
        self,
        head: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """Let a replica finish what it has and take nothing new."""
        await self._order(
            head,
            fencing,
            {**_change('close', replica, epoch), 'method': 'queue'},
        )

    async def leave(
        self,
        instance: ListedInstance,
        replica: str,
        epoch: int,
        fencing: int,
    ) -> None:
        """End a membership at once.

        Members join others on the word of this answer, and answers to orders
        name nothing: one that comes on a connection of its own is none to an
        earlier order.
        """
        body = _change('leave', replica, epoch)
        await self._order(instance, fencing, body, self._ask_alone)

    async def stage(
        self,
        instance: ListedInstance,
        model: str,
        fencing: int,
    ) -> None:
        """Bring a model to an instance's host beside its other work."""
        await self._order(
            instance,
            fencing,
            {'operation': 'phase', 'model': model},
        )

    async def _order(
        self,
        instance: ListedInstance,
        fencing: int,
        body: Mapping[str, object],
        ask: _Ask | None = None,
    ) -> None:
        self.sent += 1
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
                _ORDER_SECONDS,
                ask or self._ask,
                instance,
                request,
            )
        except ConnectFailedError as error:
            raise _not_reached(instance, error) from error
        except (HttpError, TaskTimeout) as error:
            raise OrderUnknownError(f'{instance.id}: {error!r}') from error
        _check(instance, status)

    async def _ask(self, instance: ListedInstance, request: Request) -> int:
        connection = await self._pool.acquire(instance.address)
        try:
            head = await connection.send_and_read_head(request)
            await connection.read_body()
        except BaseException:
            await connection.close()
            raise
        await self._pool.release(connection)
        return head.status

    async def _ask_alone(
        self,
        instance: ListedInstance,
        request: Request,
    ) -> int:
        response = await exchange(instance.address, request, _ORDER_SECONDS)
        return response.status


def _change(operation: str, replica: str, epoch: int) -> dict[str, object]:
    """Return an order that concerns one membership and no other."""
    return {'operation': operation, 'group': replica, 'epoch': epoch}


def _not_reached(
    instance: ListedInstance,
    error: ConnectFailedError,
) -> OrderUnknownError | TargetClosedError:
    if isinstance(error.__cause__, ConnectionRefusedError):
        return TargetClosedError(f'{instance.id}: its port is closed')
    return OrderUnknownError(f'{instance.id}: {error}')


def _check(instance: ListedInstance, status: int) -> None:
    if status == _WRONG_INSTANCE:
        raise TargetGoneError(f'{instance.id}: another instance answers')
    if status == _FENCED:
        raise OrderFencedError(f'{instance.id}: a later order was seen')
    if status not in _TAKEN:
        raise OrderRefusedError(f'{instance.id}: answered with {status}')
