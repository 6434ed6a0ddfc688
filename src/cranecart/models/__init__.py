"""Data that several packages share, apart from any I/O."""

from cranecart.models._declarations import (
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
from cranecart.models._instances import (
    Instance,
    InstanceKind,
    MemberReport,
    MemberState,
    ReplicaRow,
)

__all__ = (
    'Declarations',
    'DomainVersions',
    'FencingSupport',
    'Instance',
    'InstanceKind',
    'LimitsSpec',
    'MemberReport',
    'MemberState',
    'ModelSpec',
    'OrganisationSpec',
    'Preference',
    'Priority',
    'ReplicaRow',
    'ServiceSpec',
    'compiled_from_json',
    'compiled_to_json',
)
