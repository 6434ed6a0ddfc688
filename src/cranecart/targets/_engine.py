"""The client of model engines: orders, reports and completions."""

from types import TracebackType
from typing import Self

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    TargetDisconnectedError,
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from cranecart.fleet import Evacuations
from cranecart.http import (
    HttpConnection,
    HttpConnectionPool,
    Request,
    Response,
    ResponseHead,
    exchange,
)
from cranecart.instances import Instance, MemberReport, ReplicaRow
from cranecart.targets._calls import CompletionCall
from cranecart.targets._complete_replicas import ServingReplica

# A new holder of the placement duty waits this long after the lease has
# expired, so that no order of the previous holder is still under way.
ORDER_TIMEOUT_SECONDS = 1.0
_COMPLETIONS = '/v1/chat/completions'
_NOT_RUN = 'not run'


@attrs.frozen
class _OrderMessage:
    fencing: int
    replica: str = ''
    generation: int = 0
    members: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    retiring: bool = False

    @classmethod
    def from_row(
        cls,
        row: ReplicaRow | None,
        addresses: tuple[str, ...],
        fencing: int,
    ) -> Self:
        if row is None:
            return cls(fencing)
        return cls(
            fencing,
            row.id,
            row.generation,
            row.members,
            addresses,
            row.model,
            row.version,
            row.adapters,
            row.retiring,
        )


class EngineAnswer:
    """An engine's response, whose head was read and verified.

    Use it as an asynchronous context manager. On exit the connection returns
    to the pool if the response was read to its end; otherwise it is closed,
    which cancels the work at the engine.
    """

    def __init__(
        self,
        pool: HttpConnectionPool,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        """Wrap the connection of the response."""
        self.head = head
        self._pool = pool
        self._connection = connection

    async def __aenter__(self) -> Self:
        """Return the answer itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the connection to the pool, which may close it."""
        await self._pool.release(self._connection)

    async def read_chunk(self) -> bytes:
        """Return the next received part of the body, empty at its end."""
        try:
            return await self._connection.read_chunk()
        except HttpError as error:
            raise TargetDisconnectedError(str(error)) from error

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        try:
            return await self._connection.read_body()
        except HttpError as error:
            raise TargetDisconnectedError(str(error)) from error


@attrs.define
class EngineClient:
    """Sends orders and completions; reports failures as ``TargetError``."""

    pool: HttpConnectionPool = attrs.field(factory=HttpConnectionPool)
    _evacuations: Evacuations = attrs.field(factory=Evacuations)

    async def send_order(
        self,
        instance: Instance,
        row: ReplicaRow | None,
        addresses: tuple[str, ...],
        fencing: int,
    ) -> MemberReport:
        """Order an engine to join the replica of ``row``; return its report.

        Without a row the engine is to become idle.
        """
        message = _OrderMessage.from_row(row, addresses, fencing)
        request = Request(
            'POST',
            '/orders',
            body=msgspec.json.encode(message),
        )
        response = await send_request(instance, request, ORDER_TIMEOUT_SECONDS)
        if not response.is_success:
            raise TargetRefusedError(
                f'{instance.id} refused the order with fencing token '
                f'{fencing}: status {response.status}',
            )
        return read_report(instance, response)

    async def start_completion(
        self,
        replica: ServingReplica,
        call: CompletionCall,
        resume_token: int = 0,
    ) -> EngineAnswer:
        """Send a completion and read the head of the response.

        The request names the replica and generation that it is meant for. The
        response must name the same ones and the request, or it is rejected.
        """
        try:
            connection = await self._connect(replica, call)
        except ConnectFailedError as error:
            raise TargetUnreachableError(str(error)) from error
        try:
            self._evacuations.check_target(replica.id, replica.failure_domain)
            head = await curio.timeout_after(
                call.seconds_left,
                _send_and_read_head,
                connection,
                _completion_request(replica, call, resume_token),
            )
            _check_head(replica, call, head)
        except TaskTimeout as error:
            await connection.close()
            raise TargetTimeoutError(
                f'{replica.id} sent no response before the deadline',
            ) from error
        except HttpError as error:
            await connection.close()
            raise TargetDisconnectedError(str(error)) from error
        except BaseException:
            await connection.close()
            raise
        return EngineAnswer(self.pool, connection, head)

    async def _connect(
        self,
        replica: ServingReplica,
        call: CompletionCall,
    ) -> HttpConnection:
        # An idle connection may be closed by the engine just as a call is sent,
        # and then it is unknown whether the call ran.
        if call.repeatable:
            return await self.pool.acquire(replica.leader)
        return await HttpConnection.open(replica.leader)


async def _send_and_read_head(
    connection: HttpConnection,
    request: Request,
) -> ResponseHead:
    await connection.send(request)
    return await connection.read_head()


def _completion_request(
    replica: ServingReplica,
    call: CompletionCall,
    resume_token: int,
) -> Request:
    return Request(
        'POST',
        _COMPLETIONS,
        {
            'content-type': 'application/json',
            'x-replica': replica.id,
            'x-generation': str(replica.generation),
            'x-resume-token': str(resume_token),
            **call.metadata_headers,
        },
        call.body,
    )


def _check_head(
    replica: ServingReplica,
    call: CompletionCall,
    head: ResponseHead,
) -> None:
    # Checked first: a late refusal of another call says nothing about this one.
    if head.headers.get('x-request-id') != call.request_id:
        raise TargetFailedError(f'{replica.id} answered another request')
    if head.headers.get('x-execution') == _NOT_RUN:
        raise TargetRefusedError(
            f'{replica.id} refused with status {head.status}'
        )
    if not head.is_success:
        raise TargetFailedError(
            f'{replica.id} failed with status {head.status}'
        )
    answered_by = (
        head.headers.get('x-replica'),
        head.headers.get('x-generation'),
    )
    if answered_by != (replica.id, str(replica.generation)):
        raise TargetFailedError(
            f'{replica.id}, generation {replica.generation}, answered as '
            f'another replica or generation: {answered_by}'
        )


async def send_request(
    instance: Instance,
    request: Request,
    timeout_seconds: float,
) -> Response:
    """Send a request to an instance; raise ``TargetError`` if it fails."""
    try:
        return await exchange(instance.address, request, timeout_seconds)
    except ConnectFailedError as error:
        raise TargetUnreachableError(str(error)) from error
    except HttpError as error:
        raise TargetFailedError(str(error)) from error


def read_report(instance: Instance, response: Response) -> MemberReport:
    """Decode an engine's report.

    Raise ``TargetFailedError`` if it is invalid or another instance's.
    """
    try:
        report = msgspec.json.decode(response.body, type=MemberReport)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise TargetFailedError(
            f'cannot decode the report of {instance.id}: {error}'
        ) from error
    if report.instance != instance.id:
        raise TargetFailedError(
            f'expected a report of {instance.id} at {instance.address}, got '
            f'one of {report.instance}',
        )
    return report
