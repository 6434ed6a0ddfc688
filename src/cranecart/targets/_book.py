"""What is known of instances, and which replicas are whole because of it."""

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.instances import Instance, InstanceKind, MemberReport
from cranecart.targets._assemble import ServingReplica
from cranecart.targets._assembly import Assembly
from cranecart.targets._silence import Silence
from cranecart.targets._views import InstanceViews, View

PAUSE_SECONDS = 1.5


@attrs.define
class ReportBook:
    """What this node and the live others found of each instance."""

    node_id: str
    _clock: Callable[[], float] = since_boot
    _instances: dict[str, Instance] = attrs.field(factory=dict, init=False)
    _views: dict[str, InstanceViews] = attrs.field(factory=dict, init=False)
    _assembly: Assembly = attrs.field(factory=Assembly, init=False)
    _valid_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _silence: Silence = attrs.field(factory=Silence, init=False)
    _ticked_at: float | None = attrs.field(default=None, init=False)

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Return the listed instances by id."""
        return self._instances

    def is_informed(self, failure_domain: str) -> bool:
        """Tell whether something is known of every instance of a domain."""
        return bool(self._instances) and all(
            self._views[name].is_known
            for name, instance in self._instances.items()
            if instance.failure_domain == failure_domain
        )

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Take over a new list; forget whoever is no longer on it."""
        gone = self._instances.keys()
        self._instances = {instance.id: instance for instance in instances}
        for name in gone - self._instances.keys():
            self._assembly.update(name, None, self._instances)
        self._views = {
            name: self._views.get(name) or InstanceViews(self.node_id)
            for name in self._instances
        }
        self._silence.keep_only(self._instances, self._clock())
        self._refresh_all()

    def replace_live_nodes(self, nodes: Collection[str]) -> None:
        """Take over whose reports count; forget what others said."""
        live_nodes = frozenset(nodes)
        for views in self._views.values():
            views.keep_only(live_nodes)
        self._refresh_all()

    def forget_shared(self) -> None:
        """Forget what other nodes found, as after a pause."""
        self.replace_live_nodes(())

    def tick(self) -> bool:
        """Notice a pause of this process; call several times a second.

        Return whether there was one. Time that this process slept through
        says nothing about the instances, so they get their time anew.
        """
        now = self._clock()
        was_paused = self._was_paused(now)
        if was_paused:
            self.forget_shared()
            self._silence.start_anew(now)
        self._ticked_at = now
        for name, until in self._valid_until.items():
            if until <= now:
                self._refresh(name)
        self._silence.look(self._is_reached, now)
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
            self._refresh(instance_id)

    def report(self, instance_id: str) -> MemberReport | None:
        """Return what is held of an instance, if nothing speaks against it."""
        return self.fresh_reports().get(instance_id)

    def fresh_reports(self) -> Mapping[str, MemberReport]:
        """Return all reports that count, by instance."""
        return {} if self._is_behind() else self._assembly.reports

    def lost(self) -> frozenset[str]:
        """Return the instances that nobody has reached for long enough."""
        return self._silence.lost(self._is_reached, self._clock())

    def serving(self) -> list[ServingReplica]:
        """Return the replicas that may take new work now."""
        return [] if self._is_behind() else self._assembly.whole()

    def services(self, name: str) -> list[Instance]:
        """Return the live instances of a plain service."""
        return [
            self._instances[instance_id]
            for instance_id in self.open_services()
            if self._instances[instance_id].service == name
        ]

    def open_services(self) -> list[str]:
        """Return the ids of the service instances that take work."""
        reports = self.fresh_reports()
        return [
            name
            for name, instance in self._instances.items()
            if instance.kind is InstanceKind.SERVICE
            and not instance.leaving
            and name in reports
            and not reports[name].draining
        ]

    def _was_paused(self, now: float) -> bool:
        ticked_at = self._ticked_at
        return ticked_at is not None and now - ticked_at > PAUSE_SECONDS

    def _is_behind(self) -> bool:
        """Tell whether this process slept and has not looked around since."""
        return self._was_paused(self._clock())

    def _note(
        self,
        instance_id: str,
        report: MemberReport | None,
        node_id: str,
    ) -> None:
        if instance_id in self._instances:
            view = View(report, self._clock())
            self._views[instance_id].note(node_id or self.node_id, view)
            self._refresh(instance_id)

    def _refresh_all(self) -> None:
        self._valid_until = dict.fromkeys(self._instances, 0)
        for name in self._instances:
            self._refresh(name)

    def _refresh(self, name: str) -> None:
        views = self._views[name]
        report = views.agreed(self._clock())
        self._valid_until[name] = views.valid_until
        self._assembly.update(name, report, self._instances)

    def _is_reached(self, instance_id: str) -> bool:
        return bool(self._views[instance_id].reached(self._clock()))
