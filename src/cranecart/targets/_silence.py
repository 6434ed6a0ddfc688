"""For how long nobody has reached each instance."""

from collections.abc import Callable, Iterable

import attrs

# How long nobody must reach an instance until it is given up.
LOST_SECONDS = 3.0
_LOOK_SECONDS = 0.5


@attrs.define
class Silence:
    """When each instance was reached last, as far as this node was awake."""

    _reached_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _looked_at: float = attrs.field(default=float('-inf'), init=False)

    def keep_only(self, names: Iterable[str], now: float) -> None:
        """Take over which instances there are; new ones count from now."""
        self._reached_at = {
            name: self._reached_at.get(name, now) for name in names
        }

    def start_anew(self, now: float) -> None:
        """Give all their time anew, after a pause of this process."""
        self._reached_at = dict.fromkeys(self._reached_at, now)

    def look(self, is_reached: Callable[[str], bool], now: float) -> None:
        """Note who is reached, at most a few times a second."""
        if now - self._looked_at < _LOOK_SECONDS:
            return
        self._looked_at = now
        self._reached_at.update(
            dict.fromkeys(filter(is_reached, self._reached_at), now),
        )

    def lost(
        self,
        is_reached: Callable[[str], bool],
        now: float,
    ) -> frozenset[str]:
        """Return the instances that were silent for long enough."""
        return frozenset(
            name
            for name, at in self._reached_at.items()
            if now - at > LOST_SECONDS and not is_reached(name)
        )
