"""Check which members of a replica are dead by opening connections.

A connection is far cheaper than a status request, and the kernel accepts it
whatever the engine is doing.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectFailedError
from cranecart.http import HttpConnection
from cranecart.logs import log_decision
from cranecart.ports import ListedInstance

# A live instance of the placer's own failure domain answers within some
# milliseconds. At a packet loss of 3 in 100, three attempts all fail once in
# 5,000. They overlap, because the check adds to the time until a stalled
# replica is detected.
_CONNECT_TIMEOUT_SECONDS = 0.036
_ATTEMPTS = 3
_ATTEMPT_INTERVAL_SECONDS = 0.01
# A check that overruns by more than this was delayed by this process, so its
# time-outs prove nothing.
_MAX_SCHEDULING_DELAY_SECONDS = 0.03


@attrs.frozen
class LivenessResult:
    """The members to which no connection could be opened.

    Those in ``unresponsive`` did not answer; those in ``refused`` rejected the
    connection: no process listens there. Unless the result ``is_conclusive``,
    the reason may lie with this node or its link.
    """

    unresponsive: frozenset[str]
    refused: frozenset[str]
    is_conclusive: bool = True

    @property
    def lost(self) -> frozenset[str]:
        """Return all instances that are considered dead."""
        return self.unresponsive | self.refused


async def _probe_instance(instance: ListedInstance) -> bool | None:
    """Return whether an instance listens, or ``None`` without an answer."""
    async with curio.TaskGroup(wait=object) as attempts:
        for number in range(_ATTEMPTS):
            await attempts.spawn(
                _probe_after, instance, number * _ATTEMPT_INTERVAL_SECONDS
            )
    return None if attempts.completed is None else attempts.completed.result


@attrs.define
class LivenessCheck:
    """Probes instances with connections.

    ``_probe`` returns whether an instance listens, or ``None`` without an
    answer.
    """

    _probe: Callable[
        [ListedInstance],
        Awaitable[bool | None],
    ] = _probe_instance
    _clock: Callable[[], float] = since_boot
    checks: int = attrs.field(default=0, init=False)

    async def check(
        self,
        members: Sequence[ListedInstance],
        reference_instances: Sequence[ListedInstance] = (),
    ) -> LivenessResult:
        """Probe all members at once; if none listens, probe others as well.

        If no reference instance listens either, this node's own link may be
        saturated or cut, so the result is inconclusive. A refused connection
        does not show that the path works: it may be refused on the way. The
        instance list shows later which members have died.
        """
        self.checks += 1
        started = self._clock()
        answers = await self._probe_all(members)
        is_path_sound = any(answers.values())
        elapsed = self._clock() - started
        if not is_path_sound:
            # Members are probed again too, because time has passed.
            started = self._clock()
            all_answers = await self._probe_all(
                (*members, *reference_instances)
            )
            answers = {instance: all_answers[instance] for instance in members}
            is_path_sound = any(all_answers.values())
            elapsed = self._clock() - started
        outcome = LivenessResult(
            frozenset(
                instance.id
                for instance, answer in answers.items()
                if answer is None
            ),
            frozenset(
                instance.id
                for instance, answer in answers.items()
                if answer is False
            ),
            is_path_sound
            and elapsed
            < _CONNECT_TIMEOUT_SECONDS + _MAX_SCHEDULING_DELAY_SECONDS,
        )
        log_decision(
            'members_checked',
            instances=[instance.id for instance in members],
            silent=sorted(outcome.unresponsive),
            closed=sorted(outcome.refused),
            sure=outcome.is_conclusive,
            took=round(elapsed, 3),
        )
        return outcome

    async def _probe_all(
        self,
        instances: Sequence[ListedInstance],
    ) -> Mapping[ListedInstance, bool | None]:
        async with curio.TaskGroup(wait=all) as tasks:
            for instance in instances:
                await tasks.spawn(self._probe, instance)
        return dict(zip(instances, tasks.results, strict=True))


async def _probe_after(instance: ListedInstance, wait: float) -> bool | None:
    """Connect once, after a delay; all attempts share one deadline.

    Return whether the instance listens, or ``None`` without an answer.
    """
    await curio.sleep(wait)
    try:
        connection = await HttpConnection.open(
            instance.address,
            _CONNECT_TIMEOUT_SECONDS - wait,
        )
    except ConnectFailedError as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return False if is_refused else None
    await connection.close()
    return True
