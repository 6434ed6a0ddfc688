"""Requests with broken connections whose targets may have terminated.

A probe of the port may miss a termination: a proxy in front of the target may
still accept connections, or the target may hang for a moment before it
terminates. The list shows the termination seconds later: another incarnation
appears under the id, or the entry is removed.
"""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation
from cranecart.quarantine._case import CaseUpdate
from cranecart.quarantine._suspect import Suspect

# A termination breaks all connections to the target within this time. A request
# whose connection breaks later met a target that had already terminated, and
# did not cause the termination.
_SIMULTANEOUS_SECONDS = 0.1
# An entry is removed after three missed heartbeats, 1.2 s each on the specified
# deployments, and is read within another second or two, also by nodes that
# read the whole list again.
_RETENTION_SECONDS = 8.0


@attrs.frozen
class _Break:
    """A suspect whose connection broke."""

    suspect: Suspect
    at: float


@attrs.define
class _Breaks:
    """The connections that broke at one incarnation.

    It was certainly alive at ``alive_at``, when an answer that had begun was
    cut off.
    """

    first_at: float
    alive_at: float | None = None
    breaks: list[_Break] = attrs.field(factory=list)

    def at_termination(self) -> list[_Break]:
        """Return the requests that were there when the incarnation ended."""
        terminated_at = (
            self.first_at if self.alive_at is None else self.alive_at
        )
        return [
            entry
            for entry in self.breaks
            if entry.suspect.begun
            or abs(entry.at - terminated_at) <= _SIMULTANEOUS_SECONDS
        ]


@attrs.define
class PendingTerminations:
    """The broken connections of the last seconds, by incarnation."""

    _clock: Callable[[], float] = since_boot
    _breaks: dict[Incarnation, _Breaks] = attrs.field(factory=dict, init=False)

    def record_break(self, incarnation: Incarnation, suspect: Suspect) -> None:
        """Record that a connection broke under a request."""
        now = self._clock()
        broken = self._breaks.setdefault(incarnation, _Breaks(now))
        broken.breaks.append(_Break(suspect, now))
        if suspect.begun:
            broken.alive_at = now

    def record_alive(self, incarnation: Incarnation) -> None:
        """Record that an answer was cut off after arriving for a while."""
        now = self._clock()
        self._breaks.setdefault(incarnation, _Breaks(now)).alive_at = now

    def pop_terminated(
        self,
        has_terminated: Callable[[Incarnation], bool],
    ) -> list[CaseUpdate]:
        """Return updates for requests whose targets have terminated.

        These targets and expired entries are dropped.
        """
        oldest = self._clock() - _RETENTION_SECONDS
        updates: list[CaseUpdate] = []
        for incarnation, broken in list(self._breaks.items()):
            if has_terminated(incarnation):
                self._breaks.pop(incarnation)
                updates.extend(
                    entry.suspect.ended(incarnation, entry.at)
                    for entry in broken.at_termination()
                )
            elif broken.first_at < oldest:
                self._breaks.pop(incarnation)
        return updates
