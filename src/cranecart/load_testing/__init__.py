"""Load generator that checks responses against the stand-ins' records."""

from cranecart.load_testing._balancer import Balancer, NodeEndpoints
from cranecart.load_testing._calls import LoadCall, Outcome, OutcomeKind
from cranecart.load_testing._record_checks import (
    PartialStart,
    StartWhileLeaving,
    aborted_starts,
    partial_starts,
    shared_instances,
    starts_while_leaving,
)
from cranecart.load_testing._report import P50, P95, P99, Summary, quantile
from cranecart.load_testing._runner import Profile, make_calls, run_load
from cranecart.load_testing._sending import send_call

__all__ = (
    'P50',
    'P95',
    'P99',
    'Balancer',
    'NodeEndpoints',
    'StartWhileLeaving',
    'LoadCall',
    'Outcome',
    'OutcomeKind',
    'PartialStart',
    'Profile',
    'Summary',
    'aborted_starts',
    'starts_while_leaving',
    'make_calls',
    'partial_starts',
    'quantile',
    'run_load',
    'send_call',
    'shared_instances',
)
