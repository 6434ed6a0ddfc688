"""Open connections to instances, and find out when lost paths work again."""

from collections.abc import Callable, Iterable

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import ConnectFailedError
from cranecart.http import HttpConnection, ResponseMemory
from cranecart.ports import ListedInstance
from cranecart.reachability._paths import TargetPaths

# A live target accepts a connection within a few milliseconds. The kernel
# resends a lost SYN after one second, which is too late for objectives that
# start at 0.1 to 0.3 s, so a request moves on to another target before that.
CONNECT_TIMEOUT_SECONDS = 0.08
# A connection attempt that overruns by more than this was delayed by this
# process, so its failure says nothing about the network path.
_MAX_SCHEDULING_DELAY_SECONDS = 0.03
# How often the checker looks for checks that are due.
_CHECK_POLL_SECONDS = 0.05


@attrs.define
class TargetDialer:
    """Opens connections to instances and records which could be opened.

    While any target is not reached, a task of its own tries it again, so that
    no request has to. ``checks`` counts the connections opened for that.
    """

    paths: TargetPaths = attrs.field(factory=TargetPaths)
    _clock: Callable[[], float] = since_boot
    checks: int = attrs.field(default=0, init=False)
    _is_checking: bool = attrs.field(default=False, init=False)
    # Failures at many instances at once are explained by one check.
    _lock: curio.Lock = attrs.field(factory=curio.Lock, init=False)

    async def open(
        self,
        instance: ListedInstance,
        receive_bytes: int | None = None,
        memory: ResponseMemory | None = None,
    ) -> HttpConnection:
        """Return a new connection; raise ``ConnectFailedError``.

        ``receive_bytes`` bounds what the kernel receives before it is read,
        ``memory`` what is kept of the responses.
        """
        started = self._clock()
        try:
            connection = await HttpConnection.open(
                instance.address,
                CONNECT_TIMEOUT_SECONDS,
                receive_bytes=receive_bytes,
                memory=memory,
            )
        except ConnectFailedError as error:
            delay = self._clock() - started - CONNECT_TIMEOUT_SECONDS
            if delay < _MAX_SCHEDULING_DELAY_SECONDS:
                self.paths.record_failed(instance, str(error))
                await self._start_checking()
            raise
        self.paths.record_connected(instance)
        return connection

    async def is_own_path_sound(
        self, instance: ListedInstance, failing_since: float
    ) -> bool:
        """Return whether a failure at an instance is not this node's own.

        If no connection to its group has succeeded since it began to fail, some
        other instances are tried.
        """
        async with self._lock:
            if self.paths.is_lost(instance):
                return False
            if self.paths.has_connected(instance, failing_since):
                return True
            references = self.paths.references(instance)
            return not references or await self._check(references)

    async def _start_checking(self) -> None:
        if not self._is_checking:
            self._is_checking = True
            await curio.spawn(self._check_until_reached, daemon=True)

    async def _check_until_reached(self) -> None:
        try:
            while self.paths.is_impaired:
                await self._check(self.paths.due_checks())
                await curio.sleep(_CHECK_POLL_SECONDS)
        finally:
            self._is_checking = False

    async def _check(self, instances: Iterable[ListedInstance]) -> bool:
        """Try to connect to instances at once; return whether any was reached."""
        async with curio.TaskGroup(wait=all) as tasks:
            for instance in instances:
                await tasks.spawn(self._is_reached, instance)
        return any(tasks.results)

    async def _is_reached(self, instance: ListedInstance) -> bool:
        self.checks += 1
        try:
            connection = await self.open(instance)
        except ConnectFailedError:
            return False
        await connection.close()
        return True
