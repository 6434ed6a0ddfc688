"""The last heartbeats and summaries of other nodes, and their totals."""

from collections import Counter
from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.mesh._messages import Digest, Heartbeat, Summary

# Two heartbeats may be lost before the state of a node counts as stale.
_HEARTBEAT_VALID_SECONDS = 0.8
# A summary stays valid until the next relay takes over.
_SUMMARY_VALID_SECONDS = 1.0
# When a relay dies, its summaries are missing until another relay takes over.
# Meanwhile its nodes still count as live, since otherwise each remaining node
# would take too large a share of the retry budget.
_NODES_LIVE_SECONDS = 2.0


@attrs.frozen
class ReceivedHeartbeat:
    """A heartbeat and the time it was received."""

    heartbeat: Heartbeat
    received_at: float

    @property
    def valid_until(self) -> float:
        """Return the time at which the heartbeat expires."""
        return self.received_at + _HEARTBEAT_VALID_SECONDS


@attrs.frozen
class ReceivedSummary:
    """A summary and the time it was made."""

    summary: Summary
    made_at: float

    @property
    def valid_until(self) -> float:
        """Return the time at which the summary expires."""
        return self.made_at + _SUMMARY_VALID_SECONDS

    @property
    def nodes_live_until(self) -> float:
        """Return the time until which the summarized nodes count as live."""
        return self.made_at + _NODES_LIVE_SECONDS

    def as_replaceable(self, now: float) -> 'ReceivedSummary':
        """Return a copy that any other summary replaces.

        It is too old to be used, but its nodes still count as live.
        """
        return attrs.evolve(
            self, made_at=min(self.made_at, now - _SUMMARY_VALID_SECONDS)
        )

    def is_superseded_by(
        self, summary: Summary, made_at: float, now: float
    ) -> bool:
        """Return whether another summary is to be used instead.

        Of two relays active at once, the one that covers more nodes wins.
        """
        if made_at < self.made_at:
            return False
        return (
            summary.sender == self.summary.sender
            or summary.node_count >= self.summary.node_count
            or self.valid_until <= now
        )


# The name of a node that reads a source, and the last version that it read.
SourceReader = tuple[str, int]


@attrs.define
class Totals:
    """Totals of the valid heartbeats and summaries of other nodes.

    ``config_version`` is that of the newest configuration, and
    ``config_addresses`` are those of nodes that have it; ``placer_addresses``
    are by failure domain. The totals are valid until the first of the messages
    expires.
    """

    valid_until: float = float('inf')
    node_count: int = 0
    config_version: int = 0
    config_addresses: list[str] = attrs.field(factory=list)
    in_flight: Counter[str] = attrs.field(factory=Counter)
    demand: Counter[str] = attrs.field(factory=Counter)
    placer_addresses: dict[str, str] = attrs.field(factory=dict)
    source_readers: dict[str, list[SourceReader]] = attrs.field(factory=dict)

    def add_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the state of one node."""
        self.node_count += 1
        self.in_flight.update(heartbeat.in_flight)
        self.demand.update(heartbeat.demand)
        self._add_config(heartbeat.config_version, [heartbeat.address])
        if heartbeat.placer_domain:
            self.placer_addresses[heartbeat.placer_domain] = heartbeat.address
        for source, version in heartbeat.source_versions.items():
            readers = self.source_readers.setdefault(source, [])
            readers.append((heartbeat.sender, version))

    def add_stopping(self, heartbeat: Heartbeat) -> None:
        """Add the requests that a node has left which stops."""
        self.in_flight.update(heartbeat.in_flight)

    def add_summary(self, summary: Summary) -> None:
        """Add the state of a failure domain, except for its node count."""
        self.in_flight.update(summary.in_flight)
        self.demand.update(summary.demand)
        self._add_config(summary.config_version, summary.config_addresses)
        for source, reader in summary.source_readers.items():
            self.source_readers.setdefault(source, []).append(reader)

    def subtract_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Subtract this node's own heartbeat, which a summary includes."""
        self.in_flight.subtract(heartbeat.in_flight)
        self.demand.subtract(heartbeat.demand)

    def _add_config(self, version: int, addresses: list[str]) -> None:
        """Record which nodes have a configuration, unless a newer is known."""
        if version > self.config_version:
            self.config_version = version
            self.config_addresses = []
        if version == self.config_version:
            self.config_addresses.extend(addresses)


