"""The persistent connection that an instance is probed on."""

import attrs
import curio
import msgspec
from curio.errors import TaskTimeout

from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    TargetError,
    TargetFailedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from cranecart.http import HttpConnection, Request, Response
from cranecart.instances import (
    Instance,
    InstanceKind,
    MemberReport,
    MemberState,
)
from cranecart.targets._engine import read_report

_ANSWER_TIMEOUT_SECONDS = 0.8
_NOT_MODIFIED = 304
_STATUS_PATH = '/status'


@attrs.frozen
class _ServiceStatus:
    draining: bool = False


@attrs.define
class ProbeConnection:
    """Fetches an instance's report, by conditional requests if possible.

    The connection stays open between probes. That saves most of a probe's bytes
    and shows at once when the process at the other end dies.
    """

    _connection: HttpConnection | None = attrs.field(default=None, init=False)
    _etag: str = attrs.field(default='', init=False)
    _report: MemberReport | None = attrs.field(default=None, init=False)

    async def fetch(self, instance: Instance) -> MemberReport:
        """Return the instance's report; raise ``TargetError`` if it fails."""
        try:
            return await curio.timeout_after(
                _ANSWER_TIMEOUT_SECONDS,
                self._fetch_report,
                instance,
            )
        except TaskTimeout as error:
            await self.close()
            raise TargetTimeoutError(
                f'{instance.id} did not answer a probe within '
                f'{_ANSWER_TIMEOUT_SECONDS} s'
            ) from error
        except TargetError:
            await self.close()
            raise

    async def sleep(self, seconds: float) -> None:
        """Wait for some time, or until the instance closes the connection."""
        if self._connection is None:
            await curio.sleep(seconds)
            return
        async with curio.ignore_after(seconds):
            await self._connection.wait_closed()
            await self.close()

    async def close(self) -> None:
        """Close the connection and discard the cached ETag."""
        connection = self._connection
        self._connection = None
        self._etag = ''
        if connection is not None:
            await connection.close()

    async def _fetch_report(self, instance: Instance) -> MemberReport:
        try:
            response = await self._request_status(instance)
        except ConnectFailedError as error:
            raise TargetUnreachableError(str(error)) from error
        except HttpError as error:
            raise TargetFailedError(str(error)) from error
        if response.status == _NOT_MODIFIED and self._report is not None:
            return self._report
        self._report = _decode(instance, response)
        self._etag = response.headers.get('etag', '')
        return self._report

    async def _request_status(self, instance: Instance) -> Response:
        if self._connection is None:
            self._connection = await HttpConnection.open(instance.address)
        connection = self._connection
        headers = {'if-none-match': self._etag} if self._etag else {}
        await connection.send(Request('GET', _STATUS_PATH, headers))
        head = await connection.read_head()
        body = await connection.read_body()
        if connection.is_reusable:
            connection.reset()
        else:
            await self.close()
        return Response(head.status, head.headers, body)


def _decode(instance: Instance, response: Response) -> MemberReport:
    if not response.is_success:
        raise TargetFailedError(
            f'{instance.id} answered a probe with status {response.status}'
        )
    if instance.kind is InstanceKind.ENGINE:
        return read_report(instance, response)
    try:
        status = msgspec.json.decode(response.body, type=_ServiceStatus)
    except msgspec.MsgspecError as error:
        raise TargetFailedError(
            f'cannot decode the status of {instance.id}: {error}'
        ) from error
    return MemberReport(
        instance.id,
        MemberState.READY,
        draining=status.draining,
    )
