"""Probe other nodes in turn, and let every message carry news.

Each period a node pings one other of its failure domain; a ping that is not
answered is tried through two others before the node is suspected. Pings and
their answers carry entries, so the cost a node does not grow with the domain.
"""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.gossip._config_exchange import ConfigExchange
from cranecart.gossip._entries import (
    Entry,
    EntryKey,
    MemberStatus,
    Message,
    MessageKind,
    Topic,
)
from cranecart.gossip._list_exchange import ListExchange
from cranecart.gossip._prober import Prober
from cranecart.gossip._sender import GossipSender
from cranecart.logs import decision
from cranecart.transport import PeerTransport

_SYNC_AFTER = 4
_SYNC_SECONDS = 3.0
_PAUSE_SECONDS = 1.5
_FAR_PERIODS = 4
_ISOLATED_SECONDS = 2.5


@attrs.frozen
class GossipSettings:
    """Timing of the probing, in seconds, and where to find the first peers."""

    seeds: Sequence[str] = ()
    period_seconds: float = 0.5
    answer_seconds: float = 0.3


@attrs.frozen
class PayloadExchanges:
    """What nodes get from each other besides entries."""

    config: ConfigExchange
    instances: ListExchange


@attrs.frozen
class GossipCallbacks:
    """Whom to tell: of each new entry, and of a pause of this node."""

    entry_accepted: Callable[[Entry], None]
    was_paused: Callable[[], None]


_OF_ALL_DOMAINS = frozenset((Topic.SUMMARY, Topic.CASE))


class GossipProtocol:
    """The part of a node that talks to other nodes."""

    def __init__(
        self,
        speaker: GossipSender,
        link: PeerTransport[Message],
        settings: GossipSettings,
        exchanges: PayloadExchanges,
        events: GossipCallbacks,
        source: random.Random,
    ) -> None:
        """Keep the parts; nothing is sent until ``run``."""
        self._speaker = speaker
        self._store = speaker.store
        self._members = speaker.members
        self._link = link
        self._settings = settings
        self._config = exchanges.config
        self._instances = exchanges.instances
        self._events = events
        self._random = source
        self._turns = Prober(speaker, source, settings.answer_seconds)
        self._listed: tuple[str, ...] = ()
        self._sequence = 0
        self._dropped_at_change = -1
        self._mismatches = 0
        self._synced_at = float('-inf')
        self._heard_at = since_boot()

    @property
    def is_isolated(self) -> bool:
        """Tell whether there are other nodes but none has been heard."""
        silence = since_boot() - self._heard_at
        return silence > _ISOLATED_SECONDS and bool(self._members.others())

    async def run(self) -> None:
        """Hear and probe until cancelled."""
        self._members.announce()
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._hear)
            await tasks.spawn(self._probe_in_turn)

    def publish(self, topic: Topic, subject: str, body: Any) -> None:
        """Spread an entry of this node's to the others of its domain."""
        self._sequence += 1
        entry = Entry(
            EntryKey(topic, subject, self._members.node_id),
            (self._members.incarnation, 0, self._sequence),
            body,
        )
        self._store.accept(entry)

    def find_by_list(self, addresses: Sequence[str]) -> None:
        """Take over the addresses of nodes that the platform lists."""
        self._listed = tuple(addresses)

    async def _probe_in_turn(self) -> None:
        for number in itertools.count():
            before = since_boot()
            await curio.sleep(self._settings.period_seconds)
            if since_boot() - before > _PAUSE_SECONDS:
                self._wake_up()
            self._members.expire()
            self._drop_entries_of_dead()
            self._greet(number)
            self._config.look_around()
            await self._turns.probe_next()

    def _wake_up(self) -> None:
        decision('own_pause_noticed', node=self._members.node_id)
        self._members.rise()
        self._members.restart_clocks()
        self._events.was_paused()
        # What others found is taken in anew when they tell it again.
        self._store.forget(
            entry.key
            for entry in self._store.of_topic(Topic.REPORT)
            if entry.key.origin != self._members.node_id
        )
        addresses = sorted(self._members.addresses())
        if addresses:
            chosen = self._random.choice(addresses)
            self._speaker.send(chosen, MessageKind.SYNC)

    def _drop_entries_of_dead(self) -> None:
        if self._dropped_at_change == self._store.member_changes:
            return
        self._dropped_at_change = self._store.member_changes
        # Entries may arrive before their origin's own; those are kept.
        self._store.forget(
            entry.key
            for entry in self._store.every()
            if entry.key.topic in {Topic.REPORT, Topic.DEMAND}
            and self._members.status(entry.key.origin) is MemberStatus.DEAD
        )

    def _greet(self, number: int) -> None:
        """Greet one node of another domain, or one not met yet, at times.

        The dead are greeted too, as they may only have been cut off.
        """
        near = self._members.addresses()
        strangers = sorted(
            {*self._settings.seeds, *self._listed}
            - near
            - {self._members.info.address},
        )
        if strangers and (not near or number % _FAR_PERIODS == 0):
            address = self._random.choice(strangers)
            self._speaker.send(address, MessageKind.PING)

    async def _hear(self) -> None:
        while True:
            message = await self._link.receive()
            self._heard_at = since_boot()
            self._take_entries(message)
            await self._answer(message)

    def _take_entries(self, message: Message) -> None:
        is_near = message.failure_domain == self._members.info.failure_domain
        for entry in message.entries:
            if entry.key.topic is Topic.MEMBER:
                self._config.look_at(entry)
            # Of other domains nothing else is kept.
            is_wanted = is_near or entry.key.topic in _OF_ALL_DOMAINS
            if is_wanted and self._store.accept(entry):
                self._accepted(entry)

    def _accepted(self, entry: Entry) -> None:
        if entry.key.topic is Topic.MEMBER:
            self._members.note(entry)
        self._events.entry_accepted(entry)

    async def _answer(self, message: Message) -> None:
        match message.kind:
            case MessageKind.PING:
                self._speaker.send(
                    message.address,
                    MessageKind.ACK,
                    number=message.number,
                )
                self._compare(message)
            case MessageKind.ACK:
                self._compare(message)
                self._instances.ask(message.address)
                await self._turns.note_ack(message.number)
            case MessageKind.PING_FOR_ME:
                self._turns.help(message)
            case MessageKind.SYNC:
                self._speaker.send_everything(message.address)
            case MessageKind.CONFIG_ASK:
                self._config.give(message)
            case MessageKind.CONFIG_GIVE:
                self._config.receive(message)
            case MessageKind.LIST_ASK:
                self._instances.give(message)
            case MessageKind.LIST_GIVE:
                self._instances.receive(message)

    def _compare(self, message: Message) -> None:
        """Ask for everything where two nodes of a domain keep differing."""
        if message.failure_domain != self._members.info.failure_domain:
            return
        if message.digest == self._store.digest:
            self._mismatches = 0
            return
        self._mismatches += 1
        is_stranger = message.sender not in self._members.others()
        if is_stranger or self._mismatches >= _SYNC_AFTER:
            self._ask_for_everything(message.address)

    def _ask_for_everything(self, address: str) -> None:
        now = since_boot()
        if now - self._synced_at > _SYNC_SECONDS:
            self._mismatches = 0
            self._synced_at = now
            self._speaker.send(address, MessageKind.SYNC)
