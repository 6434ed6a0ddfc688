"""Exchange state between all nodes, without the platform.

Each node periodically sends heartbeats that carry its state. In a small
deployment they go to all other nodes. In a larger one they go to the relay of
the failure domain, which sends a digest of them to all nodes there and a summary
to the relays of the other failure domains (docs/design/platform.md). Urgent
messages are sent at once, not with the heartbeats.
"""

import logging
from collections import Counter
from collections.abc import Callable, Mapping

import curio

from cranecart.clocks import RunningClock
from cranecart.mesh._handler import MessageHandler
from cranecart.mesh._messages import MeshMessage, SourceUpdateMessage, Stopped
from cranecart.mesh._roster import PeerNode
from cranecart.mesh._sender import MessageSender
from cranecart.mesh._state import LocalState, MeshCallbacks, MeshState
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.transport import PeerTransport

_LOG = logging.getLogger(__name__)

# Bounds the age of the counts of requests in flight; a stream lasts about a
# second in the deployments' specifications.
_HEARTBEAT_SECONDS = 0.25
# How long before the relay's next digest the nodes of its failure domain send
# their heartbeats to it, so that counts are hardly older than if sent directly. A
# relay handles some thirty heartbeats in a few milliseconds.
_RELAY_LEAD_SECONDS = 0.04
# Peers whose heartbeats no longer arrive are sent only one in this many heartbeats.
_SILENT_PEER_HEARTBEATS = 8
# Connections used only for urgent messages are closed after this time.
_IDLE_CONNECTION_SECONDS = 10.0


