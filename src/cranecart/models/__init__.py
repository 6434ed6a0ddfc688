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
from cranecart.models._routes import (
    ClientLimits,
    EngineModel,
    EngineProfile,
    KeyHolder,
    Route,
    RouteConfig,
    ServiceProfile,
    Share,
    hash_key,
)
from cranecart.models._timing import EngineTiming

__all__ = (
    'ClientLimits',
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
    'EngineModel',
    'EngineProfile',
    'EngineTiming',
    'KeyHolder',
    'Route',
    'RouteConfig',
    'ServiceProfile',
    'Share',
    'hash_key',
)
