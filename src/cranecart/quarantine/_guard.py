"""Hold requests that crash the targets that run them."""

import contextlib
from collections import Counter
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
    Collection,
    Generator,
    Sequence,
)

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    QuarantinedRequestError,
    TargetAbandonedError,
    TargetDisconnectedError,
    TargetError,
    TargetTimeoutError,
)
from cranecart.http import Address
from cranecart.logs import log_decision
from cranecart.ports import Incarnation
from cranecart.quarantine._abandoned import AbandonedAttempts
from cranecart.quarantine._case import CaseUpdate, Verdict
from cranecart.quarantine._cases import CaseRegistry
from cranecart.quarantine._identity import is_segment, segment_identities
from cranecart.quarantine._pending import PendingTerminations
from cranecart.quarantine._probe import TerminationProbe, wait_for_break
from cranecart.quarantine._runner import Runner
from cranecart.quarantine._settling import IsolatedSends
from cranecart.quarantine._survival import SegmentSurvival
from cranecart.quarantine._suspect import Suspect

# A request that crashes its target mostly does so as it begins there. One whose
# answer had been arriving for longer was probably there by chance; only what
# other requests share with it is suspected.
_STARTUP_SECONDS = 0.25
# Three rounds of housekeeping: a dead connection between nodes is detected
# after 1.5 s.
_REPUBLISH_SECONDS = 2.0
# A pause of this process shows as a step that takes longer.
_SETTLE_STEP_SECONDS = 0.05
_ABANDONED_ERRORS = (TargetAbandonedError, TargetTimeoutError)
_SUSPECT_VERDICTS = frozenset((Verdict.SUSPECT, Verdict.ISOLATED))
_ISOLATED_VERDICTS = frozenset((Verdict.ISOLATED,))
# Targets of abandoned attempts that are watched at once, each by a connection.
# In an outage of more targets, other requests and the list show terminations.
_MAX_WATCHED = 64


@attrs.define
class AttemptProgress:
    """Whether an attempt was sent and begun, and since when it is answered.

    One that ``is_resumed`` goes on with a stream that another target has begun.
    """

    _clock: Callable[[], float]
    _survival: SegmentSurvival | None = None
    is_resumed: bool = attrs.field(default=False, init=False)
    sent_at: float | None = attrs.field(default=None, init=False)
    begun_at: float | None = attrs.field(default=None, init=False)
    _progress_since: float | None = attrs.field(default=None, init=False)

    @property
    def was_sent(self) -> bool:
        """Return whether the request was being sent, so that it may run."""
        return self.sent_at is not None

    @property
    def has_begun(self) -> bool:
        """Return whether the target has begun to answer."""
        return self.begun_at is not None

    @property
    def progress_seconds(self) -> float:
        """Return the seconds since the first part of the answer, or 0."""
        return (
            0
            if self._progress_since is None
            else self._clock() - self._progress_since
        )

    @property
    def is_starting(self) -> bool:
        """Return whether the answer has not been arriving for long, if at all."""
        return self.progress_seconds <= _STARTUP_SECONDS

    def suspects(
        self, identity: str, segments: Sequence[str]
    ) -> tuple[Suspect, ...]:
        """Return what would have crashed the target if it ended now.

        Targets may crash on a segment at any time while they run the request.
        """
        begun = self.has_begun and self.is_starting
        times = (self._progress_since, self.begun_at, self.sent_at)
        began_at = next((at for at in times if at is not None), self._clock())
        identities = segment_identities(segments)
        if self.is_starting:
            identities = (identity, *identities)
        return tuple(
            Suspect(suspected, begun, began_at) for suspected in identities
        )

    def record_sent(self) -> None:
        """Record that the request is being sent, so that it may run."""
        self.sent_at = self._clock()
        if self._survival is not None:
            self._survival.record_begun()

    def record_begun(self) -> None:
        """Record that the target has begun to answer."""
        if self.begun_at is None:
            self.begun_at = self._clock()
        if self._survival is not None:
            self._survival.record_begun()

    def record_progress(self) -> None:
        """Record that a part of the answer arrived."""
        if self._progress_since is None:
            self._progress_since = self._clock()
        if self._survival is not None:
            self._survival.record_part()


def _has_never_terminated(_incarnation: Incarnation) -> bool:
    """Treat no incarnation as terminated."""
    return False


