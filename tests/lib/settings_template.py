"""Render a settings template by the platform's template language."""

import re
from collections.abc import Mapping, Sequence

import msgspec

_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.@]+)(\|json)?\}\}')
_COMMA = '{{,}}'


def render(template: str, fields: Mapping[str, object]) -> str:
    """Return the template with sections and placeholders expanded."""
    expanded = _SECTION.sub(
        lambda match: _fill_section(match, fields), template
    )
    return _fill_placeholders(expanded, fields, '')


def _fill_section(match: re.Match[str], fields: Mapping[str, object]) -> str:
    sign, name, body = match.groups()
    value = _look_up(name, fields)
    is_present = value is not None and value is not False
    if sign == '^':
        return '' if is_present else body
    if isinstance(value, Mapping):
        return _fill_entries(list(value.items()), body)
    if isinstance(value, Sequence) and not isinstance(value, str):
        return _fill_entries(list(enumerate(value)), body)
    return _fill_placeholders(body, {'.': value}, '') if is_present else ''


def _fill_entries(entries: Sequence[tuple[object, object]], body: str) -> str:
    last = len(entries) - 1
    return ''.join(
        _fill_placeholders(
            body.replace(_COMMA, '' if index == last else ','),
            {'.': value},
            str(key),
        )
        for index, (key, value) in enumerate(entries)
    )


def _fill_placeholders(
    text: str, fields: Mapping[str, object], key: str
) -> str:
    return _PLACEHOLDER.sub(
        lambda match: _fill_placeholder(match, fields, key), text
    )


def _fill_placeholder(
    match: re.Match[str], fields: Mapping[str, object], key: str
) -> str:
    name, as_json = match.groups()
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
    value: object = fields
    for key in name.split('.'):
        value = _child(value, key)
    return value


def _child(node: object, key: str) -> object:
    if isinstance(node, Mapping):
        return node.get(key)
    if isinstance(node, list) and int(key) < len(node):
        return node[int(key)]
    return None
