"""Table rows in which placers record replicas before sending any orders."""

import enum
import functools
import itertools

import attrs
import msgspec

from cranecart.logs import UnreadableRowLog
from cranecart.ports import CounterInt, Incarnation, Row

RECORDS_TABLE = 'placement'
# One partition for all records: each node reads them at startup with one call
# per partition. A partition accepts 300 writes per second, of which replicas
# that all start at once need about a hundred.
RECORDS_PART = 'all'
_NODE = 'node/'
_REPLICA = 'replica/'
_UNREADABLE_ROWS = UnreadableRowLog('record_unreadable')


class RecordState(enum.Enum):
    """The state in which the placer wants a replica."""

    SERVING = 'serving'
    # It finishes its requests, for example because a member is leaving.
    CLOSING = 'closing'
    # Its members are being released; none may join another replica yet.
    ENDING = 'ending'


@attrs.frozen
class ReplicaRecord:
    """One epoch of a replica; the first member is its head.

    ``epoch`` increases with every replica created in a failure domain, so that
    delayed orders of earlier ones are rejected. ``loads`` is the number of
    members that have to load the model from the weight store. ``version`` is
    that of the record's row. ``births`` are the start times of the members'
    incarnations; old rows have none.
    """

    name: str
    epoch: CounterInt
    service: str
    model: str
    failure_domain: str
    fabric_domain: str
    members: tuple[str, ...]
    state: RecordState = RecordState.SERVING
    reason: str = ''
    loads: CounterInt = 0
    version: int = 0
    births: tuple[CounterInt, ...] = ()

    @property
    def head(self) -> str:
        """Return the id of the instance that receives the requests."""
        return self.members[0]

    @functools.cached_property
    def incarnations(self) -> tuple[Incarnation, ...]:
        """Return the incarnations of the members, as far as known."""
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
    """Return the key prefix of a failure domain's replicas."""
    return f'{RECORDS_TABLE}/{RECORDS_PART}/{_REPLICA}{failure_domain}/'


def placement_duty(failure_domain: str) -> str:
    """Return the lease name of a failure domain's placer.

    The row of the lease is in the same partition as the records.
    """
    return f'{RECORDS_PART}/{failure_domain}'


def node_key(node_id: str) -> str:
    """Return the key of a node's row."""
    return f'{RECORDS_TABLE}/{RECORDS_PART}/{_NODE}{node_id}'


def record_from_row(row: Row) -> ReplicaRecord | None:
    """Decode a replica's row; return ``None`` for rows of another kind.

    Return ``None`` also for rows that cannot be decoded or do not match their
    key: they are logged, and the last valid record stays in effect.
    """
    if not row.key.split('/', 2)[2].startswith(_REPLICA):
        return None
    try:
        record = msgspec.json.decode(row.value, type=ReplicaRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        _UNREADABLE_ROWS.report(row.key, str(error))
        return None
    if record.key != row.key or not record.members:
        _UNREADABLE_ROWS.report(
            row.key, 'the record does not match the key, or has no members'
        )
        return None
    return attrs.evolve(record, version=row.version)
