"""Checks of the events that stand-ins recorded.

They don't depend on what the nodes report about themselves.
"""

import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

Event = Mapping[str, Any]

_END_EVENTS = frozenset(('finish', 'abort'))


@attrs.frozen
class PartialStart:
    """A request that started on a replica with an unavailable member."""

    replica: str
    generation: int
    missing: str
    seconds_missing: float


@attrs.frozen
class StartWhileLeaving:
    """A request that started on a target that was leaving."""

    source: str
    seconds_since_leaving: float


@attrs.define
class _MemberStates:
    """The last recorded state of each instance, and the time of its change."""

    states: dict[str, Event] = attrs.field(factory=dict)
    unavailable: set[str] = attrs.field(factory=set)
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def apply(self, event: Event) -> None:
        source = event['source']
        match event['event']:
            case 'state':
                self.states[source] = event
                self.unavailable.discard(source)
            case 'lost' | 'paused':
                self.unavailable.add(source)
            case 'resumed':
                self.unavailable.discard(source)
            case _:
                return
        self.changed_at[source] = event['at']

    def is_ready_in(self, member: str, start_event: Event) -> bool:
        state = self.states.get(member)
        if state is None or member in self.unavailable:
            return False
        return (state['state'], state['replica'], state['generation']) == (
            'ready',
            start_event['replica'],
            start_event['generation'],
        )


def partial_starts(events: Iterable[Event]) -> Iterator[PartialStart]:
    """Yield the starts on replicas with an unavailable member."""
    members = _MemberStates()
    for event in events:
        members.apply(event)
        if event['event'] != 'start' or event['kind'] != 'engine':
            continue
        for member in event['members']:
            if not members.is_ready_in(member, event):
                unavailable_since = members.changed_at.get(member, 0)
                yield PartialStart(
                    event['replica'],
                    event['generation'],
                    member,
                    event['at'] - unavailable_since,
                )


def shared_instances(events: Iterable[Event]) -> set[str]:
    """Return the instances that ran requests of two replicas at once."""
    running: dict[str, Event] = {}
    shared: set[str] = set()
    for event in events:
        if event.get('kind') != 'engine':
            continue
        if event['event'] in _END_EVENTS:
            running.pop(event['request'], None)
        elif event['event'] == 'start':
            shared |= _shared_members(event, running.values())
            running[event['request']] = event
    return shared


def _shared_members(start_event: Event, running: Iterable[Event]) -> set[str]:
    members = set(start_event['members'])
    others = (
        members & set(other['members'])
        for other in running
        if other['replica'] != start_event['replica']
    )
    return set(itertools.chain.from_iterable(others))


def starts_while_leaving(
    events: Iterable[Event],
) -> Iterator[StartWhileLeaving]:
    """Yield the starts on leaving instances, or on replicas with one."""
    leaving: dict[str, float] = {}
    for event in events:
        if event['event'] == 'leaving':
            leaving[event['source']] = event['at']
        if event['event'] == 'start':
            members = {event['source'], *event.get('members', ())}
            for member in members & leaving.keys():
                yield StartWhileLeaving(member, event['at'] - leaving[member])


def aborted_starts(events: Sequence[Event]) -> list[Event]:
    """Return the start events of requests that were aborted on a target."""
    starts: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event['event'] == 'start':
            starts[event['request']].append(event)
    return [
        starts[event['request']][-1]
        for event in events
        if event['event'] == 'abort'
    ]
