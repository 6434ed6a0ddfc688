"""Handle the requests that other nodes pass on."""

import random
from collections.abc import Callable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectionBrokenError, RequestError
from cranecart.forwarding._attempt_log import trace_stop
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._failures import AttemptFailures
from cranecart.forwarding._forwarder import (
    CallForwarder,
    cancel_on_disconnect,
    check_client,
)
from cranecart.forwarding._in_progress import RequestsInProgress
from cranecart.forwarding._peer_requests import (
    admit_from_peer,
    outcome_for_peer,
)
from cranecart.http import Responder, Response, ResponseMemory
from cranecart.logs import RequestTrace
from cranecart.models import RouteConfig
from cranecart.peer_calls import PeerKnowledge, PeerOutcome, PeerRequest
from cranecart.quarantine import RequestGuard
from cranecart.retries import SharedRetryBudget


@attrs.define
class PeerGateway:
    """Handles requests of other nodes' clients as those of its own.

    They are never passed on again, and only the node that received them counts
    them as demand and as requests. ``_knowledge`` is what this node knows of the
    others.
    """

    _current_config: Callable[[], RouteConfig | None]
    _forwarder: CallForwarder
    _budget: SharedRetryBudget
    _guard: RequestGuard
    _random: random.Random
    _knowledge: PeerKnowledge = attrs.field(factory=PeerKnowledge)
    in_progress: RequestsInProgress = attrs.field(
        factory=RequestsInProgress, init=False
    )

    @property
    def in_flight(self) -> int:
        """Return the number of requests being handled."""
        return self.in_progress.count

    @property
    def response_memory(self) -> ResponseMemory:
        """Return what bounds the responses that this node keeps."""
        return self._forwarder.sender.connections.memory

    async def handle(
        self, message: PeerRequest, responder: Responder, arrived_at: float
    ) -> None:
        """Handle one request; it is cancelled if the peer disconnects."""
        async with self.in_progress.track(), cancel_on_disconnect(responder):
            await self._answer(message, responder, arrived_at)

    async def _answer(
        self, message: PeerRequest, responder: Responder, arrived_at: float
    ) -> None:
        trace = RequestTrace('')
        responder.extra_headers = (PeerOutcome(from_target=True).to_header(),)
        self._knowledge.record_asking(message.sender, message.service)
        attempts = None
        try:
            attempts = self._admit(message, trace, arrived_at)
            await check_client()
            await self._forwarder.forward(
                attempts, responder, message.resume_after
            )
        except RequestError as error:
            outcome = self._outcome(error, message.service, attempts)
            await _refuse(trace, outcome, responder)
        except curio.CancelledError:
            if self.in_progress.are_cut_off:
                trace_stop(trace, arrived_at)
            raise
        finally:
            trace.write()

    def _outcome(
        self,
        error: RequestError,
        service: str,
        attempts: RoutedAttempts | None,
    ) -> PeerOutcome:
        """Return what the peer is told of a request that was given up."""
        able = self._knowledge.named_peers(service)
        if attempts is None:
            return outcome_for_peer(error, AttemptFailures(), able)
        refused_by = attempts.choice.refused_by
        return outcome_for_peer(
            error,
            attempts.state.failures,
            able,
            refused_by,
            attempts.choice.retry_after_seconds() if refused_by else None,
        )

    def _admit(
        self, message: PeerRequest, trace: RequestTrace, arrived_at: float
    ) -> RoutedAttempts:
        translator = self._forwarder.sender.translator
        facts = translator.read_request(message.to_request())
        trace.request_id = facts.request_id
        trace.add(
            'received_from_peer',
            peer=message.sender,
            tried=message.tried,
            age=round(since_boot() - arrived_at, 3),
            left=round(message.seconds_left, 3),
        )
        call = admit_from_peer(
            message,
            facts,
            self._current_config(),
            self._random,
            trace,
            arrived_at,
        )
        return RoutedAttempts.of_peer(
            call,
            message,
            self._forwarder.sender.router,
            self._budget,
            self._guard,
        )


async def _refuse(
    trace: RequestTrace, outcome: PeerOutcome, responder: Responder
) -> None:
    trace.add(
        'refused_to_peer',
        code=outcome.code,
        execution=outcome.execution.value,
        why=outcome.message,
        refused_by=outcome.refused_by,
        begun=responder.has_started,
    )
    if responder.has_started:
        raise ConnectionBrokenError('response aborted after it had started')
    responder.extra_headers = (outcome.to_header(),)
    await responder.send(Response(outcome.status))
