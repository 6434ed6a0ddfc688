"""The instances, the replicas recorded, and which of them serve."""

from collections.abc import Iterable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet._listing import Listing
from cranecart.fleet._recorded import Forming, Recorded
from cranecart.fleet._records import RecordState, ReplicaRecord
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
    def forming(self) -> Forming:
        """Return what tells this forming of the replica from others."""
        return (self.replica, self.epoch)


ModelKey = tuple[str, str]


@attrs.define
class Heads:
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

    listing: Listing = attrs.field(factory=Listing)
    recorded: Recorded = attrs.field(factory=Recorded, init=False)
    _stopped: dict[Forming, str] = attrs.field(factory=dict, init=False)
    _closing: dict[Forming, str] = attrs.field(factory=dict, init=False)
    _heads: Heads = attrs.field(factory=Heads, init=False)
    # Keys of records that have to be looked at before heads are told.
    _changed: set[str] = attrs.field(factory=set, init=False)

    @property
    def instances(self) -> Mapping[str, ListedInstance]:
        """Return the listed instances by id."""
        return self.listing.instances

    @property
    def lapsed(self) -> Mapping[str, ListedInstance]:
        """Return members whose entries went lately, by id."""
        return self.listing.lapsed

    @property
    def records(self) -> Mapping[str, ReplicaRecord]:
        """Return the recorded replicas by the keys of their rows."""
        return self.recorded.records

    def take_instances(
        self,
        items: Mapping[str, ListedInstance | None],
        is_whole: bool,
        kept_until: float = 0,
    ) -> None:
        """Take over changed entries of the platform's list.

        Many that are missing at once are kept until ``kept_until``.
        """
        touched = set(items)
        if is_whole:
            touched.update(self.instances)
        self._begin_lives(self.listing.take(items, is_whole, kept_until))
        self._changed |= self.recorded.keys_naming(touched)

    def restore_instances(self, items: Mapping[str, ListedInstance]) -> None:
        """Take over a list of a store that has come back from a copy."""
        anew = self.listing.restore(items, since_boot())
        self._begin_lives(anew)
        self._changed |= self.recorded.keys_naming(items)

    def settle_lives(self) -> None:
        """Believe entries that have stood, or been missed, for long."""
        now = since_boot()
        self._changed |= self.recorded.keys_naming(
            (
                *self.listing.lapse_missing(now),
                *self.listing.admit_awaited(now),
            ),
        )
        anew = self.listing.settle_lives()
        self._begin_lives(anew)
        self._changed |= self.recorded.keys_naming(anew)

    def take_records(
        self,
        items: Mapping[str, ReplicaRecord | None],
        is_whole: bool,
        era: int = 0,
    ) -> None:
        """Take over changed rows of replicas, by the keys of their rows."""
        self._changed.update(self.recorded.take(items, is_whole, era))
        self._forget()

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
        return self.listing.known(name)

    def failure_domain_of(self, forming: Forming) -> str:
        """Return the failure domain whose placer a replica has, if known."""
        record = self.recorded.of(forming)
        return '' if record is None else record.failure_domain

    def is_open(self, record: ReplicaRecord) -> bool:
        """Tell whether the list shows a replica's head open."""
        head = self.known(record.head)
        phase = head and head.phase_in(record.name, record.epoch)
        return phase is MemberPhase.OPEN

    def heads(self, service: str, model: str) -> tuple[ServingHead, ...]:
        """Return the whole replicas of a model that take requests."""
        self._look()
        return self._heads.of_model((service, model))

    def plain(self, service: str) -> tuple[ListedInstance, ...]:
        """Return the instances of a plain service that take requests."""
        return self.listing.plain(service)

    def all_heads(self) -> Iterable[ServingHead]:
        """Return all whole replicas that take requests."""
        self._look()
        return self._heads.every()

    def _begin_lives(self, names: Iterable[str]) -> None:
        """Stop the replicas of lives that have ended.

        Streams leave them at once, and not only once they have been silent.
        """
        for name in names:
            for record in list(self.recorded.naming_one(name)):
                if any(map(self.listing.is_superseded, record.incarnations)):
                    forming = (record.name, record.epoch)
                    self.stop(forming, f'{name} lives anew')

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
        forming = (record.name, record.epoch)
        head = self.instances.get(record.head)
        if record.state is not RecordState.SERVING or head is None:
            return False
        if forming in self._stopped or forming in self._closing:
            return False
        return head.phase_in(*forming) is MemberPhase.OPEN and all(
            _is_present(self.known(name), forming) for name in record.members
        )

    def _forget(self) -> None:
        for told in (self._stopped, self._closing):
            for forming in list(told):
                if not self.recorded.is_recorded(forming):
                    told.pop(forming)
        self.listing.forget_lapsed(self.recorded.naming)

    def _tell(self, event: str, forming: Forming, reason: str) -> None:
        decision(event, replica=forming[0], epoch=forming[1], why=reason)
        record = self.recorded.of(forming)
        if record is not None:
            self._changed.add(record.key)


def _is_present(member: ListedInstance | None, forming: Forming) -> bool:
    return (
        member is not None
        and not member.leaving
        and member.phase_in(*forming) in _PRESENT
    )
