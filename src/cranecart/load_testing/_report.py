"""Summary of a load from its outcomes and the stand-ins' records."""

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


def quantile(samples: Iterable[float], fraction: float) -> float:
    """Return the quantile at a fraction, or 0 without samples."""
    ordered = sorted(samples)
    if not ordered:
        return 0
    index = math.floor(fraction * len(ordered))
    return ordered[min(len(ordered) - 1, index)]


@attrs.frozen(kw_only=True)
class Summary:
    """Counts and latencies of one load.

    ``doubled`` counts non-repeatable calls that ran more than once,
    ``ran_though_refused`` calls that ran although the response said
    'not run', and ``cut_off`` calls that ended without a response.
    """

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
        """Count outcomes and check them against the stand-ins' records."""
        kinds = Counter(outcome.kind for outcome in outcomes)
        started = [event for event in events if event['event'] == 'start']
        first_token_times = [
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
            wrong=kinds[OutcomeKind.WRONG_ANSWER],
            refused_not_run=kinds[OutcomeKind.NOT_RUN],
            outcome_unknown=kinds[OutcomeKind.UNKNOWN],
            cut_off=kinds[OutcomeKind.DISCONNECTED],
            rejected=kinds[OutcomeKind.REJECTED],
            doubled=count_duplicate_runs(outcomes, started),
            ran_though_refused=count_runs_despite_refusal(outcomes, started),
            first_token_ms_p50=quantile(first_token_times, P50),
            first_token_ms_p95=quantile(first_token_times, P95),
            between_tokens_ms_p50=quantile(gaps, P50),
            between_tokens_ms_p95=quantile(gaps, P95),
        )

    @property
    def violations(self) -> int:
        """Return how many outcomes break the guarantees to clients."""
        return self.wrong + self.doubled + self.ran_though_refused


def count_duplicate_runs(
    outcomes: Iterable[Outcome],
    started: Iterable[Mapping[str, Any]],
) -> int:
    """Count non-repeatable calls that targets started more than once."""
    non_repeatable = {
        outcome.call.key for outcome in outcomes if not outcome.call.repeatable
    }
    runs = Counter(event['key'] for event in started)
    return sum(runs[key] > 1 for key in non_repeatable)


def count_runs_despite_refusal(
    outcomes: Iterable[Outcome],
    started: Iterable[Mapping[str, Any]],
) -> int:
    """Count calls that ran although their response said 'not run'."""
    ran = {event['request'] for event in started}
    return sum(
        outcome.is_refusal and outcome.request_id in ran
        for outcome in outcomes
        if outcome.request_id
    )
