"""Read log lines and find those that explain one id."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs
import msgspec

# Events that change a node's view of targets.
_TARGET_EVENTS = frozenset(
    (
        'replica_stopped',
        'replica_doubted',
        'instance_lost',
        'instance_lapsed',
        'placed',
        'replica_open',
        'members_free',
    ),
)
# Events of the node itself.
_NODE_EVENTS = frozenset(
    (
        'node_started',
        'node_stopping',
        'node_stopped',
        'config_in_force',
        'settings_read',
        'source_lost',
        'source_back',
        'history_lost',
        'placement_waits',
        'log_lines_dropped',
    ),
)
# Findings about a request in any of its attempts, on any node.
_TARGET_END_EVENTS = frozenset(
    ('target_ended', 'request_cleared', 'request_released')
)
# Events this long before and after a request may be related to it.
_BEFORE_SECONDS = 6.0
_AFTER_SECONDS = 1.0


@attrs.frozen
class LogLine:
    """One decision; ``at`` is the Unix time by the clock of its node."""

    at: float
    node: str
    event: str
    fields: Mapping[str, Any]

    def names(self, wanted: str) -> bool:
        """Return whether any field of the decision contains an id."""
        return any(_contains(field, wanted) for field in self.fields.values())


def read_lines(texts: Iterable[bytes]) -> list[LogLine]:
    """Decode the lines that are decisions, in order of time.

    Text before the JSON object, such as a log collector's prefix, is ignored.
    """
    decoded = (_decode(text) for text in texts)
    return sorted(
        (line for line in decoded if line is not None),
        key=lambda line: line.at,
    )


def lines_mentioning(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Return the decisions that mention an id."""
    return [line for line in lines if line.names(wanted)]


def lines_about_target_ends(
    lines: Iterable[LogLine],
    about: Iterable[LogLine],
) -> list[LogLine]:
    """Return findings about targets that ended while running a request.

    All attempts at a request share a digest, which every node logs.
    """
    shared = {line.fields.get('identity') for line in about} - {None}
    return [
        line
        for line in lines
        if line.event in _TARGET_END_EVENTS
        and line.fields.get('identity') in shared
    ]


def lines_with_context(
    lines: Iterable[LogLine],
    about: list[LogLine],
) -> list[LogLine]:
    """Return events on the request's nodes that may have affected it."""
    if not about:
        return []
    nodes = {line.node for line in about}
    involved = set(_involved_targets(about))
    first = about[0].at - _BEFORE_SECONDS
    last = about[-1].at + _AFTER_SECONDS
    return [
        line
        for line in lines
        if first <= line.at <= last
        and line not in about
        and line.node in nodes
        and _is_relevant(line, involved)
    ]


def _is_relevant(line: LogLine, involved: set[str]) -> bool:
    if line.event in _NODE_EVENTS:
        return True
    return line.event in _TARGET_EVENTS and any(map(line.names, involved))


def _involved_targets(about: Iterable[LogLine]) -> Iterator[str]:
    for line in about:
        instance = line.fields.get('instance')
        if isinstance(instance, str):
            yield instance
        replica = line.fields.get('replica')
        if isinstance(replica, list) and replica:
            yield str(replica[0])


def _contains(field: object, wanted: str) -> bool:
    if isinstance(field, list):
        return any(_contains(element, wanted) for element in field)
    return isinstance(field, str) and wanted in field.split(', ')


def _decode(text: bytes) -> LogLine | None:
    start = text.find(b'{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or 'event' not in fields:
        return None
    at = fields.pop('at', fields.pop('time', 0))
    fields.pop('time', None)
    return LogLine(
        at if isinstance(at, int | float) else 0,
        str(fields.pop('node', '')),
        str(fields.pop('event')),
        fields,
    )
