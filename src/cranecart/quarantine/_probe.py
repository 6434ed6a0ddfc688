"""Find out whether a life has ended, or only a connection to it."""

from collections.abc import Awaitable, Callable, Collection

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectFailedError, ConnectRefusedError
from cranecart.http import Address, HttpConnection
from cranecart.ports import Incarnation
from cranecart.quarantine._runner import Runner

# Told by a live host within a few milliseconds on the deployments' links; what
# a cut path says nothing of is no evidence, and others wait for the answer.
_ASK_SECONDS = 0.08
# For how long one that took a connection is not asked again: a reset of all
# connections breaks some dozens in one moment.
_ALIVE_SECONDS = 0.25
# A life that has ended stays so; this is how long anybody still asks.
_ENDED_SECONDS = 60.0


async def connect_once(address: Address) -> None:
    """Open a connection and close it; raise ``ConnectFailedError``."""
    connection = await HttpConnection.open(address, _ASK_SECONDS)
    await connection.close()


@attrs.define
class TerminationProbe:
    """Asks the port of a life whose connection broke, once for all.

    A refused connection says that nothing listens there any more. One that is
    taken, or not answered, says nothing: connections are reset, and paths cut,
    while what they lead to goes on.
    """

    _connect: Callable[[Address], Awaitable[None]] = connect_once
    _clock: Callable[[], float] = since_boot
    _probed: dict[Incarnation, tuple[bool, float]] = attrs.field(
        factory=dict,
        init=False,
    )
    _locks: dict[Incarnation, curio.Lock] = attrs.field(
        factory=dict, init=False
    )

    async def has_terminated(self, runner: Runner) -> bool:
        """Tell whether a life has surely ended."""
        incarnation = runner.incarnation
        async with self._locks.setdefault(incarnation, curio.Lock()):
            known = self._cached(incarnation)
            if known is None:
                known = await self._probe(runner.address)
                self._probed[incarnation] = (known, self._clock())
        return known

    def prune(self, listed: Collection[Incarnation]) -> None:
        """Forget lives that are not listed and that nobody asks for."""
        old = [
            incarnation
            for incarnation in self._probed
            if incarnation not in listed and self._cached(incarnation) is None
        ]
        for incarnation in old:
            self._probed.pop(incarnation)
            self._locks.pop(incarnation, None)

    def _cached(self, incarnation: Incarnation) -> bool | None:
        if incarnation not in self._probed:
            return None
        has_ended, at = self._probed[incarnation]
        holds = _ENDED_SECONDS if has_ended else _ALIVE_SECONDS
        return has_ended if self._clock() - at < holds else None

    async def _probe(self, address: Address) -> bool:
        try:
            await self._connect(address)
        except ConnectRefusedError:
            return True
        except ConnectFailedError:
            return False
        return False