@attrs.define
class PeerState:
    """The last heartbeats and summaries of other nodes; totals are cached.

    ``last_sent_heartbeat`` is subtracted from the summary of the local failure
    domain where that includes this node.
    """

    _node_id: str
    _failure_domain: str
    _clock: Callable[[], float] = since_boot
    has_traffic: bool = attrs.field(default=False, init=False)
    last_sent_heartbeat: Heartbeat | None = attrs.field(
        default=None, init=False
    )
    _heartbeats: dict[str, ReceivedHeartbeat] = attrs.field(
        factory=dict, init=False
    )
    _summaries: dict[str, ReceivedSummary] = attrs.field(
        factory=dict, init=False
    )
    # Of nodes that stop: only their requests in flight count.
    _stopping: dict[str, ReceivedHeartbeat] = attrs.field(
        factory=dict, init=False
    )
    # The nodes that the summary of the local failure domain includes.
    _summarized_nodes: frozenset[str] = attrs.field(
        default=frozenset(), init=False
    )
    _totals: Totals | None = attrs.field(default=None, init=False)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that was just received."""
        self._heartbeats[heartbeat.sender] = ReceivedHeartbeat(
            heartbeat, self._clock()
        )
        self._stopping.pop(heartbeat.sender, None)
        self.has_traffic = self.has_traffic or heartbeat.requests > 0
        self._totals = None

    def record_stopping(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat of a node that stops, and discard its other state."""
        self.forget_node(heartbeat.sender)
        now = self._clock()
        others = {
            received.heartbeat.sender: received
            for received in self._valid_stopping(now)
        }
        self._stopping = {
            **others,
            heartbeat.sender: ReceivedHeartbeat(heartbeat, now),
        }

    def record_summary(self, summary: Summary, made_at: float) -> bool:
        """Record a summary unless a better one is known.

        Return whether it was recorded.
        """
        previous = self._summaries.get(summary.failure_domain)
        now = self._clock()
        if previous is not None and not previous.is_superseded_by(
            summary, made_at, now
        ):
            return False
        self._summaries[summary.failure_domain] = ReceivedSummary(
            summary, made_at
        )
        self.has_traffic = self.has_traffic or summary.has_traffic
        self._totals = None
        return True

    def record_digest(self, digest: Digest) -> None:
        """Record the digest of a relay of the local failure domain."""
        if self.record_summary(digest.summary, self._clock()):
            self._summarized_nodes = frozenset(digest.summarized_nodes)

    def forget_node(self, node_id: str) -> None:
        """Discard the state of a node that stops or was removed from the store.

        If it was a relay, the next relay's summary replaces its own at once.
        """
        self._summarized_nodes -= {node_id}
        self._totals = None
        self._heartbeats.pop(node_id, None)
        for domain, received in self._summaries.items():
            if received.summary.sender == node_id:
                self._summaries[domain] = received.as_replaceable(self._clock())

    def has_sent_heartbeat(self, node_id: str) -> bool:
        """Return whether a heartbeat of a node was ever received here."""
        return node_id in self._heartbeats

    def was_seen_recently(self, node_id: str) -> bool:
        """Return whether a node's heartbeats recently arrived here or at a relay."""
        previous = self._heartbeats.get(node_id)
        now = self._clock()
        if previous is not None and previous.valid_until > now:
            return True
        return (
            node_id in self._summarized_nodes
            and self._failure_domain in self.summaries()
        )

    def valid_domain_heartbeats(self) -> list[Heartbeat]:
        """Return the valid heartbeats of the local failure domain's nodes."""
        now = self._clock()
        return [
            received.heartbeat
            for received in self._heartbeats.values()
            if received.valid_until > now
            and received.heartbeat.failure_domain == self._failure_domain
        ]

    def stopping_domain_heartbeats(self) -> list[Heartbeat]:
        """Return those of nodes of the local failure domain that stop."""
        return [
            received.heartbeat
            for received in self._valid_stopping(self._clock())
            if received.heartbeat.failure_domain == self._failure_domain
        ]

    def summaries(self) -> dict[str, ReceivedSummary]:
        """Return the valid summaries, by failure domain."""
        now = self._clock()
        return {
            domain: received
            for domain, received in self._summaries.items()
            if received.valid_until > now
        }

    def totals(self) -> Totals:
        """Return the totals of all valid heartbeats and summaries."""
        now = self._clock()
        if self._totals is None or self._totals.valid_until <= now:
            self._totals = self._sum(now)
        return self._totals

    def _sum(self, now: float) -> Totals:
        totals = Totals()
        local_summary = self._summaries.get(self._failure_domain)
        if local_summary is not None:
            self._add_summary(totals, local_summary, now)
        for domain, received in self._summaries.items():
            if domain != self._failure_domain:
                self._add_summary(totals, received, now)
        for received_heartbeat in self._heartbeats.values():
            if received_heartbeat.valid_until > now:
                self._add_heartbeat(totals, received_heartbeat, now)
        self._add_stopping(totals, now)
        return totals

    def _add_stopping(self, totals: Totals, now: float) -> None:
        """Add nodes that stop unless a summary includes them."""
        for received in self._valid_stopping(now):
            summary = self._summaries.get(received.heartbeat.failure_domain)
            if summary is None or summary.valid_until <= now:
                totals.add_stopping(received.heartbeat)
                totals.valid_until = min(
                    totals.valid_until, received.valid_until
                )

    def _valid_stopping(self, now: float) -> list[ReceivedHeartbeat]:
        return [
            received
            for received in self._stopping.values()
            if received.valid_until > now
        ]

    def _add_summary(
        self,
        totals: Totals,
        received: ReceivedSummary,
        now: float,
    ) -> None:
        summary = received.summary
        is_local = summary.failure_domain == self._failure_domain
        if received.nodes_live_until > now:
            is_summarized = is_local and self._node_id in self._summarized_nodes
            totals.node_count += summary.node_count - int(is_summarized)
            totals.valid_until = min(
                totals.valid_until, received.nodes_live_until
            )
        if received.valid_until > now:
            totals.add_summary(summary)
            totals.valid_until = min(totals.valid_until, received.valid_until)
            if not is_local and summary.placer_address:
                totals.placer_addresses[summary.failure_domain] = (
                    summary.placer_address
                )
            if is_local:
                self._subtract_own(totals)

    def _subtract_own(self, totals: Totals) -> None:
        """Subtract what a summary of the local failure domain has of this node."""
        own_heartbeat = self.last_sent_heartbeat
        if own_heartbeat is None:
            return
        if own_heartbeat.stopping:
            totals.in_flight.subtract(own_heartbeat.in_flight)
        elif self._node_id in self._summarized_nodes:
            totals.subtract_heartbeat(own_heartbeat)

    def _add_heartbeat(
        self, totals: Totals, received_heartbeat: ReceivedHeartbeat, now: float
    ) -> None:
        """Add a heartbeat, or only its placer where a summary includes the rest."""
        heartbeat = received_heartbeat.heartbeat
        totals.valid_until = min(
            totals.valid_until, received_heartbeat.valid_until
        )
        if heartbeat.placer_domain:
            totals.placer_addresses[heartbeat.placer_domain] = heartbeat.address
        received = self._summaries.get(heartbeat.failure_domain)
        is_summarized = received is not None and received.nodes_live_until > now
        if is_summarized and heartbeat.failure_domain == self._failure_domain:
            is_summarized = heartbeat.sender in self._summarized_nodes
        if not is_summarized:
            totals.add_heartbeat(heartbeat)
