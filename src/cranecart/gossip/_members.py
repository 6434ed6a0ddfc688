"""SWIM membership: alive, suspect and dead nodes, with incarnations."""

from collections.abc import Callable, Iterator, Mapping

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.gossip._entries import (
    Entry,
    EntryKey,
    MemberInfo,
    MemberStatus,
    Topic,
)
from cranecart.gossip._store import EntryStore
from cranecart.logs import log_decision

_SUSPICION_TIMEOUT_SECONDS = 2.5
_DEAD_ENTRY_SECONDS = 60.0


def member_key(node_id: str) -> EntryKey:
    """Return the key of a node's member entry."""
    return EntryKey(Topic.MEMBER, node_id, node_id)


@attrs.define
class Members:
    """The member entries of a store, with suspicion time-outs.

    A node that is reported suspect or dead raises its own incarnation, which
    overrides all statements about the previous one.
    """

    node_id: str
    info: MemberInfo
    _store: EntryStore
    _incarnation: int
    _clock: Callable[[], float] = since_boot
    _seen_changes: int = attrs.field(default=-1, init=False)
    _others: dict[str, MemberInfo] = attrs.field(factory=dict, init=False)
    _alive: list[str] = attrs.field(factory=list, init=False)
    _sequence: int = attrs.field(default=0, init=False)
    _changed_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _last_status: dict[str, MemberStatus] = attrs.field(
        factory=dict,
        init=False,
    )

    @property
    def incarnation(self) -> int:
        """Return the current incarnation of this node."""
        return self._incarnation

    def announce(self, info: MemberInfo | None = None) -> None:
        """Publish this node's member entry, if ``info`` differs.

        Without ``info`` the entry is published again with a new version.
        """
        if info is not None:
            if info == self.info:
                return
            self.info = info
        self._sequence += 1
        version = (self._incarnation, MemberStatus.ALIVE, self._sequence)
        self._store.accept(
            Entry(
                member_key(self.node_id),
                version,
                msgspec.to_builtins(self.info),
            ),
        )

    def start_incarnation(self, above: int = 0) -> None:
        """Start a new incarnation, which overrides the earlier ones."""
        self._incarnation = max(self._incarnation, above) + 1
        self.announce()

    def handle_update(self, entry: Entry) -> None:
        """Process a member entry that the store has just accepted."""
        name = entry.key.subject
        if name == self.node_id:
            must_refute = entry.status is not MemberStatus.ALIVE
            if must_refute or entry.version[0] > self._incarnation:
                self.start_incarnation(entry.version[0])
            return
        self._changed_at[name] = self._clock()
        if self._last_status.get(name) is not entry.status:
            self._last_status[name] = entry.status
            log_decision(
                'member_changed',
                member=name,
                status=entry.status.name.lower(),
                incarnation=entry.version[0],
            )

    def suspect(self, node_id: str) -> None:
        """Mark a node suspect after direct and indirect pings failed."""
        self._raise_status(node_id, MemberStatus.SUSPECT)

    def expire(self) -> None:
        """Mark long-suspected nodes dead and remove long-dead ones."""
        now = self._clock()
        for entry in list(self._store.of_topic(Topic.MEMBER)):
            name = entry.key.subject
            self._expire(entry, now - self._changed_at.get(name, now))

    def restart_suspicion_timers(self) -> None:
        """Restart all suspicion time-outs, after a pause of this node."""
        self._changed_at = dict.fromkeys(self._changed_at, self._clock())

    def addresses(self) -> set[str]:
        """Return the addresses of the other members."""
        return {info.address for info in self.others().values()}

    def others(self) -> Mapping[str, MemberInfo]:
        """Return the other nodes of this failure domain that are not dead."""
        self._refresh()
        return self._others

    def alive(self) -> list[str]:
        """Return the ids of the alive nodes and this one, without suspects."""
        self._refresh()
        return self._alive

    def all_members(self) -> Iterator[tuple[str, MemberInfo]]:
        """Yield this node and the others, including suspects."""
        yield self.node_id, self.info
        yield from self.others().items()

    def status(self, node_id: str) -> MemberStatus | None:
        """Return the status of a node, if it is known."""
        entry = self._store.get(member_key(node_id))
        return entry.status if entry else None

    def _refresh(self) -> None:
        """Rebuild the cached views if a member entry has changed."""
        if self._seen_changes == self._store.member_changes:
            return
        self._seen_changes = self._store.member_changes
        entries = [
            entry
            for entry in self._store.of_topic(Topic.MEMBER)
            if entry.key.subject != self.node_id
            and entry.status is not MemberStatus.DEAD
        ]
        self._others = {
            entry.key.subject: msgspec.convert(entry.body, MemberInfo)
            for entry in entries
        }
        unsuspected = [
            entry.key.subject
            for entry in entries
            if entry.status is MemberStatus.ALIVE
        ]
        self._alive = sorted([self.node_id, *unsuspected])

    def _expire(self, entry: Entry, age: float) -> None:
        name = entry.key.subject
        match entry.status:
            case MemberStatus.SUSPECT if age > _SUSPICION_TIMEOUT_SECONDS:
                self._raise_status(name, MemberStatus.DEAD)
            case MemberStatus.DEAD if age > _DEAD_ENTRY_SECONDS:
                self._store.remove([entry.key])
                self._changed_at.pop(name, None)

    def _raise_status(self, node_id: str, status: MemberStatus) -> None:
        known = self._store.get(member_key(node_id))
        if known is None or known.status >= status:
            return
        incarnation, _, sequence = known.version
        entry = Entry(
            known.key,
            (incarnation, status, sequence),
            known.body,
        )
        if self._store.accept(entry):
            self.handle_update(entry)
