"""Stand-ins for the systems that cranecart works with, with fault injection."""

from cranecart.standins._engine import EngineStandin
from cranecart.standins._engine_options import EngineOptions
from cranecart.standins._platform import PlatformOptions, PlatformStandin
from cranecart.standins._proxy import FaultProxy, LinkFaults
from cranecart.standins._record import EventRecord, read_record
from cranecart.standins._registration import ListEntry, register
from cranecart.standins._service import ServiceOptions, ServiceStandin
from cranecart.standins._surplus_responses import (
    NamedRequest,
    ResponseStyle,
    ScriptedResponse,
    ScriptedService,
    SurplusResponse,
    SurplusTiming,
    expected_body,
)
from cranecart.standins._tokens import expected_text, token_text

__all__ = (
    'ResponseStyle',
    'EngineOptions',
    'EngineStandin',
    'SurplusResponse',
    'FaultProxy',
    'LinkFaults',
    'ListEntry',
    'SurplusTiming',
    'NamedRequest',
    'PlatformOptions',
    'PlatformStandin',
    'EventRecord',
    'ServiceOptions',
    'ServiceStandin',
    'ScriptedService',
    'ScriptedResponse',
    'expected_text',
    'expected_body',
    'read_record',
    'register',
    'token_text',
)
