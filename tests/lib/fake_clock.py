"""A clock that a test sets."""

import attrs


@attrs.define
class FakeClock:
    """Returns ``now``, in seconds from any origin."""

    now: float = 100

    def __call__(self) -> float:
        """Return the time that the test has set."""
        return self.now