@attrs.define
class RequestGuard:
    """Detects and holds, on one node, requests that crash their targets.

    ``_is_expected`` returns whether a target's termination was planned or
    otherwise expected, ``_has_terminated`` whether an incarnation is known to
    have terminated since, and ``_publish`` sends updates to the other nodes.
    Requests are identified by the digest that all their retries share.
    """

    _is_expected: Callable[[Runner], bool]
    _publish: Callable[[Sequence[CaseUpdate]], None]
    cases: CaseRegistry = attrs.field(factory=CaseRegistry)
    _clock: Callable[[], float] = since_boot
    probe: TerminationProbe = attrs.field(factory=TerminationProbe)
    _has_terminated: Callable[[Incarnation], bool] = attrs.field(
        default=_has_never_terminated
    )
    refusals: int = attrs.field(default=0, init=False)
    terminations: int = attrs.field(default=0, init=False)
    _wait_for_break: Callable[
        [Address, Callable[[], float]], Awaitable[bool]
    ] = wait_for_break
    _pending: PendingTerminations = attrs.field(
        default=attrs.Factory(
            lambda guard: PendingTerminations(guard._clock), takes_self=True
        ),
        init=False,
    )
    _abandoned: AbandonedAttempts = attrs.field(
        default=attrs.Factory(
            lambda guard: AbandonedAttempts(guard._clock), takes_self=True
        ),
        init=False,
    )
    # The incarnations whose terminations are being watched for.
    _watched: set[Incarnation] = attrs.field(factory=set, init=False)
    _published_at: dict[str, float] = attrs.field(factory=dict, init=False)
    isolated_sends: IsolatedSends = attrs.field(
        default=attrs.Factory(
            lambda guard: IsolatedSends(guard.cases, guard._clock),
            takes_self=True,
        ),
        init=False,
    )
    # This node's suspects in flight by instance, and the isolated ones among
    # them.
    _suspects: Counter[str] = attrs.field(factory=Counter, init=False)
    _isolated: Counter[str] = attrs.field(factory=Counter, init=False)

    def counts(self) -> dict[str, int]:
        """Return this node's metrics by name."""
        return {
            **self.cases.counts(),
            'held_refusals': self.refusals,
            'targets_ended_under_requests': self.terminations,
            'attempts_abandoned': len(self._abandoned),
        }

    def instances_to_avoid(
        self, identity: Callable[[], str], segments: Sequence[str] = ()
    ) -> Collection[str]:
        """Return the instances that a request should avoid.

        Raise ``QuarantinedRequestError`` if the request, or one of the segments
        of its prompt, is held. The identity is computed only if there are any
        cases.
        """
        if self.cases.is_empty:
            return ()
        digest = identity()
        keys = segment_identities(segments)
        verdict = self.cases.verdict(digest, keys)
        if verdict is Verdict.HELD:
            self.refusals += 1
            raise QuarantinedRequestError(
                _hold_reason(self.cases, digest, keys)
            )
        if verdict in _SUSPECT_VERDICTS:
            return self._suspects.keys() | self._abandoned_at(_SUSPECT_VERDICTS)
        return self._isolated.keys() | self._abandoned_at(_ISOLATED_VERDICTS)

    async def wait_until_settled(
        self,
        identity: Callable[[], str],
        seconds_left: Callable[[], float],
        segments: Sequence[str] = (),
    ) -> None:
        """Wait until an isolated request may be sent, if there is time left.

        After a pause of this process it waits for as long again: the end of
        another copy's target has not been noticed meanwhile.
        """
        paused: float = 0
        seconds = self.isolated_sends.seconds_to_wait(identity, 0, segments)
        while seconds > 0 and seconds_left() > 0:
            step = min(seconds, seconds_left(), _SETTLE_STEP_SECONDS)
            due_at = self._clock() + step
            await curio.sleep(step)
            paused += max(0, self._clock() - due_at)
            seconds = self.isolated_sends.seconds_to_wait(
                identity, paused, segments
            )

    @contextlib.asynccontextmanager
    async def watch(
        self,
        identity: Callable[[], str],
        runner: Runner,
        segments: Sequence[str] = (),
    ) -> AsyncGenerator['AttemptProgress', None]:
        """Watch an attempt; it succeeds if the context raises no error.

        ``segments`` are those of its prompt that other requests share.
        """
        survival = SegmentSurvival(
            self.cases, segments, self._clock, self._clear
        )
        progress = AttemptProgress(self._clock, survival)
        may_still_run = True
        try:
            with self.track_running(identity, runner, segments):
                yield progress
            may_still_run = False
        except TargetDisconnectedError:
            may_still_run = False
            await self._check_termination(
                identity(), runner, progress, segments
            )
            raise
        except TargetError as error:
            may_still_run = isinstance(error, _ABANDONED_ERRORS)
            raise
        finally:
            # Also if the client has left, which cancels the attempt.
            if may_still_run and progress.was_sent:
                await self._remember_abandoned(
                    identity(), runner, progress, segments
                )
        if not progress.is_resumed:
            # The end of a stream may take less time than a crash.
            survival.clear()
        self.record_served(identity)

    @contextlib.contextmanager
    def track_running(
        self,
        identity: Callable[[], str],
        runner: Runner,
        segments: Sequence[str] = (),
    ) -> Generator[None, None, None]:
        """Count a suspected request at an instance while the context lasts."""
        verdict = Verdict.FREE
        if not self.cases.is_empty:
            keys = segment_identities(segments)
            verdict = self.cases.verdict(identity(), keys)
            if verdict is Verdict.ISOLATED:
                self._announce_send(identity(), keys)
        counts = [
            count
            for count, verdicts in (
                (self._suspects, _SUSPECT_VERDICTS),
                (self._isolated, _ISOLATED_VERDICTS),
            )
            if verdict in verdicts
        ]
        for count in counts:
            count[runner.id] += 1
        try:
            yield
        finally:
            for count in counts:
                _decrement(count, runner.id)

    def record_served(self, identity: Callable[[], str]) -> None:
        """Record that a request was answered completely, which clears it."""
        if self._abandoned:
            self._abandoned.forget(identity())
        if self.cases.is_empty:
            return
        update = self.cases.clearing_update(identity())
        if update is not None:
            self._clear(update)

    def merge_remote(self, update: CaseUpdate, sender: str) -> bool:
        """Merge another node's update; return whether it was new."""
        is_new = self.cases.merge(update, is_own=False)
        if is_new and self.cases.verdict(update.identity) is Verdict.HELD:
            self._log_termination(
                update.identity, None, f'reported by {sender}'
            )
        return is_new

    def refresh(self, listed: Collection[Incarnation]) -> None:
        """Drop old probe results, and publish recent updates again.

        Terminations that have been confirmed since the connection broke are
        recorded first.
        """
        self.probe.prune(listed)
        for update in self._pending.pop_terminated(self._has_terminated):
            self._record_termination(update, 'seen here, confirmed later')
        self._abandoned.drop_expired()
        for incarnation in list(self._abandoned.incarnations()):
            if self._has_terminated(incarnation):
                self._count_abandoned(incarnation)
        self._republish()

    def _clear(self, update: CaseUpdate) -> None:
        self.cases.merge(update, is_own=True)
        self._publish_change(update)
        if len(update.cleared) > 1:
            log_decision('request_cleared', identity=update.identity)

    def _republish(self) -> None:
        """Publish recent updates again, as some may have been lost."""
        oldest = self._clock() - _REPUBLISH_SECONDS
        self._published_at = {
            identity: at
            for identity, at in self._published_at.items()
            if at > oldest
        }
        cases = filter(None, map(self.cases.find, self._published_at))
        updates = [case.update for case in cases]
        if updates:
            self._publish(updates)

    async def _check_termination(
        self,
        identity: str,
        runner: Runner,
        progress: AttemptProgress,
        segments: Sequence[str],
    ) -> None:
        """Check whether the target of a broken attempt has terminated."""
        if self._is_expected(runner):
            return
        suspects = progress.suspects(identity, segments)
        if progress.is_starting:
            await self._check_suspects(suspects, runner)
            return
        self._pending.record_alive(runner.incarnation)
        if suspects:
            # The attempt that follows does not wait for the result.
            await curio.spawn(
                self._check_suspects, suspects, runner, daemon=True
            )

    async def _check_suspects(
        self, suspects: Sequence[Suspect], runner: Runner
    ) -> None:
        broken_at = self._clock()
        if await self.probe.has_terminated(runner):
            for suspect in suspects:
                self._record_termination(
                    suspect.ended(runner.incarnation, broken_at), 'seen here'
                )
            self._count_abandoned(runner.incarnation)
            return
        for suspect in suspects:
            self._pending.record_break(runner.incarnation, suspect)

    async def _remember_abandoned(
        self,
        identity: str,
        runner: Runner,
        progress: AttemptProgress,
        segments: Sequence[str],
    ) -> None:
        """Remember an attempt whose target may still run the request."""
        suspects = progress.suspects(identity, segments)
        if not suspects or self._is_expected(runner):
            return
        for suspect in suspects:
            self._abandoned.record(suspect, runner)
        incarnation = runner.incarnation
        has_room = len(self._watched) < _MAX_WATCHED
        if has_room and incarnation not in self._watched:
            self._watched.add(incarnation)
            await curio.spawn(self._watch_abandoned, runner, daemon=True)

    async def _watch_abandoned(self, runner: Runner) -> None:
        """Watch a target until its abandoned attempts expire."""
        incarnation = runner.incarnation
        try:
            is_broken = await self._wait_for_break(
                runner.address,
                lambda: self._abandoned.seconds_left(incarnation),
            )
            if is_broken and not self._is_expected(runner):
                await self._check_abandoned(runner)
        finally:
            self._watched.discard(incarnation)

    async def _check_abandoned(self, runner: Runner) -> None:
        """Check whether the target of abandoned attempts has terminated."""
        if await self.probe.has_terminated(runner):
            self._count_abandoned(runner.incarnation)
            return
        for attempt in self._abandoned.pop(runner.incarnation):
            self._pending.record_break(runner.incarnation, attempt.suspect)

    def _count_abandoned(self, incarnation: Incarnation) -> None:
        for attempt in self._abandoned.pop(incarnation):
            self._record_termination(
                attempt.suspect.ended(incarnation, self._clock()),
                f'{self._clock() - attempt.at:.3f} s after it was given up',
            )

    def _abandoned_at(self, verdicts: Collection[Verdict]) -> set[str]:
        """Return where abandoned requests with these verdicts may run."""
        return {
            attempt.runner.id
            for attempt in self._abandoned
            if self.cases.verdict(attempt.identity) in verdicts
        }

    def _record_termination(self, update: CaseUpdate, source: str) -> None:
        if self.cases.merge(update, is_own=True):
            self.terminations += not is_segment(update.identity)
            self._log_termination(update.identity, update.ends[0].life, source)
            self._publish_change(update)

    def _announce_send(self, identity: str, segments: Sequence[str]) -> None:
        """Let other copies of an isolated request wait for this one."""
        for case in self.cases.isolating_cases(identity, segments):
            update = self.cases.sending_update(case.identity)
            if update is not None:
                self.cases.merge(update, is_own=True)
                self._publish_change(update)

    def _publish_change(self, update: CaseUpdate) -> None:
        """Publish a change; all that is known is repeated for a while.

        Of a segment only the change is sent first: every node that had a
        request at a terminated target reports the same ones. It is repeated only
        if the segment is suspected, as each of the requests there has some.
        """
        case = self.cases.find(update.identity)
        if case is None:
            return
        if not case.is_segment or case.is_suspected:
            self._published_at[update.identity] = self._clock()
        if case.is_segment and not case.is_hold_candidate:
            self._publish((update,))
        else:
            self._publish((case.update,))

    def _log_termination(
        self, identity: str, incarnation: Incarnation | None, source: str
    ) -> None:
        case = self.cases.find(identity)
        if case is None:
            return
        log_decision(
            'target_ended',
            identity=identity,
            instance=incarnation and incarnation.id,
            born=incarnation and incarnation.born,
            source=source,
            standing=self.cases.verdict(identity).value,
            ends=[ended.id for ended in case.ends],
            begun=sum(case.ends.values()),
        )


def _hold_reason(
    cases: CaseRegistry, identity: str, segments: Sequence[str]
) -> str:
    case = cases.reason_to_hold(identity, segments)
    ends = () if case is None else case.ends
    name = identity if case is None else case.identity
    instance_ids = ', '.join(incarnation.id for incarnation in ends)
    return f'request {name} crashed {instance_ids}'


def _decrement(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        counts.pop(name)
