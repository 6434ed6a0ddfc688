"""One node's view of instances and replicas, and which replicas serve."""

from collections.abc import Iterable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet._evacuations import Evacuations
from cranecart.fleet._instance_list import InstanceList
from cranecart.fleet._record_rows import RecordState, ReplicaRecord
from cranecart.fleet._replica_records import ReplicaEpoch, ReplicaRecords
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance, MemberPhase

_PRESENT_PHASES = frozenset((MemberPhase.READY, MemberPhase.OPEN))


@attrs.frozen
class ServingHead:
    """A complete replica that accepts requests, and its head.

    The head is the member instance that receives the replica's requests.
    """

    replica: str
    epoch: int
    model: str
    head: ListedInstance
    members: tuple[str, ...]

    @property
    def id(self) -> str:
        """Return the id of the head instance."""
        return self.head.id

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the head instance."""
        return self.head.incarnation

    @property
    def replica_epoch(self) -> ReplicaEpoch:
        """Return the replica's name and epoch."""
        return (self.replica, self.epoch)


ModelKey = tuple[str, str]


@attrs.define
class ServingHeads:
    """Index of the serving replicas by service and model."""

    _by_key: dict[str, tuple[ModelKey, ServingHead]] = attrs.field(
        factory=dict,
        init=False,
    )
    _by_model: dict[ModelKey, dict[str, ServingHead]] = attrs.field(
        factory=dict,
        init=False,
    )
    _cache: dict[ModelKey, tuple[ServingHead, ...]] = attrs.field(
        factory=dict,
        init=False,
    )
    # The evacuated failure domains, whose heads the cache omits.
    _omitted: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def put(self, key: str, model: ModelKey, head: ServingHead) -> None:
        """Add or replace the head of a replica that serves."""
        self.drop(key)
        self._by_key[key] = (model, head)
        self._by_model.setdefault(model, {})[key] = head
        self._cache.pop(model, None)

    def drop(self, key: str) -> None:
        """Remove a replica that does not serve."""
        model, _head = self._by_key.pop(key, (None, None))
        if model is not None:
            self._by_model[model].pop(key)
            self._cache.pop(model, None)

    def of_model(
        self, model: ModelKey, evacuated: frozenset[str]
    ) -> tuple[ServingHead, ...]:
        """Return the heads of a model's replicas, except evacuated ones."""
        if evacuated is not self._omitted:
            self._omitted = evacuated
            self._cache.clear()
        heads = self._cache.get(model)
        if heads is None:
            heads = tuple(
                head
                for head in self._by_model.get(model, {}).values()
                if head.head.failure_domain not in evacuated
            )
            self._cache[model] = heads
        return heads

    def all_heads(self) -> list[ServingHead]:
        """Return the heads of all serving replicas."""
        return [head for _model, head in self._by_key.values()]


