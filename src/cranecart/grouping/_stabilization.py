"""Tell since when nothing has come to or gone from a fabric domain."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import ListedInstance

# Instances that return together are listed one by one, within a heartbeat of
# 1.2 s on both users' sheets.
_HEARTBEAT_QUIET_SECONDS = 1.3
# At the first start the list grows every few milliseconds until it is whole;
# nine instances of a fabric domain that returns come a sixth of a second
# apart.
_STARTUP_QUIET_SECONDS = 0.35


@attrs.define
class ListStabilization:
    """The instances of each fabric domain, and when they last changed."""

    _clock: Callable[[], float] = since_boot
    _instance_ids: dict[str, frozenset[str]] = attrs.field(
        factory=dict, init=False
    )
    _changed_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _listed_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def update(self, instances: Iterable[ListedInstance]) -> None:
        """Take over which instances are listed now."""
        current: dict[str, set[str]] = defaultdict(set)
        for instance in instances:
            current[instance.fabric_domain].add(instance.id)
        now = self._clock()
        for fabric in current.keys() | self._instance_ids.keys():
            names = frozenset(current.get(fabric, ()))
            if names != self._instance_ids.get(fabric):
                self._instance_ids[fabric] = names
                self._changed_at[fabric] = now
        listed = frozenset().union(*self._instance_ids.values())
        self._listed_at = {
            name: self._listed_at.get(name, now) for name in listed
        }

    def may_load(self, fabric_domain: str) -> bool:
        """Tell whether no better member is about to be listed.

        A replica whose members must load first takes so long that it pays
        to wait for instances that have the model already.
        """
        return self._seconds_unchanged(fabric_domain) > _HEARTBEAT_QUIET_SECONDS

    def may_use(self, members: Iterable[ListedInstance]) -> bool:
        """Tell whether no member came with others that are still coming.

        What the first of them could form is not what all of them should.
        """
        now = self._clock()
        return all(
            now - self._listed_at.get(one.id, now) > _HEARTBEAT_QUIET_SECONDS
            or self._seconds_unchanged(one.fabric_domain)
            > _STARTUP_QUIET_SECONDS
            for one in members
        )

    def is_stable(self) -> bool:
        """Tell whether the list of a starting deployment seems complete."""
        return all(
            self._seconds_unchanged(name) > _STARTUP_QUIET_SECONDS
            for name in self._instance_ids
        )

    def _seconds_unchanged(self, fabric_domain: str) -> float:
        return self._clock() - self._changed_at.get(fabric_domain, float('inf'))
