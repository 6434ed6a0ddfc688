"""A load tool that knows what the stand-in engines must answer."""

from cranecart.load_testing._balancer import Balancer, Entry
from cranecart.load_testing._calls import LoadCall, Outcome, OutcomeKind
from cranecart.load_testing._record_checks import (
    LateStart,
    PartialStart,
    cut_off,
    late_starts,
    partial_starts,
    shared_instances,
)
from cranecart.load_testing._report import P50, P95, P99, Summary, quantile
from cranecart.load_testing._runner import Profile, make_calls, run_load
from cranecart.load_testing._sending import send_call

__all__ = (
    'P50',
    'P95',
    'P99',
    'Balancer',
    'Entry',
    'LateStart',
    'LoadCall',
    'Outcome',
    'OutcomeKind',
    'PartialStart',
    'Profile',
    'Summary',
    'cut_off',
    'late_starts',
    'make_calls',
    'partial_starts',
    'quantile',
    'run_load',
    'send_call',
    'shared_instances',
)
