"""Decide which of several attempts at a request is passed on to the client.

A target that is silent may go on a moment later, and the next one may refuse.
So the next attempt runs beside a silent one instead of after it.
"""

import contextlib
from collections.abc import AsyncGenerator, Sequence

import attrs
import curio

from cranecart.exceptions import TargetAbandonedError
from cranecart.forwarding._attempt import Attempt
from cranecart.logs import RequestTrace


@attrs.define
class Handover:
    """The attempts at one request that run at the same time.

    Only the response of the leading one reaches the client. The first of all
    that has more of the response leads from then on, and ends the others.
    """

    _trace: RequestTrace
    _leader: Attempt | None = attrs.field(default=None, init=False)
    _followers: list[Attempt] = attrs.field(factory=list, init=False)
    _added: list[Attempt] = attrs.field(factory=list, init=False)

    @property
    def running_count(self) -> int:
        """Return the number of attempts that run now."""
        return len(self._running())

    @property
    def target_count(self) -> int:
        """Return at how many targets the running attempts may be."""
        return sum(attempt.target_count for attempt in self._running())

    def is_leading(self, attempt: Attempt) -> bool:
        """Return whether an attempt's response is passed on."""
        return attempt is self._leader

    def is_newest(self, attempt: Attempt) -> bool:
        """Return whether no attempt was started after this one."""
        newest = self._followers[-1] if self._followers else self._leader
        return attempt is newest

    def begin(self, attempt: Attempt) -> None:
        """Let an attempt lead while no other runs."""
        self._leader = attempt

    def add(self, attempt: Attempt, task: curio.Task) -> None:
        """Let an attempt run beside the others, in a task of its own."""
        attempt.task = task
        self._followers.append(attempt)
        self._added.append(attempt)

    async def lead(self, attempt: Attempt) -> None:
        """Let an attempt lead that has more of the response; end the others.

        Return once no other response is passed on. Raise
        ``TargetAbandonedError`` if another attempt leads in place of this one.
        """
        if attempt is self._leader:
            if self._followers:
                await self._cancel_others(attempt)
            return
        earlier = self._leader
        assert earlier is not None
        if attempt.is_cancelled:
            await _wait_for_cancellation()
        self.check_running(attempt)
        self._followers.remove(attempt)
        self._leader = attempt
        self._trace.add('attempt_leads', instance=attempt.name)
        await self._cancel_others(attempt)
        await earlier.wait_ended()

    def check_running(self, attempt: Attempt) -> None:
        """Raise ``TargetAbandonedError`` if another leads in place of it."""
        if attempt is self._leader or attempt in self._followers:
            return
        if attempt.is_cancelled:
            # Its target is not at fault.
            return
        assert self._leader is not None
        raise TargetAbandonedError(
            f'{attempt.name} was silent until {self._leader.name} took over'
        )

    @contextlib.asynccontextmanager
    async def running(self, attempt: Attempt) -> AsyncGenerator[None, None]:
        """Record that an attempt has ended when the context does.

        Its failure is examined afterwards, which takes a while: another attempt
        may wait to take over.
        """
        try:
            yield
        finally:
            if attempt in self._followers:
                self._followers.remove(attempt)
            await attempt.end()

    def promote(self) -> Attempt | None:
        """Let another attempt lead as the leading one has ended.

        Return it, or ``None`` if there is none. It may have ended as well, as
        long as its result is not known yet.
        """
        leader = self._leader
        if leader is not None and leader.task and not leader.is_collected:
            return leader
        if not self._followers:
            return None
        self._leader = self._followers.pop(0)
        return self._leader

    async def close(self) -> None:
        """End all attempts that run in tasks of their own.

        Those that have ended go on examining their failure.
        """
        await _cancel(
            [attempt for attempt in self._added if not attempt.has_ended]
        )

    def _running(self) -> Sequence[Attempt]:
        leader = self._leader
        if leader is None or leader.has_ended:
            return self._followers
        return (leader, *self._followers)

    async def _cancel_others(self, attempt: Attempt) -> None:
        others = self._followers
        self._followers = []
        for other in others:
            self._trace.add(
                'attempt_cancelled',
                instance=other.name,
                why=f'{attempt.name} went on first',
            )
            other.is_cancelled = True
        await _cancel(others)


async def _cancel(attempts: Sequence[Attempt]) -> None:
    """Cancel attempts; their tasks end even if this one is cancelled."""
    tasks = [attempt.task for attempt in attempts if attempt.task is not None]
    for attempt in attempts:
        # Its task may not have begun to run.
        attempt.tracking.close()
    for task in tasks:
        await task.cancel(blocking=False)
    for task in tasks:
        await task.wait()


async def _wait_for_cancellation() -> None:
    """Block, as a cancellation arrives only in a call that does."""
    await curio.Event().wait()
