"""Space the copies of isolated requests in time; no I/O.

A copy that was sent shortly before may just be crashing another target, which
shows only once the connection to that target breaks. Nodes tell each other of
terminations and of copies, but learn of them at the same moment, so that each
adds a drawn time of its own.
"""

import random
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.quarantine._cases import CaseRegistry, Verdict

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
        self, identity: Callable[[], str], paused_seconds: float = 0
    ) -> float:
        """Return for how long a request must not be sent yet.

        ``paused_seconds`` in which this process did not run are added. The
        identity is computed only if there are any cases.
        """
        if self._cases.is_empty:
            return 0
        digest = identity()
        case = self._cases.find(digest)
        if case is None or self._cases.verdict(digest) is not Verdict.ISOLATED:
            return 0
        # The same time is drawn whenever it is asked for.
        source = random.Random(f'{self._seed} {digest} {case.changed_at}')
        settled_at = case.changed_at + _SETTLE_SECONDS + paused_seconds
        settled_at += source.uniform(0, _SPREAD_SECONDS)
        return max(0, settled_at - self._clock())
