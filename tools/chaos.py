"""Faults for a soak, drawn by seed."""

import itertools
import random
import sys
from collections.abc import Iterator

import attrs
import curio

from tools.local_cluster import LocalCluster

DOMAINS = ('buda-terem', 'pest-terem')
_SLOW_MS = 700
_LOST_ANSWERS = 10
_RESTART_SECONDS = 30.0


@attrs.frozen
class Schedule:
    """What is drawn, how often, and for how long it lasts."""

    faults: tuple[str, ...]
    count: int
    lasts_seconds: int
    rest_seconds: int
    calls_per_second: int


@attrs.define
class Chaos:
    """Injects the drawn faults one after the other."""

    _cluster: LocalCluster
    _schedule: Schedule
    _random: random.Random
    _numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1),
        init=False,
    )

    async def run(self) -> None:
        """Inject all faults of the schedule."""
        for _fault in range(self._schedule.count):
            name = self._random.choice(self._schedule.faults)
            sys.stdout.write(f'fault: {name}\n')
            sys.stdout.flush()
            await getattr(self, name)()
            await curio.sleep(self._schedule.rest_seconds)

    async def kill_member(self) -> None:
        """Kill a member, and bring a new instance in its place."""
        await self._kill(await self._member(1))

    async def kill_leader(self) -> None:
        """Kill a leader, and bring a new instance in its place."""
        await self._kill(await self._member(0))

    async def pause_member(self) -> None:
        """Stop a member for longer than it takes to be given up."""
        victim = await self._member(2)
        self._cluster.pause(victim)
        await self._last()
        self._cluster.resume(victim)

    async def leave_member(self) -> None:
        """Let a member leave as planned."""
        victim = await self._member(1)
        await self._cluster.control.leave(victim)
        await self._last()
        self._bring_new(victim)

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        name = self._node()
        self._cluster.processes[name].kill()
        await self._last()
        self._cluster.start_node(name)

    async def pause_node(self) -> None:
        """Stop a node past its leases."""
        name = self._node()
        self._cluster.processes[name].pause()
        await self._last()
        await self._last()
        self._cluster.processes[name].resume()

    async def stop_node(self) -> None:
        """Stop a node as planned and start it again."""
        name = self._node()
        process = self._cluster.processes[name]
        process.terminate()
        await curio.run_in_thread(process.wait, _RESTART_SECONDS)
        self._cluster.start_node(name)

    async def platform_down(self) -> None:
        """Take the platform away."""
        await self._cluster.control.platform_faults(down=True)
        await self._last()
        await self._cluster.control.platform_faults()

    async def platform_slow(self) -> None:
        """Make every call of the platform slow."""
        await self._cluster.control.platform_faults(delay_ms=_SLOW_MS)
        await self._last()
        await self._cluster.control.platform_faults()

    async def platform_loses_answers(self) -> None:
        """Apply writes and lose their answers."""
        await self._cluster.control.platform_faults(
            lose_answers=_LOST_ANSWERS,
        )
        await self._last()
        await self._cluster.control.platform_faults()

    async def _last(self) -> None:
        await curio.sleep(self._schedule.lasts_seconds)

    async def _kill(self, victim: str) -> None:
        self._cluster.kill(victim)
        await self._last()
        self._bring_new(victim)

    def _bring_new(self, gone: str) -> None:
        domain = gone.rpartition('-')[0]
        number = next(self._numbers)
        self._cluster.start_engine(f'{domain}-n{number}', domain)

    def _node(self) -> str:
        return self._random.choice(sorted(self._cluster.entries))

    async def _member(self, rank: int) -> str:
        """Return a member of a replica that a node would send to now."""
        domain = self._random.choice(DOMAINS)
        for node in self._cluster.entries:
            replicas = await self._cluster.control.replicas_now(node)
            members = [
                replica.members[rank]
                for replica in replicas
                if replica.failure_domain == domain
            ]
            if members:
                return members[0]
        return f'{domain}-e{rank}'
