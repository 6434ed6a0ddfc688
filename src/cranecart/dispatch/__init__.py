"""Decide at the door: send a request, where and how urgently, or refuse it.

Nothing here reads a clock or a socket; what is believed comes in, typed
outcomes go out.
"""

from cranecart.dispatch._client_retries import (
    ClientRetryDetector,
    spread_retry_after,
)
from cranecart.dispatch._decision import Refuse, Send, decide
from cranecart.dispatch._forecast_errors import ForecastErrors
from cranecart.dispatch._inputs import DispatchRequest, ReplicaState

__all__ = (
    'DispatchRequest',
    'ForecastErrors',
    'Refuse',
    'ClientRetryDetector',
    'Send',
    'ReplicaState',
    'decide',
    'spread_retry_after',
)
