"""Space the copies of isolated requests in time; no I/O.

A copy that was sent shortly before may just be crashing another target, which
shows only once the connection to that target breaks. Nodes learn of a
termination at the same moment, so that each adds a drawn time of its own.
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
    """When this node last sent each isolated request."""

    _cases: CaseRegistry
    _clock: Callable[[], float] = since_boot
    # Differs between nodes.
    _seed: float = attrs.field(factory=random.random)
    _sent_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_sent(self, identity: str) -> None:
        """Record that an isolated request is being sent."""
        self._sent_at[identity] = self._clock()

    def seconds_to_wait(self, identity: Callable[[], str]) -> float:
        """Return for how long a request must not be sent yet.

        The identity is computed only if there are any cases.
        """
        if self._cases.is_empty:
            return 0
        digest = identity()
        case = self._cases.find(digest)
        if case is None or self._cases.verdict(digest) is not Verdict.ISOLATED:
            return 0
        sent_at = self._sent_at.get(digest, case.changed_at)
        since = max(sent_at, case.changed_at)
        # The same time is drawn whenever it is asked for.
        source = random.Random(f'{self._seed} {digest} {since}')
        settled_at = since + _SETTLE_SECONDS
        settled_at += source.uniform(0, _SPREAD_SECONDS)
        return max(0, settled_at - self._clock())

    def drop_expired(self) -> None:
        """Drop the sends that delay no copy any more."""
        oldest = self._clock() - _SETTLE_SECONDS - _SPREAD_SECONDS
        self._sent_at = {
            identity: at
            for identity, at in self._sent_at.items()
            if at > oldest
        }
