"""Communication with targets of the native deployment.

Targets are model engines, which form replicas, and plain services.
"""

from cranecart.targets._calls import Call, CompletionCall, ServiceCall
from cranecart.targets._complete_replicas import (
    ServingReplica,
    complete_replicas,
)
from cranecart.targets._directory import DomainSummary, TargetDirectory
from cranecart.targets._engine import EngineAnswer, EngineClient
from cranecart.targets._instance_poller import InstanceListPoller
from cranecart.targets._prober import PROBE_INTERVAL_SECONDS, Prober
from cranecart.targets._report_registry import ReportRegistry
from cranecart.targets._reports import (
    ProbeOutcome,
    ProbeResult,
    is_significant_change,
)
from cranecart.targets._service import ServiceClient

__all__ = (
    'PROBE_INTERVAL_SECONDS',
    'Call',
    'CompletionCall',
    'TargetDirectory',
    'EngineAnswer',
    'EngineClient',
    'InstanceListPoller',
    'ProbeResult',
    'Prober',
    'ProbeOutcome',
    'ReportRegistry',
    'ServiceCall',
    'ServiceClient',
    'ServingReplica',
    'DomainSummary',
    'complete_replicas',
    'is_significant_change',
)
