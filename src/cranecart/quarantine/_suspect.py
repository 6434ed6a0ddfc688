"""What an attempt may have crashed its target with; no I/O."""

import attrs

from cranecart.ports import Incarnation
from cranecart.quarantine._case import CaseUpdate, Termination


@attrs.frozen
class Suspect:
    """A request, or a segment of its prompt, at a target.

    ``begun`` as in ``Termination``. ``since`` is when the target had begun to
    answer, or else was sent the request.
    """

    identity: str
    begun: bool
    since: float

    def ended(self, incarnation: Incarnation, now: float) -> CaseUpdate:
        """Return the update for the termination of its target."""
        age = round(max(0, now - self.since), 3)
        termination = Termination(incarnation, self.begun, age)
        return CaseUpdate(self.identity, (termination,))
