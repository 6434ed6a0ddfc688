"""Random fault injection for soak tests."""

import itertools
import random
import sys
from collections.abc import Iterator

import attrs
import curio

from tools.local_cluster import LocalCluster

DOMAINS = ('buda-terem', 'pest-terem')
_SLOW_MS = 700
_LOST_RESPONSES = 10
_RESTART_SECONDS = 30.0


@attrs.frozen
class Schedule:
    """Faults to choose from, their number, their duration and the load."""

    faults: tuple[str, ...]
    count: int
    lasts_seconds: int
    rest_seconds: int
    calls_per_second: int


@attrs.define
class FaultInjector:
    """Injects random faults one after the other.

    The schedule names the methods that inject the faults.
    """

    _cluster: LocalCluster
    _schedule: Schedule
    _random: random.Random
    _instance_numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1),
        init=False,
    )

    async def run(self) -> None:
        """Inject the scheduled number of faults."""
        for _fault in range(self._schedule.count):
            name = self._random.choice(self._schedule.faults)
            sys.stdout.write(f'fault: {name}\n')
            sys.stdout.flush()
            await getattr(self, name)()
            await curio.sleep(self._schedule.rest_seconds)

    async def kill_member(self) -> None:
        """Kill a member and start a replacement."""
        await self._replace_instance(await self._random_member(1))

    async def kill_leader(self) -> None:
        """Kill a leader and start a replacement."""
        await self._replace_instance(await self._random_member(0))

    async def pause_member(self) -> None:
        """Suspend a member for longer than the failure detection time."""
        instance = await self._random_member(2)
        self._cluster.pause(instance)
        await self._wait_fault_duration()
        self._cluster.resume(instance)

    async def leave_member(self) -> None:
        """Make a member announce that it leaves, then start a replacement."""
        instance = await self._random_member(1)
        await self._cluster.control.announce_leaving(instance)
        await self._wait_fault_duration()
        self._start_replacement(instance)

    async def kill_node(self) -> None:
        """Kill a node and restart it."""
        name = self._random_node()
        self._cluster.processes[name].kill()
        await self._wait_fault_duration()
        self._cluster.start_node(name)

    async def pause_node(self) -> None:
        """Suspend a node until its leases have expired."""
        name = self._random_node()
        self._cluster.processes[name].pause()
        await self._wait_fault_duration()
        await self._wait_fault_duration()
        self._cluster.processes[name].resume()

    async def stop_node(self) -> None:
        """Stop a node gracefully and restart it."""
        name = self._random_node()
        process = self._cluster.processes[name]
        process.terminate()
        await curio.run_in_thread(process.wait, _RESTART_SECONDS)
        self._cluster.start_node(name)

    async def platform_down(self) -> None:
        """Make the platform unavailable."""
        await self._cluster.control.platform_faults(down=True)
        await self._wait_fault_duration()
        await self._cluster.control.platform_faults()

    async def platform_slow(self) -> None:
        """Delay every response of the platform."""
        await self._cluster.control.platform_faults(delay_ms=_SLOW_MS)
        await self._wait_fault_duration()
        await self._cluster.control.platform_faults()

    async def platform_loses_answers(self) -> None:
        """Apply writes of the platform and drop the responses."""
        await self._cluster.control.platform_faults(
            lose_answers=_LOST_RESPONSES,
        )
        await self._wait_fault_duration()
        await self._cluster.control.platform_faults()

    async def _wait_fault_duration(self) -> None:
        await curio.sleep(self._schedule.lasts_seconds)

    async def _replace_instance(self, instance: str) -> None:
        self._cluster.kill(instance)
        await self._wait_fault_duration()
        self._start_replacement(instance)

    def _start_replacement(self, lost_instance: str) -> None:
        domain = lost_instance.rpartition('-')[0]
        number = next(self._instance_numbers)
        self._cluster.start_engine(f'{domain}-n{number}', domain)

    def _random_node(self) -> str:
        return self._random.choice(sorted(self._cluster.endpoints))

    async def _random_member(self, rank: int) -> str:
        """Return a member of a replica that a node currently routes to.

        If no node routes to a replica of the chosen failure domain, the
        instance with the number of the rank is returned.
        """
        domain = self._random.choice(DOMAINS)
        for node in self._cluster.endpoints:
            replicas = await self._cluster.control.fetch_replicas(node)
            members = [
                replica.members[rank]
                for replica in replicas
                if replica.failure_domain == domain
            ]
            if members:
                return members[0]
        return f'{domain}-e{rank}'
