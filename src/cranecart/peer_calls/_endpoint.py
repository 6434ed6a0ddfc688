"""Accept the requests that other nodes pass on."""

from collections.abc import Awaitable, Callable

import attrs
import curio
import msgspec

from cranecart.clocks import since_boot, sleep_and_measure
from cranecart.http import Request, Responder, Response
from cranecart.peer_calls._admission import RETRY_AFTER_SECONDS, PeerAdmission
from cranecart.peer_calls._grants import GRANT_PATH, AttemptGrants
from cranecart.peer_calls._messages import (
    PATH,
    PeerOutcome,
    PeerRequest,
    decode_peer_request,
)

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_MEASURE_SECONDS = 0.01

# Called with a request, its responder, and when it arrived.
HandleRequest = Callable[[PeerRequest, Responder, float], Awaitable[None]]


@attrs.define
class PeerEndpoint:
    """Passes admitted requests of peers on to a handler.

    ``_is_able`` returns whether this node can handle any at present, ``_grants``
    are the attempts of peers at requests of its own clients.
    ``received`` and ``refused`` count them since the start.
    """

    _handle: HandleRequest
    _is_able: Callable[[], bool]
    _grants: AttemptGrants = attrs.field(factory=AttemptGrants)
    admission: PeerAdmission = attrs.field(factory=PeerAdmission)
    received: int = attrs.field(default=0, init=False)
    refused: int = attrs.field(default=0, init=False)
    _is_measuring: bool = attrs.field(default=False, init=False)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle one request of a peer."""
        if request.path == PATH:
            await self._handle_call(request, responder)
        elif request.path == GRANT_PATH:
            await self._handle_grant(request, responder)
        else:
            await responder.send(Response(_NOT_FOUND))

    async def refuse_partial(
        self, _request: Request, responder: Responder
    ) -> None:
        """Refuse a request for which there is no memory."""
        refusal = _refused(
            'busy', 'this node has no memory for requests of peers'
        )
        await self._refuse(refusal, responder)

    async def _refuse(self, refusal: PeerOutcome, responder: Responder) -> None:
        self.refused += 1
        responder.extra_headers = (refusal.to_header(),)
        await responder.send(Response(_UNAVAILABLE))

    async def _handle_grant(
        self, request: Request, responder: Responder
    ) -> None:
        call_id = request.body.decode(errors='replace')
        age_seconds = since_boot() - request.arrived_at
        is_granted = self._grants.grant(call_id, age_seconds)
        await responder.send(Response(_OK if is_granted else _CONFLICT))

    async def _handle_call(
        self, request: Request, responder: Responder
    ) -> None:
        try:
            message = decode_peer_request(request)
        except msgspec.MsgspecError:
            await responder.send(Response(_BAD_REQUEST))
            return
        refusal = self._refusal()
        if refusal is not None:
            await self._refuse(refusal, responder)
            return
        await self._handle_admitted(message, responder, request.arrived_at)

    async def _handle_admitted(
        self, message: PeerRequest, responder: Responder, arrived_at: float
    ) -> None:
        self.received += 1
        self.admission.in_flight += 1
        try:
            if not self._is_measuring:
                self._is_measuring = True
                await curio.spawn(self._measure_delays, daemon=True)
            await self._handle(message, responder, arrived_at)
        finally:
            self.admission.in_flight -= 1

    def _refusal(self) -> PeerOutcome | None:
        if not self._is_able():
            return _refused('unable', 'this node starts or stops')
        if not self.admission.admits():
            return _refused(
                'busy', 'this node has no room for requests of peers'
            )
        return None

    async def _measure_delays(self) -> None:
        """Measure how late timers run while there are requests of peers.

        Only by the node's own work: fewer requests would not make timers run
        earlier that other processes delay.
        """
        try:
            while self.admission.in_flight:
                self.admission.record_delay(
                    await sleep_and_measure(_MEASURE_SECONDS)
                )
        finally:
            self._is_measuring = False
            self.admission.delay_seconds = 0


def _refused(code: str, message: str) -> PeerOutcome:
    return PeerOutcome(
        from_target=False,
        status=_UNAVAILABLE,
        code=code,
        message=message,
        unable=True,
        is_general=True,
        retry_after=RETRY_AFTER_SECONDS,
    )
