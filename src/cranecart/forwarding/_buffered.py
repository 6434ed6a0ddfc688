"""Read a complete response from a target before it is sent to the client."""

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetFailedError
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._peer_requests import check_outcome
from cranecart.forwarding._sender import Sender, SilenceLimits
from cranecart.http import Response, ResponseHead
from cranecart.peer_calls import PeerCall, PeerClient, without_outcome
from cranecart.routing import Target

_FIRST_SERVER_ERROR_STATUS = 500
# Fraction of the longest silence after which the path to the target is checked.
_SUSPECT_FRACTION = 0.5


@attrs.define
class BufferedExchange:
    """One request whose response is forwarded only once it is complete.

    ``response`` is the latest complete response of any target, including error
    responses.
    """

    _sender: Sender
    _attempts: RoutedAttempts
    response: Response | None = attrs.field(default=None, init=False)

    async def attempt(self, attempt: Attempt, target: Target) -> None:
        """Fetch a response; raise ``TargetError`` to try another target."""
        call = self._attempts.call
        started = since_boot()
        limits = self._silence_limits(attempt)
        attempt_context = self._sender.start_attempt(
            call, target, limits, on_send=attempt.progress.record_sent
        )
        async with attempt_context as answer:
            body = await self._sender.read_with_limits(
                call,
                target,
                limits,
                answer.connection.read_body,
            )
            elapsed = since_boot() - started
            self._sender.router.gaps.record(call.service, elapsed)
        response = self._build_response(answer.head, body)
        if _has_failed(answer.head) and self._attempts.may_drop_error(attempt):
            self.response = response
            raise TargetFailedError(
                f'{target.instance.id} failed with status {answer.head.status}',
            )
        await self._attempts.handover.lead(attempt)
        self.response = response

    async def attempt_through(
        self, attempt: Attempt, client: PeerClient, call: PeerCall
    ) -> None:
        """Fetch the response that a peer receives."""
        async with client.start(call) as answer:
            check_outcome(client, call, answer.outcome)
            body = await client.read(call, answer.connection.read_body)
        await self._attempts.handover.lead(attempt)
        self.response = self._build_response(answer.head, body)

    def _silence_limits(self, attempt: Attempt) -> SilenceLimits:
        """Leave half of the objective for another target.

        Some targets accept requests and never answer although they appear
        healthy; a request would wait there until its deadline. If all targets
        are slow, the response times measured so far raise the limit, up to the
        longest silence that is considered normal.
        """
        call = self._attempts.call
        half_objective = call.route.objective_seconds / 2
        if not call.may_repeat:
            return SilenceLimits(half_objective, float('inf'))
        usual_seconds = self._sender.router.gaps.stall_seconds(call.service)
        replace_after = max(half_objective, usual_seconds)
        return SilenceLimits(
            _SUSPECT_FRACTION * replace_after,
            replace_after,
            replacement=self._attempts.replacement(self, attempt),
        )

    def _build_response(self, head: ResponseHead, body: bytes) -> Response:
        return Response(
            head.status,
            body=body,
            header_lines=without_outcome(
                self._sender.translator.response_headers(head)
            ),
            declared_length=self._declared_length(head),
        )

    def _declared_length(self, head: ResponseHead) -> str:
        """Return the length to declare without a body, for HEAD only."""
        if not self._attempts.call.request.is_head:
            return ''
        return head.headers.get('content-length', '')


def _has_failed(head: ResponseHead) -> bool:
    return head.status >= _FIRST_SERVER_ERROR_STATUS
