"""The platform's list of instances, decoded into the product's types."""

import attrs
import msgspec

from cranecart.exceptions import PlatformUnavailableError
from cranecart.http import Address
from cranecart.logs import decision
from cranecart.platform._store import StoreClient, WireRow, decode_row
from cranecart.platform._wire_config import whole
from cranecart.ports import (
    Changes,
    ListedInstance,
    MemberPhase,
    Membership,
    Snapshot,
)

_TABLE = 'servers'
_LEAVING = 'draining'


class WireGroup(msgspec.Struct):
    """The platform's word for a replica that an instance belongs to."""

    name: str
    epoch: int
    rank: int
    state: str


class WireModel(msgspec.Struct):
    """A model in the accelerators of an instance."""

    name: str = ''


class WireInstance(msgspec.Struct):
    """What an instance writes of itself; ``domain`` is its fabric domain."""

    address: str
    service: str = ''
    zone: str = ''
    slots: float = 1
    state: str = 'ready'
    domain: str = ''
    models: list[WireModel] = []
    staged: list[str] = []
    group: WireGroup | None = None


@attrs.frozen
class PlatformTargetList:
    """The list as a source that can be followed."""

    _store: StoreClient

    async def snapshot(self) -> Snapshot[ListedInstance]:
        """Read the whole list."""
        rows = await self._store.read_part(_TABLE, '')
        read = {row.key_file: _read(row) for row in rows.rows}
        return Snapshot(
            rows.schema_version,
            {key: entry for key, entry in read.items() if entry is not None},
        )

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> Changes[ListedInstance]:
        """Wait for entries that changed or went."""
        changed = await self._store.feed(_TABLE, since, wait_seconds)
        return Changes(
            changed.schema_version,
            {
                row.key_file: None if row.deleted else _read(row)
                for row in changed.rows
            },
        )


def _read(row: WireRow) -> ListedInstance | None:
    try:
        wire = decode_row(row, WireInstance)
        return _instance(row.key_file, wire)
    except (PlatformUnavailableError, ValueError) as error:
        decision('list_entry_unreadable', instance=row.key_file, why=str(error))
        return None


def _instance(name: str, wire: WireInstance) -> ListedInstance:
    return ListedInstance(
        name,
        wire.service,
        Address.from_text(wire.address),
        wire.zone,
        # A place that is there in part takes no request.
        whole(wire.slots, 1),
        wire.state == _LEAVING,
        wire.domain,
        tuple(model.name for model in wire.models),
        tuple(wire.staged),
        _membership(wire.group),
    )


def _membership(group: WireGroup | None) -> Membership | None:
    if group is None:
        return None
    return Membership(
        group.name,
        group.epoch,
        group.rank,
        MemberPhase(group.state),
    )
