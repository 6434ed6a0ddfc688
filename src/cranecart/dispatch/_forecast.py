"""Forecast the first event of a request at a replica, from declared times.

Load answered: counts alone take a large prompt for a small one, a full
replica for one that is nearly free, and a slow replica for a quick one.
"""

from cranecart.dispatch._inputs import DispatchRequest, ReplicaState

# A request is let in between passes, half a pass after it came on average,
# and its first event ends a pass of its own.
_PASSES = 1.5


def forecast(
    ask: DispatchRequest, standing: ReplicaState, *, behind: bool = False
) -> float:
    """Return the seconds to the first event, by what is believed.

    A request that goes ``behind`` waits for those that wait there already,
    one that does not passes them.
    """
    slots = ask.engine.slots
    timing = ask.engine.timing
    before = standing.in_flight
    if behind:
        before += standing.deferred
    writers = min(before + 1, slots)
    own = timing.reading_seconds(ask.prompt_tokens)
    own += _PASSES * timing.pass_seconds(writers)
    # A full replica ends a request in each mean part of its time.
    queued = max(0, before + 1 - slots)
    waiting = queued * ask.completion_interval
    return own * ask.model.pace + waiting + standing.error_seconds
