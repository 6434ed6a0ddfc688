"""Answer clients' requests: admit, route, send, pass on."""

import logging
import random
import zlib
from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.dispatch import ClientRetryDetector
from cranecart.exceptions import (
    ConnectionBrokenError,
    InternalFaultError,
    OutcomeUnknownError,
    RequestError,
)
from cranecart.forwarding._admit import admit
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._sender import Sender
from cranecart.forwarding._starting import StartGate
from cranecart.forwarding._stream import StreamExchange
from cranecart.forwarding._whole import WholeExchange
from cranecart.http import Request, Responder
from cranecart.logs import RequestTrace
from cranecart.models import RouteConfig
from cranecart.quarantine import RequestGuard
from cranecart.retries import SharedRetryBudget

# Told of each request's outcome and of the seconds to its first byte.
Observer = Callable[[str, float | None], None]

_LOG = logging.getLogger(__name__)
_CRC_RANGE = 1 << 32  # noqa: WPS432
_MILLISECONDS = 1000


@attrs.define
class RoutedGateway:
    """The path of a client's request through one node."""

    _current: Callable[[], RouteConfig | None]
    _sender: Sender
    _budget: SharedRetryBudget
    _guard: RequestGuard
    _random: random.Random
    _observe: Observer
    _success_share: Callable[[], float]
    _admitted: Callable[[RoutedCall], None]
    # Told of each stream that ended well, and how many events it had.
    _streamed: Callable[[RoutedCall, int], None]
    _starting: StartGate = attrs.field(factory=StartGate)
    _returns: ClientRetryDetector = attrs.field(
        factory=ClientRetryDetector, init=False
    )
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
        await responder.wait_for_disconnect()
        await serving.cancel(blocking=False)

    async def _answer(self, request: Request, responder: Responder) -> None:
        started = since_boot()
        trace = RequestTrace('')
        outcome = 'answered'
        try:
            facts = self._sender.form.read_request(request)
            trace.request_id = facts.request_id
            await self._starting.wait(facts.deadline_seconds)
            call = self._with_return(
                admit(
                    request,
                    facts,
                    self._current(),
                    self._random,
                    trace,
                    started,
                ),
            )
            self._admitted(call)
            _tell_admitted(call)
            await self._forward(call, responder)
        except RequestError as error:
            told = self._starting.explain(error)
            outcome = told.code
            await self._refuse(trace, told, responder, started)
        except (curio.CancelledError, ConnectionBrokenError):
            outcome = 'client_left'
            trace.add('client_left', after=_since(started))
            raise
        except Exception as error:
            _LOG.exception('a request met a fault of this node')
            fault = InternalFaultError(repr(error))
            outcome = fault.code
            await self._refuse(trace, fault, responder, started)
        finally:
            self._observe(outcome, responder.seconds_to_first_byte(started))
            self._write(trace, outcome)

    def _with_return(self, call: RoutedCall) -> RoutedCall:
        """Note since when a client that was refused has been asking."""
        returned = self._returns.elapsed_seconds(
            call.route.name,
            call.facts.deadline_seconds,
            call.started_at,
        )
        return attrs.evolve(call, returned_seconds=returned)

    def _write(self, trace: RequestTrace, outcome: str) -> None:
        """Log a request, but only a share of the ordinary ones."""
        share = zlib.crc32(trace.request_id.encode()) / _CRC_RANGE
        is_drawn = share < self._success_share()
        if is_drawn or trace.is_notable or outcome != 'answered':
            trace.write()

    async def _forward(self, call: RoutedCall, responder: Responder) -> None:
        attempts = RoutedAttempts(
            call,
            self._sender.router,
            self._budget,
            self._guard,
        )
        try:
            await self._attempt(call, attempts, responder)
        except RequestError as error:
            if error.retry_after is not None:
                self._returns.record_refusal(call.route.name, since_boot())
            raise
        except ConnectionBrokenError:
            raise
        except Exception as error:
            if not attempts.tried:
                raise
            # A target may have run it, so that nobody may say it has not.
            _LOG.exception('a request met a fault of this node')
            raise OutcomeUnknownError(repr(error)) from error

    async def _attempt(
        self,
        call: RoutedCall,
        attempts: RoutedAttempts,
        responder: Responder,
    ) -> None:
        if call.route.streaming:
            stream = StreamExchange(self._sender, attempts, responder)
            await attempts.run(stream.attempt)
            response = stream.response
            if response is None:
                self._streamed(call, stream.cutter.events)
                _tell_stream(call, attempts, stream)
        else:
            whole = WholeExchange(self._sender, attempts)
            await _run_whole(attempts, whole)
            response = whole.response
        if response is not None:
            await responder.send(response)
            call.trace.add(
                'answered',
                status=response.status,
                after=_since(call.started_at),
                tried=attempts.tried,
            )

    async def _refuse(
        self,
        trace: RequestTrace,
        error: RequestError,
        responder: Responder,
        started: float,
    ) -> None:
        trace.add(
            'refused',
            code=error.code,
            status=error.status,
            execution=error.execution.value,
            why=str(error),
            after=_since(started),
            begun=responder.has_started,
            return_after=error.retry_after,
        )
        if responder.has_started:
            raise ConnectionBrokenError('cut short') from error
        await responder.send(
            self._sender.form.refusal(
                trace.request_id,
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


def _tell_admitted(call: RoutedCall) -> None:
    call.trace.add(
        'admitted',
        route=call.route.name,
        config=call.config.version,
        organisation=call.organisation,
        service=call.service,
        model=call.facts.model,
        left=round(call.seconds_left, 3),
        objective=call.route.objective_seconds,
        pause=call.route.pause_seconds,
    )


def _tell_stream(
    call: RoutedCall,
    attempts: RoutedAttempts,
    stream: StreamExchange,
) -> None:
    timing = stream.timing
    call.trace.add(
        'streamed',
        model=call.facts.model,
        prompt=call.facts.prompt_tokens,
        events=stream.cutter.events,
        first_ms=round(timing.first * _MILLISECONDS),
        gap_ms=round(timing.longest_gap * _MILLISECONDS),
        tried=attempts.tried,
    )


def _since(started: float) -> float:
    return round(since_boot() - started, 3)
