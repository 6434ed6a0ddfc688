"""Calls for the tests of decisions."""

import time

from cranecart.targets import ServiceCall

_SECONDS = 600


def non_repeatable_call(body: bytes = b'{}') -> ServiceCall:
    """Make a confirmation under one idempotency key."""
    return ServiceCall(
        request_id='r',
        organisation='o',
        body=body,
        deadline=time.monotonic() + _SECONDS,
        repeatable=False,
        idempotency_key='k',
        service='s',
        path='/confirm',
        method='POST',
    )
