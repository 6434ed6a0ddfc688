"""The reports on instances, and the replicas that can serve by them."""

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.instances import Instance, InstanceKind, MemberReport
from cranecart.targets._complete_replicas import ServingReplica
from cranecart.targets._loss_detector import LossDetector
from cranecart.targets._observations import InstanceObservations, Observation
from cranecart.targets._replica_index import ReplicaIndex

PROCESS_PAUSE_SECONDS = 1.5


@attrs.define
class ReportRegistry:
    """What this node and other live nodes have observed of each instance.

    A report is valid while it is fresh and no other observation contradicts it.
    """

    node_id: str
    _clock: Callable[[], float] = since_boot
    _instances: dict[str, Instance] = attrs.field(factory=dict, init=False)
    _observations: dict[str, InstanceObservations] = attrs.field(
        factory=dict, init=False
    )
    _replica_index: ReplicaIndex = attrs.field(factory=ReplicaIndex, init=False)
    _valid_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _loss_detector: LossDetector = attrs.field(factory=LossDetector, init=False)
    _last_tick_at: float | None = attrs.field(default=None, init=False)

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Return the listed instances by id."""
        return self._instances

    def is_informed(self, failure_domain: str) -> bool:
        """Return whether every instance of a domain has been observed."""
        return bool(self._instances) and all(
            self._observations[instance_id].is_known
            for instance_id, instance in self._instances.items()
            if instance.failure_domain == failure_domain
        )

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the list; discard instances that are no longer on it."""
        previous_ids = self._instances.keys()
        self._instances = {instance.id: instance for instance in instances}
        for instance_id in previous_ids - self._instances.keys():
            self._replica_index.update(instance_id, None, self._instances)
        self._observations = {
            instance_id: self._observations.get(instance_id)
            or InstanceObservations(self.node_id)
            for instance_id in self._instances
        }
        self._loss_detector.keep_only(self._instances, self._clock())
        self._refresh_all()

    def replace_live_nodes(self, nodes: Collection[str]) -> None:
        """Keep only the observations of these nodes and of this one."""
        live_nodes = frozenset(nodes)
        for observations in self._observations.values():
            observations.keep_only(live_nodes)
        self._refresh_all()

    def discard_remote_observations(self) -> None:
        """Discard the observations of other nodes, as after a pause."""
        self.replace_live_nodes(())

    def tick(self) -> bool:
        """Expire observations and detect pauses of this process.

        This must be called several times a second. Return whether the process
        was paused. During a pause no instance could be reached, so the timers
        for lost ones restart.
        """
        now = self._clock()
        was_process_paused = self._was_process_paused(now)
        if was_process_paused:
            self.discard_remote_observations()
            self._loss_detector.restart_timers(now)
        self._last_tick_at = now
        for instance_id, expires_at in self._valid_until.items():
            if expires_at <= now:
                self._refresh(instance_id)
        self._loss_detector.update(self._is_reached, now)
        return was_process_paused

    def record_report(self, report: MemberReport, node_id: str = '') -> None:
        """Record a report that a node, by default this one, received."""
        self._record(report.instance, report, node_id)

    def record_unreachable(self, instance_id: str, node_id: str = '') -> None:
        """Record that an instance did not answer a node."""
        self._record(instance_id, None, node_id)

    def remove_observation(self, instance_id: str, node_id: str = '') -> None:
        """Discard a node's observation, as it has stopped probing."""
        observations = self._observations.get(instance_id)
        if observations is not None:
            observations.remove(node_id or self.node_id)
            self._refresh(instance_id)

    def report(self, instance_id: str) -> MemberReport | None:
        """Return the valid report of an instance, if there is one."""
        return self.fresh_reports().get(instance_id)

    def fresh_reports(self) -> Mapping[str, MemberReport]:
        """Return all valid reports by instance."""
        return {} if self._is_stale() else self._replica_index.reports

    def lost_instances(self) -> frozenset[str]:
        """Return the instances that no node has reached for too long."""
        return self._loss_detector.lost_instances(
            self._is_reached, self._clock()
        )

    def serving_replicas(self) -> list[ServingReplica]:
        """Return the replicas that can take new requests."""
        return [] if self._is_stale() else self._replica_index.complete()

    def service_instances(self, service: str) -> list[Instance]:
        """Return the instances of a plain service that take requests."""
        return [
            self._instances[instance_id]
            for instance_id in self.open_service_ids()
            if self._instances[instance_id].service == service
        ]

    def open_service_ids(self) -> list[str]:
        """Return the ids of the service instances that take requests."""
        reports = self.fresh_reports()
        return [
            instance_id
            for instance_id, instance in self._instances.items()
            if instance.kind is InstanceKind.SERVICE
            and not instance.leaving
            and instance_id in reports
            and not reports[instance_id].draining
        ]

    def _was_process_paused(self, now: float) -> bool:
        last_tick_at = self._last_tick_at
        return (
            last_tick_at is not None
            and now - last_tick_at > PROCESS_PAUSE_SECONDS
        )

    def _is_stale(self) -> bool:
        """Return whether the process was paused and has not ticked since."""
        return self._was_process_paused(self._clock())

    def _record(
        self,
        instance_id: str,
        report: MemberReport | None,
        node_id: str,
    ) -> None:
        if instance_id in self._instances:
            observation = Observation(report, self._clock())
            self._observations[instance_id].record(
                node_id or self.node_id, observation
            )
            self._refresh(instance_id)

    def _refresh_all(self) -> None:
        self._valid_until = dict.fromkeys(self._instances, 0)
        for instance_id in self._instances:
            self._refresh(instance_id)

    def _refresh(self, instance_id: str) -> None:
        observations = self._observations[instance_id]
        report = observations.agreed_report(self._clock())
        self._valid_until[instance_id] = observations.valid_until
        self._replica_index.update(instance_id, report, self._instances)

    def _is_reached(self, instance_id: str) -> bool:
        return bool(self._observations[instance_id].reachable(self._clock()))
