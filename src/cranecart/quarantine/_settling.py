"""Space the copies of isolated requests in time; no I/O.

A copy that was sent shortly before may just be crashing another target, which
shows only once the connection to that target breaks. Nodes tell each other of
terminations and of copies, but learn of them at the same moment, so that each
adds a drawn time of its own.
"""

import random
from collections.abc import Callable, Collection

import attrs

from cranecart.clocks import since_boot
from cranecart.quarantine._case import Case, Verdict
from cranecart.quarantine._cases import CaseRegistry
from cranecart.quarantine._identity import segment_identities

# Twice the time in which a request crashes its target as it begins there.
_SETTLE_SECONDS = 0.25
_SPREAD_SECONDS = 0.75


@attrs.define
class IsolatedSends:
    """When this node may send copies of isolated requests."""

    _cases: CaseRegistry
    _clock: Callable[[], float] = since_boot
    # Differs between nodes.
    _seed: float = attrs.field(factory=random.random)

    def seconds_to_wait(
        self,
        identity: Callable[[], str],
        paused_seconds: float = 0,
        segments: Collection[str] = (),
    ) -> float:
        """Return for how long a request must not be sent yet.

        ``paused_seconds`` in which this process did not run are added. The
        identity is computed only if there are any cases.
        """
        if self._cases.is_empty:
            return 0
        digest = identity()
        keys = segment_identities(segments)
        if self._cases.verdict(digest, keys) is not Verdict.ISOLATED:
            return 0
        isolating = self._cases.isolating_cases(digest, keys)
        settled_at = max(map(self._settled_at, isolating)) + paused_seconds
        return max(0, settled_at - self._clock())

    def _settled_at(self, case: Case) -> float:
        # The same time is drawn whenever it is asked for.
        source = random.Random(
            f'{self._seed} {case.identity} {case.changed_at}'
        )
        spread = source.uniform(0, _SPREAD_SECONDS)
        return case.changed_at + _SETTLE_SECONDS + spread
