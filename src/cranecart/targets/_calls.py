"""Validated client calls to be sent to a target."""

import functools

import attrs

from cranecart.clocks import since_boot
from cranecart.declarations import Priority
from cranecart.quarantine import request_identity


@attrs.frozen(kw_only=True)
class Call:
    """The fields that calls of all kinds of targets share.

    ``deadline`` is a time of ``since_boot``, in seconds.
    """

    request_id: str
    organisation: str
    body: bytes
    deadline: float
    priority: Priority = Priority.NORMAL
    repeatable: bool = True
    idempotency_key: str = ''

    @property
    def seconds_left(self) -> float:
        """Return the time until the deadline, never below zero."""
        return max(0, self.deadline - since_boot())

    @property
    def request_target(self) -> str:
        """Return what the call addresses, as part of its identity."""
        return ''

    @property
    def segments(self) -> tuple[str, ...]:
        """Return what identifies the parts of a prompt that calls share."""
        return ()

    @functools.cached_property
    def identity(self) -> str:
        """Return a digest that is the same for all retries of this call."""
        return request_identity(
            self.organisation,
            '',
            '',
            self.request_target,
            self.body,
        )

    @property
    def metadata_headers(self) -> dict[str, str]:
        """Return the headers that describe the call to a target."""
        headers = {
            'x-request-id': self.request_id,
            'x-organisation': self.organisation,
            'x-deadline-ms': str(int(self.seconds_left * 1000)),
            'x-priority-rank': str(self.priority.rank),
        }
        if self.idempotency_key:
            headers['idempotency-key'] = self.idempotency_key
        return headers


@attrs.frozen(kw_only=True)
class CompletionCall(Call):
    """A call of a model; an empty version means any version that serves."""

    model: str
    version: str = ''
    adapter: str = ''
    stream: bool = False
    prefix: str = ''
    max_tokens: int = 0

    @property
    def segments(self) -> tuple[str, ...]:
        """Return the prefix, if there is one."""
        return tuple(filter(None, (self.prefix,)))


@attrs.frozen(kw_only=True)
class ServiceCall(Call):
    """A call of a plain service."""

    service: str
    path: str
    method: str
    content_type: str = ''

    @property
    def request_target(self) -> str:
        """Return the service, the method and the path."""
        return f'{self.service} {self.method} {self.path}'
