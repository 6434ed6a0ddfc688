"""The instances, the replicas recorded, and which of them serve."""

from collections.abc import Iterable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet._instance_list import InstanceList
from cranecart.fleet._record_rows import RecordState, ReplicaRecord
from cranecart.fleet._replica_records import ReplicaEpoch, ReplicaRecords
from cranecart.logs import decision
from cranecart.ports import Incarnation, ListedInstance, MemberPhase

_PRESENT = frozenset((MemberPhase.READY, MemberPhase.OPEN))


@attrs.frozen
class ServingHead:
    """A whole replica that takes requests, and the head they go to."""

    replica: str
    epoch: int
    model: str
    head: ListedInstance
    members: tuple[str, ...]

    @property
    def id(self) -> str:
        """Return the id of the instance that takes the requests."""
        return self.head.id

    @property
    def incarnation(self) -> Incarnation:
        """Return the life of the instance that takes the requests."""
        return self.head.incarnation

    @property
    def replica_epoch(self) -> ReplicaEpoch:
        """Return what tells this forming of the replica from others."""
        return (self.replica, self.epoch)


ModelKey = tuple[str, str]


@attrs.define
class ServingHeads:
    """The replicas that serve, by service and model.

    Only those are looked at anew whose record or members have changed.
    """

    _by_key: dict[str, tuple[ModelKey, ServingHead]] = attrs.field(
        factory=dict,
        init=False,
    )
    _of_model: dict[ModelKey, dict[str, ServingHead]] = attrs.field(
        factory=dict,
        init=False,
    )
    _told: dict[ModelKey, tuple[ServingHead, ...]] = attrs.field(
        factory=dict,
        init=False,
    )

    def put(self, key: str, model: ModelKey, head: ServingHead) -> None:
        """Take over that the replica of a record serves."""
        self.drop(key)
        self._by_key[key] = (model, head)
        self._of_model.setdefault(model, {})[key] = head
        self._told.pop(model, None)

    def drop(self, key: str) -> None:
        """Take over that the replica of a record does not serve."""
        model, _head = self._by_key.pop(key, (None, None))
        if model is not None:
            self._of_model[model].pop(key)
            self._told.pop(model, None)

    def of_model(self, model: ModelKey) -> tuple[ServingHead, ...]:
        """Return the replicas of a model that serve."""
        found = self._told.get(model)
        if found is None:
            found = tuple(self._of_model.get(model, {}).values())
            self._told[model] = found
        return found

    def every(self) -> list[ServingHead]:
        """Return all replicas that serve."""
        return [head for _model, head in self._by_key.values()]


