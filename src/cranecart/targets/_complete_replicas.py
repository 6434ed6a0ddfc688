"""Find the complete replicas among the instances' reports."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

import attrs

from cranecart.http import Address
from cranecart.instances import Instance, MemberReport, MemberState


@attrs.frozen
class ServingReplica:
    """A replica whose members have all reported that they are ready for it."""

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
        """Return the key that identifies this generation."""
        return (self.id, self.generation)


_Group = tuple[str, int, tuple[str, ...]]


def complete_replicas(
    instances: Mapping[str, Instance],
    reports: Mapping[str, MemberReport],
) -> Iterator[ServingReplica]:
    """Yield the complete replicas among fresh reports.

    A replica is complete if each of its members is listed, is not leaving, and
    reports that it is ready for this replica, generation and order of members.
    As an instance reports one replica only, no instance can be in two.
    """
    ready_members: dict[_Group, set[str]] = defaultdict(set)
    for instance_id, report in reports.items():
        if _can_serve(instances.get(instance_id), report):
            group = (report.replica, report.generation, report.members)
            ready_members[group].add(instance_id)
    for (_replica, _generation, members), ready in ready_members.items():
        if members and ready == set(members):
            yield _serving_replica(instances[members[0]], reports[members[0]])


def _can_serve(instance: Instance | None, report: MemberReport) -> bool:
    if instance is None or instance.leaving:
        return False
    return (
        report.state is MemberState.READY
        and not report.draining
        and not report.retiring
    )


def _serving_replica(leader: Instance, report: MemberReport) -> ServingReplica:
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
