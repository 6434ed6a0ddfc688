"""Schemas of the files that operators write."""

from collections.abc import Mapping
from typing import Any, Literal

import attrs

from cranecart.declarations import LimitsSpec, Priority

_PARAMETER_TYPES = ('integer', 'string', 'list')


@attrs.frozen
class DeploymentFile:
    """The deployment to which all other files apply."""

    kind: Literal['deployment']
    name: str
    region: str
    failure_domains: tuple[str, ...] = attrs.field(
        validator=attrs.validators.min_len(1),
    )


@attrs.frozen
class Parameter:
    """A typed and bounded parameter of a template."""

    type: str = attrs.field(validator=attrs.validators.in_(_PARAMETER_TYPES))
    minimum: int | None = None
    maximum: int | None = None
    choices: tuple[str, ...] = ()
    default: Any = None
    about: str = ''


@attrs.frozen
class TemplateFile:
    """A template: parameters, and a body that may refer to them."""

    kind: Literal['template']
    name: str
    body: Mapping[str, Any]
    parameters: Mapping[str, Parameter] = attrs.field(factory=dict)


@attrs.frozen
class Use:
    """One use of a template by an organisation."""

    template: str
    parameters: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class OrganisationFile:
    """An organisation and the templates that it instantiates."""

    kind: Literal['organisation']
    name: str
    key_sha256: tuple[str, ...] = attrs.field(
        validator=attrs.validators.deep_iterable(
            attrs.validators.matches_re('[0-9a-f]{64}'),
            attrs.validators.min_len(1),
        ),
    )
    limits: LimitsSpec
    uses: tuple[Use, ...]
    priority: Priority = Priority.NORMAL


@attrs.frozen
class ModelBody:
    """A model in a template's body."""

    name: str
    version: str
    replicas: int = attrs.field(validator=attrs.validators.ge(0))
    instances_per_replica: int = attrs.field(validator=attrs.validators.ge(1))
    failure_domains: tuple[str, ...] = ()
    prefer: str = attrs.field(
        default='downtime',
        validator=attrs.validators.in_(('downtime', 'stranded')),
    )
    fencing: str = attrs.field(
        default='checked',
        validator=attrs.validators.in_(('checked', 'ignored')),
    )
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ServiceBody:
    """A plain service in a template's body."""

    name: str
    non_repeatable_paths: tuple[str, ...] = ()


@attrs.frozen
class Body:
    """A template's body with its parameters substituted."""

    models: tuple[ModelBody, ...] = ()
    services: tuple[ServiceBody, ...] = ()
