"""The instances, the replicas recorded, and which of them serve."""

from collections.abc import Iterable, Mapping

import attrs

from cranecart.fleet._records import RecordState, ReplicaRecord
from cranecart.logs import decision
from cranecart.ports import ListedInstance, MemberPhase

_PRESENT = frozenset((MemberPhase.READY, MemberPhase.OPEN))

# Keys of dropped rows that are remembered; a feed is never further behind.
_MOST_DROPPED = 256

Forming = tuple[str, int]


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
    def forming(self) -> Forming:
        """Return what tells this forming of the replica from others."""
        return (self.replica, self.epoch)


@attrs.define
class Fleet:
    """One node's knowledge of instances and replicas.

    An instance whose entry went is kept apart for a while: it may be dead,
    or only cut off from the platform, and its replica may still work.
    """

    instances: dict[str, ListedInstance] = attrs.field(
        factory=dict,
        init=False,
    )
    lapsed: dict[str, ListedInstance] = attrs.field(factory=dict, init=False)
    records: dict[str, ReplicaRecord] = attrs.field(factory=dict, init=False)
    _dropped: dict[str, None] = attrs.field(factory=dict, init=False)
    _stopped: dict[Forming, str] = attrs.field(factory=dict, init=False)
    _closing: dict[Forming, str] = attrs.field(factory=dict, init=False)
    _heads: dict[tuple[str, str], tuple[ServingHead, ...]] | None = attrs.field(
        default=None, init=False
    )

    def take_instances(
        self,
        items: Mapping[str, ListedInstance | None],
        is_whole: bool,
    ) -> None:
        """Take over changed entries of the platform's list."""
        gone = {name for name, item in items.items() if item is None}
        if is_whole:
            gone.update(self.instances.keys() - items.keys())
        for name in gone & self.instances.keys():
            self.lapsed[name] = self.instances.pop(name)
            decision('instance_lapsed', instance=name)
        for name, item in items.items():
            if item is not None:
                self.instances[name] = self._with_memory(name, item)
                self.lapsed.pop(name, None)
        self._heads = None

    def take_records(
        self,
        items: Mapping[str, ReplicaRecord | None],
        is_whole: bool,
    ) -> None:
        """Take over changed rows of replicas, by the keys of their rows.

        What this node wrote itself may be newer than what it reads.
        """
        if is_whole:
            for key in self.records.keys() - items.keys():
                self._drop(key)
        for key, record in items.items():
            if record is None:
                self._drop(key)
            elif self._is_news(key, record):
                self.records[key] = record
        self._forget()
        self._heads = None

    def drop_record(self, key: str) -> None:
        """Take over that this node dropped a replica's row."""
        self._drop(key)
        self._forget()
        self._heads = None

    def stop(self, forming: Forming, reason: str) -> bool:
        """Take over that a replica stands still; return whether it is news.

        Nothing more is sent to it, and what it has goes on elsewhere.
        """
        if forming in self._stopped:
            return False
        self._stopped[forming] = reason
        self._tell('replica_stopped', forming, reason)
        return True

    def close(self, forming: Forming, reason: str) -> bool:
        """Take over that a replica finishes; return whether it is news.

        Nothing more is sent to it, and what it has ends there.
        """
        if forming in self._closing:
            return False
        self._closing[forming] = reason
        self._tell('replica_closing', forming, reason)
        return True

    def is_stopped(self, forming: Forming) -> bool:
        """Tell whether a replica is known to have stopped."""
        return forming in self._stopped

    def known(self, name: str) -> ListedInstance | None:
        """Return an instance, also one whose entry has gone lately."""
        return self.instances.get(name) or self.lapsed.get(name)

    def failure_domain_of(self, forming: Forming) -> str:
        """Return the failure domain whose placer a replica has, if known."""
        for record in self.records.values():
            if (record.name, record.epoch) == forming:
                return record.failure_domain
        return ''

    def is_open(self, record: ReplicaRecord) -> bool:
        """Tell whether the list shows a replica's head open."""
        head = self.known(record.head)
        phase = head and head.phase_in(record.name, record.epoch)
        return phase is MemberPhase.OPEN

    def is_forming(self, service: str, model: str) -> bool:
        """Tell whether a replica of a model is recorded that is not open."""
        return any(
            record.service == service
            and record.model == model
            and record.state is RecordState.SERVING
            for record in self.records.values()
        )

    def heads(self, service: str, model: str) -> tuple[ServingHead, ...]:
        """Return the whole replicas of a model that take requests."""
        if self._heads is None:
            self._heads = self._assemble()
        return self._heads.get((service, model), ())

    def plain(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a plain service that take requests."""
        return tuple(
            instance
            for instance in self.instances.values()
            if instance.service == service and not instance.leaving
        )

    def all_heads(self) -> Iterable[ServingHead]:
        """Return all whole replicas that take requests."""
        if self._heads is None:
            self._heads = self._assemble()
        return [head for heads in self._heads.values() for head in heads]

    def _with_memory(
        self,
        name: str,
        item: ListedInstance,
    ) -> ListedInstance:
        """Keep the model of an instance's last membership in mind.

        One that has left its replica lists none, but joins another of the
        same model as quickly as before.
        """
        known = self.known(name)
        if known is None or item.loaded:
            return item
        return attrs.evolve(item, loaded=known.loaded)

    def _drop(self, key: str) -> None:
        self.records.pop(key, None)
        # A name is never used again, so what comes late of it is old.
        self._dropped[key] = None
        for oldest in list(self._dropped)[:-_MOST_DROPPED]:
            self._dropped.pop(oldest)

    def _is_news(self, key: str, record: ReplicaRecord) -> bool:
        known = self.records.get(key)
        if key in self._dropped:
            return False
        return known is None or record.version >= known.version

    def _assemble(self) -> dict[tuple[str, str], tuple[ServingHead, ...]]:
        found: dict[tuple[str, str], tuple[ServingHead, ...]] = {}
        for record in self.records.values():
            if self._is_serving(record):
                key = (record.service, record.model)
                head = ServingHead(
                    record.name,
                    record.epoch,
                    record.model,
                    self.instances[record.head],
                    record.members,
                )
                found[key] = (*found.get(key, ()), head)
        return found

    def _is_serving(self, record: ReplicaRecord) -> bool:
        forming = (record.name, record.epoch)
        head = self.instances.get(record.head)
        if record.state is not RecordState.SERVING or head is None:
            return False
        if forming in self._stopped or forming in self._closing:
            return False
        return head.phase_in(*forming) is MemberPhase.OPEN and all(
            self._is_present(name, forming) for name in record.members
        )

    def _is_present(self, name: str, forming: Forming) -> bool:
        member = self.known(name)
        return (
            member is not None
            and not member.leaving
            and member.phase_in(*forming) in _PRESENT
        )

    def _forget(self) -> None:
        formings = {
            (record.name, record.epoch) for record in self.records.values()
        }
        for told in (self._stopped, self._closing):
            for forming in told.keys() - formings:
                told.pop(forming)
        members = {
            name for record in self.records.values() for name in record.members
        }
        self.lapsed = {
            name: instance
            for name, instance in self.lapsed.items()
            if name in members
        }

    def _tell(self, event: str, forming: Forming, reason: str) -> None:
        decision(event, replica=forming[0], epoch=forming[1], why=reason)
        self._heads = None
