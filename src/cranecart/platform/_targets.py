"""The platform's instance list, decoded into ``ListedInstance``."""

import functools

import attrs
import msgspec

from cranecart.exceptions import PlatformUnavailableError
from cranecart.http import Address
from cranecart.logs import UnreadableRowLog
from cranecart.platform._load_headers import MAX_COLD_SECONDS
from cranecart.platform._store import StoreClient
from cranecart.platform._wire_config import whole_number
from cranecart.platform._wire_rows import WireRow, decode_row
from cranecart.ports import (
    Changes,
    CounterFloat,
    CounterInt,
    ListedInstance,
    MemberPhase,
    Membership,
    SlotsFloat,
    Snapshot,
)

_TABLE = 'servers'
_LEAVING = 'draining'
_MILLISECONDS = 1000
# Other writers may use further states; instances in those get no requests.
_KNOWN_STATES = frozenset(('ready', _LEAVING))


class WireGroup(msgspec.Struct):
    """The replica that an instance belongs to, called group by the platform."""

    name: str
    epoch: CounterInt
    rank: CounterInt
    state: str


class WireModel(msgspec.Struct):
    """A model that is loaded in an instance's accelerators."""

    name: str = ''


class WireInstance(msgspec.Struct):
    """The list entry that an instance writes about itself.

    ``zone`` is its failure domain and ``domain`` its fabric domain. ``born`` is
    its start time in ms, which distinguishes incarnations with the same id.
    ``coldRemainingMs`` is how long it stays cold from when it wrote the entry.
    """

    address: str
    service: str
    zone: str
    state: str
    slots: SlotsFloat = 1
    born: CounterFloat = 0
    domain: str = ''
    models: list[WireModel] = []
    staged: list[str] = []
    group: WireGroup | None = None
    cold_remaining_ms: float | None = msgspec.field(
        default=None, name='coldRemainingMs'
    )


@attrs.frozen
class PlatformTargetList:
    """The instance list as a source to follow."""

    _store: StoreClient
    _unreadable: UnreadableRowLog = attrs.field(
        factory=functools.partial(UnreadableRowLog, 'list_entry_unreadable'),
    )

    @property
    def is_receiving_changes(self) -> bool:
        """Return whether the changes waited for have begun to arrive."""
        return self._store.is_receiving_changes(_TABLE)

    async def snapshot(self) -> Snapshot[ListedInstance]:
        """Read the complete list."""
        rows = await self._store.read_part(
            _TABLE, '', rows_are_independent=True
        )
        instances = {row.key_file: self._decode_entry(row) for row in rows.rows}
        return Snapshot(
            rows.schema_version,
            {
                key: entry
                for key, entry in instances.items()
                if entry is not None
            },
        )

    async def changes(
        self,
        since: int,
        wait_seconds: float,
    ) -> Changes[ListedInstance]:
        """Wait for changed and deleted entries."""
        changed = await self._store.feed(_TABLE, since, wait_seconds)
        return Changes(
            changed.schema_version,
            {
                row.key_file: None if row.deleted else self._decode_entry(row)
                for row in changed.rows
            },
        )

    def _decode_entry(self, row: WireRow) -> ListedInstance | None:
        """Return the instance of an entry, or ``None`` if it is unreadable."""
        try:
            wire = decode_row(row, WireInstance)
            instance = _decode_instance(row.key_file, wire)
        except (PlatformUnavailableError, ValueError) as error:
            self._unreadable.report(row.key_file, str(error))
            return None
        self._unreadable.mark_readable(row.key_file)
        return instance


def _decode_instance(instance_id: str, wire: WireInstance) -> ListedInstance:
    if wire.state not in _KNOWN_STATES:
        raise ValueError(f'unknown state {wire.state!r}')
    if not wire.service or not wire.zone:
        raise ValueError('the service or the zone is empty')
    return ListedInstance(
        instance_id,
        wire.service,
        Address.from_listed(wire.address),
        wire.zone,
        # A fraction of a slot cannot hold a request.
        whole_number(wire.slots, 1),
        wire.state == _LEAVING,
        wire.domain,
        tuple(model.name for model in wire.models),
        tuple(wire.staged),
        _decode_membership(wire.group),
        max(0, int(wire.born)),
        _decode_cold_seconds(wire.cold_remaining_ms),
    )


def _decode_cold_seconds(milliseconds: float | None) -> float | None:
    if milliseconds is None:
        return None
    return min(max(0, milliseconds / _MILLISECONDS), MAX_COLD_SECONDS)


def _decode_membership(group: WireGroup | None) -> Membership | None:
    if group is None:
        return None
    return Membership(
        group.name,
        group.epoch,
        group.rank,
        MemberPhase(group.state),
    )
