"""Find replicas that serve again after their record was deleted; no I/O.

Late orders can make the head of an ended replica join and open it again where
instances do not check fencing tokens. A head that was taken to be gone may be
listed again. The members must not join other replicas while the list shows the
head as serving.
"""

from collections.abc import Callable, Iterable, Iterator

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import Fleet, RecordState, ReplicaRecord
from cranecart.logs import log_decision
from cranecart.ports import MemberPhase

# For how long the list may still show a head as serving that has left.
_LIST_LAG_SECONDS = 1.0
# For how long members wait for a head that does not leave. By then, one without
# members that have left is broken.
_MAX_WAIT_SECONDS = 30.0
# Ended replicas that are remembered; the oldest are forgotten first.
_MAX_ENDED = 256
_SERVING_PHASES = frozenset((MemberPhase.OPEN, MemberPhase.CLOSING))
_ReplicaEpoch = tuple[str, int]


@attrs.define
class _EndedReplica:
    """A replica without a record, and what the list shows of its head.

    ``has_stopped`` tells whether it was seen not to serve since the end,
    ``reopened_at`` since when it serves again.
    """

    record: ReplicaRecord
    ended_at: float
    has_stopped: bool = False
    reopened_at: float | None = None


@attrs.define
class ReopenedReplicas:
    """The ended replicas of one failure domain whose heads serve again."""

    _fleet: Fleet
    _clock: Callable[[], float] = since_boot
    _recorded: dict[_ReplicaEpoch, ReplicaRecord] = attrs.field(
        factory=dict, init=False
    )
    _ended: dict[_ReplicaEpoch, _EndedReplica] = attrs.field(
        factory=dict, init=False
    )

    def update(self, records: Iterable[ReplicaRecord]) -> None:
        """Take note of the present records and of what the list shows."""
        now = self._clock()
        recorded = {(record.name, record.epoch): record for record in records}
        for replica_epoch in self._recorded.keys() - recorded.keys():
            self._ended[replica_epoch] = _EndedReplica(
                self._recorded[replica_epoch], now
            )
        self._recorded = recorded
        remembered = [
            (replica_epoch, ended)
            for replica_epoch, ended in self._ended.items()
            if replica_epoch not in recorded
        ]
        self._ended = dict(remembered[-_MAX_ENDED:])
        for ended in self._ended.values():
            self._observe(ended, now)

    def records(self) -> list[ReplicaRecord]:
        """Return the records of the reopened replicas, as ending."""
        return [
            attrs.evolve(ended.record, state=RecordState.ENDING)
            for ended in self._reopened()
        ]

    def members(self) -> Iterator[str]:
        """Yield the members of the reopened replicas, which are not free."""
        return (
            name for ended in self._reopened() for name in ended.record.members
        )

    def _observe(self, ended: _EndedReplica, now: float) -> None:
        if not self._is_listed_as_serving(ended.record):
            ended.has_stopped = True
            ended.reopened_at = None
        elif ended.reopened_at is None and self._is_reopened(ended, now):
            ended.reopened_at = now
            log_decision(
                'replica_reopened',
                replica=ended.record.name,
                epoch=ended.record.epoch,
                head=ended.record.head,
            )

    def _reopened(self) -> Iterator[_EndedReplica]:
        now = self._clock()
        return (
            ended
            for ended in self._ended.values()
            if self._is_reopened(ended, now)
        )

    def _is_reopened(self, ended: _EndedReplica, now: float) -> bool:
        since = now if ended.reopened_at is None else ended.reopened_at
        is_due = ended.has_stopped or now - ended.ended_at > _LIST_LAG_SECONDS
        return (
            is_due
            and now - since < _MAX_WAIT_SECONDS
            and self._is_listed_as_serving(ended.record)
        )

    def _is_listed_as_serving(self, record: ReplicaRecord) -> bool:
        head = self._fleet.find_instance(record.head)
        if head is None:
            return False
        return head.phase_in(record.name, record.epoch) in _SERVING_PHASES
