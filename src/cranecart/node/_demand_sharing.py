"""Exchange the demand for limited resources with other nodes."""

import attrs

from cranecart.gossip import Entry, GossipProtocol, Members, Topic
from cranecart.limits import LimitShares
from cranecart.targets import DomainSummary

_PUBLISH_INTERVAL_TICKS = 10
_REPUBLISH_INTERVAL_TICKS = 200


@attrs.define
class DemandSharing:
    """Updates the nodes' shares of limits from their demand."""

    _members: Members
    _shares: LimitShares
    _published_demand: dict[str, int] = attrs.field(factory=dict, init=False)

    def publish(self, gossip_protocol: GossipProtocol, ticks: int) -> None:
        """Publish changed demand, and all of it periodically, as it expires."""
        demand = self._shares.demand()
        is_due = ticks % _REPUBLISH_INTERVAL_TICKS == 0
        has_changed = (
            demand != self._published_demand
            and ticks % _PUBLISH_INTERVAL_TICKS == 0
        )
        if is_due or has_changed:
            self._published_demand = demand
            gossip_protocol.publish(Topic.DEMAND, self._members.node_id, demand)

    def add_live_nodes(self, nodes: frozenset[str]) -> None:
        """Count live nodes that have not published their demand yet."""
        self._shares.add_sources(nodes - {self._members.node_id})

    def apply_entry(self, entry: Entry) -> None:
        """Apply another node's demand, or its joining or stopping."""
        match entry.key.topic:
            case Topic.DEMAND if entry.key.origin != self._members.node_id:
                self._shares.record_demand(entry.key.origin, entry.body)
            case Topic.MEMBER if entry.body['stopping']:
                self._shares.remove_source(entry.key.subject)
            case Topic.MEMBER if entry.key.subject != self._members.node_id:
                # The node counts from its joining, before its demand is known.
                self._shares.add_sources([entry.key.subject])

    def apply_summary(self, summary: DomainSummary) -> None:
        """Apply the demand of another failure domain."""
        domain = summary.failure_domain
        if domain != self._members.info.failure_domain and summary.versions:
            self._shares.record_demand(
                f'domain/{domain}',
                summary.demand,
                summary.versions.nodes,
            )

    def domain_demand(self) -> dict[str, int]:
        """Return the total demand of the nodes in this failure domain."""
        demand_of_others = self._shares.total_demand(self._members.others())
        demand_of_others.update(self._shares.demand())
        return dict(demand_of_others)
