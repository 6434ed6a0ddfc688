"""What is known of instances, and which replicas are whole because of it."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from cranecart.http import Address
from cranecart.models import Instance, InstanceKind, MemberReport, MemberState

FRESH_SECONDS = 3.0
LOST_SECONDS = 3.0
PAUSE_SECONDS = 1.5


@attrs.frozen
class ServingReplica:
    """A replica all of whose members say that they are ready for it."""

    id: str
    generation: int
    model: str
    version: str
    adapters: tuple[str, ...]
    members: tuple[str, ...]
    leader: Address
    failure_domain: str
    running: int
    queued: int
    slots: int

    @property
    def key(self) -> tuple[str, int]:
        """Return what tells this generation from all others."""
        return (self.id, self.generation)


@attrs.frozen
class _Entry:
    """A report and the local monotonic time at which it was true."""

    report: MemberReport
    at: float


@attrs.define
class ReportBook:
    """The latest report of each instance, and when it was true.

    A report counts while it is fresh. After a pause of this process nothing
    counts until it has been asked again.
    """

    _clock: Callable[[], float] = time.monotonic
    _instances: dict[str, Instance] = attrs.field(factory=dict, init=False)
    _entries: dict[str, _Entry] = attrs.field(factory=dict, init=False)
    _missing_since: dict[str, float] = attrs.field(factory=dict, init=False)
    _ticked_at: float | None = attrs.field(default=None, init=False)

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Return the listed instances by id."""
        return self._instances

    def replace_instances(self, instances: Iterable[Instance]) -> None:
        """Take over a new list; forget whoever is no longer on it."""
        now = self._clock()
        self._instances = {instance.id: instance for instance in instances}
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if name in self._instances
        }
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in self._instances
        }

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
            self._missing_since = dict.fromkeys(self._missing_since, now)
        self._ticked_at = now
        return was_paused

    def note(self, report: MemberReport, age: float = 0) -> None:
        """Take over a report that was true ``age`` seconds ago."""
        at = self._clock() - age
        known = self._entries.get(report.instance)
        if report.instance not in self._instances:
            return
        if known is not None and known.at > at:
            return
        self._entries[report.instance] = _Entry(report, at)
        self._missing_since[report.instance] = at

    def note_unreachable(self, instance_id: str) -> None:
        """Forget the report of an instance that did not answer."""
        self._entries.pop(instance_id, None)

    def report(self, instance_id: str) -> MemberReport | None:
        """Return the fresh report of an instance, if there is one."""
        entry = self._entries.get(instance_id)
        if entry is None or self._clock() - entry.at > FRESH_SECONDS:
            return None
        return entry.report

    def fresh_reports(self) -> dict[str, MemberReport]:
        """Return all fresh reports by instance."""
        found = ((name, self.report(name)) for name in self._instances)
        return {name: report for name, report in found if report is not None}

    def lost(self) -> frozenset[str]:
        """Return the instances that were silent for long enough."""
        now = self._clock()
        return frozenset(
            name
            for name, since in self._missing_since.items()
            if self.report(name) is None and now - since > LOST_SECONDS
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

    def _is_open(self, instance_id: str) -> bool:
        report = self.report(instance_id)
        return report is not None and not report.draining


_Group = tuple[str, int, tuple[str, ...]]


def assemble(
    instances: Mapping[str, Instance],
    reports: Mapping[str, MemberReport],
) -> Iterator[ServingReplica]:
    """Yield the whole replicas among fresh reports.

    A replica is whole when each of its members is listed and stays, and says
    itself that it is ready for this replica, generation and order of members.
    As an instance reports one replica only, no instance can be in two.
    """
    claimed: dict[_Group, set[str]] = defaultdict(set)
    for name, report in reports.items():
        if _can_serve(instances.get(name), report):
            group = (report.replica, report.generation, report.members)
            claimed[group].add(name)
    for (_replica, _generation, members), present in claimed.items():
        if members and present == set(members):
            yield _serving(instances[members[0]], reports[members[0]])


def _can_serve(instance: Instance | None, report: MemberReport) -> bool:
    if instance is None or instance.leaving:
        return False
    return (
        report.state is MemberState.READY
        and not report.draining
        and not report.retiring
    )


def _serving(leader: Instance, report: MemberReport) -> ServingReplica:
    return ServingReplica(
        report.replica,
        report.generation,
        report.model,
        report.version,
        report.adapters,
        report.members,
        leader.address,
        leader.failure_domain,
        report.running,
        report.queued,
        report.slots,
    )
