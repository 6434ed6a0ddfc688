"""This node's part in placement, loaded once the node serves."""

import importlib
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, ReplicaRecord
from cranecart.logs import decision
from cranecart.mesh import Mesh
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._followers import PlatformFollowers
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.settings import ServingSettings

if TYPE_CHECKING:
    from cranecart.grouping import GroupPlacer

_LOOK_SECONDS = 0.02
# A node that is told nothing may still have to hold the duty.
_LATEST_SECONDS = 2.0


@attrs.frozen
class PlacerDependencies:
    """What a placer is made from."""

    settings: ServingSettings
    platform_adapters: PlatformAdapters
    fleet: Fleet
    mesh: Mesh
    config: ActiveRouteConfig
    followers: PlatformFollowers
    report_stopped: Callable[[ReplicaRecord, str, bool], None]


@attrs.define
class PlacerHost:
    """The placer, once it is there.

    It is loaded late, as clients wait while a node starts; replicas live on
    without it.
    """

    _parts: PlacerDependencies
    _placer: 'GroupPlacer | None' = attrs.field(default=None, init=False)
    _stopped: bool = attrs.field(default=False, init=False)

    @property
    def held_failure_domain(self) -> str:
        """Return the failure domain whose duty this node holds, if any."""
        return '' if self._placer is None else self._placer.held_failure_domain

    @property
    def liveness_check_count(self) -> int:
        """Return how often it was asked whether a replica lives."""
        if self._placer is None:
            return 0
        return self._placer.failure_detector.liveness.checks

    async def run(self) -> None:
        """Load the placer and run it, until cancelled."""
        started = since_boot()
        await self._wait_until_serving()
        decision(
            'node_informed',
            informed=self._parts.followers.is_informed,
            after=round(since_boot() - started, 3),
        )
        # In a thread, as requests go on meanwhile.
        made = await curio.run_in_thread(
            importlib.import_module,
            'cranecart.serving._placement',
        )
        placer: GroupPlacer = made.make_placer(self._parts)
        self._placer = placer
        if self._stopped:
            await placer.hand_over()
        await placer.run()

    async def hand_over(self) -> None:
        """Give the duty up, so that another node takes it at once."""
        self._stopped = True
        if self._placer is not None:
            await self._placer.hand_over()

    async def suspect(
        self, replica_epoch: tuple[str, int], evidence: str
    ) -> None:
        """Look at once whether a replica stands still, if that is the duty."""
        if self._placer is not None:
            await self._placer.suspect(replica_epoch, evidence)

    async def _wait_until_serving(self) -> None:
        latest = since_boot() + _LATEST_SECONDS
        while not self._parts.followers.is_informed and since_boot() < latest:
            await curio.sleep(_LOOK_SECONDS)
