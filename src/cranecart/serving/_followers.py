"""The parts of a node that follow the platform."""

import random
from collections.abc import Callable, Mapping
from typing import Self, TypeVar

import attrs
import curio

from cranecart.fleet import (
    LONG_POLL_SECONDS,
    Fleet,
    ReplicaRecord,
    SourceFollower,
    SourceUpdate,
    StoreReachability,
    UpdateSharing,
    record_from_row,
)
from cranecart.mesh import (
    ListNews,
    Mesh,
    RecordNews,
    SourceUpdateMessage,
)
from cranecart.models import RouteConfig
from cranecart.ports import ListedInstance, Row, Source, era_of
from cranecart.quarantine import HeldRows
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._node_registry import NodeRegistry, peers_from_rows
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.signals import raise_first_error

Item = TypeVar('Item')

# Changes come in bursts, as members of a replica change together; a repair
# waits for several of them in a row.
_LIST_GAP_SECONDS = 0.1
# Versions may come several times in a second, and every node asks the store
# anew after each. Well below the time in which one has to be in force.
_DECLARATIONS_GAP_SECONDS = 0.5
_RECORDS_GAP_SECONDS = 0.15
# Before the first request nothing is late. It stays below the rest by which
# placers tell that the list is whole.
_EARLY_GAP_SECONDS = 0.15
# A cut reader of the list is missed by all in under four waits, which has to be
# within the time that leaving instances may still get requests.
_LEAVING_PART = 0.25
_LIST = 'list'
_RECORDS = 'records'
_LEAVING_SECONDS = 2.0


@attrs.define
class PlatformFollowers:
    """Followers of the configuration, the list, and the placers' records."""

    _mesh: Mesh
    _declarations: SourceFollower[RouteConfig]
    _instances: SourceFollower[ListedInstance]
    _records: SourceFollower[Row]
    reachability: StoreReachability

    @classmethod
    def from_adapters(
        cls,
        platform_adapters: PlatformAdapters,
        config: ActiveRouteConfig,
        dispatcher: 'RowDispatcher',
        source: random.Random,
        leaving_seconds: float = _LEAVING_SECONDS,
    ) -> Self:
        """Build the followers; nothing is read until ``run``.

        The list is read often enough to show that the path to the store is
        good; the records wait for changes on that same path. Each node follows
        the configuration itself: sent around, a large one filled the links of
        small nodes for seconds.
        """
        mesh = dispatcher.mesh
        reachability = StoreReachability(
            lambda: mesh.announced_version(_LIST) is not None
        )
        return cls(
            mesh,
            SourceFollower(
                'configuration',
                platform_adapters.declarations,
                config.apply_from_store,
                source,
                _DECLARATIONS_GAP_SECONDS,
                reachability=reachability,
            ),
            _list_follower(
                dispatcher,
                platform_adapters.instances,
                source,
                reachability,
                leaving_seconds,
            ),
            SourceFollower(
                _RECORDS,
                platform_adapters.records,
                dispatcher.take,
                source,
                _RECORDS_GAP_SECONDS,
                _sharing(mesh, _RECORDS, RecordNews),
                reachability=reachability,
                apply_restored=dispatcher.restore,
            ),
            reachability,
        )

    @property
    def is_informed(self) -> bool:
        """Tell whether list and records were read at least once."""
        return self._instances.is_informed and self._records.is_informed

    def apply_list_update(self, news: SourceUpdate[ListedInstance]) -> None:
        """Take over what another node has read of the list."""
        self._instances.apply_update(news)

    def apply_record_update(self, news: SourceUpdate[Row]) -> None:
        """Take over what another node has read of the records."""
        self._records.apply_update(news)

    def announced_versions(self) -> dict[str, int]:
        """Return the last changes of the sources that this node reads.

        That it reads the list shows that its path to the store is good.
        """
        if not self._instances.has_recent_read:
            return {}
        followers = (self._instances, self._records)
        return {
            follower.name: follower.last_change_version
            for follower in followers
            if follower.is_informed and not follower.is_unreachable
        }

    async def run(self) -> None:
        """Follow everything until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._declarations.run)
            await tasks.spawn(self._instances.run)
            await tasks.spawn(self._records.run)
        raise_first_error(tasks)


@attrs.frozen
class RowDispatcher:
    """Sorts the rows of one table into nodes, replicas and held requests."""

    mesh: Mesh
    fleet: Fleet
    held: HeldRows
    registry: NodeRegistry | None = None

    def restore(self, items: Mapping[str, Row]) -> None:
        """Take over the rows of a table that has come back from a copy.

        What it lacks counts on, and is written again by whoever knows it.
        """
        self.mesh.update_peers(peers_from_rows(items), False)
        self.fleet.apply_records(_records_of(items), False)
        self.held.restore(items)
        if self.registry is not None:
            self.registry.restore(items)

    def take(self, items: Mapping[str, Row | None], is_complete: bool) -> None:
        """Take over changed rows, or all of them."""
        self.mesh.update_peers(peers_from_rows(items), is_complete)
        versions = (0 if row is None else row.version for row in items.values())
        era = era_of(max(versions, default=0))
        self.fleet.apply_records(_records_of(items), is_complete, era)
        self.held.apply(items, is_complete)


def _list_follower(
    dispatcher: RowDispatcher,
    instances: Source[ListedInstance],
    source: random.Random,
    reachability: StoreReachability,
    leaving_seconds: float,
) -> SourceFollower[ListedInstance]:
    mesh = dispatcher.mesh

    def take_list(  # noqa: WPS430
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
    ) -> None:
        dispatcher.fleet.apply_instances(
            items, is_complete, follower.repopulated_at
        )

    follower = SourceFollower(
        _LIST,
        instances,
        take_list,
        source,
        _LIST_GAP_SECONDS,
        attrs.evolve(
            _sharing(mesh, _LIST, ListNews),
            poll_seconds=leaving_seconds * _LEAVING_PART,
            min_interval_seconds=lambda: (
                0 if mesh.has_traffic() else _EARLY_GAP_SECONDS
            ),
        ),
        reachability=reachability,
        apply_restored=dispatcher.fleet.apply_restored_instances,
    )
    return follower


def _sharing(
    mesh: Mesh,
    source: str,
    message: Callable[[str, SourceUpdate[Item]], SourceUpdateMessage],
) -> UpdateSharing[Item]:
    return UpdateSharing(
        lambda: mesh.announced_version(source),
        lambda news: mesh.publish_update(message(mesh.local.node_id, news)),
        LONG_POLL_SECONDS,
        takeover_rank=mesh.state.roster.takeover_rank,
    )


def _records_of(
    items: Mapping[str, Row | None],
) -> dict[str, ReplicaRecord | None]:
    read = {
        key: None if row is None else record_from_row(row)
        for key, row in items.items()
    }
    return {
        key: record
        for key, record in read.items()
        if record is not None or items[key] is None
    }
