"""The platform's list of instances, decoded into the product's types."""

import functools
import ipaddress

import attrs
import msgspec

from cranecart.exceptions import PlatformUnavailableError
from cranecart.http import Address
from cranecart.logs import UnreadableRows
from cranecart.platform._store import StoreClient, WireRow, decode_row
from cranecart.platform._wire_config import whole_number
from cranecart.ports import (
    Changes,
    ListedInstance,
    MemberPhase,
    Membership,
    Snapshot,
)

_TABLE = 'servers'
_LEAVING = 'draining'
_LAST_PORT = 65535
# Other writers may name further states; none of them takes requests.
_STATES = frozenset(('ready', _LEAVING))


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
    """What an instance writes of itself.

    ``domain`` is its fabric domain; ``born`` tells this start of it from
    others under the same id, in ms.
    """

    address: str
    service: str
    zone: str
    state: str
    slots: float = 1
    born: float = 0
    domain: str = ''
    models: list[WireModel] = []
    staged: list[str] = []
    group: WireGroup | None = None


@attrs.frozen
class PlatformTargetList:
    """The list as a source that can be followed."""

    _store: StoreClient
    _unreadable: UnreadableRows = attrs.field(
        factory=functools.partial(UnreadableRows, 'list_entry_unreadable'),
    )

    async def snapshot(self) -> Snapshot[ListedInstance]:
        """Read the whole list."""
        rows = await self._store.read_part(_TABLE, '')
        read = {row.key_file: self._read(row) for row in rows.rows}
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
                row.key_file: None if row.deleted else self._read(row)
                for row in changed.rows
            },
        )

    def _read(self, row: WireRow) -> ListedInstance | None:
        """Return an entry's instance; one that can't be read names none."""
        try:
            wire = decode_row(row, WireInstance)
            read = _instance(row.key_file, wire)
        except (PlatformUnavailableError, ValueError) as error:
            self._unreadable.note(row.key_file, str(error))
            return None
        self._unreadable.forget(row.key_file)
        return read


def _instance(name: str, wire: WireInstance) -> ListedInstance:
    if wire.state not in _STATES:
        raise ValueError(f'its state is {wire.state!r}')
    if not wire.service or not wire.zone:
        raise ValueError('it names no service, or no place')
    return ListedInstance(
        name,
        wire.service,
        _address(wire.address),
        wire.zone,
        # A place that is there in part takes no request.
        whole_number(wire.slots, 1),
        wire.state == _LEAVING,
        wire.domain,
        tuple(model.name for model in wire.models),
        tuple(wire.staged),
        _membership(wire.group),
        whole_number(wire.born),
    )


def _address(text: str) -> Address:
    address = Address.from_text(text)
    ipaddress.ip_address(address.host)
    if not 0 < address.port <= _LAST_PORT:
        raise ValueError(f'{text!r} names no port')
    return address


def _membership(group: WireGroup | None) -> Membership | None:
    if group is None:
        return None
    return Membership(
        group.name,
        group.epoch,
        group.rank,
        MemberPhase(group.state),
    )
