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
    for scalar_type in (int, str, bool):
        converter.register_structure_hook(scalar_type, _check_type)
    converter.register_structure_hook(float, _check_number)
    return converter


def _check_type(raw: object, expected: type) -> object:
    # In Python ``bool`` is a subclass of ``int``, but a file must not mix them.
    if isinstance(raw, bool) != (expected is bool) or not isinstance(
        raw,
        expected,
    ):
        raise ValueError(f'expected {expected.__name__}, found {raw!r}')
    return raw


def _check_number(raw: object, _expected: type) -> float:
    # Integers are not converted, so that they are printed as written.
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise ValueError(f'expected a number, found {raw!r}')
    return raw


_CONVERTER = _converter(forbid_extra_keys=True)
# For files written by a platform, which may contain unknown fields.
_LENIENT_CONVERTER = _converter(forbid_extra_keys=False)


def structure(
    document: Document,
    wanted: type[Data],
    base: KeyPath = (),
    found: object = None,
    *,
    ignores_unknown: bool = False,
) -> Data:
    """Return a document's content as an instance of an attrs class.

    If ``found`` is given, it is converted instead of the document's root;
    ``base`` is the path in the document under which errors are reported.
    Unknown keys are errors unless ``ignores_unknown`` is true. Raise
    ``FindingsError`` with all errors.
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
    message, _, location = line.rpartition(' @ ')
    steps = _steps(location)
    extra = _EXTRA_FIELDS.search(message)
    if extra is None:
        text = f'{_prefix(steps)}{message}'
        return document.finding((*base, *steps), text)
    name = extra.group(1).split(', ')[0]
    hint = suggest(name, all_field_names(wanted))
    return document.finding(
        (*base, *steps, name),
        f'unknown key {name!r}{hint}',
    )


def _steps(location: str) -> KeyPath:
    return tuple(
        int(index) if index else (attribute or key)
        for attribute, index, key in _PATH_STEP.findall(location)
    )


def _prefix(steps: KeyPath) -> str:
    if not steps:
        return ''
    return '{}: '.format('.'.join(map(str, steps)))


def all_field_names(wanted: type[object]) -> list[str]:
    """Return the field names of an attrs class and its nested classes."""
    if not attrs.has(wanted):
        return []
    fields = attrs.fields(wanted)
    field_types = itertools.chain.from_iterable(
        (field.type, *getattr(field.type, '__args__', ())) for field in fields
    )
    return [
        *(field.name for field in fields),
        *itertools.chain.from_iterable(
            all_field_names(field_type)
            for field_type in field_types
            if isinstance(field_type, type)
        ),
    ]
