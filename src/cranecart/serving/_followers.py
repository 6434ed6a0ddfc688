"""Follow the configuration, the instance list and the placement records."""

import logging
import random
from collections.abc import Callable, Mapping
from typing import Self, TypeVar

import attrs
import curio

from cranecart.fleet import (
    LONG_POLL_SECONDS,
    Evacuations,
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
from cranecart.models import Evacuation, RouteConfig
from cranecart.platform import OperatorRow
from cranecart.ports import ListedInstance, Row, Source, era_of
from cranecart.quarantine import HeldRows
from cranecart.serving._active_config import ActiveRouteConfig
from cranecart.serving._node_registration import (
    NodeRegistration,
    peers_from_rows,
)
from cranecart.serving._platform_adapters import PlatformAdapters
from cranecart.signals import raise_first_error
from cranecart.throttling import ColdEntries

Item = TypeVar('Item')

_LOG = logging.getLogger(__name__)

# Minimum times between two reads. Changes come in bursts, as the members of a
# replica change together. The time is short, as repairing a replica waits for
# several such changes in sequence.
_LIST_MIN_INTERVAL_SECONDS = 0.1
# Configurations may change several times a second, and each node reads the store
# again after each change. The interval is well below the time in which a new
# configuration has to be active.
_CONFIG_MIN_INTERVAL_SECONDS = 0.5
_RECORDS_MIN_INTERVAL_SECONDS = 0.15
# Before the first request no read is urgent. The interval has to be shorter than
# the time without changes after which placers consider the list complete.
_IDLE_MIN_INTERVAL_SECONDS = 0.15
# If the shared reader of the list is cut off, all nodes notice within four polls.
# That has to happen before leaving instances stop accepting requests.
_POLL_FRACTION_OF_LEAVING = 0.25
_LIST = 'list'
_RECORDS = 'records'
_DEFAULT_LEAVING_SECONDS = 2.0
_RECOVERY_SECONDS = 1.0


@attrs.define
class PlatformFollowers:
    """The followers of the configuration, instance list and records."""

    _mesh: Mesh
    _configuration: SourceFollower[OperatorRow]
    _instances: SourceFollower[ListedInstance]
    _records: SourceFollower[Row]
    reachability: StoreReachability

    @classmethod
    def from_adapters(
        cls,
        platform_adapters: PlatformAdapters,
        config: ActiveRouteConfig,
        dispatcher: 'RowDispatcher',
        random_source: random.Random,
        leaving_seconds: float = _DEFAULT_LEAVING_SECONDS,
    ) -> Self:
        """Build the followers; nothing is read until ``run``.

        The list is polled often enough to show whether the store is reachable;
        the followers share that result. Each node reads the configuration from
        the store itself: sent between nodes, a large configuration saturated
        the links of small nodes for seconds.
        """
        mesh = dispatcher.mesh
        reachability = StoreReachability(
            lambda: mesh.announced_version(_LIST) is not None
        )
        return cls(
            mesh,
            _operator_follower(
                OperatorDispatcher(config, dispatcher.fleet.evacuations),
                platform_adapters.configuration,
                random_source,
                reachability,
            ),
            _list_follower(
                dispatcher,
                platform_adapters.instances,
                random_source,
                reachability,
                leaving_seconds,
            ),
            SourceFollower(
                _RECORDS,
                platform_adapters.records,
                dispatcher.apply,
                random_source,
                _RECORDS_MIN_INTERVAL_SECONDS,
                _sharing(mesh, _RECORDS, RecordNews),
                reachability=reachability,
                apply_restored=dispatcher.restore,
            ),
            reachability,
        )

    @property
    def is_informed(self) -> bool:
        """Return whether list and records were read at least once."""
        return self._instances.is_informed and self._records.is_informed

    def apply_list_update(self, update: SourceUpdate[ListedInstance]) -> None:
        """Apply what another node has read from the instance list."""
        self._instances.apply_update(update)

    def apply_record_update(self, update: SourceUpdate[Row]) -> None:
        """Apply what another node has read from the records."""
        self._records.apply_update(update)

    def announced_versions(self) -> dict[str, int]:
        """Return the version of each source's last change, by source name.

        It is empty unless this node has read the list recently, which shows
        that it reaches the store.
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
            await tasks.spawn(_follow, self._configuration)
            await tasks.spawn(_follow, self._instances)
            await tasks.spawn(_follow, self._records)
        raise_first_error(tasks)


@attrs.frozen
class RowDispatcher:
    """Passes table rows on to mesh, fleet and quarantine by their keys."""

    mesh: Mesh
    fleet: Fleet
    held: HeldRows
    registration: NodeRegistration | None = None
    cold_entries: ColdEntries | None = None

    def apply_instances(
        self,
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
        grace_until: float,
    ) -> None:
        """Apply changed entries of the platform's instance list."""
        self.fleet.apply_instances(items, is_complete, grace_until)
        self._find_cold(items)

    def restore_instances(self, items: Mapping[str, ListedInstance]) -> None:
        """Apply the instance list of a store restored from a backup."""
        self.fleet.apply_restored_instances(items)
        self._find_cold(items)

    def restore(self, items: Mapping[str, Row]) -> None:
        """Apply the rows of a table that was restored from a backup.

        Rows that are missing there remain valid; the nodes that still have
        them write them again.
        """
        self.mesh.update_peers(peers_from_rows(items), False)
        self.fleet.apply_records(_decode_records(items), False)
        self.held.restore(items)
        if self.registration is not None:
            self.registration.restore(items)

    def apply(self, items: Mapping[str, Row | None], is_complete: bool) -> None:
        """Apply changed rows, or all rows if ``is_complete``."""
        self.mesh.update_peers(peers_from_rows(items), is_complete)
        if self.registration is not None:
            self.registration.apply(items)
        versions = (0 if row is None else row.version for row in items.values())
        era = era_of(max(versions, default=0))
        self.fleet.apply_records(_decode_records(items), is_complete, era)
        self.held.apply(items, is_complete)

    def _find_cold(self, items: Mapping[str, ListedInstance | None]) -> None:
        """Find the cold incarnations among the entries that were accepted."""
        if self.cold_entries is not None:
            self.cold_entries.apply(
                item
                for item in items.values()
                if item is not None and self._is_current(item)
            )

    def _is_current(self, item: ListedInstance) -> bool:
        known = self.fleet.instances.get(item.id)
        return known is not None and known.incarnation == item.incarnation


@attrs.frozen
class OperatorDispatcher:
    """Passes the operator's rows on to the configuration or evacuations.

    Evacuations come first, so that no request is sent by a new configuration to
    a failure domain that was evacuated before.
    """

    config: ActiveRouteConfig
    evacuations: Evacuations

    def apply(
        self,
        items: Mapping[str, OperatorRow | None],
        is_complete: bool,
        version: int,
    ) -> None:
        """Apply changed rows, or all rows if ``is_complete``."""
        evacuations: list[Evacuation] = []
        configs: dict[str, RouteConfig] = {}
        for key, item in items.items():
            match item:
                case Evacuation():
                    evacuations.append(item)
                case RouteConfig():
                    configs[key] = item
        self.evacuations.apply(evacuations, is_complete, version, 'store')
        self.config.apply_from_store(configs, is_complete)


async def _follow(follower: SourceFollower[Item]) -> None:
    """Follow a source; read it again after an error in applying its items.

    One item must not end the process, which would meet it again.
    """
    while True:
        try:
            await follower.run()
        except curio.CancelledError:
            raise
        except Exception:
            _LOG.exception('could not apply what was read: %s', follower.name)
            await curio.sleep(_RECOVERY_SECONDS)


def _operator_follower(
    dispatcher: OperatorDispatcher,
    source: Source[OperatorRow],
    random_source: random.Random,
    reachability: StoreReachability,
) -> SourceFollower[OperatorRow]:
    def apply(  # noqa: WPS430
        items: Mapping[str, OperatorRow | None], is_complete: bool
    ) -> None:
        dispatcher.apply(items, is_complete, follower.last_change_version)

    follower = SourceFollower(
        'configuration',
        source,
        apply,
        random_source,
        _CONFIG_MIN_INTERVAL_SECONDS,
        reachability=reachability,
        apply_restored=lambda items: apply(items, False),
        lacks_items=lambda: dispatcher.evacuations.lacks_restored_rows,
    )
    return follower


def _list_follower(
    dispatcher: RowDispatcher,
    instances: Source[ListedInstance],
    random_source: random.Random,
    reachability: StoreReachability,
    leaving_seconds: float,
) -> SourceFollower[ListedInstance]:
    mesh = dispatcher.mesh

    def apply_list(  # noqa: WPS430
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
    ) -> None:
        dispatcher.apply_instances(items, is_complete, follower.repopulated_at)

    follower = SourceFollower(
        _LIST,
        instances,
        apply_list,
        random_source,
        _LIST_MIN_INTERVAL_SECONDS,
        attrs.evolve(
            _sharing(mesh, _LIST, ListNews),
            poll_seconds=leaving_seconds * _POLL_FRACTION_OF_LEAVING,
            min_interval_seconds=lambda: (
                0 if mesh.has_traffic() else _IDLE_MIN_INTERVAL_SECONDS
            ),
        ),
        reachability=reachability,
        apply_restored=dispatcher.restore_instances,
    )
    return follower


def _sharing(
    mesh: Mesh,
    source_name: str,
    message: Callable[[str, SourceUpdate[Item]], SourceUpdateMessage],
) -> UpdateSharing[Item]:
    return UpdateSharing(
        lambda: mesh.announced_version(source_name),
        lambda update: mesh.publish_update(message(mesh.local.node_id, update)),
        LONG_POLL_SECONDS,
        takeover_rank=mesh.state.roster.takeover_rank,
        clock=mesh.state.clock,
    )


def _decode_records(
    items: Mapping[str, Row | None],
) -> dict[str, ReplicaRecord | None]:
    decoded = {
        key: None if row is None else record_from_row(row)
        for key, row in items.items()
    }
    return {
        key: record
        for key, record in decoded.items()
        if record is not None or items[key] is None
    }
