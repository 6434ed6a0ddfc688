"""Retries that targets may still read after they were given up; no I/O."""

from collections.abc import Callable

import attrs


@attrs.frozen
class UnreadAttempt:
    """An attempt that was given up while its target was silent.

    Unless the target has ended it reads the attempt when it goes on, by
    ``read_by`` at the latest. ``has_been_heard`` returns whether it has sent
    anything since a time. Times are as of ``since_boot``.
    """

    left_at: float
    read_by: float
    has_been_heard: Callable[[float], bool]

    @property
    def is_read(self) -> bool:
        """Return whether the target has sent anything since."""
        return self.has_been_heard(self.left_at)


@attrs.frozen
class UnreadRetry:
    """A retry of a service that counts until ``counted_until``."""

    service: str
    counted_until: float
    attempt: UnreadAttempt
