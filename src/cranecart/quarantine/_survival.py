"""Clear the segments of requests that outlast those at terminations; no I/O.

A segment that crashes targets does so after about the same time in each request.
One that is answered for much longer than another had been at its target, or
completely, shows that its segments are not the cause of that termination.
"""

from collections.abc import Callable, Sequence

import attrs

from cranecart.quarantine._case import CaseUpdate
from cranecart.quarantine._cases import CaseRegistry
from cranecart.quarantine._identity import segment_identities

# Shorter answers may end their target a moment later.
_SURVIVAL_SECONDS = 0.5
# More than a target sends before it crashes: after a pause of this process, few
# parts seem to have taken long.
_SURVIVAL_PARTS = 5
_CHECK_INTERVAL_SECONDS = 0.25


@attrs.define
class SegmentSurvival:
    """What one attempt says about terminations under its segments.

    ``_publish`` gets each update that clears some.
    """

    _cases: CaseRegistry
    _segments: Sequence[str]
    _clock: Callable[[], float]
    _publish: Callable[[CaseUpdate], None]
    _began_at: float = attrs.field(default=float('-inf'), init=False)
    _parts: int = attrs.field(default=0, init=False)
    _check_at: float = attrs.field(default=0, init=False)

    def record_begun(self) -> None:
        """Record that the target may begin to answer, or has begun."""
        self._began_at = self._clock()
        self._check_at = self._began_at + _SURVIVAL_SECONDS

    def record_part(self) -> None:
        """Record that a part of the answer arrived."""
        self._parts += 1
        if self._parts < _SURVIVAL_PARTS or self._cases.is_empty:
            return
        now = self._clock()
        if now >= self._check_at:
            self._check_at = now + _CHECK_INTERVAL_SECONDS
            self._clear_outlasted(now - self._began_at)

    def clear(self) -> None:
        """Clear what a request shows that was answered completely."""
        if not self._cases.is_empty:
            self._clear_outlasted(None)

    def _clear_outlasted(self, seconds: float | None) -> None:
        identities = segment_identities(self._segments)
        for update in self._cases.outlasted(
            identities, self._began_at, seconds
        ):
            self._publish(update)
