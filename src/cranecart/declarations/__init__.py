"""Compiled operator declarations; without I/O."""

from cranecart.declarations._declarations import (
    Declarations,
    DomainVersions,
    FencingSupport,
    LimitsSpec,
    ModelSpec,
    OrganisationSpec,
    Preference,
    Priority,
    ServiceSpec,
    compiled_from_json,
    compiled_to_json,
)

__all__ = (
    'Declarations',
    'DomainVersions',
    'FencingSupport',
    'LimitsSpec',
    'ModelSpec',
    'OrganisationSpec',
    'Preference',
    'Priority',
    'ServiceSpec',
    'compiled_from_json',
    'compiled_to_json',
)
