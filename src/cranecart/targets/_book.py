"""What is known of instances, and which replicas are whole because of it."""

import time
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from cranecart.models import Instance, InstanceKind, MemberReport
from cranecart.targets._assemble import ServingReplica, assemble
from cranecart.targets._views import InstanceViews, View

# How long nobody must reach an instance until it is given up.
LOST_SECONDS = 3.0
PAUSE_SECONDS = 1.5
_LOOK_SECONDS = 0.5


@attrs.define
class ReportBook:
    """What this node and the live others found of each instance."""

    node_id: str
    _clock: Callable[[], float] = time.monotonic
    _instances: dict[str, Instance] = attrs.field(factory=dict, init=False)
    _views: dict[str, InstanceViews] = attrs.field(factory=dict, init=False)
    _missing_since: dict[str, float] = attrs.field(factory=dict, init=False)
    _looked_at: float = attrs.field(default=float('-inf'), init=False)
    _ticked_at: float | None = attrs.field(default=None, init=False)

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Return the listed instances by id."""
        return self._instances

    def listed(self) -> list[Instance]:
        """Return the list of instances, empty until there is one."""
        return list(self._instances.values())

    def is_informed(self, failure_domain: str) -> bool:
        """Tell whether something is known of every instance of a domain."""
        return bool(self._instances) and all(
            self._views[name].is_known
            for name, instance in self._instances.items()
            if instance.failure_domain == failure_domain
        )

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Take over a new list; forget whoever is no longer on it."""
        now = self._clock()
        self._instances = {instance.id: instance for instance in instances}
        self._views = {
            name: self._views.get(name) or InstanceViews(self.node_id)
            for name in self._instances
        }
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in self._instances
        }

    def replace_live_nodes(self, nodes: Collection[str]) -> None:
        """Take over whose reports count; forget what others said."""
        live_nodes = frozenset(nodes)
        for views in self._views.values():
            views.keep_only(live_nodes)

    def forget_shared(self) -> None:
        """Forget what other nodes found, as after a pause."""
        self.replace_live_nodes(())

    def tick(self) -> bool:
        """Notice a pause of this process; call several times a second.

        Return whether there was one. Time that this process slept through
        says nothing about the instances, so they get their time anew.
        """
        now = self._clock()
        was_paused = (
            self._ticked_at is not None
            and now - self._ticked_at > PAUSE_SECONDS
        )
        if was_paused:
            self.forget_shared()
            self._missing_since = dict.fromkeys(self._missing_since, now)
        self._ticked_at = now
        if now - self._looked_at < _LOOK_SECONDS:
            return was_paused
        self._looked_at = now
        self._missing_since.update(
            dict.fromkeys(filter(self._is_reached, self._instances), now),
        )
        return was_paused

    def note(self, report: MemberReport, node_id: str = '') -> None:
        """Take over what a node, this one if none is named, was told."""
        self._note(report.instance, report, node_id)

    def note_unreachable(self, instance_id: str, node_id: str = '') -> None:
        """Take over that an instance did not answer a node."""
        self._note(instance_id, None, node_id)

    def withdraw(self, instance_id: str, node_id: str = '') -> None:
        """Forget what a node found, as it asks the instance no more."""
        views = self._views.get(instance_id)
        if views is not None:
            views.withdraw(node_id or self.node_id)

    def report(self, instance_id: str) -> MemberReport | None:
        """Return what is held of an instance, if nothing speaks against it."""
        views = self._views.get(instance_id)
        return views.agreed(self._clock()) if views else None

    def fresh_reports(self) -> dict[str, MemberReport]:
        """Return all reports that count, by instance."""
        found = ((name, self.report(name)) for name in self._instances)
        return {name: report for name, report in found if report is not None}

    def lost(self) -> frozenset[str]:
        """Return the instances that nobody has reached for long enough."""
        now = self._clock()
        return frozenset(
            name
            for name, since in self._missing_since.items()
            if now - since > LOST_SECONDS and not self._is_reached(name)
        )

    def serving(self) -> list[ServingReplica]:
        """Return the replicas that may take new work now."""
        return list(assemble(self._instances, self.fresh_reports()))

    def services(self, name: str) -> list[Instance]:
        """Return the live instances of a plain service."""
        return [
            self._instances[instance_id]
            for instance_id in self.open_services()
            if self._instances[instance_id].service == name
        ]

    def open_services(self) -> list[str]:
        """Return the ids of the service instances that take work."""
        return [
            instance.id
            for instance in self._instances.values()
            if instance.kind is InstanceKind.SERVICE
            and not instance.leaving
            and self._is_open(instance.id)
        ]

    def _note(
        self,
        instance_id: str,
        report: MemberReport | None,
        node_id: str,
    ) -> None:
        source = node_id or self.node_id
        if instance_id in self._instances:
            view = View(report, self._clock())
            self._views[instance_id].note(source, view)

    def _is_open(self, instance_id: str) -> bool:
        report = self.report(instance_id)
        return report is not None and not report.draining

    def _is_reached(self, instance_id: str) -> bool:
        return bool(self._views[instance_id].reached(self._clock()))