@attrs.define
class Fleet:
    """One node's view of instances and replicas.

    An instance whose entry has lapsed is kept separately for a while. It may
    be dead or only partitioned from the platform, in which case its replica
    still works.
    """

    instance_list: InstanceList = attrs.field(factory=InstanceList)
    evacuations: Evacuations = attrs.field(factory=Evacuations, init=False)
    replica_records: ReplicaRecords = attrs.field(
        factory=ReplicaRecords, init=False
    )
    _stopped: dict[ReplicaEpoch, str] = attrs.field(factory=dict, init=False)
    _closing: dict[ReplicaEpoch, str] = attrs.field(factory=dict, init=False)
    _heads: ServingHeads = attrs.field(factory=ServingHeads, init=False)
    # Records whose replica has to be re-evaluated before heads are returned.
    _stale_keys: set[str] = attrs.field(factory=set, init=False)

    @property
    def instances(self) -> Mapping[str, ListedInstance]:
        """Return the listed instances by id."""
        return self.instance_list.instances

    @property
    def lapsed(self) -> Mapping[str, ListedInstance]:
        """Return members whose entries lapsed recently, by id."""
        return self.instance_list.lapsed

    @property
    def records(self) -> Mapping[str, ReplicaRecord]:
        """Return the recorded replicas by row key."""
        return self.replica_records.records

    def apply_instances(
        self,
        items: Mapping[str, ListedInstance | None],
        is_complete: bool,
        grace_until: float = 0,
    ) -> None:
        """Apply changed entries of the platform's instance list.

        If many entries go missing at once, their instances are kept until
        ``grace_until``.
        """
        affected = set(items)
        if is_complete:
            affected.update(self.instances)
        self._stop_restarted(
            self.instance_list.apply(items, is_complete, grace_until)
        )
        self._stale_keys |= self.replica_records.keys_with_members(affected)

    def apply_restored_instances(
        self, items: Mapping[str, ListedInstance]
    ) -> None:
        """Apply the instance list of a store restored from a backup."""
        restarted = self.instance_list.apply_restored(items, since_boot())
        self._stop_restarted(restarted)
        self._stale_keys |= self.replica_records.keys_with_members(items)

    def process_timeouts(self) -> None:
        """Apply changes that were held back until their timeout passed."""
        now = since_boot()
        self._stale_keys |= self.replica_records.keys_with_members(
            (
                *self.instance_list.expire_missing(now),
                *self.instance_list.accept_unconfirmed(now),
            ),
        )
        restarted = self.instance_list.confirm_restarts()
        self._stop_restarted(restarted)
        self._stale_keys |= self.replica_records.keys_with_members(restarted)

    def apply_records(
        self,
        items: Mapping[str, ReplicaRecord | None],
        is_complete: bool,
        era: int = 0,
    ) -> None:
        """Apply changed replica records, by row key."""
        self._stale_keys.update(
            self.replica_records.take(items, is_complete, era)
        )
        self._forget_unrecorded()

    def mark_stopped(self, replica_epoch: ReplicaEpoch, reason: str) -> bool:
        """Mark a replica as stopped; return whether this is a change.

        No more requests are sent to it, and its requests in flight continue
        on other replicas.
        """
        if replica_epoch in self._stopped:
            return False
        self._stopped[replica_epoch] = reason
        self._log_transition('replica_stopped', replica_epoch, reason)
        return True

    def mark_closing(self, replica_epoch: ReplicaEpoch, reason: str) -> bool:
        """Mark a replica as closing; return whether this is a change.

        No more requests are sent to it, and its requests in flight finish
        there.
        """
        if replica_epoch in self._closing:
            return False
        self._closing[replica_epoch] = reason
        self._log_transition('replica_closing', replica_epoch, reason)
        return True

    def is_stopped(self, replica_epoch: ReplicaEpoch) -> bool:
        """Return whether a replica is known to have stopped."""
        return replica_epoch in self._stopped

    def find_instance(self, name: str) -> ListedInstance | None:
        """Return an instance, including one whose entry lapsed recently."""
        return self.instance_list.find_instance(name)

    def failure_domain_of(self, replica_epoch: ReplicaEpoch) -> str:
        """Return the failure domain that places a replica, if known."""
        record = self.replica_records.of(replica_epoch)
        return '' if record is None else record.failure_domain

    def is_open(self, record: ReplicaRecord) -> bool:
        """Return whether the instance list shows a replica's head as open."""
        head = self.find_instance(record.head)
        phase = head and head.phase_in(record.name, record.epoch)
        return phase is MemberPhase.OPEN

    def heads(self, service: str, model: str) -> tuple[ServingHead, ...]:
        """Return the heads of a model's serving replicas.

        Those in evacuated failure domains are omitted.
        """
        self._refresh_heads()
        return self._heads.of_model((service, model), self.evacuations.active())

    def available(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a plain service that accept requests.

        Those in evacuated failure domains are omitted.
        """
        instances = self.instance_list.available(service)
        evacuated = self.evacuations.active()
        if not evacuated:
            return instances
        return tuple(
            instance
            for instance in instances
            if instance.failure_domain not in evacuated
        )

    def all_heads(self) -> Iterable[ServingHead]:
        """Return the heads of all open replicas, including evacuated ones."""
        self._refresh_heads()
        return self._heads.all_heads()

    def _stop_restarted(self, names: Iterable[str]) -> None:
        """Stop the replicas that had a member which has restarted.

        Their streams move to other replicas at once instead of after a period
        of silence.
        """
        for name in names:
            for record in list(self.replica_records.records_with_member(name)):
                if any(
                    map(self.instance_list.is_superseded, record.incarnations)
                ):
                    replica_epoch = (record.name, record.epoch)
                    self.mark_stopped(replica_epoch, f'{name} has restarted')

    def _refresh_heads(self) -> None:
        """Re-evaluate the replicas whose record or members have changed."""
        for key in self._stale_keys:
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
        self._stale_keys.clear()

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

    def _forget_unrecorded(self) -> None:
        for marked in (self._stopped, self._closing):
            for replica_epoch in list(marked):
                if not self.replica_records.is_recorded(replica_epoch):
                    marked.pop(replica_epoch)
        self.instance_list.forget_lapsed(self.replica_records.keys_by_member)

    def _log_transition(
        self, event: str, replica_epoch: ReplicaEpoch, reason: str
    ) -> None:
        log_decision(
            event, replica=replica_epoch[0], epoch=replica_epoch[1], why=reason
        )
        record = self.replica_records.of(replica_epoch)
        if record is not None:
            self._stale_keys.add(record.key)


def _is_present(
    member: ListedInstance | None, replica_epoch: ReplicaEpoch
) -> bool:
    return (
        member is not None
        and not member.leaving
        and member.phase_in(*replica_epoch) in _PRESENT_PHASES
    )
