"""What several nodes have observed of one instance."""

import attrs

from cranecart.instances import MemberReport
from cranecart.targets._reports import without_load

# How long a report that this node fetched itself is valid.
FRESH_SECONDS = 5.0
# How long one node's failure to reach an instance outweighs the success of
# others. By then they have probed it again and published any failures.
FAILURE_SECONDS = 4.0


@attrs.frozen
class Observation:
    """What one node observed; no report means that it got no answer."""

    report: MemberReport | None
    at: float


@attrs.define
class InstanceObservations:
    """The observations of one instance by node.

    Those of this node expire. Those of another node stay valid until it reports
    a change or is considered dead, as it keeps probing while it is alive.
    """

    _own_node_id: str
    _observations: dict[str, Observation] = attrs.field(
        factory=dict, init=False
    )

    @property
    def is_known(self) -> bool:
        """Return whether any node has observed the instance."""
        return bool(self._observations)

    def record(self, node_id: str, observation: Observation) -> None:
        """Replace the observation of a node."""
        self._observations[node_id] = observation

    def remove(self, node_id: str) -> None:
        """Discard the observation of a node that has stopped probing."""
        self._observations.pop(node_id, None)

    def keep_only(self, nodes: frozenset[str]) -> None:
        """Discard the observations of all but these nodes and this one."""
        for node_id in self._observations.keys() - nodes - {self._own_node_id}:
            self._observations.pop(node_id)

    @property
    def valid_until(self) -> float:
        """Return the time when ``agreed_report`` may change by expiry."""
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
        """Return the newest report, or None if an observation contradicts it.

        All nodes that reach the instance must agree on its state, and none may
        have failed to reach it recently.
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
        """Return the observations of the nodes that reach the instance."""
        return [
            observation
            for node_id, observation in self._observations.items()
            if observation.report is not None
            and (
                node_id != self._own_node_id
                or now - observation.at <= FRESH_SECONDS
            )
        ]


def _is_recent_failure(observation: Observation, now: float) -> bool:
    return observation.report is None and now - observation.at < FAILURE_SECONDS
