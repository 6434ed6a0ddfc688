"""What the attempts at a request have come to so far."""

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetError
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._attempt_log import trace_failure
from cranecart.forwarding._backoff import Backoff
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._failures import AttemptFailures
from cranecart.retries import RequestRetries


@attrs.define
class RequestState:
    """The failures and retries of one request.

    ``has_begun`` is whether a target has sent an event of a stream, ``is_of_peer``
    whether another node has passed the request on.
    """

    call: RoutedCall
    retries: RequestRetries
    is_of_peer: bool = False
    has_begun: bool = False
    failures: AttemptFailures = attrs.field(factory=AttemptFailures, init=False)
    backoff: Backoff = attrs.field(factory=Backoff, init=False)

    @property
    def may_wait(self) -> bool:
        """Return whether the request waits where no target takes it.

        A stream that has begun would be cut, as its client cannot be asked to
        come back. A peer can be told, and may know other ways.
        """
        return self.has_begun and not self.is_of_peer

    @property
    def may_retry(self) -> bool:
        """Return whether another attempt may follow the failed ones.

        The retry budget is not asked.
        """
        return self.failures.allow_another(self.call, may_wait=self.may_wait)

    def attempts_left(self, target_count: int) -> int:
        """Return how many targets may be tried beside those that run it."""
        used = self.failures.used_attempts(may_wait=self.may_wait)
        return self.call.route.attempts - used - target_count

    def record_failure(self, attempt: Attempt, error: TargetError) -> None:
        """Record that an attempt has failed."""
        self.failures.record(error, attempt.target_count)
        if self.failures.was_refused:
            self.backoff.postpone(since_boot())
        if attempt.is_charged and not self.failures.was_sent:
            self.retries.restore()
        trace_failure(self.call, attempt.name, error)

    def postpone(self, reason: str) -> bool:
        """Put the next attempt off; return whether there may be one."""
        if not self.may_wait or not self.may_retry:
            return False
        self.backoff.postpone(since_boot())
        self.call.trace.add('waits_for_target', why=reason)
        return True

    async def wait(self) -> None:
        """Return once the next attempt may follow."""
        seconds = self.backoff.seconds_left(since_boot())
        if seconds and self.may_wait:
            await curio.sleep(max(0, min(seconds, self.call.seconds_left)))
