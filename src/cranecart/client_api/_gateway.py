"""Handle client requests: admit, claim, route, forward and respond."""

import uuid
from collections.abc import Callable

import attrs

from cranecart.claims import AcquiredClaim, ClaimStore, RecordedResponse
from cranecart.client_api._attempts import CallAttempts, within_deadline
from cranecart.client_api._errors import error_response
from cranecart.client_api._relay import StreamRelay, leader_runner
from cranecart.client_api._request_parsing import authenticate, parse_call
from cranecart.declarations import Declarations
from cranecart.exceptions import (
    ConnectionBrokenError,
    Execution,
    NotConfiguredError,
    OverloadedError,
    RequestError,
)
from cranecart.http import Request, Responder, Response
from cranecart.limits import Admission
from cranecart.logs import log_decision
from cranecart.ports import Incarnation
from cranecart.quarantine import NamedRunner, RequestGuard
from cranecart.retries import RetryBudget
from cranecart.selection import Router
from cranecart.targets import (
    Call,
    CompletionCall,
    EngineAnswer,
    EngineClient,
    ServiceCall,
    ServiceClient,
)

# Called with each request's outcome and the seconds to its first byte.
Observer = Callable[[str, float | None], None]

_OK = 200
_FORWARDED_HEADERS = frozenset(('content-type', 'x-replayed', 'x-cache'))


@attrs.define
class Gateway:
    """Handles the requests of clients at one node."""

    _current_declarations: Callable[[], Declarations | None]
    _router: Router
    _engines: EngineClient
    _services: ServiceClient
    _claims: ClaimStore
    _admission: Admission
    _observe: Observer
    _guard: RequestGuard
    _budget: RetryBudget = attrs.field(factory=RetryBudget, init=False)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request, errors included."""
        request_id = uuid.uuid4().hex
        started = request.arrived_at
        outcome = 'answered'
        try:
            await self._serve(request, responder, request_id)
        except RequestError as error:
            outcome = error.code
            log_decision(
                'refused',
                request=request_id,
                code=error.code,
                execution=error.execution.value,
                why=str(error),
            )
            if responder.has_started:
                raise ConnectionBrokenError(
                    'response aborted after it had started',
                ) from error
            await responder.send(error_response(error, request_id))
        finally:
            self._observe(outcome, responder.seconds_to_first_byte(started))

    def admits_head(self, request: Request) -> bool:
        """Return whether the body of a request is worth reading."""
        declarations = self._current_declarations()
        if declarations is None:
            return False
        try:
            authenticate(request, declarations)
        except RequestError:
            return False
        return True

    async def _serve(
        self,
        request: Request,
        responder: Responder,
        request_id: str,
    ) -> None:
        declarations = self._current_declarations()
        if declarations is None:
            raise NotConfiguredError(
                'this node has not received a configuration yet',
            )
        organisation = authenticate(request, declarations)
        if request.is_partial:
            raise OverloadedError(
                'all requests at hand take the memory that is for them'
            )
        call = attrs.evolve(
            parse_call(request, organisation, declarations),
            request_id=request_id,
        )
        tokens = call.max_tokens if isinstance(call, CompletionCall) else 0
        with self._admission.admit(organisation, call.priority, tokens):
            await self._answer_call(call, responder)

    async def _answer_call(self, call: Call, responder: Responder) -> None:
        claim = await self._claim(call)
        if isinstance(claim, RecordedResponse):
            await _send_response(call, claim.response, responder)
            return
        try:
            response = await self._forward(call, responder)
        except RequestError as error:
            if claim is not None and error.execution is Execution.NOT_RUN:
                await self._claims.release(claim)
            raise
        if claim is not None and response is not None:
            await self._claims.complete(claim, response)

    async def _claim(
        self, call: Call
    ) -> AcquiredClaim | RecordedResponse | None:
        # Without an idempotency key, duplicates cannot be recognised.
        if call.repeatable or not call.idempotency_key:
            return None
        return await self._claims.acquire(call)

    async def _forward(
        self,
        call: Call,
        responder: Responder,
    ) -> Response | None:
        """Answer the client; return the response to replay to duplicates."""
        match call:
            case CompletionCall(stream=True):
                return await self._forward_stream(call, responder)
            case CompletionCall():
                response = await self._forward_completion(call)
            case ServiceCall():
                response = await self._forward_service_call(call)
            case _:
                raise TypeError(f'unsupported kind of call: {call!r}')
        await _send_response(call, response, responder)
        return response

    async def _forward_stream(
        self,
        call: CompletionCall,
        responder: Responder,
    ) -> Response | None:
        relay = StreamRelay(
            call,
            responder,
            self._router,
            self._engines,
            self._guard,
        )
        try:
            await self._attempts(call).run(relay.attempt)
        except RequestError as error:
            if not responder.has_started:
                raise
            await relay.finish_with_error(error)
            return None
        return relay.recorded_response()

    async def _forward_completion(self, call: CompletionCall) -> Response:
        tried: list[str] = []

        async def attempt() -> Response:  # noqa: WPS430
            replica = self._router.choose_replica(call, tried)
            tried.append(replica.id)
            runner = leader_runner(replica)
            with self._router.track_in_flight(replica.id):
                async with self._guard.watch(
                    lambda: call.identity,
                    runner,
                    call.segments,
                ) as progress:
                    progress.record_sent()
                    answer = await self._engines.start_completion(replica, call)
                    progress.record_begun()
                    return await _read_response(call, answer)

        return await self._attempts(call).run(attempt)

    async def _forward_service_call(self, call: ServiceCall) -> Response:
        tried: list[str] = []

        async def attempt() -> Response:  # noqa: WPS430
            instance = self._router.choose_instance(call, tried)
            tried.append(instance.id)
            incarnation = Incarnation(instance.id)
            runner = NamedRunner(instance.id, incarnation, instance.address)
            watching_context = self._guard.watch(lambda: call.identity, runner)
            with self._router.track_in_flight(instance.id):
                async with watching_context as progress:
                    progress.record_sent()
                    return await self._services.call(instance, call)

        return await self._attempts(call).run(attempt)

    def _attempts(self, call: Call) -> CallAttempts:
        return CallAttempts(call, self._budget, self._guard)


async def _read_response(
    call: CompletionCall,
    answer: EngineAnswer,
) -> Response:
    async with answer:
        body = await within_deadline(call, answer.read_body)
        return Response(_OK, answer.head.headers, body)


async def _send_response(
    call: Call,
    response: Response,
    responder: Responder,
) -> None:
    headers = {
        name: text
        for name, text in response.headers.items()
        if name in _FORWARDED_HEADERS and text
    }
    headers['x-request-id'] = call.request_id
    await responder.send(attrs.evolve(response, headers=headers))
