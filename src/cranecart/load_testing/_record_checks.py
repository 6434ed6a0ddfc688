"""Judge what stand-ins recorded; the nodes' own opinion counts for nothing."""

import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

Event = Mapping[str, Any]

_ENDS = frozenset(('finish', 'abort'))


@attrs.frozen
class PartialStart:
    """A request that began on a replica whose member was not with it."""

    replica: str
    generation: int
    missing: str
    seconds_missing: float


@attrs.frozen
class LateStart:
    """A request that began on a target after it had begun to leave."""

    source: str
    seconds_late: float


@attrs.define
class _Presence:
    """For each instance, what it last was and since when."""

    states: dict[str, Event] = attrs.field(factory=dict)
    gone: set[str] = attrs.field(factory=set)
    changed_at: dict[str, float] = attrs.field(factory=dict)

    def note(self, event: Event) -> None:
        source = event['source']
        match event['event']:
            case 'state':
                self.states[source] = event
                self.gone.discard(source)
            case 'lost' | 'paused':
                self.gone.add(source)
            case 'resumed':
                self.gone.discard(source)
            case _:
                return
        self.changed_at[source] = event['at']

    def is_with(self, member: str, start: Event) -> bool:
        state = self.states.get(member)
        if state is None or member in self.gone:
            return False
        return (state['state'], state['replica'], state['generation']) == (
            'ready',
            start['replica'],
            start['generation'],
        )


def partial_starts(events: Iterable[Event]) -> Iterator[PartialStart]:
    """Yield each start on a replica with a member missing, and how long."""
    presence = _Presence()
    for event in events:
        presence.note(event)
        if event['event'] != 'start' or event['kind'] != 'engine':
            continue
        for member in event['members']:
            if not presence.is_with(member, event):
                since = presence.changed_at.get(member, 0)
                yield PartialStart(
                    event['replica'],
                    event['generation'],
                    member,
                    event['at'] - since,
                )


def shared_instances(events: Iterable[Event]) -> set[str]:
    """Return instances that worked for two replicas at one moment."""
    running: dict[str, Event] = {}
    shared: set[str] = set()
    for event in events:
        if event.get('kind') != 'engine':
            continue
        if event['event'] in _ENDS:
            running.pop(event['request'], None)
        elif event['event'] == 'start':
            shared |= _shared_with(event, running.values())
            running[event['request']] = event
    return shared


def _shared_with(start: Event, running: Iterable[Event]) -> set[str]:
    members = set(start['members'])
    others = (
        members & set(other['members'])
        for other in running
        if other['replica'] != start['replica']
    )
    return set(itertools.chain.from_iterable(others))


def late_starts(events: Iterable[Event]) -> Iterator[LateStart]:
    """Yield each start on an instance, or its replica, that was leaving."""
    leaving: dict[str, float] = {}
    for event in events:
        if event['event'] == 'leaving':
            leaving[event['source']] = event['at']
        if event['event'] == 'start':
            members = {event['source'], *event.get('members', ())}
            for member in members & leaving.keys():
                yield LateStart(member, event['at'] - leaving[member])


def cut_off(events: Sequence[Event]) -> list[Event]:
    """Return the starts of requests that were aborted on their target."""
    starts: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event['event'] == 'start':
            starts[event['request']].append(event)
    return [
        starts[event['request']][-1]
        for event in events
        if event['event'] == 'abort'
    ]
