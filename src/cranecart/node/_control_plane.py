"""The components of a node for configuration, placement and sweeping."""

import random
from collections.abc import Callable
from typing import Self

import attrs
import curio

from cranecart.claims import Sweeper
from cranecart.fleet import Evacuations
from cranecart.leases import Lease
from cranecart.native import PlatformClient
from cranecart.operators import AdminInterface, NodeStatus
from cranecart.placement import Placer
from cranecart.rollout import (
    ActiveConfig,
    ConfigHistory,
    ConfigPoller,
    EvacuationTable,
)
from cranecart.settings import NodeSettings
from cranecart.signals import raise_first_error
from cranecart.targets import EngineClient, ReportRegistry


@attrs.frozen
class ControlPlane:
    """Follows the configuration and carries out the duties it holds."""

    _settings: NodeSettings
    _config: ActiveConfig
    _history: ConfigHistory
    _config_poller: ConfigPoller
    _placer: Placer
    _sweeper: Sweeper
    _evacuation_table: EvacuationTable

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        platform: PlatformClient,
        reports: ReportRegistry,
        config: ActiveConfig,
        random_source: random.Random,
        evacuations: Evacuations,
    ) -> Self:
        """Build the components; nothing runs until ``run``."""
        history = ConfigHistory(platform)
        duty = f'placer/{settings.failure_domain}'
        placer = Placer(
            settings.failure_domain,
            Lease(duty, settings.node_id, platform),
            platform,
            reports,
            EngineClient(),
            evacuations,
        )
        evacuation_table = EvacuationTable(platform, evacuations)
        config_poller = ConfigPoller(
            config, history, platform, random_source, evacuation_table
        )
        sweeper = Sweeper(
            Lease('sweeper', settings.node_id, platform),
            platform,
        )
        return cls(
            settings,
            config,
            history,
            config_poller,
            placer,
            sweeper,
            evacuation_table,
        )

    async def run(self) -> None:
        """Run the poller, the placer and the sweeper until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._config_poller.run)
            await tasks.spawn(self._placer.run, self._config.declarations)
            await tasks.spawn(self._sweeper.run)
        raise_first_error(tasks)

    async def hand_over(self) -> None:
        """Release the duties, so that other nodes take over at once."""
        self._placer.stop()
        self._sweeper.stop()
        await self._placer.lease.release()
        await self._sweeper.lease.release()

    def duties(self) -> dict[str, str]:
        """Return the last known holder of each duty."""
        leases = (self._placer.lease, self._sweeper.lease)
        return {lease.duty: lease.holder for lease in leases}

    def admin(
        self,
        is_ready: Callable[[], bool],
        status: Callable[[], NodeStatus],
        metrics: Callable[[], bytes],
    ) -> AdminInterface:
        """Build the interface for operators."""
        return AdminInterface(
            self._settings.operator_key_sha256,
            self._history,
            self._config,
            self._config_poller,
            is_ready,
            status,
            metrics,
            self._evacuation_table,
        )
