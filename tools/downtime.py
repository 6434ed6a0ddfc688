"""Group downtime and stranded accelerators, from what engines recorded."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

_READY = 'ready'


@attrs.frozen(kw_only=True)
class GroupTimes:
    """Both in seconds, summed over replicas and over instances."""

    group_downtime_seconds: float
    stranded_accelerator_seconds: float


@attrs.define
class _Watch:
    """Replays states; a replica is up while all its members are ready."""

    states: dict[str, Mapping[str, Any]] = attrs.field(factory=dict)
    was_up: dict[str, bool] = attrs.field(factory=dict)
    down_seconds: float = 0
    stranded_seconds: float = 0

    def pass_time(self, seconds: float) -> None:
        up = self._members_up()
        self.stranded_seconds += seconds * (len(self.states) - len(up))
        serving = {self.states[name]['replica'] for name in up}
        self.was_up.update(dict.fromkeys(serving, True))
        missing = [name for name in self.was_up if name not in serving]
        self.down_seconds += seconds * len(missing)

    def note(self, event: Mapping[str, Any]) -> None:
        if event['event'] == 'lost':
            self.states.pop(event['source'], None)
        elif event['event'] == 'state':
            self.states[event['source']] = event

    def _members_up(self) -> set[str]:
        return {
            name for name, state in self.states.items() if self._is_up(state)
        }

    def _is_up(self, state: Mapping[str, Any]) -> bool:
        members = state['members']
        if not members or state['state'] != _READY:
            return False
        others = [self.states.get(member) for member in members]
        return all(
            other is not None
            and other['state'] == _READY
            and other['replica'] == state['replica']
            and other['generation'] == state['generation']
            for other in others
        )


def group_times(
    events: Iterable[Mapping[str, Any]],
    ended: float,
) -> GroupTimes:
    """Add up, from the first time a replica was up, how long it was not.

    A killed process records nothing, so whoever kills an instance writes a
    ``lost`` event in its name.
    """
    watch = _Watch()
    at = None
    for event in events:
        if at is not None:
            watch.pass_time(event['at'] - at)
        at = event['at']
        watch.note(event)
    if at is not None:
        watch.pass_time(max(0, ended - at))
    return GroupTimes(
        group_downtime_seconds=watch.down_seconds,
        stranded_accelerator_seconds=watch.stranded_seconds,
    )
