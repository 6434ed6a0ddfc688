"""Data classes that several packages share; without I/O."""

from cranecart.models._evacuation import Evacuation
from cranecart.models._routes import (
    ClientLimits,
    ColdStart,
    EngineModel,
    EngineProfile,
    KeyHolder,
    Route,
    RouteConfig,
    ServiceProfile,
    Share,
    hash_key,
    hash_key_forms,
)
from cranecart.models._timing import EngineTiming

__all__ = (
    'ClientLimits',
    'ColdStart',
    'EngineModel',
    'EngineProfile',
    'EngineTiming',
    'Evacuation',
    'KeyHolder',
    'Route',
    'RouteConfig',
    'ServiceProfile',
    'Share',
    'hash_key',
    'hash_key_forms',
)
