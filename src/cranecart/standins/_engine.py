"""Stand-in for a model engine; one process is one instance of a replica."""

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
from cranecart.standins._record import EventRecord
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
class Completion:
    """A parsed completion request.

    ``first_token`` is the index at which a resumed stream starts.
    """

    request: str
    key: str
    prompt: str
    tokens: int
    first_token: int
    stream: bool
    rank: int


class EngineStandin:
    """One engine instance; the first member of a replica serves its requests."""

    def __init__(
        self,
        address: Address,
        options: EngineOptions,
        record: EventRecord,
    ) -> None:
        """Create the server; it listens only in ``run``."""
        self.server = HttpServer(address, self._handle)
        self._options = options
        self._record = record
        self._membership = Membership(options, record)
        self._draining = False
        self._drops_requests = False
        self._swaps_responses = False
        self._slots = Slots(options.slots)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._published_load = (0, 0)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self.server.run)
            await tasks.spawn(self._publish_load)

    async def _publish_load(self) -> None:
        while True:
            self._published_load = (self._slots.running, self._slots.queued)
            await curio.sleep(self._options.report_lag_ms / _MILLISECONDS)

    async def _handle(self, request: Request, responder: Responder) -> None:
        match request.path:
            case '/status':
                await responder.send(self._status(request))
            case '/collective':
                await self._membership.handle_collective(request, responder)
            case '/orders':
                await self._membership.handle_order(request, responder)
            case '/standin/drop':
                self._drops_requests = msgspec.json.decode(request.body)
                await responder.send(json_response(_OK, {}))
            case '/standin/cross':
                self._swaps_responses = msgspec.json.decode(request.body)
                await responder.send(json_response(_OK, {}))
            case '/standin/leave':
                self._draining = True
                self._record.write('leaving')
                await responder.send(json_response(_OK, {}))
            case _ if self._drops_requests:
                # The connection is closed without a response.
                key = request.headers.get('idempotency-key', '')
                self._record.write('dropped', kind='engine', key=key)
            case _:
                await self._complete(request, responder)

    def _status(self, request: Request) -> Response:
        response = json_response(_OK, self._report())
        etag = f'"{zlib.crc32(response.body):08x}"'
        if request.headers.get('if-none-match') == etag:
            return Response(_NOT_MODIFIED, {'etag': etag})
        return attrs.evolve(
            response,
            headers={**response.headers, 'etag': etag},
        )

    def _report(self) -> MemberReport:
        running, queued = self._published_load
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
        is_ready = state == MemberState.READY and self._membership.is_leader
        is_ready = is_ready and not order.retiring
        # Callers accept a refusal only if it carries the id of their request.
        id_header = {'x-request-id': request.headers.get('x-request-id', '')}
        if expected != actual or not is_ready:
            body = {'error': 'not this replica', 'state': state.value}
            await responder.send(
                json_response(_CONFLICT, body, {**id_header, **_NOT_RUN})
            )
            return
        try:
            completion = _read_completion(request)
        except (LookupError, TypeError, msgspec.DecodeError) as error:
            body = {'error': repr(error)}
            await responder.send(
                json_response(_BAD_REQUEST, body, {**id_header, **_NOT_RUN})
            )
            return
        if self._swaps_responses:
            completion = attrs.evolve(
                completion,
                request='crossed',
                prompt='what another client asked',
            )
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._run_completion, completion, responder)
            await tasks.spawn(responder.wait_for_disconnect)

    async def _run_completion(
        self,
        completion: Completion,
        responder: Responder,
    ) -> None:
        order = self._membership.order
        await self._slots.acquire(completion.rank)
        event_fields = {
            'kind': 'engine',
            'request': completion.request,
            'key': completion.key,
            'replica': order.replica,
            'generation': order.generation,
            'members': order.members,
        }
        self._record.write('start', **event_fields)
        event = 'abort'
        try:
            await self._answer(completion, responder)
            event = 'finish'
        finally:
            self._record.write(event, **event_fields)
            await self._slots.release()

    async def _answer(
        self,
        completion: Completion,
        responder: Responder,
    ) -> None:
        order = self._membership.order
        headers = {
            'x-request-id': completion.request,
            'x-replica': order.replica,
            'x-generation': str(order.generation),
            'x-cache': await self._prefill(completion),
        }
        if completion.stream:
            headers['content-type'] = 'text/event-stream'
            await self._wait_for_step(order)
            await responder.start(_OK, headers)
            await self._send_stream(completion, responder, order)
            return
        texts = []
        for index in range(completion.tokens):
            await self._wait_for_step(order)
            texts.append(token_text(order.model, completion.prompt, index))
        body = _completion_body(order.model, completion, ''.join(texts))
        await responder.send(json_response(_OK, body, headers))

    async def _prefill(self, completion: Completion) -> str:
        prefix = completion.prompt[:_PREFIX_CHARS]
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

    async def _send_stream(
        self,
        completion: Completion,
        responder: Responder,
        order: Order,
    ) -> None:
        for index in range(completion.first_token, completion.tokens):
            if index > completion.first_token:
                await self._wait_for_step(order)
            text = token_text(order.model, completion.prompt, index)
            chunk = _chunk_body(order.model, completion, text)
            await responder.write(_event(msgspec.json.encode(chunk)))
        await responder.write(_event(b'[DONE]'))
        await responder.end()

    async def _wait_for_step(self, order: Order) -> None:
        await curio.sleep(self._options.token_ms / _MILLISECONDS)
        await self._membership.wait_for_step(order)


def _read_completion(request: Request) -> Completion:
    body: dict[str, Any] = msgspec.json.decode(request.body)
    prompt = '\n'.join(message['content'] for message in body['messages'])
    return Completion(
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
    completion: Completion,
    text: str,
) -> dict[str, Any]:
    return {
        'id': completion.request,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [{'index': 0, 'delta': {'content': text}}],
    }


def _completion_body(
    model: str,
    completion: Completion,
    text: str,
) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': text}
    return {
        'id': completion.request,
        'object': 'chat.completion',
        'model': model,
        'choices': [
            {'index': 0, 'message': message, 'finish_reason': 'length'},
        ],
        'usage': {'completion_tokens': completion.tokens},
    }
