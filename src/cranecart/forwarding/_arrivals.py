"""When a request's attempts have arrived at their targets at the latest.

A target that is suspended reads what was sent to it once it goes on, also after
the attempt was given up. The budget counts retries by their arrivals, so that
those of a silence would otherwise come beside those allowed after a window.
"""

import contextlib
from collections.abc import Callable, Generator

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import TargetAbandonedError, TargetTimeoutError
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._failures import NOT_SENT_ERRORS
from cranecart.peer_calls import Peer
from cranecart.retries import RequestRetries, UnreadAttempt

# Targets that are silent for longer have failed.
_MAX_SUSPENDED_SECONDS = 20.0
# Peers drop requests that were given up before they go on.
_MAX_PEER_SUSPENDED_SECONDS = 4.0
_SILENCE_ERRORS = (
    TargetAbandonedError,
    TargetTimeoutError,
    curio.CancelledError,
)


def _hear_nothing(_since: float) -> bool:
    """Know nothing of a target but its response."""
    return False


@attrs.define
class Arrivals:
    """The latest times of arrival, as of ``since_boot``, and the charges.

    The first arrival is free, whichever attempt it was.
    """

    _retries: RequestRetries
    _latest: list[float] = attrs.field(factory=list, init=False)
    _unread: list[UnreadAttempt] = attrs.field(factory=list, init=False)
    # When each retry was withdrawn, and whether it is held.
    _charges: dict[float, bool] = attrs.field(factory=dict, init=False)

    @contextlib.contextmanager
    def track(
        self, attempt: Attempt, has_been_heard: Callable[[float], bool]
    ) -> Generator[None, None, None]:
        """Find out by when an attempt arrives that is made meanwhile.

        ``has_been_heard`` returns whether its target has sent anything to
        this node since a time.
        """
        with self._track(attempt, has_been_heard, _MAX_SUSPENDED_SECONDS):
            yield

    @contextlib.contextmanager
    def track_through(self, attempt: Attempt) -> Generator[None, None, None]:
        """Find out by when an attempt arrives that a peer makes."""
        with self._track(attempt, _hear_nothing, _MAX_PEER_SUSPENDED_SECONDS):
            yield

    def settle(self) -> None:
        """Count each retry until its arrival has left the window."""
        charges = sorted(
            withdrawn_at
            for withdrawn_at, is_held in self._charges.items()
            if not is_held
        )
        last = sorted(self._latest)[-len(charges) :] if charges else ()
        for withdrawn_at, arrived_by in zip(charges, last, strict=False):
            self._retries.prolong(withdrawn_at, arrived_by)

    @contextlib.contextmanager
    def _track(
        self,
        attempt: Attempt,
        has_been_heard: Callable[[float], bool],
        max_suspended_seconds: float,
    ) -> Generator[None, None, None]:
        started = since_boot()
        self._add_charge(attempt)
        try:
            yield
        except NOT_SENT_ERRORS:
            raise
        except _SILENCE_ERRORS:
            if has_been_heard(started):
                self._record(attempt)
            else:
                self._record_silent(
                    attempt, has_been_heard, max_suspended_seconds
                )
            raise
        except BaseException:
            self._record(attempt)
            raise
        self._record(attempt)

    def _add_charge(self, attempt: Attempt) -> None:
        if attempt.withdrawn_at is not None:
            self._charges.setdefault(attempt.withdrawn_at, False)
            self._hold()

    def _record(self, attempt: Attempt) -> None:
        begun_at = attempt.progress.begun_at
        self._latest.append(since_boot() if begun_at is None else begun_at)

    def _record_silent(
        self,
        attempt: Attempt,
        has_been_heard: Callable[[float], bool],
        max_suspended_seconds: float,
    ) -> None:
        if attempt.progress.has_begun:
            self._record(attempt)
            return
        if not _may_be_sent(attempt):
            return
        now = since_boot()
        self._unread.append(
            UnreadAttempt(now, now + max_suspended_seconds, has_been_heard)
        )
        self._hold()

    def _hold(self) -> None:
        """Hold as many retries as there are attempts that may be unread.

        At once, as the request may go on for longer than the window.
        """
        for withdrawn_at, is_held in self._charges.items():
            if self._unread and not is_held:
                self._charges[withdrawn_at] = True
                self._retries.hold(withdrawn_at, self._unread.pop())


def _may_be_sent(attempt: Attempt) -> bool:
    """Return whether an attempt was sent, if only to a peer."""
    return attempt.progress.was_sent or isinstance(attempt.choice, Peer)
