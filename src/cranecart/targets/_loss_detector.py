"""Detect instances that no node has reached for some time."""

from collections.abc import Callable, Iterable

import attrs

# How long an instance must be unreachable for all nodes to count as lost.
LOST_AFTER_SECONDS = 3.0
_UPDATE_INTERVAL_SECONDS = 0.5


@attrs.define
class LossDetector:
    """When each instance was last reached, not counting process pauses."""

    _reached_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _updated_at: float = attrs.field(default=float('-inf'), init=False)

    def keep_only(self, instance_ids: Iterable[str], now: float) -> None:
        """Replace the set of instances; the timers of new ones start now."""
        self._reached_at = {
            instance_id: self._reached_at.get(instance_id, now)
            for instance_id in instance_ids
        }

    def restart_timers(self, now: float) -> None:
        """Restart the timers of all instances after a process pause."""
        self._reached_at = dict.fromkeys(self._reached_at, now)

    def update(self, is_reached: Callable[[str], bool], now: float) -> None:
        """Record which instances are reached, at most twice a second."""
        if now - self._updated_at < _UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        self._reached_at.update(
            dict.fromkeys(filter(is_reached, self._reached_at), now),
        )

    def lost_instances(
        self,
        is_reached: Callable[[str], bool],
        now: float,
    ) -> frozenset[str]:
        """Return the instances that count as lost."""
        return frozenset(
            instance_id
            for instance_id, reached_at in self._reached_at.items()
            if now - reached_at > LOST_AFTER_SECONDS
            and not is_reached(instance_id)
        )
