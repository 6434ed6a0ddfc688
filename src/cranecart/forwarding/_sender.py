"""Send one attempt to one target and verify that the response belongs to it."""

import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    HttpError,
    TargetAbandonedError,
    TargetDisconnectedError,
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TargetWithdrawnError,
)
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._connections import TargetConnectionPool
from cranecart.forwarding._own_response import OwnResponseReader
from cranecart.forwarding._replacement import Replacement
from cranecart.forwarding._response_errors import error_of_response
from cranecart.forwarding._resume_guard import ResumeGuard
from cranecart.http import HttpConnection, ResponseHead
from cranecart.ports import CallTranslator, Dispatch, ResponseInfo
from cranecart.routing import Target, TargetRouter

AnswerT = TypeVar('AnswerT')

# Called with a replica that may have stopped, and the evidence for it.
SuspicionReporter = Callable[[tuple[str, int], str], Awaitable[None]]

# Statuses that imply that a request was not run. Without the target's explicit
# confirmation the outcome counts as unknown nevertheless.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# How often a waiting attempt checks whether its replica was found to have
# stopped.
_POLL_SECONDS = 0.025
# Added to the rank of requests that will miss their objective, so that they are
# queued after all ranks that operators configure.
_LATE_RANK_PENALTY = 5
# Replaces _POLL_SECONDS once the replica is suspected or another attempt was
# started, as either result may then come at any moment.
_SUSPECT_POLL_SECONDS = 0.006
# The members of a suspected replica have been checked after this time.
_CHECK_SECONDS = 0.5


@attrs.frozen
class TargetAnswer:
    """A target's response: its head, verified, and the connection to read on.

    ``facts`` are the contents of the platform's own headers in the head.
    """

    head: ResponseHead
    facts: ResponseInfo
    connection: HttpConnection


@attrs.frozen
class SilenceLimits:
    """How long a target may be silent, in seconds.

    After ``suspect_after`` the silence is reported as evidence. A ``replacement``
    is started after ``replace_after``, after ``stalled_after`` if the target's
    other streams receive nothing either, as soon as it is suspect and out of
    reach, and at once if the replica is found to have stopped. Until it takes
    over, the silent target may go on. An attempt that ``ends_if_stopped`` fails if
    its replica has stopped and nothing may replace it: its client can come back.
    """

    suspect_after: float
    replace_after: float
    stalled_after: float = float('inf')
    replacement: Replacement | None = None
    ends_if_stopped: bool = False

    @property
    def may_be_replaced(self) -> bool:
        """Return whether another attempt may take over at any moment."""
        return self.replacement is not None and self.replacement.is_under_way


