"""Stand-in for a plain service that records each call that it runs."""

import attrs
import curio

from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    json_response,
)
from cranecart.standins._record import EventRecord

_OK = 200
_MILLISECONDS = 1000


@attrs.frozen
class ServiceOptions:
    """Identity and latency of a service instance."""

    instance: str
    delay_ms: int = 5


class ServiceStandin:
    """One instance of a plain service."""

    def __init__(
        self,
        address: Address,
        options: ServiceOptions,
        record: EventRecord,
    ) -> None:
        """Create the server; it listens only in ``run``."""
        self.server = HttpServer(address, self._handle)
        self._options = options
        self._record = record
        self._leaving = False

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.server.run()

    async def _handle(self, request: Request, responder: Responder) -> None:
        match request.path:
            case '/status':
                status = {'draining': self._leaving}
                await responder.send(json_response(_OK, status))
            case '/standin/leave':
                self._leaving = True
                self._record.write('leaving')
                await responder.send(json_response(_OK, {}))
            case _:
                await self._run_call(request, responder)

    async def _run_call(self, request: Request, responder: Responder) -> None:
        headers = request.headers
        call = {
            'request': headers.get('x-request-id', ''),
            'key': headers.get('idempotency-key', ''),
            'organisation': headers.get('x-organisation', ''),
        }
        self._record.write('start', kind='service', **call)
        await curio.sleep(self._options.delay_ms / _MILLISECONDS)
        self._record.write('finish', kind='service', **call)
        answer = json_response(
            _OK,
            {
                'echo': request.body.decode('utf-8', 'replace'),
                'path': request.path,
                'ran_on': self._options.instance,
            },
            {'x-request-id': call['request']},
        )
        await responder.send(answer)
