"""Decide whether a node admits a call."""

import contextlib
import math
from collections import Counter
from collections.abc import Generator, Mapping

import attrs

from cranecart.declarations import OrganisationSpec, Priority
from cranecart.exceptions import OverLimitError, OverloadedError
from cranecart.limits._rates import TokenRateLimiter
from cranecart.limits._shares import LimitShares

_FULL = 1.0


@attrs.frozen
class Capacity:
    """How many calls a node admits at once, and the fraction per priority."""

    calls: int = 512
    fill: Mapping[Priority, float] = attrs.field(
        factory=lambda: {
            Priority.HIGH: _FULL,
            Priority.NORMAL: 0.9,
            Priority.LOW: 0.7,
        },
    )


@attrs.define
class Admission:
    """Counts the calls in progress on one node; enforces limits and capacity.

    Shares are rounded up, so that over all nodes an organisation has at most
    its limit of calls in progress plus one for each node.
    """

    _capacity: Capacity
    _shares: LimitShares
    _rates: TokenRateLimiter
    _in_progress: Counter[str] = attrs.field(factory=Counter, init=False)

    @property
    def in_progress(self) -> int:
        """Return how many calls are in progress."""
        return self._in_progress.total()

    @contextlib.contextmanager
    def admit(
        self,
        organisation: OrganisationSpec,
        priority: Priority,
        tokens: int = 0,
    ) -> Generator[None, None, None]:
        """Admit a call for as long as the context lasts.

        Raise ``OverLimitError`` or ``OverloadedError`` at once; never wait.
        """
        name = organisation.name
        self._shares.call_started(name)
        try:
            self._check(organisation, priority)
            self._rates.take(organisation, tokens)
            self._in_progress[name] += 1
            try:
                yield
            finally:
                self._in_progress[name] -= 1
        finally:
            self._shares.call_ended(name)

    def allowance(self, organisation: OrganisationSpec) -> int:
        """Return how many calls of an organisation this node admits at once."""
        limit = organisation.limits.concurrent_requests
        return math.ceil(limit * self._shares.share(organisation.name, limit))

    def _check(
        self,
        organisation: OrganisationSpec,
        priority: Priority,
    ) -> None:
        name = organisation.name
        if self._in_progress[name] >= self.allowance(organisation):
            raise OverLimitError(
                f'{name} has reached its limit of concurrent requests'
            )
        limit = self._capacity.calls * self._capacity.fill[priority]
        if self.in_progress >= limit:
            raise OverloadedError(
                f'the node is at capacity for requests of priority {priority.value}',
            )
