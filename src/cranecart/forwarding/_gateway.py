"""Answer clients' requests: admit, route, send, pass on."""

import random
import time
from collections.abc import Callable

import attrs
import curio

from cranecart.exceptions import (
    ConnectionBrokenError,
    RequestError,
)
from cranecart.forwarding._admit import admit
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._sender import Sender
from cranecart.forwarding._stream import StreamExchange
from cranecart.forwarding._whole import WholeExchange
from cranecart.http import Request, Responder
from cranecart.limits import SharedRetryBudget
from cranecart.logs import decision
from cranecart.models import RouteConfig

# Told of each request's outcome and of the seconds to its first byte.
Observer = Callable[[str, float | None], None]


@attrs.define
class RoutedGateway:
    """The path of a client's request through one node."""

    _current: Callable[[], RouteConfig | None]
    _sender: Sender
    _budget: SharedRetryBudget
    _random: random.Random
    _observe: Observer
    inside: int = attrs.field(default=0, init=False)
    taken: int = attrs.field(default=0, init=False)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request; its work ends at once if its client leaves."""
        self.inside += 1
        self.taken += 1
        serving = await curio.current_task()
        watch = await curio.spawn(
            self._cancel_when_left,
            responder,
            serving,
            daemon=True,
        )
        try:
            await self._answer(request, responder)
        finally:
            self.inside -= 1
            await watch.cancel()

    async def _cancel_when_left(
        self,
        responder: Responder,
        serving: curio.Task,
    ) -> None:
        await responder.client_left()
        await serving.cancel(blocking=False)

    async def _answer(self, request: Request, responder: Responder) -> None:
        started = time.monotonic()
        outcome = 'answered'
        request_id = ''
        try:
            facts = self._sender.form.read_request(request)
            request_id = facts.request_id
            call = admit(request, facts, self._current(), self._random)
            await self._forward(call, responder)
        except RequestError as error:
            outcome = error.code
            await self._refuse(request_id, error, responder, started)
        except curio.CancelledError:
            outcome = 'client_left'
            decision(
                'client_left',
                request=request_id,
                after=round(time.monotonic() - started, 3),
            )
            raise
        finally:
            self._observe(outcome, responder.seconds_to_first_byte(started))

    async def _forward(self, call: RoutedCall, responder: Responder) -> None:
        attempts = RoutedAttempts(call, self._sender.router, self._budget)
        if call.route.streaming:
            stream = StreamExchange(self._sender, attempts, responder)
            await attempts.run(stream.attempt)
            response = stream.response
        else:
            whole = WholeExchange(self._sender, attempts)
            await _run_whole(attempts, whole)
            response = whole.response
        if response is not None:
            await responder.send(response)

    async def _refuse(
        self,
        request_id: str,
        error: RequestError,
        responder: Responder,
        started: float,
    ) -> None:
        decision(
            'refused',
            request=request_id,
            code=error.code,
            status=error.status,
            execution=error.execution.value,
            why=str(error),
            after=round(time.monotonic() - started, 3),
            begun=responder.has_started,
        )
        if responder.has_started:
            raise ConnectionBrokenError('cut short') from error
        await responder.send(
            self._sender.form.refusal(
                request_id,
                error.status,
                error.code,
                str(error),
                error.retry_after,
            ),
        )


async def _run_whole(
    attempts: RoutedAttempts,
    whole: WholeExchange,
) -> None:
    """Run the attempts; a target's own failure stands if none does better."""
    try:
        await attempts.run(whole.attempt)
    except RequestError:
        if whole.response is None:
            raise
