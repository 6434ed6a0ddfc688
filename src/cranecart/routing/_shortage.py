"""Apply the admission plan of a model that is short to single requests."""

import random
from collections import Counter

import attrs

from cranecart.dispatch import Admission, Refuse, Send, spread_retry_after
from cranecart.exceptions import OverloadedError
from cranecart.load_shedding import (
    AdmissionPlan,
    LoadExchange,
    return_seconds,
)
from cranecart.routing._request import RoutingRequest

_REFUSED = 'beyond_share_refused'
_SENT = 'beyond_share_sent_to_free_slot'


@attrs.frozen
class PlannedAdmission:
    """What the plan says of a request; ``plan`` is None without a shortage."""

    admission: Admission
    plan: AdmissionPlan | None = None
    fraction: float = 1

    def passed_fraction(self, rank: int) -> float:
        """Return the part of the waiting requests that a rank passes."""
        return 0 if self.plan is None else self.plan.less_urgent_fraction(rank)

    def describe(self, request: RoutingRequest) -> str:
        """Return the inputs of the decision, for the request's log line."""
        if self.plan is None:
            return ''
        return (
            f'{request.model!r} is offered {self.plan.offered:.2f} replicas of '
            f'work and plans {self.plan.capacity:.2f}; rank {request.rank} of '
            f'{request.organisation!r} gets {self.fraction:.3f} admitted, this '
            f'request has {request.token:.3f}'
        )


@attrs.define
class ShortageControl:
    """Finds out that a model is short, and judges its requests by the plan.

    The load that it answers: more is asked of a model than its replicas serve.
    """

    _failure_domain: str = ''
    exchange: LoadExchange = attrs.field(
        default=attrs.Factory(
            lambda control: LoadExchange(control._failure_domain),
            takes_self=True,
        ),
        init=False,
    )
    _counts: Counter[str] = attrs.field(factory=Counter, init=False)

    def admission(
        self, request: RoutingRequest, replicas: int, now: float
    ) -> PlannedAdmission:
        """Return what the plan says of a request."""
        if not request.config.divides_capacity(request.service):
            return PlannedAdmission(Admission.UNPLANNED)
        organisations = len(request.config.holders or ())
        plan = self.exchange.plan(request.model, replicas, now, organisations)
        if plan is None:
            return PlannedAdmission(Admission.UNPLANNED)
        fraction = self.exchange.fraction(
            plan, request.rank, request.organisation
        )
        is_admitted = request.was_refused or request.token < fraction
        return PlannedAdmission(
            Admission.ADMITTED if is_admitted else Admission.BEYOND_SHARE,
            plan,
            fraction,
        )

    def record(
        self, request: RoutingRequest, decision: Send | Refuse, now: float
    ) -> None:
        """Record a decision: deferred and refused requests show a shortage."""
        match decision:
            case Refuse(is_beyond_share=True):
                self._counts[_REFUSED] += 1
            case Send(is_beyond_share=True):
                self._counts[_SENT] += 1
            case Send(is_deferred=False):
                return
        self.exchange.record_shortage(request.model, now)

    def counts(self) -> dict[str, int]:
        """Return the counters, by metric name."""
        return {name: self._counts[name] for name in (_REFUSED, _SENT)}


def overloaded_error(
    request: RoutingRequest,
    refusal: Refuse,
    planned: PlannedAdmission,
    accepted_in: float,
    random_source: random.Random,
) -> OverloadedError:
    """Return the error of a refused request, with a retry time.

    ``accepted_in`` is when a target accepts requests that does not do so now.
    Beyond its share, a client is asked back in time only if it will be served
    then. Any other is told that no slot is free before its deadline.
    """
    drawn = random_source.random()
    if not refusal.is_beyond_share:
        return OverloadedError(
            f'a slot is expected {refusal.excess_seconds:.2f} s after the '
            'client gives up',
            retry_after=spread_retry_after(
                min(refusal.excess_seconds, accepted_in),
                request.remaining_seconds,
                drawn,
            ),
        )
    return OverloadedError(
        f'beyond its share: {planned.describe(request)}',
        retry_after=return_seconds(
            planned.fraction, request.token, request.remaining_seconds, drawn
        ),
    )


def choice_reason(
    request: RoutingRequest, choice: Send, planned: PlannedAdmission
) -> str:
    """Return why a target was chosen, for the request's log line."""
    if choice.is_beyond_share:
        return f'a free slot, beyond its share: {planned.describe(request)}'
    if choice.is_deferred:
        return 'deferred: too late for its objective'
    return 'in time'
