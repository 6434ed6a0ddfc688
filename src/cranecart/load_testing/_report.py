"""Sum up a load's outcomes together with what the stand-ins recorded."""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Self

import attrs

from cranecart.load_testing._calls import Outcome, OutcomeKind

_MILLISECONDS = 1000
P50 = 0.5
P95 = 0.95
P99 = 0.99


def quantile(numbers: Iterable[float], share: float) -> float:
    """Return the number below which this share of them lies; 0 for none."""
    ordered = sorted(numbers)
    if not ordered:
        return 0
    position = math.floor(share * len(ordered))
    return ordered[min(len(ordered) - 1, position)]


@attrs.frozen(kw_only=True)
class Summary:
    """Counts and times of one load."""

    sent: int
    answered: int
    wrong: int
    refused_not_run: int
    outcome_unknown: int
    cut_off: int
    rejected: int
    doubled: int
    ran_though_refused: int
    first_token_ms_p50: float
    first_token_ms_p95: float
    between_tokens_ms_p50: float
    between_tokens_ms_p95: float

    @classmethod
    def from_outcomes(
        cls,
        outcomes: Sequence[Outcome],
        events: Sequence[Mapping[str, Any]],
    ) -> Self:
        """Count outcomes, and judge them by what the stand-ins recorded."""
        kinds = Counter(outcome.kind for outcome in outcomes)
        started = [event for event in events if event['event'] == 'start']
        firsts = [
            outcome.first_token_seconds * _MILLISECONDS
            for outcome in outcomes
            if outcome.first_token_seconds is not None
            and outcome.kind is OutcomeKind.ANSWERED
        ]
        gaps = [
            gap * _MILLISECONDS
            for gap in itertools.chain.from_iterable(
                outcome.token_gaps for outcome in outcomes
            )
        ]
        return cls(
            sent=len(outcomes),
            answered=kinds[OutcomeKind.ANSWERED],
            wrong=kinds[OutcomeKind.WRONG],
            refused_not_run=kinds[OutcomeKind.NOT_RUN],
            outcome_unknown=kinds[OutcomeKind.UNKNOWN],
            cut_off=kinds[OutcomeKind.CUT],
            rejected=kinds[OutcomeKind.REJECTED],
            doubled=count_doubled(outcomes, started),
            ran_though_refused=count_false_refusals(outcomes, started),
            first_token_ms_p50=quantile(firsts, P50),
            first_token_ms_p95=quantile(firsts, P95),
            between_tokens_ms_p50=quantile(gaps, P50),
            between_tokens_ms_p95=quantile(gaps, P95),
        )

    @property
    def violations(self) -> int:
        """Return how often something that must always hold did not."""
        return self.wrong + self.doubled + self.ran_though_refused


def count_doubled(
    outcomes: Iterable[Outcome],
    started: Iterable[Mapping[str, Any]],
) -> int:
    """Count non-repeatable keys that targets started more than once."""
    non_repeatable = {
        outcome.call.key for outcome in outcomes if not outcome.call.repeatable
    }
    runs = Counter(event['key'] for event in started)
    return sum(runs[key] > 1 for key in non_repeatable)


def count_false_refusals(
    outcomes: Iterable[Outcome],
    started: Iterable[Mapping[str, Any]],
) -> int:
    """Count calls that ran although the client was told 'not run'."""
    ran = {event['request'] for event in started}
    return sum(
        outcome.is_refusal and outcome.request_id in ran
        for outcome in outcomes
        if outcome.request_id
    )
