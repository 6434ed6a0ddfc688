"""Divide the capacity of a model that is short among its requests.

It answers the load in which a model's replicas cannot serve all that is asked:
surges, replicas that were lost, and clients that retry refused requests at
once. Pure: it reads no clock and no socket, times are arguments.
"""

from cranecart.load_shedding._exchange import LoadExchange
from cranecart.load_shedding._meter import EventCounts, OfferedLoadMeter
from cranecart.load_shedding._offered import OfferedLoad, request_token
from cranecart.load_shedding._plan import AdmissionPlan, plan_admission
from cranecart.load_shedding._returns import return_seconds

__all__ = (
    'AdmissionPlan',
    'EventCounts',
    'LoadExchange',
    'OfferedLoad',
    'OfferedLoadMeter',
    'plan_admission',
    'request_token',
    'return_seconds',
)
