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
        argument = use.parameters.get(name, parameter.default)
        problem = _problem(parameter, argument)
        if problem:
            yield name, f'parameter {name!r} {problem}'


def _problem(parameter: Parameter, argument: object) -> str:
    if argument is None:
        return 'has no default and must be given'
    expected_type = _TYPES[parameter.type]
    # In Python ``bool`` is a subclass of ``int``, but a file must not mix them.
    if isinstance(argument, bool) or not isinstance(argument, expected_type):
        return f'must be of type {parameter.type}, found {argument!r}'
    if isinstance(argument, int):
        return _bound_problem(parameter, argument)
    if parameter.choices and argument not in parameter.choices:
        choices = ', '.join(parameter.choices)
        return f'must be one of {choices}, found {argument!r}'
    return ''


def _bound_problem(parameter: Parameter, argument: int) -> str:
    if parameter.minimum is not None and argument < parameter.minimum:
        return f'must be at least {parameter.minimum}, found {argument}'
    if parameter.maximum is not None and argument > parameter.maximum:
        return f'must be at most {parameter.maximum}, found {argument}'
    return ''


def fill_body(template: TemplateFile, use: Use) -> object:
    """Return the body with each ``${name}`` replaced by its argument.

    A text that is only a reference becomes the argument with its own type.
    """
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
    reference = _REFERENCE.fullmatch(text)
    if reference:
        return arguments[reference.group(1)]
    return _REFERENCE.sub(lambda part: str(arguments[part.group(1)]), text)
