"""Send this node's heartbeats and, on a relay, digests and summaries."""

import random
from collections.abc import Callable

import attrs
from msgspec import structs

from cranecart.mesh._messages import (
    ConfigAsk,
    Digest,
    Heartbeat,
    MeshMessage,
    Summary,
)
from cranecart.mesh._peer_state import SourceReader, Totals
from cranecart.mesh._retry_messages import RetryLoanRequest
from cranecart.mesh._slow_targets import SlowTargetReports
from cranecart.mesh._state import MeshCallbacks, MeshState
from cranecart.models import Evacuation
from cranecart.transport import PeerTransport

# How long a node may lag behind the newest announced configuration before it
# requests it from a peer, and the interval of such requests. Requested with
# each heartbeat, a configuration of half a megabyte was sent four times a second.
_CONFIG_LAG_SECONDS = 0.3
_CONFIG_REQUEST_INTERVAL_SECONDS = 1.0
# How long a relay names several nodes that have a new configuration. Always
# naming them would cost each node several KB/s.
_CONFIG_NEWS_SECONDS = 5.0
_NEWS_ADDRESSES = 8
# How long each heartbeat has the evacuations after they have changed or a node was
# met; later only heartbeats to silent nodes have them, every two seconds. In each
# heartbeat, one evacuation cost each of 139 nodes 0.6 KB/s.
_EVACUATION_NEWS_SECONDS = 2.0

# Nodes that are asked at once to lend retries.
_MAX_LENDERS = 8


