"""Replicas as their placer recorded them before ordering anything."""

import enum
import functools
import itertools

import attrs
import msgspec

from cranecart.logs import UnreadableRows
from cranecart.ports import Incarnation, Row

RECORDS_TABLE = 'placement'
# One part for all: each node reads them at its start, and a part is a call. Of
# the 300 writes a second that a part takes, replicas that all form at once
# need some hundred.
RECORDS_PART = 'all'
_NODE = 'node/'
_REPLICA = 'replica/'
_UNREADABLE = UnreadableRows('record_unreadable')


class RecordState(enum.Enum):
    """What the placer wants of a replica."""

    SERVING = 'serving'
    # It finishes what it has, as one of its members leaves.
    CLOSING = 'closing'
    # Its members are freed; none may join another replica before that.
    ENDING = 'ending'


@attrs.frozen
class ReplicaRecord:
    """One forming of a replica; the first member is its head.

    ``epoch`` rises with every forming in a failure domain and orders late
    orders of earlier formings out. ``loads`` is how many members must load
    from the weight store. ``version`` is that of the record's row, ``births``
    tell which lives of its members were chosen; old rows hold none.
    """

    name: str
    epoch: int
    service: str
    model: str
    failure_domain: str
    fabric_domain: str
    members: tuple[str, ...]
    state: RecordState = RecordState.SERVING
    reason: str = ''
    loads: int = 0
    version: int = 0
    births: tuple[int, ...] = ()

    @property
    def head(self) -> str:
        """Return the id of the instance that takes the requests."""
        return self.members[0]

    @functools.cached_property
    def incarnations(self) -> tuple[Incarnation, ...]:
        """Return the lives of the members, as far as they are known."""
        births = itertools.chain(self.births, itertools.repeat(0))
        return tuple(map(Incarnation, self.members, births))

    @property
    def key(self) -> str:
        """Return the key of the record's row."""
        return record_key(self.failure_domain, self.name)

    def encoded(self) -> str:
        """Return the value of the record's row."""
        return msgspec.json.encode(self).decode()


def record_key(failure_domain: str, name: str) -> str:
    """Return the key of a replica's row."""
    return f'{records_prefix(failure_domain)}{name}'


def records_prefix(failure_domain: str) -> str:
    """Return what the keys of a failure domain's replicas start with."""
    return f'{RECORDS_TABLE}/{RECORDS_PART}/{_REPLICA}{failure_domain}/'


def placement_duty(failure_domain: str) -> str:
    """Return the duty of placing there; its row is in the records' part."""
    return f'{RECORDS_PART}/{failure_domain}'


def node_key(node_id: str) -> str:
    """Return the key of a node's row."""
    return f'{RECORDS_TABLE}/{RECORDS_PART}/{_NODE}{node_id}'


def record_from_row(row: Row) -> ReplicaRecord | None:
    """Decode a replica's row; return ``None`` for another kind of row.

    One that cannot be read, or that is not what its key says, is such a row:
    an earlier reading of it holds, and it is told in the log.
    """
    if not row.key.split('/', 2)[2].startswith(_REPLICA):
        return None
    try:
        record = msgspec.json.decode(row.value, type=ReplicaRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        _UNREADABLE.note(row.key, str(error))
        return None
    if record.key != row.key or not record.members:
        _UNREADABLE.note(row.key, 'it is not what its key says')
        return None
    return attrs.evolve(record, version=row.version)
