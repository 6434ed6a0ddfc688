"""A pool of keep-alive connections to targets."""

import re
from collections import defaultdict
from collections.abc import Callable, Collection

import attrs

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectFailedError, TargetUnreachableError
from cranecart.http import HttpConnection, ResponseHead, ResponseMemory
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance
from cranecart.reachability import TargetDialer

# How long before the target's own idle timeout a connection is closed.
_KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Idle timeout for targets that send no Keep-Alive header.
_DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# Non-repeatable requests only reuse connections that were in use this recently,
# as the target may drop an idle connection without notice.
_RECENT_USE_SECONDS = 1.0
# How long non-repeatable requests use new connections only after a target sent
# a surplus response or broke a connection. Such faults last for minutes, and
# each later one extends this time.
_UNRELIABLE_SECONDS = 10.0
_MAX_IDLE = 16
# Non-repeatable requests to an unreliable target reuse no idle connections, but
# each adds one.
_MAX_IDLE_UNRELIABLE = 2
_TIMEOUT_PARAMETER = re.compile(r'timeout=(\d+)')


@attrs.frozen
class _Idle:
    connection: HttpConnection
    idle_since: float
    expires_at: float


@attrs.define
class TargetConnectionPool:
    """Idle connections by incarnation of an instance.

    ``opened`` counts the connections that were opened, ``desynchronized`` those
    that carried more responses than requests. ``_receive_bytes`` bounds what
    the kernel receives on each before it is read, ``memory`` what is kept of the
    responses on all of them. ``dialer`` opens them.
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
    _receive_bytes: int | None = None
    dialer: TargetDialer = attrs.field(factory=TargetDialer)
    memory: ResponseMemory = attrs.field(factory=ResponseMemory)

    async def acquire(
        self,
        instance: ListedInstance,
        *,
        require_recent: bool,
        require_new: bool = False,
    ) -> HttpConnection:
        """Return a connection; raise ``TargetUnreachableError`` if it fails.

        With ``require_recent`` an idle connection is reused only if it was in
        use within the last second, with ``require_new`` a new one is always
        opened.
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
        return await self._open(instance)

    def record_keep_alive(
        self, instance: ListedInstance, head: ResponseHead
    ) -> None:
        """Store the idle timeout from a target's Keep-Alive header."""
        timeout = _TIMEOUT_PARAMETER.search(head.headers.get('keep-alive', ''))
        if timeout:
            seconds = float(timeout.group(1)) - _KEEP_ALIVE_MARGIN_SECONDS
            self._keep_alive_seconds[instance.incarnation] = max(0, seconds)

    async def release(
        self,
        instance: ListedInstance,
        connection: HttpConnection,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.has_surplus_data:
            self.desynchronized += 1
            self.mark_unreliable(instance)
            log_decision(
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
        """Close an instance's idle connections after one of them failed.

        The others may be broken as well, and each of them would make a request
        miss its objective.
        """
        for idle in self._idle.pop(instance.incarnation, ()):
            await idle.connection.close()

    def mark_unreliable(self, instance: ListedInstance) -> None:
        """Record a broken connection or a surplus response of a target."""
        self._unreliable_until[instance.incarnation] = (
            self._clock() + _UNRELIABLE_SECONDS
        )

    def idle_count(self, instance_id: str) -> int:
        """Return the number of idle connections to an instance."""
        return sum(
            len(idle_connections)
            for incarnation, idle_connections in self._idle.items()
            if incarnation.id == instance_id
        )

    async def close_expired(self, listed: Collection[Incarnation]) -> None:
        """Close connections that timed out or whose instance is not listed."""
        now = self._clock()
        for incarnation, idle_connections in list(self._idle.items()):
            unexpired = [
                entry
                for entry in idle_connections
                if now < entry.expires_at and incarnation in listed
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

    async def _open(self, instance: ListedInstance) -> HttpConnection:
        try:
            connection = await self.dialer.open(
                instance, self._receive_bytes, self.memory
            )
        except ConnectFailedError as error:
            raise TargetUnreachableError(str(error)) from error
        self.opened += 1
        return connection

    def _is_unreliable(self, instance: ListedInstance) -> bool:
        return self._clock() < self._unreliable_until.get(
            instance.incarnation, 0
        )
