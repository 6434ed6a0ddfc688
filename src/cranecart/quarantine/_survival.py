"""Clear the segments of requests whose targets outlive their begin; no I/O.

A segment that crashes targets does so soon after a target has begun to answer
on it. One request that is answered for longer shows that its segments are not
the cause of the terminations before.
"""

from collections.abc import Callable, Mapping, Sequence

import attrs

from cranecart.ports import Incarnation
from cranecart.quarantine._case import CaseUpdate
from cranecart.quarantine._cases import CaseRegistry
from cranecart.quarantine._identity import segment_identities

# Twice the time in which a target counts as crashed by what it has begun.
_SURVIVAL_SECONDS = 0.5
# More than a target sends before it crashes: after a pause of this process, few
# parts seem to have taken long.
_SURVIVAL_PARTS = 5


@attrs.define
class SegmentSurvival:
    """The terminations that the answer to one attempt clears.

    Those known once it has lasted for a while, or else when it began: a segment
    may have turned bad since. ``_publish`` gets each update that clears some.
    """

    _cases: CaseRegistry
    _segments: Sequence[str]
    _clock: Callable[[], float]
    _publish: Callable[[CaseUpdate], None]
    _ends: Mapping[str, Sequence[Incarnation]] = attrs.field(
        factory=dict, init=False
    )
    _begun_at: float = attrs.field(default=float('inf'), init=False)
    _parts: int = attrs.field(default=0, init=False)
    _has_lasted: bool = attrs.field(default=False, init=False)

    def record_begun(self) -> None:
        """Record that the target may begin to answer, or has begun."""
        self._begun_at = self._clock()
        self._ends = self._known_ends()

    def record_part(self) -> None:
        """Record that a part of the answer arrived."""
        if self._has_lasted:
            return
        self._parts += 1
        seconds = self._clock() - self._begun_at
        if self._parts >= _SURVIVAL_PARTS and seconds >= _SURVIVAL_SECONDS:
            self._has_lasted = True
            self._ends = self._known_ends()
            self.clear()

    def clear(self) -> None:
        """Clear the terminations, as the target did not crash."""
        for update in self._cases.clear(self._ends):
            self._publish(update)
        self._ends = {}

    def _known_ends(self) -> Mapping[str, Sequence[Incarnation]]:
        if not self._segments or self._cases.is_empty:
            return {}
        return self._cases.ends_of(segment_identities(self._segments))
