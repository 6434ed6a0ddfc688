"""The retries that a deployment allows."""

import attrs


@attrs.frozen
class RetryLimits:
    """The retries that a deployment allows within a sliding window.

    ``ratio`` is the part of the requests that may be retried, ``slack`` the
    number of further retries over all nodes, ``window_seconds`` the length of
    the window.
    """

    ratio: float
    slack: float
    window_seconds: float
