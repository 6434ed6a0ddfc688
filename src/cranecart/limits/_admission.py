"""Decide at the door whether a call may come in now."""

import contextlib
import math
from collections import Counter
from collections.abc import Callable, Generator, Mapping

import attrs

from cranecart.exceptions import LimitedError, OverloadedError
from cranecart.models import OrganisationSpec, Priority

_ALL = 1.0


@attrs.frozen
class Capacity:
    """How many calls a node holds, and how full is full for a priority."""

    calls: int = 512
    fill: Mapping[Priority, float] = attrs.field(
        factory=lambda: {
            Priority.HIGH: _ALL,
            Priority.NORMAL: 0.9,
            Priority.LOW: 0.7,
        },
    )


@attrs.define
class Admission:
    """Counts the calls inside one node.

    ``share`` gives the part of an organisation's limit that this node may
    admit; over all nodes the parts add up to one.
    """

    _capacity: Capacity
    _share: Callable[[str], float]
    _inside: Counter[str] = attrs.field(factory=Counter, init=False)

    @property
    def inside(self) -> int:
        """Return how many calls are in progress."""
        return self._inside.total()

    def inside_of(self, organisation: str) -> int:
        """Return how many calls of an organisation are in progress."""
        return self._inside[organisation]

    @contextlib.contextmanager
    def admit(
        self,
        organisation: OrganisationSpec,
        priority: Priority,
    ) -> Generator[None, None, None]:
        """Hold a place while a call is in progress.

        Raise ``LimitedError`` or ``OverloadedError`` at once, never wait.
        """
        name = organisation.name
        if self._inside[name] >= self.allowance(organisation):
            raise LimitedError(f'{name} has its share of calls in progress')
        limit = self._capacity.calls * self._capacity.fill[priority]
        if self.inside >= limit:
            raise OverloadedError(
                f'the node is too full for priority {priority.value}',
            )
        self._inside[name] += 1
        try:
            yield
        finally:
            self._inside[name] -= 1

    def allowance(self, organisation: OrganisationSpec) -> int:
        """Return how many calls of an organisation this node admits."""
        share = self._share(organisation.name)
        return math.ceil(organisation.limits.concurrent_requests * share)
