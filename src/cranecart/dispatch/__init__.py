"""Decide whether a request is sent, to which replica and how urgently.

The decision is pure: it reads no clock and no socket. Its inputs are estimates
of the current state, its result a ``Send`` or a ``Refuse``.
"""

from cranecart.dispatch._client_retries import (
    ClientRetryDetector,
    spread_retry_after,
)
from cranecart.dispatch._decision import Refuse, Send, decide
from cranecart.dispatch._forecast_errors import ForecastErrors
from cranecart.dispatch._inputs import (
    Admission,
    DispatchRequest,
    ReplicaState,
)
from cranecart.dispatch._pace import GapSample, PaceRegistry
from cranecart.dispatch._slow_replicas import draw_by_pace

__all__ = (
    'Admission',
    'DispatchRequest',
    'ForecastErrors',
    'GapSample',
    'PaceRegistry',
    'Refuse',
    'ClientRetryDetector',
    'Send',
    'ReplicaState',
    'decide',
    'draw_by_pace',
    'spread_retry_after',
)
