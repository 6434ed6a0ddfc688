"""What several nodes found of one instance."""

import attrs

from cranecart.instances import MemberReport
from cranecart.targets._reports import without_load

# How long a report that this node fetched itself counts.
FRESH_SECONDS = 5.0
# How long one node's failure to reach an instance outweighs another's
# success; the other has asked again by then and told if it failed too.
FAILURE_SECONDS = 4.0


@attrs.frozen
class Observation:
    """What one node found of an instance; no report means no answer."""

    report: MemberReport | None
    at: float


@attrs.define
class InstanceObservations:
    """The views of one instance by node; own ones expire, others' do not.

    A report of another node counts until that node tells of a change or is
    not held alive any more: as long as it lives it goes on asking.
    """

    _own_node_id: str
    _observations: dict[str, Observation] = attrs.field(
        factory=dict, init=False
    )

    @property
    def is_known(self) -> bool:
        """Tell whether any node found something, good or bad."""
        return bool(self._observations)

    def record(self, node_id: str, observation: Observation) -> None:
        """Take over a node's newest view."""
        self._observations[node_id] = observation

    def remove(self, node_id: str) -> None:
        """Forget the view of a node that does not ask any more."""
        self._observations.pop(node_id, None)

    def keep_only(self, nodes: frozenset[str]) -> None:
        """Forget what any but these nodes and this one found."""
        for stale_node in (
            self._observations.keys() - nodes - {self._own_node_id}
        ):
            self._observations.pop(stale_node)

    @property
    def valid_until(self) -> float:
        """Return until when ``agreed`` stays what it was, if nothing comes."""
        own = self._observations.get(self._own_node_id)
        ends = [
            observation.at + FAILURE_SECONDS
            for observation in self._observations.values()
            if observation.report is None
        ]
        if own is not None:
            ends.append(own.at + FRESH_SECONDS)
        return min(ends, default=float('inf'))

    def agreed_report(self, now: float) -> MemberReport | None:
        """Return the report, if nothing speaks against it.

        All nodes that reach the instance must agree on what it is, and none
        may have failed to reach it just now.
        """
        if any(
            _is_recent_failure(observation, now)
            for observation in self._observations.values()
        ):
            return None
        reachable = self.reachable(now)
        if (
            len({without_load(observation.report) for observation in reachable})
            != 1
        ):
            return None
        return max(reachable, key=lambda observation: observation.at).report

    def reachable(self, now: float) -> list[Observation]:
        """Return the views of the nodes that reach the instance."""
        return [
            observation
            for node, observation in self._observations.items()
            if observation.report is not None
            and (
                node != self._own_node_id
                or now - observation.at <= FRESH_SECONDS
            )
        ]


def _is_recent_failure(observation: Observation, now: float) -> bool:
    return observation.report is None and now - observation.at < FAILURE_SECONDS
