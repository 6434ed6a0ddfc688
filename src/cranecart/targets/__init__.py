"""Targets as peers: model engines and plain services."""

from cranecart.targets._assemble import ServingReplica, assemble
from cranecart.targets._book import ReportBook
from cranecart.targets._calls import Call, CompletionCall, ServiceCall
from cranecart.targets._directory import Directory, Summary
from cranecart.targets._engine import EngineAnswer, EngineClient
from cranecart.targets._instances import InstanceFollower
from cranecart.targets._prober import PROBE_SECONDS, Prober
from cranecart.targets._reports import Probe, Reach, is_material
from cranecart.targets._service import ServiceClient

__all__ = (
    'PROBE_SECONDS',
    'Call',
    'CompletionCall',
    'Directory',
    'EngineAnswer',
    'EngineClient',
    'InstanceFollower',
    'Probe',
    'Prober',
    'Reach',
    'ReportBook',
    'ServiceCall',
    'ServiceClient',
    'ServingReplica',
    'Summary',
    'assemble',
    'is_material',
)
