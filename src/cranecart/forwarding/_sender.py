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
from cranecart.forwarding._connections import TargetConnections
from cranecart.forwarding._own_head import OwnHead
from cranecart.http import HttpConnection, ResponseHead
from cranecart.ports import AnswerFacts, CallForm, Dispatch
from cranecart.routing import Target, TargetRouter

Answer = TypeVar('Answer')

# Told that a replica may stand still, and what shows it.
Evidence = Callable[[tuple[str, int], str], Awaitable[None]]

# Statuses that promise that a request has not run; without the target's own
# word such an answer is taken for an unknown outcome.
_PROMISES = frozenset((408, 421, 429, 503))
# How often a wait looks whether its replica was found to have stopped, and
# how often once it has been silent for so long that this may be any moment.
_LOOK_SECONDS = 0.025
# By how many ranks those step back that cannot be in time any more: behind all
# of the ranks that operators give on the users' sheets.
_LATE_RANKS = 5
_CLOSE_LOOK_SECONDS = 0.006


@attrs.frozen
class TargetAnswer:
    """The head of an answer that belongs to the request, and its rest."""

    head: ResponseHead
    facts: AnswerFacts
    connection: HttpConnection


@attrs.frozen
class Patience:
    """How long a target may be silent, in seconds.

    After ``suspect`` the silence is told as evidence; after ``most`` the
    target is given up, after ``still`` if it gives its other streams nothing
    either, and at once if it is found to have stopped, unless ``is_last``:
    then nothing is gained by leaving it.
    """

    suspect: float
    most: float
    still: float = float('inf')
    is_last: bool = False


@attrs.define
class Sender:
    """Sends attempts and checks the answers' heads."""

    form: CallForm
    router: TargetRouter
    connections: TargetConnections
    _is_stopped: Callable[[tuple[str, int]], bool]
    _evidence: Evidence

    @contextlib.asynccontextmanager
    async def answer(
        self,
        call: RoutedCall,
        target: Target,
        patience: Patience,
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
            reading = OwnHead(self.form, call, connection)
            head = await self.wait(call, target, patience, reading.read)
            yield await self._checked(target, connection, head, sent_at)
        except (TargetBrokenError, TargetTimeoutError):
            await self.connections.drop(target.instance)
            raise
        finally:
            await self.connections.give_back(target.instance, connection)

    async def wait(
        self,
        call: RoutedCall,
        target: Target,
        patience: Patience,
        read: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Read from a target, which may fall silent or break off.

        Raise ``TargetTimeoutError`` at the call's end and
        ``TargetBrokenError`` where the target stands still or broke off.
        """
        started = since_boot()
        silence = float(0)
        is_told = False
        while True:
            pause = _pause_before_look(patience, silence, is_told)
            try:
                return await curio.timeout_after(
                    max(0, min(pause, call.seconds_left)),
                    read,
                )
            except TaskTimeout:
                silence = since_boot() - started
                self._check_silence(call, target, patience, silence)
            except HttpError as error:
                self.connections.doubt(target.instance)
                raise TargetDisconnectedError(str(error)) from error
            if silence >= patience.suspect and not is_told:
                is_told = True
                await self.tell(target, f'silent for {silence:.3f} s')

    async def tell(self, target: Target, evidence: str) -> None:
        """Tell that a target may stand still."""
        if target.replica_epoch is not None:
            await self._evidence(target.replica_epoch, evidence)

    def _check_silence(
        self,
        call: RoutedCall,
        target: Target,
        patience: Patience,
        silence: float,
    ) -> None:
        if call.seconds_left <= 0:
            raise TargetTimeoutError('the answer was not whole in time')
        forming = target.replica_epoch
        is_stopped = forming is not None and self._is_stopped(forming)
        if is_stopped and not patience.is_last:
            raise TargetBrokenError(f'{target.instance.id} has stopped')
        model = call.facts.model
        if silence > patience.still and self.router.is_stalled(target, model):
            raise TargetBrokenError(
                f'{target.instance.id} gives its streams nothing',
            )
        if silence > patience.most:
            raise TargetBrokenError(
                f'{target.instance.id} was silent for {silence:.3f} s',
            )

    async def _connect(
        self,
        call: RoutedCall,
        target: Target,
    ) -> HttpConnection:
        try:
            return await self.connections.take(
                target.instance,
                is_sure=not call.may_repeat,
                # No answer can name a request that has no name: what comes on
                # a connection of its own is its own.
                is_new=not call.request_id,
            )
        except TargetNotReachedError as error:
            await self.tell(target, str(error))
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
        late_ranks = _LATE_RANKS if target.is_deferred else 0
        dispatch = Dispatch(
            target.instance.id,
            call.seconds_left,
            call.organisation,
            call.rank + late_ranks,
            resume_after,
        )
        try:
            await connection.start_sending(
                self.form.request_for(call.request, dispatch)
            )
        except HttpError as error:
            self.connections.doubt(target.instance)
            raise TargetDisconnectedError(str(error)) from error

    async def _checked(
        self,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        sent_at: float,
    ) -> TargetAnswer:
        facts = self.form.read_answer(head)
        self.connections.note_head(target.instance, head)
        self.router.throttle.record_response(
            target.instance.incarnation, facts, sent_at
        )
        if facts.at_fault:
            await self.tell(target, f'cannot work without {facts.at_fault}')
        _check_answer(target, head, facts)
        return TargetAnswer(head, facts, connection)


def _pause_before_look(
    patience: Patience,
    silence: float,
    is_told: bool,
) -> float:
    if is_told:
        return _CLOSE_LOOK_SECONDS
    return min(_LOOK_SECONDS, patience.suspect - silence)


def _check_answer(
    target: Target,
    head: ResponseHead,
    facts: AnswerFacts,
) -> None:
    name = target.instance.id
    if facts.not_run:
        raise TargetRefusedError(f'{name} refused with {head.status}')
    if head.status in _PROMISES:
        raise TargetBrokenError(f'{name} answered {head.status} unexplained')
    if head.is_success and not facts.is_genuine:
        raise TargetBrokenError(f'{name} sent an answer that is not its own')
