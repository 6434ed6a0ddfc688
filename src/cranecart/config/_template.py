"""Substitute parameters in a template's body."""

import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType

from cranecart.config._files import Parameter, TemplateFile, Use
from cranecart.documents import suggest

_REFERENCE = re.compile(r'\$\{(\w+)\}')
_TYPES: Mapping[str, type[object]] = MappingProxyType(
    {'integer': int, 'string': str, 'list': list},
)


def argument_problems(
    template: TemplateFile,
    use: Use,
) -> Iterator[tuple[str, str]]:
    """Yield the name and problem of each invalid argument of a use."""
    for name in use.parameters.keys() - template.parameters.keys():
        hint = suggest(name, template.parameters)
        yield name, f'template has no parameter {name!r}{hint}'
    for name, parameter in template.parameters.items():
        found = use.parameters.get(name, parameter.default)
        problem = _problem(parameter, found)
        if problem:
            yield name, f'parameter {name!r} {problem}'


def _problem(parameter: Parameter, found: object) -> str:
    if found is None:
        return 'has no default and must be given'
    wanted = _TYPES[parameter.type]
    # In Python ``bool`` is a subclass of ``int``, but a file must not mix them.
    if isinstance(found, bool) or not isinstance(found, wanted):
        return f'must be of type {parameter.type}, found {found!r}'
    if isinstance(found, int):
        return _bound_problem(parameter, found)
    if parameter.choices and found not in parameter.choices:
        choices = ', '.join(parameter.choices)
        return f'must be one of {choices}, found {found!r}'
    return ''


def _bound_problem(parameter: Parameter, found: int) -> str:
    if parameter.minimum is not None and found < parameter.minimum:
        return f'must be at least {parameter.minimum}, found {found}'
    if parameter.maximum is not None and found > parameter.maximum:
        return f'must be at most {parameter.maximum}, found {found}'
    return ''


def fill_body(template: TemplateFile, use: Use) -> object:
    """Return the body with each ``${name}`` replaced, keeping types."""
    arguments = {
        name: use.parameters.get(name, parameter.default)
        for name, parameter in template.parameters.items()
    }
    return _fill(template.body, arguments)


def unknown_references(template: TemplateFile) -> list[str]:
    """Return the undeclared parameters that the body refers to."""
    return sorted(set(_references(template.body)) - set(template.parameters))


def _references(node: object) -> Iterator[str]:
    match node:
        case str():
            yield from _REFERENCE.findall(node)
        case list():
            for element in node:
                yield from _references(element)
        case dict():
            for element in node.values():
                yield from _references(element)


def _fill(node: object, arguments: Mapping[str, object]) -> object:
    match node:
        case str():
            return _fill_text(node, arguments)
        case list():
            return [_fill(element, arguments) for element in node]
        case dict():
            return {
                key: _fill(element, arguments) for key, element in node.items()
            }
    return node


def _fill_text(text: str, arguments: Mapping[str, object]) -> object:
    whole = _REFERENCE.fullmatch(text)
    if whole:
        return arguments[whole.group(1)]
    return _REFERENCE.sub(lambda found: str(arguments[found.group(1)]), text)
