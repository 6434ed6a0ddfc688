"""Handle client requests: admit, route, forward and respond."""

import logging
import random
from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.dispatch import ClientRetryDetector
from cranecart.exceptions import (
    ConnectionBrokenError,
    InternalFaultError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
)
from cranecart.forwarding._admit import admit, find_route, match_route
from cranecart.forwarding._attempt_log import trace_stop
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._forwarder import (
    CallForwarder,
    cancel_on_disconnect,
    check_client,
)
from cranecart.forwarding._in_progress import RequestsInProgress
from cranecart.forwarding._peer_requests import PeersOfCall
from cranecart.forwarding._startup import StartupGate
from cranecart.http import Request, Responder
from cranecart.logs import RequestTrace, sampling_position
from cranecart.models import RouteConfig
from cranecart.ports import RequestInfo
from cranecart.quarantine import RequestGuard
from cranecart.retries import SharedRetryBudget

# Called with each request's outcome and the seconds to its first byte.
Observer = Callable[[str, float | None], None]

_LOG = logging.getLogger(__name__)
# Requests are read within some milliseconds unless this process was stopped or
# is overloaded.
_READ_LATE_SECONDS = 0.5


@attrs.define
class RoutedGateway:
    """Handles client requests according to the configured routes.

    ``_current_config`` returns the configuration in force and
    ``_success_log_fraction`` the fraction of successful requests to log.
    ``received_count`` is the number of all requests so far, and
    ``read_late_count`` that of those that waited long until they were read.
    ``_find_peers`` returns the nodes that a request may be passed on to.
    """

    _current_config: Callable[[], RouteConfig | None]
    _forwarder: CallForwarder
    _budget: SharedRetryBudget
    _guard: RequestGuard
    _random: random.Random
    _observe: Observer
    _success_log_fraction: Callable[[], float]
    _on_admitted: Callable[[RoutedCall], None]
    # Called for each completed stream with its number of events.
    _on_streamed: Callable[[RoutedCall, int], None]
    _startup_gate: StartupGate = attrs.field(factory=StartupGate)
    _find_peers: Callable[[], PeersOfCall] | None = None
    _returns: ClientRetryDetector = attrs.field(
        factory=ClientRetryDetector, init=False
    )
    in_progress: RequestsInProgress = attrs.field(
        factory=RequestsInProgress, init=False
    )
    received_count: int = attrs.field(default=0, init=False)
    read_late_count: int = attrs.field(default=0, init=False)

    @property
    def in_flight(self) -> int:
        """Return the number of requests being handled."""
        return self.in_progress.count

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle one request; it is cancelled if the client disconnects."""
        self.received_count += 1
        self.read_late_count += request.unread_seconds > _READ_LATE_SECONDS
        async with self.in_progress.track(), cancel_on_disconnect(responder):
            await self._answer(request, responder)

    def admits_head(self, request: Request) -> bool:
        """Return whether the body of a request is worth reading."""
        config = self._current_config()
        if config is None:
            return True
        try:
            facts = self._forwarder.sender.translator.read_request(request)
            match_route(request, facts, config)
        except RequestError:
            return False
        return True

    async def _answer(self, request: Request, responder: Responder) -> None:
        started = request.arrived_at
        trace = RequestTrace('')
        outcome = 'answered'
        try:
            facts = self._forwarder.sender.translator.read_request(request)
            trace.request_id = facts.request_id
            await check_client()
            await self._startup_gate.wait(
                _remaining_seconds(facts, started),
                lambda: self._is_late(request, facts, started),
            )
            call = self._with_retry_time(
                admit(
                    request,
                    facts,
                    self._current_config(),
                    self._random,
                    trace,
                    started,
                ),
            )
            _check_whole(request)
            await self._handle_admitted(call, responder)
        except RequestError as error:
            client_error = self._startup_gate.error_for_client(error)
            outcome = client_error.code
            await self._refuse(trace, client_error, responder, started)
        except (curio.CancelledError, ConnectionBrokenError):
            outcome = self._trace_end(trace, responder, started)
            await self._refuse_at_stop(trace, responder, started)
            raise
        except Exception as error:
            _LOG.exception('unexpected error while handling a request')
            client_error = InternalFaultError(repr(error))
            outcome = client_error.code
            await self._refuse(trace, client_error, responder, started)
        finally:
            self._observe(outcome, responder.seconds_to_first_byte(started))
            self._write_trace(trace, outcome)

    def _is_late(
        self, request: Request, facts: RequestInfo, started: float
    ) -> bool:
        """Return whether a request has missed its objective already."""
        config = self._current_config()
        if config is None:
            return False
        route = find_route(request, facts, config)
        elapsed = since_boot() - started
        return route is not None and elapsed > route.objective_seconds

    def _with_retry_time(self, call: RoutedCall) -> RoutedCall:
        """Add how long the client has been retrying a refused request."""
        retrying_for = self._returns.elapsed_seconds(
            call.route.name,
            call.facts.deadline_seconds,
            call.started_at,
        )
        return attrs.evolve(call, retrying_for_seconds=retrying_for)

    def _trace_end(
        self, trace: RequestTrace, responder: Responder, started: float
    ) -> str:
        """Log why a request ended without a response; return the outcome."""
        if self.in_progress.are_cut_off:
            return trace_stop(trace, started)
        return _trace_departure(trace, responder, started)

    def _write_trace(self, trace: RequestTrace, outcome: str) -> None:
        """Log a request, but only a fraction of the unremarkable ones."""
        position = sampling_position(trace.request_id)
        is_sampled = position < self._success_log_fraction()
        if is_sampled or trace.is_notable or outcome != 'answered':
            trace.write()

    async def _handle_admitted(
        self, call: RoutedCall, responder: Responder
    ) -> None:
        self.in_progress.stop_gate.check(call)
        self._on_admitted(call)
        _log_admitted(call)
        await self._forward(call, responder)
        self.in_progress.stop_gate.record(call)

    async def _forward(self, call: RoutedCall, responder: Responder) -> None:
        self._budget.record_request(call.service)
        attempts = RoutedAttempts.of_client(
            call,
            self._forwarder.sender.router,
            self._budget,
            self._guard,
            None if self._find_peers is None else self._find_peers(),
        )
        try:
            events = await self._forwarder.forward(attempts, responder)
        except RequestError as error:
            if error.retry_after is not None:
                self._returns.record_refusal(call.route.name, since_boot())
            raise
        if events is not None:
            self._on_streamed(call, events)

    async def _refuse_at_stop(
        self, trace: RequestTrace, responder: Responder, started: float
    ) -> None:
        """Send an error to a client that waits for the head of a response."""
        if self.in_progress.are_cut_off and not responder.has_started:
            # A target may have run the request.
            error = OutcomeUnknownError('this node stops')
            await self._refuse(trace, error, responder, started)

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
            after=_elapsed_since(started),
            begun=responder.has_started,
            return_after=error.retry_after,
        )
        if responder.has_started:
            raise ConnectionBrokenError(
                'response aborted after it had started',
            ) from error
        await responder.send(
            self._forwarder.sender.translator.error_response(
                trace.request_id,
                error.status,
                error.code,
                str(error),
                error.retry_after,
            ),
        )


def _check_whole(request: Request) -> None:
    """Raise ``OverloadedError`` if the body was not read."""
    if request.is_partial:
        raise OverloadedError(
            'all requests at hand take the memory that this node has for them'
        )


def _trace_departure(
    trace: RequestTrace, responder: Responder, started: float
) -> str:
    """Log that the client left or was cut off; return the outcome."""
    after = _elapsed_since(started)
    if responder.unread_seconds is None:
        trace.add('client_left', after=after)
        return 'client_left'
    unread_for = round(responder.unread_seconds, 3)
    trace.add('unread_cut', after=after, unread_for=unread_for)
    return 'unread_cut'


def _log_admitted(call: RoutedCall) -> None:
    call.trace.add(
        'admitted',
        age=round(call.elapsed_seconds, 3),
        unread=round(call.request.unread_seconds, 3),
        route=call.route.name,
        config=call.config.version,
        organisation=call.organisation,
        service=call.service,
        model=call.facts.model,
        left=round(call.seconds_left, 3),
        objective=call.route.objective_seconds,
        pause=call.route.pause_seconds,
        rank=call.rank,
    )


def _remaining_seconds(facts: RequestInfo, started: float) -> float | None:
    """Return the time until the client's deadline, None if it has none."""
    if facts.deadline_seconds is None:
        return None
    return max(0, facts.deadline_seconds - _elapsed_since(started))


def _elapsed_since(started: float) -> float:
    return round(since_boot() - started, 3)
