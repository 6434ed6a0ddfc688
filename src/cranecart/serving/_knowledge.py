"""The parts of a node that follow the platform."""

import random
from collections.abc import Mapping
from typing import Self

import attrs
import curio

from cranecart.fleet import (
    Fleet,
    ReplicaRecord,
    SourceFollower,
    record_from_row,
)
from cranecart.mesh import Mesh
from cranecart.models import RouteConfig
from cranecart.ports import ListedInstance, Row
from cranecart.serving._configuration import ForceConfig
from cranecart.serving._registry import peers_from_rows
from cranecart.serving._surroundings import Surroundings
from cranecart.signals import raise_first_error

# Changes of the list come in bursts, as members of a replica change
# together. The placer of a failure domain waits for them, so it looks often;
# the others need the list only to route, and hear of what stops directly.
_PLACER_GAP_SECONDS = 0.03
_OTHER_GAP_SECONDS = 0.4
_RECORDS_GAP_SECONDS = 0.1


@attrs.define
class Knowledge:
    """Followers of the configuration, the list, and the placers' records."""

    _declarations: SourceFollower[RouteConfig]
    _instances: SourceFollower[ListedInstance]
    _records: SourceFollower[Row]

    @classmethod
    def from_surroundings(
        cls,
        surroundings: Surroundings,
        config: ForceConfig,
        fleet: Fleet,
        mesh: Mesh,
        source: random.Random,
    ) -> Self:
        """Build the followers; nothing is read until ``run``."""

        def take_rows(items: Mapping[str, Row | None], is_whole: bool) -> None:  # noqa: WPS430
            mesh.take_peers(peers_from_rows(items), is_whole)
            fleet.take_records(_records_of(items), is_whole)

        return cls(
            SourceFollower(
                'configuration',
                surroundings.declarations,
                config.take_from_store,
                source,
            ),
            SourceFollower(
                'list',
                surroundings.instances,
                fleet.take_instances,
                source,
                _OTHER_GAP_SECONDS,
            ),
            SourceFollower(
                'records',
                surroundings.records,
                take_rows,
                source,
                _RECORDS_GAP_SECONDS,
            ),
        )

    @property
    def is_informed(self) -> bool:
        """Tell whether list and records were read at least once."""
        return self._instances.is_informed and self._records.is_informed

    def set_placing(self, is_placing: bool) -> None:
        """Look at the list more often while this node places."""
        self._instances.gap_seconds = (
            _PLACER_GAP_SECONDS if is_placing else _OTHER_GAP_SECONDS
        )

    async def run(self) -> None:
        """Follow everything until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._declarations.run)
            await tasks.spawn(self._instances.run)
            await tasks.spawn(self._records.run)
        raise_first_error(tasks)


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
