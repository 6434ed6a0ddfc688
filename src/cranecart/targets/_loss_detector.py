"""For how long nobody has reached each instance."""

from collections.abc import Callable, Iterable

import attrs

# How long nobody must reach an instance until it is given up.
LOST_AFTER_SECONDS = 3.0
_UPDATE_INTERVAL_SECONDS = 0.5


@attrs.define
class LossDetector:
    """When each instance was reached last, as far as this node was awake."""

    _reached_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _updated_at: float = attrs.field(default=float('-inf'), init=False)

    def keep_only(self, names: Iterable[str], now: float) -> None:
        """Take over which instances there are; new ones count from now."""
        self._reached_at = {
            name: self._reached_at.get(name, now) for name in names
        }

    def restart_timers(self, now: float) -> None:
        """Give all their time anew, after a pause of this process."""
        self._reached_at = dict.fromkeys(self._reached_at, now)

    def update(self, is_reached: Callable[[str], bool], now: float) -> None:
        """Note who is reached, at most a few times a second."""
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
        """Return the instances that were silent for long enough."""
        return frozenset(
            name
            for name, reached_at in self._reached_at.items()
            if now - reached_at > LOST_AFTER_SECONDS and not is_reached(name)
        )
