"""Replica downtime and stranded accelerators, from engine state records."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

_READY = 'ready'


@attrs.frozen(kw_only=True)
class GroupTimes:
    """Downtime summed over replicas, idle time summed over instances."""

    group_downtime_seconds: float
    stranded_accelerator_seconds: float


@attrs.define
class _StateReplay:
    """Replays states; a replica serves while all its members are ready."""

    states: dict[str, Mapping[str, Any]] = attrs.field(factory=dict)
    was_serving: dict[str, bool] = attrs.field(factory=dict)
    down_seconds: float = 0
    stranded_seconds: float = 0

    def advance(self, seconds: float) -> None:
        ready_instances = self._serving_instances()
        self.stranded_seconds += seconds * (
            len(self.states) - len(ready_instances)
        )
        serving = {self.states[name]['replica'] for name in ready_instances}
        self.was_serving.update(dict.fromkeys(serving, True))
        missing = [name for name in self.was_serving if name not in serving]
        self.down_seconds += seconds * len(missing)

    def apply(self, event: Mapping[str, Any]) -> None:
        if event['event'] == 'lost':
            self.states.pop(event['source'], None)
        elif event['event'] == 'state':
            self.states[event['source']] = event

    def _serving_instances(self) -> set[str]:
        return {
            name
            for name, state in self.states.items()
            if self._is_serving(state)
        }

    def _is_serving(self, state: Mapping[str, Any]) -> bool:
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
    ended_at: float,
) -> GroupTimes:
    """Return the downtime of replicas and the idle time of instances.

    The downtime of a replica counts from the first time that it serves.

    A killed process records nothing, so the killer of an instance writes a
    ``lost`` event on its behalf.
    """
    replay = _StateReplay()
    last_event_at = None
    for event in events:
        if last_event_at is not None:
            replay.advance(event['at'] - last_event_at)
        last_event_at = event['at']
        replay.apply(event)
    if last_event_at is not None:
        replay.advance(max(0, ended_at - last_event_at))
    return GroupTimes(
        group_downtime_seconds=replay.down_seconds,
        stranded_accelerator_seconds=replay.stranded_seconds,
    )