class Mesh:
    """The view of the other nodes, and the means to send to them."""

    def __init__(
        self,
        local: LocalState,
        transport: PeerTransport[MeshMessage],
        callbacks: MeshCallbacks,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Start without peers; heartbeats are sent only in ``run``."""
        self.local = local
        # After a pause of this process all other nodes would seem silent.
        self.running_clock = RunningClock()
        self.state = MeshState(local, clock or self.running_clock)
        self.message_sender = MessageSender(self.state, transport, callbacks)
        self.message_handler = MessageHandler(self.state, transport, callbacks)
        self._transport = transport
        self._peer_state = self.state.peer_state
        self._roster = self.state.roster

    async def run(self) -> None:
        """Receive messages and send heartbeats until cancelled."""
        receiving = await curio.spawn(self._receive, daemon=True)
        ticking = await curio.spawn(self.running_clock.run, daemon=True)
        try:
            await self._send_heartbeats()
        finally:
            await ticking.cancel()
            await receiving.cancel()

    def close(self) -> None:
        """Close the sockets."""
        self._transport.close()

    def update_peers(
        self,
        items: Mapping[str, PeerNode | None],
        is_complete: bool,
    ) -> None:
        """Add and remove peers as listed in the store.

        If ``is_complete``, peers that are not listed are removed.
        """
        if is_complete:
            for node_id in self._roster.peers.keys() - items.keys():
                self._roster.remove(node_id)
        for name, peer in items.items():
            if peer is None:
                self._remove_peer(name)
            elif name != self.local.node_id:
                self._roster.add(name, peer)

    def broadcast(self, message: MeshMessage) -> None:
        """Send a message directly to all nodes, without relays."""
        self._transport.send_all(
            self._roster.all_addresses(include_silent=True), message
        )

    def publish_stopped(self, message: Stopped) -> None:
        """Notify all nodes that a replica has stopped.

        Heartbeats and summaries repeat the notice for nodes that it does not reach
        through a relay. When it was sent directly to each of 195 nodes, every
        sender kept a connection to every other node, each with heartbeats.
        """
        self.state.stop_notices.add(message)
        self.message_sender.publish(message, include_silent=True)

    def publish(
        self,
        message: RequestCases | Broken | Leaving | TargetLimits,
    ) -> None:
        """Send a message about targets or requests to all nodes."""
        self.message_sender.publish(message, include_silent=True)

    def publish_update(self, message: SourceUpdateMessage) -> None:
        """Send changes read from a source to all live nodes.

        A node that misses them sees a newer version announced in heartbeats and
        reads the source itself.
        """
        self.message_sender.publish(message, include_silent=False)

    def send_to_placer(self, failure_domain: str, message: MeshMessage) -> None:
        """Send a message to the placer of a failure domain.

        It goes to all nodes if the placer is not known, and in a small
        deployment. With relays, a placer sends nothing to itself.
        """
        if (
            self._roster.uses_relays
            and self.local.placer_domain == failure_domain
        ):
            return
        address = self._peer_state.totals().placer_addresses.get(failure_domain)
        if address is None or not self._roster.uses_relays:
            self.broadcast(message)
        else:
            self._transport.send(address, message)

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat at once, to announce a change of this node."""
        self.message_sender.send_heartbeat(include_silent=False)

    def in_flight_elsewhere(self, instance_id: str) -> int:
        """Return how many requests other nodes have in flight at an instance."""
        return max(0, self._peer_state.totals().in_flight[instance_id])

    def has_other_placer(self, failure_domain: str) -> bool:
        """Return whether another node announces that it is placer there."""
        return failure_domain in self._peer_state.totals().placer_addresses

    def announced_version(self, source: str) -> int | None:
        """Return the version of a source's last change, as other nodes read it.

        Return None if this node has to read the source itself: no other node
        reads it, or this node ranks first among its readers.
        """
        is_local_reader = source in self.local.source_versions
        rank = self._roster.rank
        versions = [
            version
            for name, version in self._peer_state.totals().source_readers.get(
                source, ()
            )
            if not is_local_reader or rank(name) < rank(self.local.node_id)
        ]
        return max(versions, default=None)

    def has_traffic(self) -> bool:
        """Return whether any node has received a request."""
        return self.local.requests > 0 or self._peer_state.has_traffic

    def demand(self) -> Counter[str]:
        """Return the demand of the clients of all nodes, by model."""
        total = Counter(self.local.demand)
        # Negative values are dropped: they occur when the relay's summary
        # includes an older heartbeat of this node than the one subtracted from it.
        total.update(+self._peer_state.totals().demand)
        return total

    def live_node_count(self) -> int:
        """Return how many nodes are live, including this one.

        With relays, peers that were just added count as well. Otherwise a node
        that has just started and has no digest yet would take the whole retry
        budget for itself.
        """
        count = self._peer_state.totals().node_count
        if self._roster.uses_relays:
            count = max(count, self._roster.live_count())
        return 1 + count

    def counts(self) -> dict[str, int]:
        """Return the counters of messages and bytes, by metric name."""
        return self._transport.counts()

    async def _send_heartbeats(self) -> None:
        heartbeat_number = 0
        while True:
            include_silent = heartbeat_number % _SILENT_PEER_HEARTBEATS == 0
            self.message_sender.send_heartbeat(include_silent=include_silent)
            self.message_sender.request_newer_config()
            if include_silent:
                self._transport.close_idle(_IDLE_CONNECTION_SECONDS)
            heartbeat_number += 1
            await curio.sleep(self._seconds_to_next_heartbeat())

    def _seconds_to_next_heartbeat(self) -> float:
        """Return the pause that puts the next heartbeat just before the digest."""
        last_digest_at = self.state.last_digest_at
        if last_digest_at is None:
            return _HEARTBEAT_SECONDS
        seconds_until_due = (
            last_digest_at - _RELAY_LEAD_SECONDS - self.state.clock()
        )
        # Between half and one and a half heartbeat intervals from now.
        return (
            _HEARTBEAT_SECONDS / 2
            + (seconds_until_due - _HEARTBEAT_SECONDS / 2) % _HEARTBEAT_SECONDS
        )

    async def _receive(self) -> None:
        while True:
            message = await self._transport.receive()
            try:
                await self.message_handler.handle(message)
            except curio.CancelledError:
                raise
            except Exception:
                # All messages are sent periodically or requested again.
                _LOG.exception('could not handle a %s', type(message).__name__)

    def _remove_peer(self, name: str) -> None:
        peer = self._roster.remove(name)
        self._peer_state.forget_node(name)
        if peer is not None:
            self._transport.disconnect(peer.address)
