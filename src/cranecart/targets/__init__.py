"""Targets as peers: model engines and plain services."""

from cranecart.targets._book import ReportBook, ServingReplica
from cranecart.targets._calls import Call, CompletionCall, ServiceCall
from cranecart.targets._engine import EngineAnswer, EngineClient
from cranecart.targets._instances import InstanceFollower
from cranecart.targets._prober import Prober
from cranecart.targets._service import ServiceClient

__all__ = (
    'Call',
    'CompletionCall',
    'EngineAnswer',
    'EngineClient',
    'InstanceFollower',
    'Prober',
    'ReportBook',
    'ServiceCall',
    'ServiceClient',
    'ServingReplica',
)
