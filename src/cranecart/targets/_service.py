"""The client of plain services."""

import attrs

from cranecart.exceptions import (
    ConnectFailedError,
    HttpError,
    PeerTimeoutError,
    TargetDisconnectedError,
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from cranecart.fleet import Evacuations
from cranecart.http import Request, Response, exchange
from cranecart.instances import Instance
from cranecart.targets._calls import ServiceCall

_NOT_RUN = 'not run'


@attrs.frozen
class ServiceClient:
    """Sends each call on a new connection, unless its target is evacuated.

    Responses to earlier calls cannot arrive on it, and a failure to connect
    means that the call was not run.
    """

    _evacuations: Evacuations = attrs.field(factory=Evacuations)

    async def call(self, instance: Instance, call: ServiceCall) -> Response:
        """Return the response; raise ``TargetError`` with its execution."""
        request = Request(
            call.method,
            call.path,
            {
                'content-type': call.content_type or 'application/json',
                **call.metadata_headers,
            },
            call.body,
        )
        try:
            response = await exchange(
                instance.address,
                request,
                call.seconds_left,
                check_connected=lambda: self._evacuations.check_target(
                    instance.id, instance.failure_domain
                ),
            )
        except ConnectFailedError as error:
            raise TargetUnreachableError(str(error)) from error
        except PeerTimeoutError as error:
            raise TargetTimeoutError(str(error)) from error
        except HttpError as error:
            raise TargetDisconnectedError(str(error)) from error
        # A response without the request's id, also a refusal, may belong to any
        # other call.
        if response.headers.get('x-request-id') != call.request_id:
            raise TargetFailedError(f'{instance.id} answered another call')
        if response.headers.get('x-execution') == _NOT_RUN:
            raise TargetRefusedError(f'{instance.id} refused the call')
        return response
