"""Read log lines back, and find those that explain one id."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs
import msgspec

# Decisions that change what a node believes about targets.
_BELIEFS = frozenset(
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
# What a node went through itself.
_OWN = frozenset(
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
# What was found of a request in whatever try, at any node.
_ENDS = frozenset(('target_ended', 'request_cleared', 'request_released'))
# How long before and after a request something may have to do with it.
_BEFORE_SECONDS = 6.0
_AFTER_SECONDS = 1.0


@attrs.frozen
class LogLine:
    """One decision; ``at`` is the time of day at its node, in seconds."""

    at: float
    node: str
    event: str
    fields: Mapping[str, Any]

    def names(self, wanted: str) -> bool:
        """Tell whether the decision names an id."""
        return any(_holds(field, wanted) for field in self.fields.values())


def read_lines(texts: Iterable[bytes]) -> list[LogLine]:
    """Decode the lines that are decisions, in order of time.

    What stands before the object on a line, as a collector's prefix, is
    passed over.
    """
    found = (_decode(text) for text in texts)
    return sorted(
        (line for line in found if line is not None),
        key=lambda line: line.at,
    )


def lines_mentioning(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Return the decisions that name an id."""
    return [line for line in lines if line.names(wanted)]


def lines_about_target_ends(
    lines: Iterable[LogLine],
    about: Iterable[LogLine],
) -> list[LogLine]:
    """Return what was found of targets that ended under a request.

    All tries of its client share a digest, which decisions of any node name.
    """
    shared = {line.fields.get('identity') for line in about} - {None}
    return [
        line
        for line in lines
        if line.event in _ENDS and line.fields.get('identity') in shared
    ]


def lines_with_context(
    lines: Iterable[LogLine],
    about: list[LogLine],
) -> list[LogLine]:
    """Return what the nodes at work on a request came to believe meanwhile."""
    if not about:
        return []
    nodes = {line.node for line in about}
    touched = set(_touched(about))
    first = about[0].at - _BEFORE_SECONDS
    last = about[-1].at + _AFTER_SECONDS
    return [
        line
        for line in lines
        if first <= line.at <= last
        and line not in about
        and line.node in nodes
        and _matters(line, touched)
    ]


def _matters(line: LogLine, touched: set[str]) -> bool:
    if line.event in _OWN:
        return True
    return line.event in _BELIEFS and any(map(line.names, touched))


def _touched(about: Iterable[LogLine]) -> Iterator[str]:
    for line in about:
        instance = line.fields.get('instance')
        if isinstance(instance, str):
            yield instance
        replica = line.fields.get('replica')
        if isinstance(replica, list) and replica:
            yield str(replica[0])


def _holds(field: object, wanted: str) -> bool:
    if isinstance(field, list):
        return any(_holds(one, wanted) for one in field)
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
