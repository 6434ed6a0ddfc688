"""Fill a settings template as the platform says it does."""

import re
from collections.abc import Mapping, Sequence

import msgspec

_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_GAP = re.compile(r'\{\{([\w.@]+)(\|json)?\}\}')
_COMMA = '{{,}}'


def render(template: str, fields: Mapping[str, object]) -> str:
    """Return the text with all sections and gaps filled."""
    whole = _SECTION.sub(lambda found: _section(found, fields), template)
    return _gaps(whole, fields, '')


def _section(found: re.Match[str], fields: Mapping[str, object]) -> str:
    kind, name, body = found.groups()
    value = _look_up(name, fields)
    is_there = value is not None and value is not False
    if kind == '^':
        return '' if is_there else body
    if isinstance(value, Mapping):
        return _entries(list(value.items()), body)
    if isinstance(value, Sequence) and not isinstance(value, str):
        return _entries(list(enumerate(value)), body)
    return _gaps(body, {'.': value}, '') if is_there else ''


def _entries(entries: Sequence[tuple[object, object]], body: str) -> str:
    last = len(entries) - 1
    return ''.join(
        _gaps(
            body.replace(_COMMA, '' if number == last else ','),
            {'.': value},
            str(key),
        )
        for number, (key, value) in enumerate(entries)
    )


def _gaps(text: str, fields: Mapping[str, object], key: str) -> str:
    return _GAP.sub(lambda found: _gap(found, fields, key), text)


def _gap(found: re.Match[str], fields: Mapping[str, object], key: str) -> str:
    name, as_json = found.groups()
    if name == '@':
        return key
    value = _look_up(name, fields)
    if as_json or isinstance(value, Mapping | bool):
        return msgspec.json.encode(value).decode()
    if isinstance(value, list):
        return ','.join(map(str, value))
    return '' if value is None else str(value)


def _look_up(name: str, fields: Mapping[str, object]) -> object:
    if name == '.':
        return fields[name]
    found: object = fields
    for step in name.split('.'):
        found = _step(found, step)
    return found


def _step(node: object, step: str) -> object:
    if isinstance(node, Mapping):
        return node.get(step)
    if isinstance(node, list) and int(step) < len(node):
        return node[int(step)]
    return None
