"""Instances that no replica owns, by fabric domain."""

from collections import defaultdict
from typing import Self

import attrs

from cranecart.declarations import Preference
from cranecart.placement._state import DomainState


@attrs.define
class FreeInstances:
    """Allocates free instances, each at most once."""

    _by_fabric: dict[str, list[str]]

    @classmethod
    def from_state(cls, state: DomainState) -> Self:
        """Collect the free instances, ordered by id."""
        by_fabric: dict[str, list[str]] = defaultdict(list)
        for name in sorted(state.instances):
            if state.is_free(name):
                fabric = state.instances[name].fabric_domain
                by_fabric[fabric].append(name)
        return cls(by_fabric)

    def take(self, fabric: str, count: int) -> tuple[str, ...]:
        """Take instances of one fabric domain, or none if there are too few."""
        free = self._by_fabric.get(fabric, [])
        if len(free) < count:
            return ()
        self._by_fabric[fabric] = free[count:]
        return tuple(free[:count])

    def choose_fabric(self, size: int, prefer: Preference) -> str | None:
        """Return the fabric domain for a new replica, if any has room.

        To strand few accelerators, choose the tightest fit. To keep downtime
        short, choose the emptiest, which leaves spares everywhere.
        """
        fits = [
            (len(free), fabric)
            for fabric, free in self._by_fabric.items()
            if len(free) >= size
        ]
        if not fits:
            return None
        choose = min if prefer is Preference.STRANDED else max
        return choose(fits)[1]
