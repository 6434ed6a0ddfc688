"""Get a whole answer from a target, then pass it on."""

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetBrokenError
from cranecart.forwarding._attempts import RoutedAttempts
from cranecart.forwarding._sender import Patience, Sender, TargetAnswer
from cranecart.http import Response
from cranecart.routing import Target

_SERVER_ERROR = 500


@attrs.define
class WholeExchange:
    """One request whose answer is passed on only once it is whole."""

    _sender: Sender
    _attempts: RoutedAttempts
    response: Response | None = attrs.field(default=None, init=False)

    async def attempt(self, target: Target) -> None:
        """Fetch an answer; raise ``TargetError`` where another may do."""
        call = self._attempts.call
        started = since_boot()
        patience = self._patience()
        async with self._sender.answer(call, target, patience) as answer:
            body = await self._sender.wait(
                call,
                target,
                patience,
                answer.connection.read_body,
            )
            self.response = self._response(answer, body)
            took = since_boot() - started
            self._sender.router.gaps.record(call.service, took)
        if self._is_worth_another(answer):
            raise TargetBrokenError(
                f'{target.instance.id} failed with {answer.head.status}',
            )

    def _patience(self) -> Patience:
        """Leave half of the objective for another target.

        Some targets take requests and never answer while they look healthy;
        without this such a request was held to its end. Where all are slow,
        that is known from the answers that came, and up to the longest silence
        that is ever suspected is usual.
        """
        if not self._attempts.may_try_another():
            return Patience(float('inf'), float('inf'))
        call = self._attempts.call
        usual = self._sender.router.gaps.stall_seconds(call.service)
        half = call.route.objective_seconds / 2
        return Patience(float('inf'), max(half, usual))

    def _is_worth_another(self, answer: TargetAnswer) -> bool:
        failed = answer.head.status >= _SERVER_ERROR
        return failed and self._attempts.may_try_another()

    def _response(self, answer: TargetAnswer, body: bytes) -> Response:
        return Response(
            answer.head.status,
            body=body,
            header_lines=self._sender.form.answer_lines(answer.head),
        )
