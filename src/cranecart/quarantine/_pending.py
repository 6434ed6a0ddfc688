"""Requests whose targets broke off, until it shows whether these had ended.

Something before a target may go on taking connections after it has ended, and a
target may fall silent for a moment before it does, so that its port tells nothing.
That it has ended shows seconds later then: another life stands under its id, or
its entry goes.
"""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import Incarnation
from cranecart.quarantine._cases import CaseUpdate, Termination

# What an end cuts breaks within this time; what comes later found the target
# gone, and had no part in its end.
_TOGETHER_SECONDS = 0.1
# An entry goes after three heartbeats of silence, 1.2 s each on the users'
# sheets, and is read within a second or two, also by who reads anew.
_KEPT_SECONDS = 8.0


@attrs.frozen
class _Break:
    """A request whose connection broke; ``begun`` is as with ``End``."""

    identity: str
    begun: bool
    at: float


@attrs.define
class _Breaks:
    """What broke at one life.

    It was surely alive at ``alive_at``, when an answer was cut that had begun.
    """

    first_at: float
    alive_at: float | None = None
    breaks: list[_Break] = attrs.field(factory=list)

    def at_termination(self) -> list[_Break]:
        """Return those that were there when the life ended."""
        ended_at = self.first_at if self.alive_at is None else self.alive_at
        return [
            one
            for one in self.breaks
            if one.begun or abs(one.at - ended_at) <= _TOGETHER_SECONDS
        ]


@attrs.define
class PendingTerminations:
    """Breaks of the last seconds, by life."""

    _clock: Callable[[], float] = since_boot
    _breaks: dict[Incarnation, _Breaks] = attrs.field(factory=dict, init=False)

    def record_break(
        self, incarnation: Incarnation, identity: str, *, begun: bool
    ) -> None:
        """Take over that a request's connection broke shortly after a begin.

        It has not begun where nobody can tell.
        """
        now = self._clock()
        known = self._breaks.setdefault(incarnation, _Breaks(now))
        known.breaks.append(_Break(identity, begun, now))
        if begun:
            known.alive_at = now

    def record_alive(self, incarnation: Incarnation) -> None:
        """Take over that an answer was cut that had been coming for long."""
        now = self._clock()
        self._breaks.setdefault(incarnation, _Breaks(now)).alive_at = now

    def pop_terminated(
        self,
        has_ended: Callable[[Incarnation], bool],
    ) -> list[CaseUpdate]:
        """Return what is known of requests whose targets have ended."""
        oldest = self._clock() - _KEPT_SECONDS
        found: list[CaseUpdate] = []
        for incarnation, known in list(self._breaks.items()):
            if has_ended(incarnation):
                self._breaks.pop(incarnation)
                found.extend(
                    CaseUpdate(
                        one.identity, (Termination(incarnation, one.begun),)
                    )
                    for one in known.at_termination()
                )
            elif known.first_at < oldest:
                self._breaks.pop(incarnation)
        return found
