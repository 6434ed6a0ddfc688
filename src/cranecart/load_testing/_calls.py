"""Calls of the load generator and their outcomes."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class LoadCall:
    """One call, of a model or of a path of a service."""

    key: str
    api_key: str
    prompt: str
    model: str = ''
    service: str = ''
    path: str = ''
    tokens: int = 16
    stream: bool = False
    repeatable: bool = True
    priority: str = ''
    deadline_ms: int = 30000


class OutcomeKind(enum.Enum):
    """The outcome of a call as its client sees it."""

    ANSWERED = 'answered'
    WRONG_ANSWER = 'wrong answer'
    NOT_RUN = 'refused as not run'
    UNKNOWN = 'outcome unknown'
    DISCONNECTED = 'cut off without a word'
    REJECTED = 'rejected'


@attrs.frozen(kw_only=True)
class Outcome:
    """The outcome of one call; times are of the monotonic clock."""

    call: LoadCall
    kind: OutcomeKind
    started: float
    ended: float
    status: int = 0
    code: str = ''
    request_id: str = ''
    node: str = ''
    first_token_seconds: float | None = None
    token_gaps: tuple[float, ...] = ()
    retry_after: float | None = None
    cache: str = ''
    detail: str = ''

    @property
    def is_refusal(self) -> bool:
        """Return whether the response stated that the call did not run."""
        return self.kind is OutcomeKind.NOT_RUN
