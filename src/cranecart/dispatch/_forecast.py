"""Forecast the time to a request's first event at a replica.

The forecast uses the declared engine timings. Request counts alone cannot tell
a long prompt from a short one, a full replica from one that has almost a free
slot, or a slow replica from a fast one.
"""

from cranecart.dispatch._inputs import DispatchRequest, ReplicaState

# Engines admit requests between passes, on average half a pass after arrival,
# and the first event comes at the end of one more pass.
_FIRST_EVENT_PASSES = 1.5


def forecast(
    request: DispatchRequest, replica: ReplicaState, *, deferred: bool = False
) -> float:
    """Return the forecast time to the first event, in seconds.

    A ``deferred`` request waits behind the requests deferred before it; any
    other request passes them.
    """
    slots = request.engine.slots
    timing = request.engine.timing
    ahead = replica.in_flight
    if deferred:
        ahead += replica.deferred
    active = min(ahead + 1, slots)
    prefill = timing.prompt_seconds(request.prompt_tokens)
    prefill += _FIRST_EVENT_PASSES * timing.pass_seconds(active)
    # A full replica completes one request per completion interval.
    queued = float(max(0, ahead + 1 - slots))
    if not deferred:
        # Engines admit more urgent ranks first, but in any case one request has
        # to be completed before this one is admitted.
        passing = (1 - request.passed_fraction) * queued
        queued = max(min(queued, 1), passing)
    waiting = queued * request.completion_interval
    engine_seconds = prefill * request.model.pace + waiting
    return engine_seconds * replica.pace + replica.error_seconds