@attrs.define
class Sender:
    """Sends attempts and verifies the heads of the responses.

    ``_has_stopped`` returns whether a replica is known to have stopped.
    """

    translator: CallTranslator
    router: TargetRouter
    connections: TargetConnectionPool
    _has_stopped: Callable[[tuple[str, int]], bool]
    _report_suspicion: SuspicionReporter
    _resume_guard: ResumeGuard = attrs.field(factory=ResumeGuard)

    @contextlib.asynccontextmanager
    async def start_attempt(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        resume_after: str = '',
        *,
        on_send: Callable[[], None],
    ) -> AsyncGenerator[TargetAnswer, None]:
        """Send an attempt and yield its response; raise ``TargetError``.

        ``on_send`` is called before anything is sent. The connection is reused
        later only if the response was read to its end within the context.
        """
        connection = await self._connect(call, target)
        try:
            sent_at = since_boot()
            await self._wait_to_send(call, target)
            on_send()
            await self._send(call, target, connection, resume_after)
            reader = OwnResponseReader(self.translator, call, connection)
            head = await self.read_with_limits(
                call, target, limits, reader.read
            )
            yield await self._verify(target, connection, head, sent_at)
        except (TargetFailedError, TargetTimeoutError):
            await self.connections.close_idle(target.instance)
            raise
        finally:
            await self.connections.release(target.instance, connection)

    async def read_with_limits(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        read: Callable[[], Awaitable[AnswerT]],
    ) -> AnswerT:
        """Await ``read`` while checking the target against the limits.

        Raise ``TargetTimeoutError`` at the call's deadline and
        ``TargetFailedError`` if the target is replaced or disconnects. ``read``
        is interrupted and called again, so it must not lose what it has read.
        """
        started = since_boot()
        silence = float(0)
        is_reported = False
        while True:
            interval = _poll_interval(limits, silence, is_reported)
            try:
                return await curio.timeout_after(
                    max(0, min(interval, call.seconds_left)),
                    read,
                )
            except TaskTimeout:
                silence = since_boot() - started
                await self._check_silence(call, target, limits, silence)
            except HttpError as error:
                self.connections.mark_unreliable(target.instance)
                raise error_of_response(error) from error
            if silence >= limits.suspect_after and not is_reported:
                is_reported = True
                await curio.spawn(
                    self._check_silent_target, target, silence, daemon=True
                )

    async def report_suspicion(self, target: Target, evidence: str) -> None:
        """Report that a target's replica may have stopped."""
        if target.replica_epoch is not None:
            await self._report_suspicion(target.replica_epoch, evidence)

    async def _check_silent_target(
        self, target: Target, silence: float
    ) -> None:
        """Report a silent target, unless this node has lost its path to it."""
        instance = target.instance
        silent_since = since_boot() - silence
        is_sound = self.router.has_heard_near(
            instance, silent_since
        ) or await self.router.dialer.is_own_path_sound(instance, silent_since)
        if is_sound:
            await self.report_suspicion(target, f'silent for {silence:.3f} s')

    async def _check_unreached_target(
        self, target: Target, evidence: str, failing_since: float
    ) -> None:
        """Report a target, unless this node has lost its path to it."""
        if await self.router.dialer.is_own_path_sound(
            target.instance, failing_since
        ):
            await self.report_suspicion(target, evidence)

    async def _check_silence(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        silence: float,
    ) -> None:
        if call.seconds_left <= 0:
            raise TargetTimeoutError('no complete response before the deadline')
        if limits.replacement is not None:
            await limits.replacement.check(
                self._reason_to_replace(call, target, limits, silence)
            )
        is_needed = limits.may_be_replaced or not limits.ends_if_stopped
        if self._is_stopped(target) and not is_needed:
            raise TargetAbandonedError(f'{target.instance.id} has stopped')

    def _reason_to_replace(
        self,
        call: RoutedCall,
        target: Target,
        limits: SilenceLimits,
        silence: float,
    ) -> str:
        """Return why another target is tried, or an empty string."""
        if self._is_stopped(target):
            return 'has stopped'
        if silence > limits.stalled_after and self.router.is_stalled(
            target, call.facts.model
        ):
            return 'sends no events on any of its streams'
        is_suspect = silence >= limits.suspect_after
        if is_suspect and self.router.paths.is_lost(target.instance):
            return f'was silent for {silence:.3f} s and is out of reach'
        if silence > limits.replace_after:
            return f'was silent for {silence:.3f} s'
        return ''

    def _is_stopped(self, target: Target) -> bool:
        epoch = target.replica_epoch
        return epoch is not None and self._has_stopped(epoch)

    async def _connect(
        self,
        call: RoutedCall,
        target: Target,
    ) -> HttpConnection:
        started = since_boot()
        try:
            return await self.connections.acquire(
                target.instance,
                require_recent=not call.may_repeat,
                # Without a request id responses cannot be matched, and only a
                # new connection cannot carry those of earlier requests.
                require_new=not call.request_id,
            )
        except TargetUnreachableError as error:
            await curio.spawn(
                self._check_unreached_target,
                target,
                str(error),
                started,
                daemon=True,
            )
            raise

    async def _wait_to_send(self, call: RoutedCall, target: Target) -> None:
        """Raise ``TargetError`` if the request must not be sent any more."""
        seconds = self._resume_guard.seconds_to_wait(since_boot())
        if seconds:
            await curio.sleep(seconds)
        if call.seconds_left <= 0:
            raise TargetWithdrawnError(
                'no time was left once the request could be sent'
            )
        self.router.evacuations.check_target(
            target.instance.id, target.instance.failure_domain
        )
        if not self.router.throttle.may_send(
            target.instance.incarnation, target.sent_at
        ):
            # Another response asked for a pause, or the target turned out to be
            # cold, while this attempt waited for a connection.
            raise TargetWithdrawnError(
                f'{target.instance.id} accepts no requests at the moment',
            )

    async def _send(
        self,
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        resume_after: str,
    ) -> None:
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
                self.translator.request_for(call.request, dispatch)
            )
        except HttpError as error:
            self.connections.mark_unreliable(target.instance)
            raise TargetDisconnectedError(str(error)) from error

    async def _verify(
        self,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        sent_at: float,
    ) -> TargetAnswer:
        facts = self.translator.read_response(head)
        self.router.stalls.responses.record(target.instance.incarnation)
        self.connections.record_keep_alive(target.instance, head)
        self.router.throttle.record_response(
            target.instance.incarnation, facts, sent_at
        )
        if facts.failed_instance:
            await self.report_suspicion(
                target, f'cannot work without {facts.failed_instance}'
            )
        _raise_for_answer(target, head, facts)
        return TargetAnswer(head, facts, connection)


def _poll_interval(
    limits: SilenceLimits,
    silence: float,
    is_reported: bool,
) -> float:
    is_being_checked = silence < limits.suspect_after + _CHECK_SECONDS
    if limits.may_be_replaced or (is_reported and is_being_checked):
        return _SUSPECT_POLL_SECONDS
    if silence >= limits.suspect_after:
        return _POLL_SECONDS
    return min(_POLL_SECONDS, limits.suspect_after - silence)


def _raise_for_answer(
    target: Target,
    head: ResponseHead,
    facts: ResponseInfo,
) -> None:
    name = target.instance.id
    if facts.not_run:
        raise TargetRefusedError(f'{name} refused with status {head.status}')
    if head.status in _NOT_RUN_STATUSES:
        raise TargetFailedError(
            f'{name} answered with status {head.status}, but did not confirm '
            'that the request was not run'
        )
    if head.is_success and not facts.is_genuine:
        raise TargetFailedError(
            f'{name} sent a response without a valid signature'
        )
