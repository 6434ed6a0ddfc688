"""When targets have last sent a response; no I/O."""

from collections.abc import Callable, Hashable

import attrs

from cranecart.clocks import since_boot

# Far more than the targets of a deployment.
_MAX_TARGETS = 4096


@attrs.define
class LastResponses:
    """When each target's last response has begun."""

    _clock: Callable[[], float] = since_boot
    # In order of the times.
    _at: dict[Hashable, float] = attrs.field(factory=dict, init=False)

    def record(self, key: Hashable) -> None:
        """Record that a target has begun a response."""
        self._at.pop(key, None)
        self._at[key] = self._clock()
        if len(self._at) > _MAX_TARGETS:
            self._at.pop(next(iter(self._at)))

    def has_begun(self, key: Hashable, since: float) -> bool:
        """Return whether a target has begun a response since a time."""
        return self._at.get(key, float('-inf')) >= since
