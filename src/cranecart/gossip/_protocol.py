"""SWIM protocol loop: failure detection with entries piggybacked on pings.

Each period a node pings one other node of its failure domain. If the ping is
not acknowledged, two other nodes are asked to ping it before it is suspected.
Pings and acknowledgements carry entries, so the traffic of a node does not
grow with the number of nodes in the domain.
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
from cranecart.logs import log_decision
from cranecart.transport import PeerTransport

_SYNC_AFTER_MISMATCHES = 4
_SYNC_INTERVAL_SECONDS = 3.0
_PAUSE_THRESHOLD_SECONDS = 1.5
_NON_MEMBER_PING_PERIODS = 4
_ISOLATION_SILENCE_SECONDS = 2.5


@attrs.frozen
class GossipSettings:
    """Addresses of the first peers to contact, and the timing of probes."""

    seeds: Sequence[str] = ()
    period_seconds: float = 0.5
    ack_timeout_seconds: float = 0.3


@attrs.frozen
class PayloadExchanges:
    """What nodes fetch from each other besides entries, in message payloads."""

    config: ConfigExchange
    instances: ListExchange


@attrs.frozen
class GossipCallbacks:
    """Called for each accepted entry, and after a pause of this process."""

    on_entry_accepted: Callable[[Entry], None]
    on_paused: Callable[[], None]


_CROSS_DOMAIN_TOPICS = frozenset((Topic.SUMMARY, Topic.CASE))


class GossipProtocol:
    """Runs failure detection and the exchange of entries with other nodes."""

    def __init__(
        self,
        sender: GossipSender,
        transport: PeerTransport[Message],
        settings: GossipSettings,
        exchanges: PayloadExchanges,
        callbacks: GossipCallbacks,
        random_source: random.Random,
    ) -> None:
        """Set up the protocol; nothing is sent until ``run``."""
        self._sender = sender
        self._store = sender.store
        self._members = sender.members
        self._transport = transport
        self._settings = settings
        self._config_exchange = exchanges.config
        self._list_exchange = exchanges.instances
        self._callbacks = callbacks
        self._random = random_source
        self._prober = Prober(
            sender, random_source, settings.ack_timeout_seconds
        )
        self._listed_addresses: tuple[str, ...] = ()
        self._sequence = 0
        self._member_changes_at_removal = -1
        self._digest_mismatches = 0
        self._sync_requested_at = float('-inf')
        self._last_received_at = since_boot()

    @property
    def is_isolated(self) -> bool:
        """Return whether there are other members but no recent message."""
        silence = since_boot() - self._last_received_at
        return silence > _ISOLATION_SILENCE_SECONDS and bool(
            self._members.others()
        )

    async def run(self) -> None:
        """Receive messages and probe other nodes until cancelled."""
        self._members.announce()
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._receive)
            await tasks.spawn(self._probe_periodically)

    def publish(self, topic: Topic, subject: str, body: Any) -> None:
        """Publish an entry of this node to the other nodes."""
        self._sequence += 1
        entry = Entry(
            EntryKey(topic, subject, self._members.node_id),
            (self._members.incarnation, 0, self._sequence),
            body,
        )
        self._store.accept(entry)

    def replace_listed_addresses(self, addresses: Sequence[str]) -> None:
        """Replace the addresses of nodes that the platform lists."""
        self._listed_addresses = tuple(addresses)

    async def _probe_periodically(self) -> None:
        for period in itertools.count():
            before = since_boot()
            await curio.sleep(self._settings.period_seconds)
            if since_boot() - before > _PAUSE_THRESHOLD_SECONDS:
                self._recover_from_pause()
            self._members.expire()
            self._remove_entries_of_dead_nodes()
            self._ping_non_member(period)
            self._config_exchange.check_peers()
            await self._prober.probe_next()

    def _recover_from_pause(self) -> None:
        log_decision('own_pause_noticed', node=self._members.node_id)
        self._members.start_incarnation()
        self._members.restart_suspicion_timers()
        self._callbacks.on_paused()
        # Reports of other nodes are accepted again when they are resent.
        self._store.remove(
            entry.key
            for entry in self._store.of_topic(Topic.REPORT)
            if entry.key.origin != self._members.node_id
        )
        addresses = sorted(self._members.addresses())
        if addresses:
            chosen = self._random.choice(addresses)
            self._sender.send(chosen, MessageKind.SYNC)

    def _remove_entries_of_dead_nodes(self) -> None:
        if self._member_changes_at_removal == self._store.member_changes:
            return
        self._member_changes_at_removal = self._store.member_changes
        # An entry may arrive before its origin's member entry, so those of
        # unknown origin are kept.
        self._store.remove(
            entry.key
            for entry in self._store.all_entries()
            if entry.key.topic in {Topic.REPORT, Topic.DEMAND}
            and self._members.status(entry.key.origin) is MemberStatus.DEAD
        )

    def _ping_non_member(self, period: int) -> None:
        """Ping a random address that is not a member's, every few periods.

        These belong to nodes of other domains, nodes that are not known yet,
        and dead nodes, which may only have been partitioned.
        """
        domain_addresses = self._members.addresses()
        non_members = sorted(
            {*self._settings.seeds, *self._listed_addresses}
            - domain_addresses
            - {self._members.info.address},
        )
        if non_members and (
            not domain_addresses or period % _NON_MEMBER_PING_PERIODS == 0
        ):
            address = self._random.choice(non_members)
            self._sender.send(address, MessageKind.PING)

    async def _receive(self) -> None:
        while True:
            message = await self._transport.receive()
            self._last_received_at = since_boot()
            self._accept_entries(message)
            await self._handle_message(message)

    def _accept_entries(self, message: Message) -> None:
        is_same_domain = (
            message.failure_domain == self._members.info.failure_domain
        )
        for entry in message.entries:
            if entry.key.topic is Topic.MEMBER:
                self._config_exchange.check_member_entry(entry)
            # From other failure domains only these topics are accepted.
            is_wanted = (
                is_same_domain or entry.key.topic in _CROSS_DOMAIN_TOPICS
            )
            if is_wanted and self._store.accept(entry):
                self._handle_accepted(entry)

    def _handle_accepted(self, entry: Entry) -> None:
        if entry.key.topic is Topic.MEMBER:
            self._members.handle_update(entry)
        self._callbacks.on_entry_accepted(entry)

    async def _handle_message(self, message: Message) -> None:
        match message.kind:
            case MessageKind.PING:
                self._sender.send(
                    message.address,
                    MessageKind.ACK,
                    number=message.number,
                )
                self._compare_digests(message)
            case MessageKind.ACK:
                self._compare_digests(message)
                self._list_exchange.request_if_missing(message.address)
                await self._prober.handle_ack(message.number)
            case MessageKind.INDIRECT_PING:
                self._prober.ping_for_peer(message)
            case MessageKind.SYNC:
                self._sender.send_full_state(message.address)
            case MessageKind.CONFIG_REQUEST:
                self._config_exchange.respond(message)
            case MessageKind.CONFIG_RESPONSE:
                self._config_exchange.receive(message)
            case MessageKind.LIST_REQUEST:
                self._list_exchange.respond(message)
            case MessageKind.LIST_RESPONSE:
                self._list_exchange.receive(message)

    def _compare_digests(self, message: Message) -> None:
        """Request a full sync if digests keep differing within a domain."""
        if message.failure_domain != self._members.info.failure_domain:
            return
        if message.digest == self._store.digest:
            self._digest_mismatches = 0
            return
        self._digest_mismatches += 1
        is_new_sender = message.sender not in self._members.others()
        if is_new_sender or self._digest_mismatches >= _SYNC_AFTER_MISMATCHES:
            self._request_full_sync(message.address)

    def _request_full_sync(self, address: str) -> None:
        now = since_boot()
        if now - self._sync_requested_at > _SYNC_INTERVAL_SECONDS:
            self._digest_mismatches = 0
            self._sync_requested_at = now
            self._sender.send(address, MessageKind.SYNC)
