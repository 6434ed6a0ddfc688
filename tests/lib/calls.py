"""Calls for unit tests."""

import time

from cranecart.targets import ServiceCall

_DEADLINE_SECONDS = 600


def non_repeatable_call(body: bytes = b'{}') -> ServiceCall:
    """Return a non-repeatable call with a fixed idempotency key."""
    return ServiceCall(
        request_id='r',
        organisation='o',
        body=body,
        deadline=time.monotonic() + _DEADLINE_SECONDS,
        repeatable=False,
        idempotency_key='k',
        service='s',
        path='/confirm',
        method='POST',
    )
