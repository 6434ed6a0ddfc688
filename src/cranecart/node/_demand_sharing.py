"""Tell other nodes the demand for limits, and take theirs."""

import attrs

from cranecart.gossip import Entry, GossipProtocol, Members, Topic
from cranecart.limits import LimitShares
from cranecart.targets import DomainSummary

_PUBLISH_INTERVAL_TICKS = 10
_REPUBLISH_INTERVAL_TICKS = 200


@attrs.define
class DemandSharing:
    """Keeps the shares of limits in step with other nodes' demand."""

    _members: Members
    _shares: LimitShares
    _published_demand: dict[str, int] = attrs.field(factory=dict, init=False)

    def publish(self, peers: GossipProtocol, ticks: int) -> None:
        """Publish what changed, and all of it at times, as it expires."""
        demand = self._shares.demand()
        is_due = ticks % _REPUBLISH_INTERVAL_TICKS == 0
        has_changed = (
            demand != self._published_demand
            and ticks % _PUBLISH_INTERVAL_TICKS == 0
        )
        if is_due or has_changed:
            self._published_demand = demand
            peers.publish(Topic.DEMAND, self._members.node_id, demand)

    def add_live_nodes(self, nodes: frozenset[str]) -> None:
        """Count nodes that live but have told nothing yet."""
        self._shares.add_sources(nodes - {self._members.node_id})

    def apply_entry(self, entry: Entry) -> None:
        """Take over a node's demand, or that it stops."""
        match entry.key.topic:
            case Topic.DEMAND if entry.key.origin != self._members.node_id:
                self._shares.record_demand(entry.key.origin, entry.body)
            case Topic.MEMBER if entry.body['stopping']:
                self._shares.remove_source(entry.key.subject)
            case Topic.MEMBER if entry.key.subject != self._members.node_id:
                # Counted from the moment it is known, before it tells more.
                self._shares.add_sources([entry.key.subject])

    def apply_summary(self, summary: DomainSummary) -> None:
        """Take over the demand of another failure domain."""
        domain = summary.failure_domain
        if domain != self._members.info.failure_domain and summary.versions:
            self._shares.record_demand(
                f'domain/{domain}',
                summary.demand,
                summary.versions.nodes,
            )

    def domain_demand(self) -> dict[str, int]:
        """Return the demand of this failure domain's nodes together."""
        demand_of_others = self._shares.total_demand(self._members.others())
        demand_of_others.update(self._shares.demand())
        return dict(demand_of_others)
