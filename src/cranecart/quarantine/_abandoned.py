"""Attempts that were given up while their targets may still run them.

A target may crash later than an attempt waits: the deadline passes, the client
leaves, or the request moves to another target. What the crash says about the
request must not be lost with the wait. This module does no I/O.
"""

from collections.abc import Callable, Collection, Iterator, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation
from cranecart.quarantine._runner import Runner
from cranecart.quarantine._suspect import Suspect

# A target cancels an abandoned request once it notices the closed connection.
# One that terminates later than this had another cause.
_RETENTION_SECONDS = 2.0


@attrs.frozen
class AbandonedAttempt:
    """A suspect of an attempt that was given up."""

    suspect: Suspect
    runner: Runner
    at: float

    @property
    def identity(self) -> str:
        """Return the identity of the request or segment."""
        return self.suspect.identity


@attrs.define
class AbandonedAttempts:
    """The abandoned attempts of the last seconds, by incarnation and request.

    Of several attempts at a request at one incarnation only the last counts.
    """

    _clock: Callable[[], float] = since_boot
    _attempts: dict[Incarnation, dict[str, AbandonedAttempt]] = attrs.field(
        factory=dict, init=False
    )

    def __len__(self) -> int:
        """Return the number of attempts, expired ones included."""
        return sum(map(len, self._attempts.values()))

    def __iter__(self) -> Iterator[AbandonedAttempt]:
        """Return the attempts that have not expired."""
        oldest = self._clock() - _RETENTION_SECONDS
        for attempts in self._attempts.values():
            yield from (
                attempt for attempt in attempts.values() if attempt.at > oldest
            )

    def record(self, suspect: Suspect, runner: Runner) -> None:
        """Record that an attempt was given up."""
        attempts = self._attempts.setdefault(runner.incarnation, {})
        attempts[suspect.identity] = AbandonedAttempt(
            suspect, runner, self._clock()
        )

    def incarnations(self) -> Collection[Incarnation]:
        """Return the incarnations that may still run abandoned requests."""
        return self._attempts.keys()

    def seconds_left(self, incarnation: Incarnation) -> float:
        """Return how long the latest attempt at an incarnation still counts."""
        attempts = self._attempts.get(incarnation, {}).values()
        latest = max((attempt.at for attempt in attempts), default=None)
        if latest is None:
            return 0
        return max(0, latest + _RETENTION_SECONDS - self._clock())

    def pop(self, incarnation: Incarnation) -> Sequence[AbandonedAttempt]:
        """Drop the attempts at an incarnation; return the unexpired ones."""
        oldest = self._clock() - _RETENTION_SECONDS
        attempts = self._attempts.pop(incarnation, {})
        return [attempt for attempt in attempts.values() if attempt.at > oldest]

    def forget(self, identity: str) -> None:
        """Drop the attempts at a request, which was served elsewhere."""
        for incarnation, attempts in list(self._attempts.items()):
            attempts.pop(identity, None)
            if not attempts:
                self._attempts.pop(incarnation)

    def drop_expired(self) -> None:
        """Drop the attempts that no longer count."""
        unexpired = list(self)
        self._attempts = {}
        for attempt in unexpired:
            attempts = self._attempts.setdefault(attempt.runner.incarnation, {})
            attempts[attempt.identity] = attempt
