"""Validate documents against attrs classes; report errors by line."""

import itertools
import re
from typing import TypeVar

import attrs
import cattrs
from cattrs.v import format_exception

from cranecart.documents._source import (
    Document,
    Finding,
    FindingsError,
    KeyPath,
    suggest,
)

Data = TypeVar('Data')

_PATH_STEP = re.compile(r"\.(\w+)|\[(\d+)\]|\['?([^'\]]+)'?\]")
_EXTRA_FIELDS = re.compile(r'extra fields found \((.*)\)')


def _converter(*, forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for plain in (int, str, bool):
        converter.register_structure_hook(plain, _strict)
    converter.register_structure_hook(float, _number)
    return converter


def _strict(found: object, wanted: type) -> object:
    # In Python ``bool`` is a subclass of ``int``, but a file must not mix them.
    if isinstance(found, bool) != (wanted is bool) or not isinstance(
        found,
        wanted,
    ):
        raise ValueError(f'expected {wanted.__name__}, found {found!r}')
    return found


def _number(found: object, _wanted: type) -> float:
    # Integers are kept, so that they are shown as they were written.
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise ValueError(f'expected a number, found {found!r}')
    return found


_CONVERTER = _converter(forbid_extra_keys=True)
# For files that a platform writes, which may have unknown fields.
_LENIENT_CONVERTER = _converter(forbid_extra_keys=False)


def structure(
    document: Document,
    wanted: type[Data],
    base: KeyPath = (),
    found: object = None,
    *,
    ignores_unknown: bool = False,
) -> Data:
    """Validate a document against an attrs class.

    Raise ``FindingsError`` with all errors.
    """
    source = document.root if found is None else found
    try:
        converter = _LENIENT_CONVERTER if ignores_unknown else _CONVERTER
        return converter.structure(source, wanted)
    except Exception as error:
        lines = cattrs.transform_error(error, format_exception=_describe)
    raise FindingsError(
        _to_finding(document, base, line, wanted) for line in lines
    )


def _describe(error: BaseException, wanted: type[object] | None) -> str:
    # Messages of our own validators are clearer than 'invalid value'.
    if isinstance(error, ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, wanted)


def _to_finding(
    document: Document,
    base: KeyPath,
    line: str,
    wanted: type[object],
) -> Finding:
    message, _, place = line.rpartition(' @ ')
    steps = _steps(place)
    extra = _EXTRA_FIELDS.search(message)
    if extra is None:
        named = f'{_name(steps)}{message}'
        return document.finding((*base, *steps), named)
    name = extra.group(1).split(', ')[0]
    hint = suggest(name, all_field_names(wanted))
    return document.finding(
        (*base, *steps, name),
        f'unknown key {name!r}{hint}',
    )


def _steps(place: str) -> KeyPath:
    return tuple(
        int(index) if index else (attribute or key)
        for attribute, index, key in _PATH_STEP.findall(place)
    )


def _name(steps: KeyPath) -> str:
    if not steps:
        return ''
    return '{}: '.format('.'.join(map(str, steps)))


def all_field_names(wanted: type[object]) -> list[str]:
    """Return the field names of an attrs class and of nested ones."""
    if not attrs.has(wanted):
        return []
    fields = attrs.fields(wanted)
    inner = itertools.chain.from_iterable(
        (field.type, *getattr(field.type, '__args__', ())) for field in fields
    )
    return [
        *(field.name for field in fields),
        *itertools.chain.from_iterable(
            all_field_names(one) for one in inner if isinstance(one, type)
        ),
    ]
