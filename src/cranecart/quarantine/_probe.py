"""Find out whether a target has terminated or only a connection broke."""

from collections.abc import Awaitable, Callable, Collection

import attrs
import curio
from curio.errors import TaskTimeout

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectFailedError, ConnectRefusedError
from cranecart.http import Address, HttpConnection
from cranecart.ports import Incarnation
from cranecart.quarantine._runner import Runner

# A live host answers within a few milliseconds on the deployments' links. A
# missing answer proves nothing, and other requests wait for the result.
_CONNECT_TIMEOUT_SECONDS = 0.08
# How long the result is reused if the target has not terminated: a reset of all
# connections breaks dozens at the same moment.
_ALIVE_CACHE_SECONDS = 0.25
# A termination is final; its result is not needed for longer than this.
_TERMINATED_CACHE_SECONDS = 60.0


async def connect_once(address: Address) -> None:
    """Open and close a connection; raise ``ConnectFailedError`` on failure."""
    connection = await HttpConnection.open(address, _CONNECT_TIMEOUT_SECONDS)
    await connection.close()


async def wait_for_break(
    address: Address, seconds_left: Callable[[], float]
) -> bool:
    """Return whether a connection breaks or fails before the time has passed.

    ``seconds_left`` is asked again whenever it has passed, as it may grow.
    """
    try:
        connection = await HttpConnection.open(
            address, _CONNECT_TIMEOUT_SECONDS
        )
    except ConnectFailedError:
        return True
    try:
        return await _wait_closed(connection, seconds_left)
    finally:
        await connection.close()


async def _wait_closed(
    connection: HttpConnection, seconds_left: Callable[[], float]
) -> bool:
    seconds = seconds_left()
    while seconds > 0:
        try:
            await curio.timeout_after(seconds, connection.wait_closed)
        except TaskTimeout:
            seconds = seconds_left()
        else:
            return True
    return False


async def _trust_path(_runner: Runner, _since: float) -> bool:
    """Treat refused connections as refused by the target's machine."""
    return True


@attrs.define
class TerminationProbe:
    """Probes the port of an incarnation once for all broken connections.

    A refused connection proves that nothing listens there any more, unless
    other targets are not reached either: then it may be refused on the way. An
    accepted connection or a missing answer proves nothing, as connections may
    be reset and network paths may fail while the target keeps running.
    """

    _connect: Callable[[Address], Awaitable[None]] = connect_once
    _clock: Callable[[], float] = since_boot
    # Returns whether other targets near a runner were reached since a time.
    _is_path_sound: Callable[[Runner, float], Awaitable[bool]] = _trust_path
    _probed: dict[Incarnation, tuple[bool, float]] = attrs.field(
        factory=dict,
        init=False,
    )
    _locks: dict[Incarnation, curio.Lock] = attrs.field(
        factory=dict, init=False
    )

    async def has_terminated(self, runner: Runner) -> bool:
        """Return whether an incarnation has certainly terminated."""
        incarnation = runner.incarnation
        async with self._locks.setdefault(incarnation, curio.Lock()):
            has_terminated = self._cached(incarnation)
            if has_terminated is None:
                has_terminated = await self._probe(runner)
                self._probed[incarnation] = (has_terminated, self._clock())
        return has_terminated

    def prune(self, listed: Collection[Incarnation]) -> None:
        """Drop the results of unlisted incarnations that have expired."""
        expired = [
            incarnation
            for incarnation in self._probed
            if incarnation not in listed and self._cached(incarnation) is None
        ]
        for incarnation in expired:
            self._probed.pop(incarnation)
            self._locks.pop(incarnation, None)

    def _cached(self, incarnation: Incarnation) -> bool | None:
        if incarnation not in self._probed:
            return None
        has_terminated, at = self._probed[incarnation]
        max_age = (
            _TERMINATED_CACHE_SECONDS
            if has_terminated
            else _ALIVE_CACHE_SECONDS
        )
        return has_terminated if self._clock() - at < max_age else None

    async def _probe(self, runner: Runner) -> bool:
        started = self._clock()
        try:
            await self._connect(runner.address)
        except ConnectRefusedError:
            return await self._is_path_sound(runner, started)
        except ConnectFailedError:
            return False
        return False
