"""Outcomes of requests, read from the logs of all nodes, and their tallies."""

import enum
import re
from collections import Counter, defaultdict
from collections.abc import (
    Callable,
    Hashable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Self, TypeVar

import attrs

from cranecart.logs import sampling_position
from tools.repairs import LogEvent

_MILLISECONDS = 1000
_MIN_SERVER_ERROR = 500
_UNKNOWN = 'unknown'
_OVERLOADED = 'overloaded'
_NUMBER = re.compile(r'\d+(\.\d+)?')
_End = tuple['Verdict', str]
_Key = TypeVar('_Key', bound=Hashable)


class Verdict(enum.Enum):
    """What a request was to its client."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'


_SAMPLED_VERDICTS = frozenset((Verdict.IN_TIME, Verdict.LATE))


@attrs.frozen
class RequestOutcome:
    """Outcome of one request and the cause of a loss.

    The failure domain is that of the node that received the request. ``weight``
    is the number of requests that a sampled one stands for.
    """

    at: float
    route: str
    rank: str
    organisation: str
    failure_domain: str
    model: str
    node: str
    verdict: Verdict
    cause: str
    weight: float = 1


@attrs.define
class Tally:
    """Requests by verdict and, unless they were in time, by cause."""

    verdicts: Counter[Verdict] = attrs.field(factory=Counter)
    causes: Counter[str] = attrs.field(factory=Counter)

    @classmethod
    def from_outcomes(cls, outcomes: Iterable[RequestOutcome]) -> Self:
        """Count outcomes; sums of weights are rounded, not each weight."""
        weights: dict[_End, float] = defaultdict(float)
        for outcome in outcomes:
            weights[outcome.verdict, outcome.cause] += outcome.weight
        tally = cls()
        for (verdict, cause), weight in weights.items():
            tally.verdicts[verdict] += round(weight)
            if verdict is not Verdict.IN_TIME:
                tally.causes[cause] += round(weight)
        return tally

    @property
    def asked(self) -> int:
        """Return the number of requests that were received."""
        return self.verdicts.total()

    @property
    def lost(self) -> int:
        """Return the number of requests that were not answered in time."""
        return self.asked - self.verdicts[Verdict.IN_TIME]

    def __str__(self) -> str:
        """Return the counts as the columns of a table."""
        columns = ' '.join(
            f'{verdict.value} {self.verdicts[verdict]:5}' for verdict in Verdict
        )
        causes = '; '.join(
            f'{cause} {count}' for cause, count in self.causes.most_common()
        )
        return f'asked {self.asked:5} {columns}  {causes}'.rstrip()


def tally_by(
    outcomes: Iterable[RequestOutcome],
    key_of: Callable[[RequestOutcome], _Key],
) -> dict[_Key, Tally]:
    """Return the tally of the requests with each key."""
    by_key: dict[_Key, list[RequestOutcome]] = defaultdict(list)
    for outcome in outcomes:
        by_key[key_of(outcome)].append(outcome)
    return {key: Tally.from_outcomes(group) for key, group in by_key.items()}


def request_outcomes(
    events: Sequence[LogEvent],
    logged_successes: float = 1,
) -> Iterator[RequestOutcome]:
    """Yield the outcome of each request that was admitted or refused.

    Nodes log all refusals and failures, but only a fraction of the answered
    requests, chosen by the request's id. With that fraction, each one that
    belongs to it stands for its share of all, and others that were logged
    because something notable happened to them are represented by it.
    """
    failure_domains = {
        event['node']: event['failure_domain']
        for event in events
        if event['event'] == 'node_started'
    }
    for request_id, by_event in _traces(events).items():
        first = by_event.get('admitted', by_event.get('refused'))
        if first is None:
            continue
        outcome = _outcome(first, by_event, failure_domains)
        if outcome.verdict not in _SAMPLED_VERDICTS:
            yield outcome
        elif sampling_position(request_id) < logged_successes:
            yield attrs.evolve(outcome, weight=1 / logged_successes)


def _traces(
    events: Iterable[LogEvent],
) -> Mapping[str, Mapping[str, LogEvent]]:
    traces: dict[str, dict[str, LogEvent]] = defaultdict(dict)
    for event in events:
        if event.get('request'):
            traces[event['request']][event['event']] = event
    return traces


def _outcome(
    first: LogEvent,
    by_event: Mapping[str, LogEvent],
    failure_domains: Mapping[str, str],
) -> RequestOutcome:
    is_admitted = 'admitted' in by_event
    verdict, cause = _verdict(first, by_event)
    return RequestOutcome(
        first.get('at', first['time']),
        first.get('route', _UNKNOWN) if is_admitted else 'not admitted',
        # Nodes of an earlier version do not log it.
        str(first.get('rank', _UNKNOWN)),
        first.get('organisation', _UNKNOWN),
        failure_domains.get(first.get('node', ''), _UNKNOWN),
        (first['model'] or 'plain service') if is_admitted else _UNKNOWN,
        first.get('node', _UNKNOWN),
        verdict,
        cause,
    )


def _verdict(
    admitted: LogEvent,
    by_event: Mapping[str, LogEvent],
) -> tuple[Verdict, str]:
    match by_event:
        case {'refused': refused}:
            return _refusal_verdict(refused)
        case {'streamed': streamed}:
            return _stream_verdict(admitted, streamed)
        case {'answered': answered}:
            return _answer_verdict(admitted, answered)
        case {'client_left': _}:
            return Verdict.FAILED, 'client left'
        case {'unread_cut': _}:
            return Verdict.FAILED, 'cut off unread'
        case {'cut_by_stop': _}:
            return Verdict.FAILED, 'cut by a stop of the node'
    return Verdict.FAILED, _UNKNOWN


def _answer_verdict(
    admitted: LogEvent, answered: LogEvent
) -> tuple[Verdict, str]:
    status = answered.get('status', 0)
    if status >= _MIN_SERVER_ERROR:
        return Verdict.FAILED, f'status {status} of the target'
    if answered['after'] > admitted['objective']:
        return Verdict.LATE, 'answered late'
    return Verdict.IN_TIME, Verdict.IN_TIME.value


def _refusal_verdict(refused: LogEvent) -> tuple[Verdict, str]:
    if refused['begun']:
        return Verdict.FAILED, f'{refused["code"]}, cut'
    if refused.get('execution', 'not run') != 'not run':
        return Verdict.FAILED, refused['code']
    if refused['code'] == _OVERLOADED and 'why' in refused:
        # Several parts refuse with this code; only the text tells them apart.
        why = _NUMBER.sub('N', refused['why'])
        return Verdict.REFUSED, f'{_OVERLOADED}: {why}'
    return Verdict.REFUSED, refused['code']


def _stream_verdict(
    admitted: LogEvent, streamed: LogEvent
) -> tuple[Verdict, str]:
    moved = ', moved' if len(streamed['tried']) > 1 else ''
    if streamed['first_ms'] > admitted['objective'] * _MILLISECONDS:
        return Verdict.LATE, f'first event late{moved}'
    if streamed['gap_ms'] > admitted['pause'] * _MILLISECONDS:
        return Verdict.LATE, f'pause{moved}'
    return Verdict.IN_TIME, Verdict.IN_TIME.value
