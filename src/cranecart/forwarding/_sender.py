"""Send one attempt to one target, and make sure whose answer comes back."""

import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    HttpError,
    TargetBrokenError,
    TargetDisconnectedError,
    TargetNotReachedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetWithdrawnError,
)
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._connections import TargetConnectionPool
from cranecart.forwarding._own_response import OwnResponseReader
from cranecart.http import HttpConnection, ResponseHead
from cranecart.ports import AnswerFacts, CallForm, Dispatch
from cranecart.routing import Target, TargetRouter

Answer = TypeVar('Answer')

# Told that a replica may stand still, and what shows it.
SuspicionReporter = Callable[[tuple[str, int], str], Awaitable[None]]

# Statuses that promise that a request has not run; without the target's own
# word such an answer is taken for an unknown outcome.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# How often a wait looks whether its replica was found to have stopped, and
# how often once it has been silent for so long that this may be any moment.
_POLL_SECONDS = 0.025
# By how many ranks those step back that cannot be in time any more: behind all
# of the ranks that operators give on the users' sheets.
_LATE_RANK_PENALTY = 5
_SUSPECT_POLL_SECONDS = 0.006


@attrs.frozen
class TargetAnswer:
    """The head of an answer that belongs to the request, and its rest."""

    head: ResponseHead
    facts: AnswerFacts
    connection: HttpConnection


@attrs.frozen
class SilenceLimits:
    """How long a target may be silent, in seconds.

    After ``suspect`` the silence is told as evidence; after ``most`` the
    target is given up, after ``still`` if it gives its other streams nothing
    either, and at once if it is found to have stopped, unless ``is_last``:
    then nothing is gained by leaving it.
    """

    suspect_after: float
    give_up_after: float
    stalled_after: float = float('inf')
    is_final_attempt: bool = False


@attrs.define
class Sender:
    """Sends attempts and checks the answers' heads."""

    form: CallForm
    router: TargetRouter
    connections: TargetConnectionPool
    _has_stopped: Callable[[tuple[str, int]], bool]
    _report_suspicion: SuspicionReporter

    @contextlib.asynccontextmanager
    async def start_attempt(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        resume_after: str = '',
    ) -> AsyncGenerator[TargetAnswer, None]:
        """Send an attempt; give the head of its own answer.

        Raise ``TargetError``. The connection is kept only if the answer was
        read whole within the context.
        """
        connection = await self._connect(call, target)
        try:
            sent_at = since_boot()
            await self._send(call, target, connection, resume_after)
            reading = OwnResponseReader(self.form, call, connection)
            head = await self.read_with_limits(
                call, target, limits, reading.read
            )
            yield await self._check_response(target, connection, head, sent_at)
        except (TargetBrokenError, TargetTimeoutError):
            await self.connections.close_idle(target.instance)
            raise
        finally:
            await self.connections.release(target.instance, connection)

    async def read_with_limits(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        read: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Read from a target, which may fall silent or break off.

        Raise ``TargetTimeoutError`` at the call's end and
        ``TargetBrokenError`` where the target stands still or broke off.
        """
        started = since_boot()
        silence = float(0)
        is_reported = False
        while True:
            pause = _poll_interval(limits, silence, is_reported)
            try:
                return await curio.timeout_after(
                    max(0, min(pause, call.seconds_left)),
                    read,
                )
            except TaskTimeout:
                silence = since_boot() - started
                self._check_silence(call, target, limits, silence)
            except HttpError as error:
                self.connections.mark_unreliable(target.instance)
                raise TargetDisconnectedError(str(error)) from error
            if silence >= limits.suspect_after and not is_reported:
                is_reported = True
                await self.report_suspicion(
                    target, f'silent for {silence:.3f} s'
                )

    async def report_suspicion(self, target: Target, evidence: str) -> None:
        """Tell that a target may stand still."""
        if target.replica_epoch is not None:
            await self._report_suspicion(target.replica_epoch, evidence)

    def _check_silence(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        silence: float,
    ) -> None:
        if call.seconds_left <= 0:
            raise TargetTimeoutError('the answer was not whole in time')
        replica_key = target.replica_epoch
        is_stopped = replica_key is not None and self._has_stopped(replica_key)
        if is_stopped and not limits.is_final_attempt:
            raise TargetBrokenError(f'{target.instance.id} has stopped')
        model = call.facts.model
        if silence > limits.stalled_after and self.router.is_stalled(
            target, model
        ):
            raise TargetBrokenError(
                f'{target.instance.id} gives its streams nothing',
            )
        if silence > limits.give_up_after:
            raise TargetBrokenError(
                f'{target.instance.id} was silent for {silence:.3f} s',
            )

    async def _connect(
        self,
        call: RoutedCall,
        target: Target,
    ) -> HttpConnection:
        try:
            return await self.connections.acquire(
                target.instance,
                require_recent=not call.may_repeat,
                # No answer can name a request that has no name: what comes on
                # a connection of its own is its own.
                require_new=not call.request_id,
            )
        except TargetNotReachedError as error:
            await self.report_suspicion(target, str(error))
            raise

    async def _send(
        self,
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        resume_after: str,
    ) -> None:
        if not self.router.throttle.may_send(target.instance.incarnation):
            # While it waited for a connection another answer asked for rest.
            raise TargetWithdrawnError(
                f'{target.instance.id} takes nothing any more',
            )
        rank_penalty = _LATE_RANK_PENALTY if target.is_deferred else 0
        dispatch = Dispatch(
            target.instance.id,
            call.seconds_left,
            call.organisation,
            call.rank + rank_penalty,
            resume_after,
        )
        try:
            await connection.start_sending(
                self.form.request_for(call.request, dispatch)
            )
        except HttpError as error:
            self.connections.mark_unreliable(target.instance)
            raise TargetDisconnectedError(str(error)) from error

    async def _check_response(
        self,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        sent_at: float,
    ) -> TargetAnswer:
        facts = self.form.read_answer(head)
        self.connections.record_keep_alive(target.instance, head)
        self.router.throttle.record_response(
            target.instance.incarnation, facts, sent_at
        )
        if facts.at_fault:
            await self.report_suspicion(
                target, f'cannot work without {facts.at_fault}'
            )
        _check_answer(target, head, facts)
        return TargetAnswer(head, facts, connection)


def _poll_interval(
    limits: SilenceLimits,
    silence: float,
    is_reported: bool,
) -> float:
    if is_reported:
        return _SUSPECT_POLL_SECONDS
    return min(_POLL_SECONDS, limits.suspect_after - silence)


def _check_answer(
    target: Target,
    head: ResponseHead,
    facts: AnswerFacts,
) -> None:
    name = target.instance.id
    if facts.not_run:
        raise TargetRefusedError(f'{name} refused with {head.status}')
    if head.status in _NOT_RUN_STATUSES:
        raise TargetBrokenError(f'{name} answered {head.status} unexplained')
    if head.is_success and not facts.is_genuine:
        raise TargetBrokenError(f'{name} sent an answer that is not its own')
