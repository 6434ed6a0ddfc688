"""Track how long the instance list has been unchanged."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

from cranecart.clocks import since_boot
from cranecart.ports import ListedInstance

# Instances that return together are listed one by one, within a heartbeat of
# 1.2 s in both reference deployments.
_HEARTBEAT_QUIET_SECONDS = 1.3
# At the first start the list grows every few milliseconds until it is complete.
# When a fabric domain of nine instances returns, they appear a sixth of a
# second apart.
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
        """Record which instances are listed now."""
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
        """Return whether no better member is likely to be listed soon.

        A replica with members that must load takes so long to form that waiting
        for instances that already have the model pays off.
        """
        return self._seconds_unchanged(fabric_domain) > _HEARTBEAT_QUIET_SECONDS

    def may_use(self, members: Iterable[ListedInstance]) -> bool:
        """Return whether no member belongs to a group that is still arriving.

        What the first instances of a group could form is not what the whole
        group should form.
        """
        now = self._clock()
        return all(
            now - self._listed_at.get(member.id, now) > _HEARTBEAT_QUIET_SECONDS
            or self._seconds_unchanged(member.fabric_domain)
            > _STARTUP_QUIET_SECONDS
            for member in members
        )

    def is_stable(self) -> bool:
        """Return whether the list of a starting deployment seems complete."""
        return all(
            self._seconds_unchanged(name) > _STARTUP_QUIET_SECONDS
            for name in self._instance_ids
        )

    def _seconds_unchanged(self, fabric_domain: str) -> float:
        return self._clock() - self._changed_at.get(fabric_domain, float('inf'))
