"""Keep every node informed by every other, without the platform.

In a small deployment each node sends a small beat to all others. In a larger
one it sends it to the relay of its failure domain, which tells all nodes there
what it heard, and the relays of other failure domains a summary
(docs/design/platform.md). News that cannot wait goes straight to everybody.
"""

from collections import Counter
from collections.abc import Callable, Mapping

import curio

from cranecart.clocks import since_boot
from cranecart.mesh._handler import MessageHandler
from cranecart.mesh._messages import MeshMessage, SourceNews, Stopped
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

# Counts of work in flight are as old as this at most; streams last about a
# second on the deployments' sheets.
_BEAT_SECONDS = 0.25
# How long before the relay speaks next its failure domain's nodes tell it
# what it will pass on, so that counts are hardly older than when told
# directly. It takes in some thirty beats in a few milliseconds.
_LEAD_SECONDS = 0.04
# Silent nodes are tried at every so many beats only.
_SILENT_TURNS = 8
# Those whom only urgent news goes to are rarely told anything.
_IDLE_SECONDS = 10.0


class Mesh:
    """The other nodes, what they told last, and ways to tell them."""

    def __init__(
        self,
        local: LocalState,
        transport: PeerTransport[MeshMessage],
        callbacks: MeshCallbacks,
        clock: Callable[[], float] = since_boot,
    ) -> None:
        """Know nobody yet; nothing is told until ``run``."""
        self.local = local
        self.state = MeshState(local, clock)
        self.message_sender = MessageSender(self.state, transport, callbacks)
        self.message_handler = MessageHandler(self.state, transport, callbacks)
        self._transport = transport
        self._others = self.state.others
        self._roster = self.state.roster

    async def run(self) -> None:
        """Hear and tell until cancelled."""
        receiving = await curio.spawn(self._receive, daemon=True)
        try:
            await self._tell()
        finally:
            await receiving.cancel()

    def close(self) -> None:
        """Close the sockets."""
        self._transport.close()

    def take_peers(
        self,
        items: Mapping[str, PeerNode | None],
        is_whole: bool,
    ) -> None:
        """Take over the nodes that the table names."""
        if is_whole:
            for known in self._roster.peers.keys() - items.keys():
                self._roster.remove(known)
        for name, peer in items.items():
            if peer is None:
                self._forget(name)
            elif name != self.local.node_id:
                self._roster.add(name, peer)

    def broadcast(self, message: MeshMessage) -> None:
        """Tell all nodes at once."""
        self._transport.send_all(
            self._roster.everyone(include_silent=True), message
        )

    def publish_stopped(self, message: Stopped) -> None:
        """Tell all nodes of a replica that has stopped.

        Beats and summaries repeat it to those whom it does not reach by a
        relay. Told to each of 195 nodes straight away, every node that spoke
        kept a connection to every other, each with a heartbeat.
        """
        self.state.notices.note(message)
        self.message_sender.publish(message, include_silent=True)

    def publish(
        self,
        message: RequestCases | Broken | Leaving | TargetLimits,
    ) -> None:
        """Tell all nodes of requests that end targets, or of targets."""
        self.message_sender.publish(message, include_silent=True)

    def publish_news(self, message: SourceNews) -> None:
        """Tell all nodes, those of other failure domains by their relays.

        Who is left out finds that a version is ahead, and reads itself.
        """
        self.message_sender.publish(message, include_silent=False)

    def send_to_placer(self, failure_domain: str, message: MeshMessage) -> None:
        """Tell the placer of a failure domain at once.

        Tell all where it is not known, and in a small deployment.
        """
        if (
            self._roster.uses_relays
            and self.local.placer_domain == failure_domain
        ):
            return
        address = self._others.totals().placer_addresses.get(failure_domain)
        if address is None or not self._roster.uses_relays:
            self.broadcast(message)
        else:
            self._transport.send(address, message)

    def send_beat_now(self) -> None:
        """Tell of a change of this node before the next beat is due."""
        self.message_sender.send_beat(include_silent=False)

    def in_flight_elsewhere(self, instance_id: str) -> int:
        """Return the requests that other nodes have at an instance."""
        return max(0, self._others.totals().in_flight[instance_id])

    def has_other_placer(self, failure_domain: str) -> bool:
        """Tell whether another node says that it places there."""
        return failure_domain in self._others.totals().placer_addresses

    def announced_version(self, source: str) -> int | None:
        """Return the last change of a source that another node reads.

        Return nothing where nobody reads it for this node: of those that
        read, the one with the first name goes on.
        """
        is_reader = source in self.local.source_versions
        versions = [
            version
            for name, version in self._others.totals().source_readers.get(
                source, ()
            )
            if not is_reader or name < self.local.node_id
        ]
        return max(versions, default=None)

    def has_traffic(self) -> bool:
        """Tell whether any node has had a request."""
        return self.local.requests > 0 or self._others.has_traffic

    def demand(self) -> Counter[str]:
        """Return the work that all nodes' clients want of each model."""
        total = Counter(self.local.demand)
        # Where a relay sums up this node's last beat but one, less than
        # nothing may be left of the others.
        total.update(+self._others.totals().demand)
        return total

    def live_node_count(self) -> int:
        """Return how many nodes are alive, this one included.

        Where a relay has to speak first, those just listed count as well: a
        node that has started would take the whole retry budget for its own.
        """
        told = self._others.totals().node_count
        if self._roster.uses_relays:
            told = max(told, self._roster.live_count())
        return 1 + told

    def counts(self) -> dict[str, int]:
        """Return the messages and bytes so far, by name."""
        return self._transport.counts()

    async def _tell(self) -> None:
        turn = 0
        while True:
            include_silent = turn % _SILENT_TURNS == 0
            self.message_sender.send_beat(include_silent=include_silent)
            self.message_sender.ask_for_config()
            if include_silent:
                self._transport.close_idle(_IDLE_SECONDS)
            turn += 1
            await curio.sleep(self._pause())

    def _pause(self) -> float:
        """Return how long to wait, so as to speak shortly before the relay."""
        digest_at = self.state.digest_at
        if digest_at is None:
            return _BEAT_SECONDS
        due = digest_at - _LEAD_SECONDS - self.state.clock()
        # At least half a beat from now, and at most one and a half.
        return _BEAT_SECONDS / 2 + (due - _BEAT_SECONDS / 2) % _BEAT_SECONDS

    async def _receive(self) -> None:
        while True:
            await self.message_handler.take(await self._transport.receive())

    def _forget(self, name: str) -> None:
        peer = self._roster.remove(name)
        self._others.drop(name)
        if peer is not None:
            self._transport.disconnect(peer.address)