@attrs.define
class MessageSender:
    """Sends directly to all nodes, or through relays in a large deployment."""

    _state: MeshState
    _transport: PeerTransport[MeshMessage]
    _callbacks: MeshCallbacks
    _behind_since: float | None = attrs.field(default=None, init=False)
    _sent_evacuations: list[Evacuation] = attrs.field(factory=list, init=False)
    _evacuations_changed_at: float = attrs.field(
        default=float('-inf'), init=False
    )
    _slow_targets: SlowTargetReports = attrs.field(
        factory=SlowTargetReports, init=False
    )
    _random: random.Random = attrs.field(factory=random.Random, init=False)
    _announced_config: int = attrs.field(default=0, init=False)
    _config_changed_at: float = attrs.field(default=float('-inf'), init=False)

    def build_heartbeat(self, *, is_complete: bool = True) -> Heartbeat:
        """Return a heartbeat with the current state of this node.

        Unless it ``is_complete``, evacuations that other nodes should know
        already are left out.
        """
        self._callbacks.refresh_local_state()
        local = self._state.local
        config = self._callbacks.read_config()
        return Heartbeat(
            local.node_id,
            local.address,
            local.failure_domain,
            config.version if config else 0,
            local.requests,
            {
                name: count
                for name, count in self._callbacks.read_in_flight().items()
                if count
            },
            local.placer_domain,
            local.source_versions,
            local.stopping,
            local.demand,
            self._state.stop_notices.to_repeat(),
            self._state.roster.uses_relays,
            local.evacuations if is_complete or self._has_news() else [],
            local.offered,
            slow_targets=local.slow_targets,
        )

    def send_heartbeat(self, *, include_silent: bool) -> None:
        """Send a heartbeat to all nodes, or to relays; relays send a digest.

        With ``include_silent`` it is also sent to peers that are not live.
        """
        roster = self._state.roster
        heartbeat = self.build_heartbeat(is_complete=include_silent)
        self._state.peer_state.last_sent_heartbeat = heartbeat
        if heartbeat.via_relays:
            self._send_heartbeat_by_relays(
                heartbeat, include_silent=include_silent
            )
        else:
            all_addresses = roster.all_addresses(include_silent=include_silent)
            self._transport.send_all(all_addresses, heartbeat)

    def publish(self, message: MeshMessage, *, include_silent: bool) -> None:
        """Send a message to all nodes, directly or through relays.

        With relays it goes directly to the local failure domain, and to the
        relays of the others, which forward it.
        """
        roster = self._state.roster
        if roster.uses_relays:
            domain_addresses = roster.domain_addresses(
                include_silent=include_silent
            )
            remote_addresses = roster.remote_relay_addresses(
                include_silent=include_silent
            )
            self._transport.send_all(
                (*domain_addresses, *remote_addresses), message
            )
        else:
            all_addresses = roster.all_addresses(include_silent=True)
            self._transport.send_all(all_addresses, message)

    def request_newer_config(self) -> None:
        """Request a newer configuration from a peer if the store lags."""
        config = self._callbacks.read_config()
        version = config.version if config else 0
        totals = self._state.peer_state.totals()
        if totals.config_version <= version or not totals.config_addresses:
            self._behind_since = None
            return
        now = self._state.clock()
        if self._behind_since is None:
            self._behind_since = now
        elif (
            now - self._behind_since >= _CONFIG_LAG_SECONDS
            or self._state.is_config_refused
        ):
            self._state.is_config_refused = False
            local = self._state.local
            request = ConfigAsk(local.node_id, local.address, version)
            # Drawn, as all nodes that are behind would ask the same one.
            address = self._random.choice(totals.config_addresses)
            self._transport.send(address, request)
            self._behind_since = (
                now + _CONFIG_REQUEST_INTERVAL_SECONDS - _CONFIG_LAG_SECONDS
            )

    def request_retries(
        self, service: str, amount: float, requested_at: float
    ) -> None:
        """Ask some live nodes, those of the own failure domain with relays."""
        roster = self._state.roster
        if roster.uses_relays:
            addresses = roster.domain_addresses(include_silent=False)
        else:
            addresses = roster.all_addresses(include_silent=False)
        lenders = self._random.sample(
            addresses, min(len(addresses), _MAX_LENDERS)
        )
        if lenders:
            local = self._state.local
            request = RetryLoanRequest(
                local.node_id,
                local.address,
                service,
                amount / len(lenders),
                requested_at,
            )
            self._transport.send_all(lenders, request)

    def _send_heartbeat_by_relays(
        self, heartbeat: Heartbeat, *, include_silent: bool
    ) -> None:
        roster = self._state.roster
        if roster.is_active_relay() and not heartbeat.stopping:
            self._send_as_relay(heartbeat, include_silent=include_silent)
        elif heartbeat.placer_domain:
            # Candidates for the placer's lease rely on heartbeats that come from its
            # holder directly.
            domain_addresses = roster.domain_addresses(
                include_silent=include_silent
            )
            self._transport.send_all(domain_addresses, heartbeat)
        else:
            self._transport.send_all(roster.domain_relay_addresses(), heartbeat)

    def _relay_addresses(self) -> dict[str, str]:
        local = self._state.local
        roster = self._state.roster
        return {
            name: local.address
            if name == local.node_id
            else roster.peers[name].address
            for name in roster.relays()
        }

    def _config_addresses(self, totals: Totals) -> list[str]:
        """Return the addresses of some nodes with the newest configuration.

        One is enough once other nodes have had time to get it.
        """
        now = self._state.clock()
        if totals.config_version != self._announced_config:
            self._announced_config = totals.config_version
            self._config_changed_at = now
        is_new = now - self._config_changed_at < _CONFIG_NEWS_SECONDS
        addresses = totals.config_addresses
        count = min(len(addresses), _NEWS_ADDRESSES if is_new else 1)
        return self._random.sample(addresses, count)

    def _has_news(self) -> bool:
        """Return whether some nodes may not know the evacuations yet."""
        now = self._state.clock()
        known = self._state.local.evacuations
        if known != self._sent_evacuations:
            self._sent_evacuations = known
            self._evacuations_changed_at = now
        news_at = max(self._evacuations_changed_at, self._state.last_met_at)
        return now - news_at < _EVACUATION_NEWS_SECONDS

    def _send_as_relay(
        self, own_heartbeat: Heartbeat, *, include_silent: bool
    ) -> None:
        """Send a digest to the local failure domain, a summary to the others."""
        roster = self._state.roster
        heartbeats = [
            own_heartbeat,
            *self._state.peer_state.valid_domain_heartbeats(),
        ]
        summary = self._build_summary(heartbeats)
        self._callbacks.on_slow_targets(
            summary.failure_domain, summary.slow_targets
        )
        domain_addresses = roster.domain_addresses(
            include_silent=include_silent
        )
        self._transport.send_all(
            domain_addresses, self._build_digest(heartbeats, summary)
        )
        remote_addresses = roster.remote_relay_addresses(
            include_silent=include_silent
        )
        self._transport.send_all(remote_addresses, summary)

    def _build_digest(
        self, heartbeats: list[Heartbeat], summary: Summary
    ) -> Digest:
        now = self._state.clock()
        remote_offered = self._state.local.remote_offered
        remote_summaries = [
            received
            for domain, received in self._state.peer_state.summaries().items()
            if domain != summary.failure_domain
        ]
        return Digest(
            # The summary has the relay's own slow targets and offered load, too.
            structs.replace(heartbeats[0], slow_targets={}, offered={}),
            _without_evacuations(summary),
            [heartbeat.sender for heartbeat in heartbeats],
            [round(now - received.made_at, 3) for received in remote_summaries],
            [
                structs.replace(
                    received.summary,
                    evacuations=[],
                    offered=remote_offered.get(
                        received.summary.failure_domain, {}
                    ),
                )
                for received in remote_summaries
            ],
        )

    def _build_summary(self, heartbeats: list[Heartbeat]) -> Summary:
        own_heartbeat = heartbeats[0]
        roster = self._state.roster
        totals = Totals()
        for heartbeat in heartbeats:
            totals.add_heartbeat(heartbeat)
        for stopping in self._state.peer_state.stopping_domain_heartbeats():
            totals.add_stopping(stopping)
        return Summary(
            own_heartbeat.sender,
            own_heartbeat.failure_domain,
            totals.node_count,
            self._relay_addresses(),
            totals.config_version,
            self._config_addresses(totals),
            own_heartbeat.requests > 0 or self._state.peer_state.has_traffic,
            dict(totals.in_flight),
            totals.placer_addresses.get(own_heartbeat.failure_domain, ''),
            {
                source: _sum_up_readers(readers, roster.rank)
                for source, readers in totals.source_readers.items()
            },
            dict(totals.demand),
            own_heartbeat.recent_stops,
            own_heartbeat.evacuations,
            self._state.local.domain_offered,
            slow_targets=self._slow_targets.merge(
                heartbeat.slow_targets for heartbeat in heartbeats
            ),
        )


def _without_evacuations(summary: Summary) -> Summary:
    """Return a summary for a digest, whose heartbeat has all that the relay knows.

    With a copy in each summary, one evacuation cost each of 139 nodes 1.3 KB/s.
    """
    return structs.replace(summary, evacuations=[])


def _sum_up_readers(
    readers: list[SourceReader], rank: Callable[[str], tuple[float, str]]
) -> SourceReader:
    """Return the first reader and the last version that any of them read."""
    return (
        min((name for name, _version in readers), key=rank),
        max(version for _name, version in readers),
    )
