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
_CONNECT_TIMEOUT_SECONDS = 0.08
# Connections are closed this long before the target would close them.
_KEEP_ALIVE_MARGIN_SECONDS = 1.0
# How long a connection is kept where the target tells no time.
_DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# A request that must not run twice goes only on a connection that was used
# this lately, as the target may forget an idle one without notice.
_RECENT_USE_SECONDS = 1.0
# A target that sent an answer too many, or broke a connection, may do so again:
# for this long, which is short against the minutes that such troubles last,
# what must not run twice goes on connections of its own.
_UNRELIABLE_SECONDS = 10.0
_MAX_IDLE = 16
# Calls that must not run twice take none of these, and would leave one each.
_MAX_IDLE_UNRELIABLE = 2
_TIMEOUT_PARAMETER = re.compile(r'timeout=(\d+)')


@attrs.frozen
class _Idle:
    connection: HttpConnection
    idle_since: float
    expires_at: float


@attrs.define
class TargetConnectionPool:
    """Idle connections by life of an instance.

    ``uneven`` counts those that brought more answers than were asked for.
    """

    _clock: Callable[[], float] = since_boot
    opened: int = attrs.field(default=0, init=False)
    desynchronized: int = attrs.field(default=0, init=False)
    _idle: dict[Incarnation, list[_Idle]] = attrs.field(
        factory=lambda: defaultdict(list),
        init=False,
    )
    _keep_alive_seconds: dict[Incarnation, float] = attrs.field(
        factory=dict, init=False
    )
    _unreliable_until: dict[Incarnation, float] = attrs.field(
        factory=dict, init=False
    )

    async def acquire(
        self,
        instance: ListedInstance,
        *,
        require_recent: bool,
        require_new: bool = False,
    ) -> HttpConnection:
        """Return a connection; raise ``TargetNotReachedError``.

        One that ``is_sure`` to be alive was used lately, one that ``is_new``
        never.
        """
        idle_connections = self._idle.get(instance.incarnation)
        must_open = require_new or (
            require_recent and self._is_unreliable(instance)
        )
        while idle_connections and not must_open:
            idle = idle_connections.pop()
            now = self._clock()
            is_recent_enough = (
                not require_recent
                or now - idle.idle_since < _RECENT_USE_SECONDS
            )
            if (
                is_recent_enough
                and now < idle.expires_at
                and idle.connection.has_no_pending_input()
            ):
                return idle.connection
            await idle.connection.close()
        try:
            connection = await HttpConnection.open(
                instance.address,
                _CONNECT_TIMEOUT_SECONDS,
            )
        except ConnectFailedError as error:
            raise TargetNotReachedError(str(error)) from error
        self.opened += 1
        return connection

    def record_keep_alive(
        self, instance: ListedInstance, head: ResponseHead
    ) -> None:
        """Remember for how long a target keeps idle connections."""
        timeout = _TIMEOUT_PARAMETER.search(head.headers.get('keep-alive', ''))
        if timeout:
            seconds = float(timeout.group(1)) - _KEEP_ALIVE_MARGIN_SECONDS
            self._keep_alive_seconds[instance.incarnation] = max(0, seconds)

    async def release(
        self,
        instance: ListedInstance,
        connection: HttpConnection,
    ) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        if connection.has_surplus_data:
            self.desynchronized += 1
            self.mark_unreliable(instance)
            decision(
                'left_over',
                instance=instance.id,
                bytes=connection.surplus_bytes,
                carried=connection.earlier_requests,
            )
        idle_connections = self._idle[instance.incarnation]
        max_idle = (
            _MAX_IDLE_UNRELIABLE if self._is_unreliable(instance) else _MAX_IDLE
        )
        if not connection.is_reusable or len(idle_connections) >= max_idle:
            await connection.close()
            return
        connection.reset()
        now = self._clock()
        seconds = self._keep_alive_seconds.get(
            instance.incarnation, _DEFAULT_KEEP_ALIVE_SECONDS
        )
        idle_connections.append(_Idle(connection, now, now + seconds))

    async def close_idle(self, instance: ListedInstance) -> None:
        """Close an instance's idle connections, as one has just failed.

        What made one silent may have made all of them so, and each would
        cost the next request its objective.
        """
        for idle in self._idle.pop(instance.incarnation, ()):
            await idle.connection.close()

    def mark_unreliable(self, instance: ListedInstance) -> None:
        """Take over that a target broke a connection, or said too much."""
        self._unreliable_until[instance.incarnation] = (
            self._clock() + _UNRELIABLE_SECONDS
        )

    def idle_count(self, instance_id: str) -> int:
        """Return how many connections to an instance are kept."""
        return sum(
            len(idle_connections)
            for incarnation, idle_connections in self._idle.items()
            if incarnation.id == instance_id
        )

    async def close_expired(self, listed: Collection[Incarnation]) -> None:
        """Close connections that are past their time or to gone instances."""
        now = self._clock()
        for incarnation, idle_connections in list(self._idle.items()):
            unexpired = [
                one
                for one in idle_connections
                if now < one.expires_at and incarnation in listed
            ]
            for idle in idle_connections:
                if idle not in unexpired:
                    await idle.connection.close()
            self._idle[incarnation] = unexpired
            if not unexpired:
                self._idle.pop(incarnation)
                self._keep_alive_seconds.pop(incarnation, None)
        self._unreliable_until = {
            incarnation: expires_at
            for incarnation, expires_at in self._unreliable_until.items()
            if now < expires_at
        }

    def _is_unreliable(self, instance: ListedInstance) -> bool:
        return self._clock() < self._unreliable_until.get(
            instance.incarnation, 0
        )
