"""Load and run this node's placer once the node serves requests."""

import importlib
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, ReplicaRecord
from cranecart.logs import log_decision
from cranecart.mesh import Mesh
from cranecart.ports import Incarnation
from cranecart.reachability import TargetDialer
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._followers import PlatformFollowers
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.settings import ServingSettings

if TYPE_CHECKING:
    from cranecart.grouping import GroupPlacer

_POLL_SECONDS = 0.02
# After this time the placer is loaded even without data from the platform, as
# this node may still have to take over the placement duty.
_MAX_WAIT_SECONDS = 2.0


@attrs.frozen
class PlacerDependencies:
    """The components that a placer is built from."""

    settings: ServingSettings
    platform_adapters: PlatformAdapters
    fleet: Fleet
    mesh: Mesh
    config: ActiveRouteConfig
    followers: PlatformFollowers
    report_stopped: Callable[[ReplicaRecord, str, bool], None]
    cold_seconds: Callable[[Incarnation], float]
    dialer: TargetDialer


@attrs.define
class PlacerHost:
    """Runs the placer after loading it in the background.

    Loading it during start would delay the first requests, and existing
    replicas serve without it.
    """

    _dependencies: PlacerDependencies
    _placer: 'GroupPlacer | None' = attrs.field(default=None, init=False)
    _is_stopped: bool = attrs.field(default=False, init=False)

    @property
    def held_failure_domain(self) -> str:
        """Return the failure domain whose placer this node is, or ''."""
        return '' if self._placer is None else self._placer.held_failure_domain

    @property
    def liveness_check_count(self) -> int:
        """Return the number of liveness checks made by this node's placer."""
        if self._placer is None:
            return 0
        return self._placer.failure_detector.liveness.checks

    async def run(self) -> None:
        """Load the placer and run it, until cancelled."""
        started_at = since_boot()
        await self._wait_until_informed()
        log_decision(
            'node_informed',
            informed=self._dependencies.followers.is_informed,
            after=round(since_boot() - started_at, 3),
        )
        # Import in a thread, so that requests are served meanwhile.
        placement_module = await curio.run_in_thread(
            importlib.import_module,
            'cranecart.serving._placement',
        )
        placer: GroupPlacer = placement_module.make_placer(self._dependencies)
        self._placer = placer
        if self._is_stopped:
            await placer.hand_over()
        await placer.run()

    async def hand_over(self) -> None:
        """Release the duty, so that another node takes it over at once."""
        self._is_stopped = True
        if self._placer is not None:
            await self._placer.hand_over()

    async def suspect(
        self, replica_epoch: tuple[str, int], evidence: str, reporter: str
    ) -> None:
        """Check a replica for a stall at once, if this node is the placer."""
        if self._placer is not None:
            await self._placer.suspect(replica_epoch, evidence, reporter)

    async def _wait_until_informed(self) -> None:
        deadline = since_boot() + _MAX_WAIT_SECONDS
        while (
            not self._dependencies.followers.is_informed
            and since_boot() < deadline
        ):
            await curio.sleep(_POLL_SECONDS)