@attrs.define
class Fleet:
    """One node's knowledge of instances and replicas.

    An instance whose entry went is kept apart for a while: it may be dead,
    or only cut off from the platform, and its replica may still work.
    """

    instance_list: InstanceList = attrs.field(factory=InstanceList)
    replica_records: ReplicaRecords = attrs.field(
        factory=ReplicaRecords, init=False
    )
    _stopped: dict[ReplicaEpoch, str] = attrs.field(factory=dict, init=False)
    _closing: dict[ReplicaEpoch, str] = attrs.field(factory=dict, init=False)
    _heads: ServingHeads = attrs.field(factory=ServingHeads, init=False)
    # Keys of records that have to be looked at before heads are told.
    _changed: set[str] = attrs.field(factory=set, init=False)

    @property
    def instances(self) -> Mapping[str, ListedInstance]:
        """Return the listed instances by id."""
        return self.instance_list.instances

    @property
    def lapsed(self) -> Mapping[str, ListedInstance]:
        """Return members whose entries went lately, by id."""
        return self.instance_list.lapsed

    @property
    def records(self) -> Mapping[str, ReplicaRecord]:
        """Return the recorded replicas by the keys of their rows."""
        return self.replica_records.records

    def apply_instances(
        self,
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
        kept_until: float = 0,
    ) -> None:
        """Take over changed entries of the platform's list.

        Many that are missing at once are kept until ``kept_until``.
        """
        touched = set(items)
        if is_complete:
            touched.update(self.instances)
        self._begin_lives(
            self.instance_list.take(items, is_complete, kept_until)
        )
        self._changed |= self.replica_records.keys_with_members(touched)

    def apply_restored_instances(
        self, items: Mapping[str, ListedInstance]
    ) -> None:
        """Take over a list of a store that has come back from a copy."""
        anew = self.instance_list.restore(items, since_boot())
        self._begin_lives(anew)
        self._changed |= self.replica_records.keys_with_members(items)

    def process_timeouts(self) -> None:
        """Believe entries that have stood, or been missed, for long."""
        now = since_boot()
        self._changed |= self.replica_records.keys_with_members(
            (
                *self.instance_list.expire_missing(now),
                *self.instance_list.accept_unconfirmed(now),
            ),
        )
        anew = self.instance_list.confirm_restarts()
        self._begin_lives(anew)
        self._changed |= self.replica_records.keys_with_members(anew)

    def apply_records(
        self,
        items: Mapping[str, ReplicaRecord | None],
        is_complete: bool,
        era: int = 0,
    ) -> None:
        """Take over changed rows of replicas, by the keys of their rows."""
        self._changed.update(self.replica_records.take(items, is_complete, era))
        self._forget()

    def mark_stopped(self, replica_epoch: ReplicaEpoch, reason: str) -> bool:
        """Take over that a replica stands still; return whether it is news.

        Nothing more is sent to it, and what it has goes on elsewhere.
        """
        if replica_epoch in self._stopped:
            return False
        self._stopped[replica_epoch] = reason
        self._tell('replica_stopped', replica_epoch, reason)
        return True

    def mark_closing(self, replica_epoch: ReplicaEpoch, reason: str) -> bool:
        """Take over that a replica finishes; return whether it is news.

        Nothing more is sent to it, and what it has ends there.
        """
        if replica_epoch in self._closing:
            return False
        self._closing[replica_epoch] = reason
        self._tell('replica_closing', replica_epoch, reason)
        return True

    def is_stopped(self, replica_epoch: ReplicaEpoch) -> bool:
        """Tell whether a replica is known to have stopped."""
        return replica_epoch in self._stopped

    def find_instance(self, name: str) -> ListedInstance | None:
        """Return an instance, also one whose entry has gone lately."""
        return self.instance_list.find_instance(name)

    def failure_domain_of(self, replica_epoch: ReplicaEpoch) -> str:
        """Return the failure domain whose placer a replica has, if known."""
        record = self.replica_records.of(replica_epoch)
        return '' if record is None else record.failure_domain

    def is_open(self, record: ReplicaRecord) -> bool:
        """Tell whether the list shows a replica's head open."""
        head = self.find_instance(record.head)
        phase = head and head.phase_in(record.name, record.epoch)
        return phase is MemberPhase.OPEN

    def heads(self, service: str, model: str) -> tuple[ServingHead, ...]:
        """Return the whole replicas of a model that take requests."""
        self._look()
        return self._heads.of_model((service, model))

    def available(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a plain service that take requests."""
        return self.instance_list.available(service)

    def all_heads(self) -> Iterable[ServingHead]:
        """Return all whole replicas that take requests."""
        self._look()
        return self._heads.every()

    def _begin_lives(self, names: Iterable[str]) -> None:
        """Stop the replicas of lives that have ended.

        Streams leave them at once, and not only once they have been silent.
        """
        for name in names:
            for record in list(self.replica_records.records_with_member(name)):
                if any(
                    map(self.instance_list.is_superseded, record.incarnations)
                ):
                    replica_epoch = (record.name, record.epoch)
                    self.mark_stopped(replica_epoch, f'{name} lives anew')

    def _look(self) -> None:
        """Bring up to date which replicas serve."""
        for key in self._changed:
            record = self.records.get(key)
            if record is None or not self._is_serving(record):
                self._heads.drop(key)
                continue
            head = ServingHead(
                record.name,
                record.epoch,
                record.model,
                self.instances[record.head],
                record.members,
            )
            self._heads.put(key, (record.service, record.model), head)
        self._changed.clear()

    def _is_serving(self, record: ReplicaRecord) -> bool:
        replica_epoch = (record.name, record.epoch)
        head = self.instances.get(record.head)
        if record.state is not RecordState.SERVING or head is None:
            return False
        if replica_epoch in self._stopped or replica_epoch in self._closing:
            return False
        return head.phase_in(*replica_epoch) is MemberPhase.OPEN and all(
            _is_present(self.find_instance(name), replica_epoch)
            for name in record.members
        )

    def _forget(self) -> None:
        for told in (self._stopped, self._closing):
            for replica_epoch in list(told):
                if not self.replica_records.is_recorded(replica_epoch):
                    told.pop(replica_epoch)
        self.instance_list.forget_lapsed(self.replica_records.keys_by_member)

    def _tell(
        self, event: str, replica_epoch: ReplicaEpoch, reason: str
    ) -> None:
        decision(
            event, replica=replica_epoch[0], epoch=replica_epoch[1], why=reason
        )
        record = self.replica_records.of(replica_epoch)
        if record is not None:
            self._changed.add(record.key)


def _is_present(
    member: ListedInstance | None, replica_epoch: ReplicaEpoch
) -> bool:
    return (
        member is not None
        and not member.leaving
        and member.phase_in(*replica_epoch) in _PRESENT
    )
