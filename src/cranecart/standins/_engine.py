"""Stand-in of a model engine: one process is one instance of a replica."""

import zlib
from collections import OrderedDict
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs
import curio
import msgspec

from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    Response,
    json_response,
)
from cranecart.instances import MemberReport, MemberState
from cranecart.standins._engine_options import EngineOptions
from cranecart.standins._membership import Membership, Order
from cranecart.standins._record import Record
from cranecart.standins._slots import Slots
from cranecart.standins._tokens import token_text

_OK = 200
_NOT_MODIFIED = 304
_BAD_REQUEST = 400
_CONFLICT = 409
_MILLISECONDS = 1000
_PREFIX_CHARS = 48
_DEFAULT_TOKENS = 16
_NOT_RUN: Mapping[str, str] = MappingProxyType({'x-execution': 'not run'})


@attrs.frozen
class Generation:
    """One request as the engine reads it."""

    request: str
    key: str
    prompt: str
    tokens: int
    first: int
    stream: bool
    rank: int


class EngineStandin:
    """One engine instance; rank 0 of a replica takes its requests."""

    def __init__(
        self,
        address: Address,
        options: EngineOptions,
        record: Record,
    ) -> None:
        """Keep the options; nothing listens until ``run``."""
        self.server = HttpServer(address, self._handle)
        self._options = options
        self._record = record
        self._membership = Membership(options, record)
        self._draining = False
        self._drops = False
        self._crosses = False
        self._slots = Slots(options.slots)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._reported_load = (0, 0)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.server.run)
            await tasks.spawn(self._lag_load)

    async def _lag_load(self) -> None:
        while True:
            self._reported_load = (self._slots.running, self._slots.queued)
            await curio.sleep(self._options.report_lag_ms / _MILLISECONDS)

    async def _handle(self, request: Request, responder: Responder) -> None:
        match request.path:
            case '/status':
                await responder.send(self._status(request))
            case '/collective':
                await self._membership.answer_collective(request, responder)
            case '/orders':
                await self._membership.take_order(request, responder)
            case '/standin/drop':
                self._drops = msgspec.json.decode(request.body)
                await responder.send(json_response(_OK, {}))
            case '/standin/cross':
                self._crosses = msgspec.json.decode(request.body)
                await responder.send(json_response(_OK, {}))
            case '/standin/leave':
                self._draining = True
                self._record.write('leaving')
                await responder.send(json_response(_OK, {}))
            case _ if self._drops:
                # Received, but broken off without a word.
                key = request.headers.get('idempotency-key', '')
                self._record.write('dropped', kind='engine', key=key)
            case _:
                await self._complete(request, responder)

    def _status(self, request: Request) -> Response:
        response = json_response(_OK, self._report())
        tag = f'"{zlib.crc32(response.body):08x}"'
        if request.headers.get('if-none-match') == tag:
            return Response(_NOT_MODIFIED, {'etag': tag})
        return attrs.evolve(
            response,
            headers={**response.headers, 'etag': tag},
        )

    def _report(self) -> MemberReport:
        running, queued = self._reported_load
        return attrs.evolve(
            self._membership.report(),
            running=running,
            queued=queued,
            slots=self._options.slots,
            draining=self._draining,
        )

    async def _complete(
        self,
        request: Request,
        responder: Responder,
    ) -> None:
        expected = (
            request.headers.get('x-replica'),
            request.headers.get('x-generation'),
        )
        state = self._membership.state
        order = self._membership.order
        actual = (order.replica, str(order.generation))
        is_ready = state == MemberState.READY and self._membership.leads
        is_ready = is_ready and not order.retiring
        # Callers believe a refusal only of the call that it names.
        named = {'x-request-id': request.headers.get('x-request-id', '')}
        if expected != actual or not is_ready:
            body = {'error': 'not this replica', 'state': state.value}
            await responder.send(
                json_response(_CONFLICT, body, {**named, **_NOT_RUN})
            )
            return
        try:
            generation = _read_generation(request)
        except (LookupError, TypeError, msgspec.DecodeError) as error:
            body = {'error': repr(error)}
            await responder.send(
                json_response(_BAD_REQUEST, body, {**named, **_NOT_RUN})
            )
            return
        if self._crosses:
            generation = attrs.evolve(
                generation,
                request='crossed',
                prompt='what another client asked',
            )
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._generate, generation, responder)
            await tasks.spawn(responder.wait_for_disconnect)

    async def _generate(
        self,
        generation: Generation,
        responder: Responder,
    ) -> None:
        order = self._membership.order
        await self._slots.acquire(generation.rank)
        call = {
            'kind': 'engine',
            'request': generation.request,
            'key': generation.key,
            'replica': order.replica,
            'generation': order.generation,
            'members': order.members,
        }
        self._record.write('start', **call)
        event = 'abort'
        try:
            await self._answer(generation, responder)
            event = 'finish'
        finally:
            self._record.write(event, **call)
            await self._slots.release()

    async def _answer(
        self,
        generation: Generation,
        responder: Responder,
    ) -> None:
        order = self._membership.order
        headers = {
            'x-request-id': generation.request,
            'x-replica': order.replica,
            'x-generation': str(order.generation),
            'x-cache': await self._prefill(generation),
        }
        if generation.stream:
            headers['content-type'] = 'text/event-stream'
            await self._next_step(order)
            await responder.start(_OK, headers)
            await self._stream(generation, responder, order)
            return
        pieces = []
        for position in range(generation.tokens):
            await self._next_step(order)
            pieces.append(token_text(order.model, generation.prompt, position))
        body = _whole_body(order.model, generation, ''.join(pieces))
        await responder.send(json_response(_OK, body, headers))

    async def _prefill(self, generation: Generation) -> str:
        prefix = generation.prompt[:_PREFIX_CHARS]
        is_hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._options.cached_prefixes:
            self._prefixes.popitem(last=False)
        delay_ms = self._options.first_token_ms
        if not is_hit:
            delay_ms += self._options.prefill_ms
        await curio.sleep(delay_ms / _MILLISECONDS)
        return 'hit' if is_hit else 'miss'

    async def _stream(
        self,
        generation: Generation,
        responder: Responder,
        order: Order,
    ) -> None:
        for position in range(generation.first, generation.tokens):
            if position > generation.first:
                await self._next_step(order)
            text = token_text(order.model, generation.prompt, position)
            chunk = _chunk_body(order.model, generation, text)
            await responder.write(_event(msgspec.json.encode(chunk)))
        await responder.write(_event(b'[DONE]'))
        await responder.end()

    async def _next_step(self, order: Order) -> None:
        await curio.sleep(self._options.token_ms / _MILLISECONDS)
        await self._membership.next_step(order)


def _read_generation(request: Request) -> Generation:
    body: dict[str, Any] = msgspec.json.decode(request.body)
    prompt = '\n'.join(message['content'] for message in body['messages'])
    return Generation(
        request.headers.get('x-request-id', ''),
        request.headers.get('idempotency-key', ''),
        prompt,
        int(body.get('max_tokens', _DEFAULT_TOKENS)),
        int(request.headers.get('x-resume-token', '0')),
        bool(body.get('stream', False)),
        int(request.headers.get('x-priority-rank', '1')),
    )


def _event(payload: bytes) -> bytes:
    return b'data: %b\n\n' % payload


def _chunk_body(
    model: str,
    generation: Generation,
    text: str,
) -> dict[str, Any]:
    return {
        'id': generation.request,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [{'index': 0, 'delta': {'content': text}}],
    }


def _whole_body(
    model: str,
    generation: Generation,
    text: str,
) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': text}
    return {
        'id': generation.request,
        'object': 'chat.completion',
        'model': model,
        'choices': [
            {'index': 0, 'message': message, 'finish_reason': 'length'},
        ],
        'usage': {'completion_tokens': generation.tokens},
    }
