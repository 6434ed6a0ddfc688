"""Kept connections to targets, as long as they are surely alive."""

import re
from collections import defaultdict
from collections.abc import Callable, Collection

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectFailedError, TargetNotReachedError
from cranecart.http import HttpConnection, ResponseHead
from cranecart.logs import decision
from cranecart.ports import Incarnation, ListedInstance

# A live target answers a new connection within a few milliseconds on the
# deployments' links; a lost first packet is sent again after a second, which
# is longer than the answer is wanted. What another target may still answer
# in time must not wait for long: objectives begin at 0.1 to 0.3 s.
_CONNECT_SECONDS = 0.08
# Connections are closed this long before the target would close them.
_EARLIER_SECONDS = 1.0
# How long a connection is kept where the target tells no time.
_UNTOLD_SECONDS = 4.0
# A request that must not run twice goes only on a connection that was used
# this lately, as the target may forget an idle one without notice.
_SURE_SECONDS = 1.0
# A target that sent an answer too many, or broke a connection, may do so again:
# for this long, which is short against the minutes that such troubles last,
# what must not run twice goes on connections of its own.
_DOUBT_SECONDS = 10.0
_MOST_IDLE = 16
# Calls that must not run twice take none of these, and would leave one each.
_MOST_IDLE_DOUBTED = 2
_TIMEOUT = re.compile(r'timeout=(\d+)')


@attrs.frozen
class _Idle:
    connection: HttpConnection
    since: float
    until: float


@attrs.define
class TargetConnections:
    """Idle connections by life of an instance.

    ``uneven`` counts those that brought more answers than were asked for.
    """

    _clock: Callable[[], float] = since_boot
    opened: int = attrs.field(default=0, init=False)
    uneven: int = attrs.field(default=0, init=False)
    _idle: dict[Incarnation, list[_Idle]] = attrs.field(
        factory=lambda: defaultdict(list),
        init=False,
    )
    _keep: dict[Incarnation, float] = attrs.field(factory=dict, init=False)
    _doubted_until: dict[Incarnation, float] = attrs.field(
        factory=dict, init=False
    )

    async def take(
        self,
        instance: ListedInstance,
        *,
        is_sure: bool,
        is_new: bool = False,
    ) -> HttpConnection:
        """Return a connection; raise ``TargetNotReachedError``.

        One that ``is_sure`` to be alive was used lately, one that ``is_new``
        never.
        """
        kept = self._idle.get(instance.incarnation)
        must_open = is_new or (is_sure and self._is_doubted(instance))
        while kept and not must_open:
            idle = kept.pop()
            now = self._clock()
            is_young = not is_sure or now - idle.since < _SURE_SECONDS
            if (
                is_young
                and now < idle.until
                and idle.connection.has_no_pending_input()
            ):
                return idle.connection
            await idle.connection.close()
        try:
            connection = await HttpConnection.open(
                instance.address,
                _CONNECT_SECONDS,
            )
        except ConnectFailedError as error:
            raise TargetNotReachedError(str(error)) from error
        self.opened += 1
        return connection

    def note_head(self, instance: ListedInstance, head: ResponseHead) -> None:
        """Remember for how long a target keeps idle connections."""
        told = _TIMEOUT.search(head.headers.get('keep-alive', ''))
        if told:
            seconds = float(told.group(1)) - _EARLIER_SECONDS
            self._keep[instance.incarnation] = max(0, seconds)

    async def give_back(
        self,
        instance: ListedInstance,
        connection: HttpConnection,
    ) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        if connection.has_surplus_data:
            self.uneven += 1
            self.doubt(instance)
            decision(
                'left_over',
                instance=instance.id,
                bytes=connection.surplus_bytes,
                carried=connection.earlier_requests,
            )
        kept = self._idle[instance.incarnation]
        most = _MOST_IDLE_DOUBTED if self._is_doubted(instance) else _MOST_IDLE
        if not connection.is_reusable or len(kept) >= most:
            await connection.close()
            return
        connection.reset()
        now = self._clock()
        seconds = self._keep.get(instance.incarnation, _UNTOLD_SECONDS)
        kept.append(_Idle(connection, now, now + seconds))

    async def drop(self, instance: ListedInstance) -> None:
        """Close an instance's idle connections, as one has just failed.

        What made one silent may have made all of them so, and each would
        cost the next request its objective.
        """
        for idle in self._idle.pop(instance.incarnation, ()):
            await idle.connection.close()

    def doubt(self, instance: ListedInstance) -> None:
        """Take over that a target broke a connection, or said too much."""
        self._doubted_until[instance.incarnation] = (
            self._clock() + _DOUBT_SECONDS
        )

    def idle_count(self, instance_id: str) -> int:
        """Return how many connections to an instance are kept."""
        return sum(
            len(kept)
            for incarnation, kept in self._idle.items()
            if incarnation.id == instance_id
        )

    async def close_old(self, listed: Collection[Incarnation]) -> None:
        """Close connections that are past their time or to gone instances."""
        now = self._clock()
        for incarnation, kept in list(self._idle.items()):
            good = [
                one for one in kept if now < one.until and incarnation in listed
            ]
            for idle in kept:
                if idle not in good:
                    await idle.connection.close()
            self._idle[incarnation] = good
            if not good:
                self._idle.pop(incarnation)
                self._keep.pop(incarnation, None)
        self._doubted_until = {
            incarnation: until
            for incarnation, until in self._doubted_until.items()
            if now < until
        }

    def _is_doubted(self, instance: ListedInstance) -> bool:
        return self._clock() < self._doubted_until.get(instance.incarnation, 0)
