"""List the differences between two configurations."""

from collections.abc import Iterable, Iterator

import attrs

from cranecart.declarations import (
    Declarations,
    ModelSpec,
    OrganisationSpec,
    ServiceSpec,
)

_Named = ModelSpec | OrganisationSpec | ServiceSpec


@attrs.frozen
class Difference:
    """One item that is added, removed or changed.

    ``change`` is "added", "removed" or the old and new values of the fields.
    """

    what: str
    name: str
    change: str


def differences(
    before: Declarations | None,
    after: Declarations,
) -> list[Difference]:
    """Return the differences between two compiled declarations.

    ``before`` is ``None`` if no version has been accepted yet.
    """
    return [
        *_compare('model', before.models if before else (), after.models),
        *_compare(
            'service',
            before.services if before else (),
            after.services,
        ),
        *_compare(
            'organisation',
            before.organisations if before else (),
            after.organisations,
        ),
    ]


def _compare(
    what: str,
    before: Iterable[_Named],
    after: Iterable[_Named],
) -> Iterator[Difference]:
    old = {_name(spec): spec for spec in before}
    new = {_name(spec): spec for spec in after}
    for name in sorted(old.keys() | new.keys()):
        change = _change(old.get(name), new.get(name))
        if change:
            yield Difference(what, name, change)


def _name(spec: _Named) -> str:
    return spec.key if isinstance(spec, ModelSpec) else spec.name


def _change(old: _Named | None, new: _Named | None) -> str:
    if old is None:
        return 'added'
    if new is None:
        return 'removed'
    fields = [
        field.name
        for field in attrs.fields(type(old))
        if field.name != 'key_sha256'
        and getattr(old, field.name) != getattr(new, field.name)
    ]
    changed = ', '.join(
        f'{name}: {getattr(old, name)} -> {getattr(new, name)}'
        for name in fields
    )
    if changed or old == new:
        return changed
    return 'keys changed'
