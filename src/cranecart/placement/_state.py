"""What the placer of one failure domain knows at one moment."""

from collections.abc import Mapping

import attrs

from cranecart.declarations import ModelSpec
from cranecart.instances import Instance, MemberReport, MemberState, ReplicaRow


@attrs.frozen
class DomainState:
    """Rows of the table, and what instances say of themselves.

    ``instances`` holds the domain's engines and nobody else's; ``reports``
    holds fresh reports only; ``lost`` names instances that have not answered
    for long enough to be given up; ``settled`` names instances that have said
    for long enough that they take no more work, so that all nodes know.
    """

    failure_domain: str
    models: tuple[ModelSpec, ...]
    rows: Mapping[str, ReplicaRow]
    owners: Mapping[str, str]
    instances: Mapping[str, Instance]
    reports: Mapping[str, MemberReport]
    lost: frozenset[str] = frozenset()
    settled: frozenset[str] = frozenset()

    def ordered_rows(self) -> list[ReplicaRow]:
        """Return the rows by id, so that equal states give equal plans."""
        return [self.rows[name] for name in sorted(self.rows)]

    def leader_report(self, row: ReplicaRow) -> MemberReport | None:
        """Return what a replica's leader says, if it answers."""
        return self.reports.get(row.members[0])

    def is_closed(self, instance_id: str) -> bool:
        """Tell whether an instance takes no more work, but still lives."""
        instance = self.instances.get(instance_id)
        report = self.reports.get(instance_id)
        listed = instance is not None and instance.leaving
        said = report is not None and (report.draining or report.retiring)
        return listed or said

    def is_leaving(self, instance_id: str) -> bool:
        """Tell whether an instance goes away, by the list or its word."""
        instance = self.instances.get(instance_id)
        report = self.reports.get(instance_id)
        listed = instance is not None and instance.leaving
        return listed or (report is not None and report.draining)

    def is_gone(self, instance_id: str) -> bool:
        """Tell whether an instance was lost or left the list."""
        return instance_id in self.lost or instance_id not in self.instances

    def is_free(self, instance_id: str) -> bool:
        """Tell whether an instance may join a replica.

        It must have let go of what it did before, by its own word.
        """
        report = self.reports.get(instance_id)
        if report is None or report.state is not MemberState.IDLE:
            return False
        if report.replica or instance_id in self.owners:
            return False
        return not self.is_gone(instance_id) and not self.is_leaving(
            instance_id,
        )

    def is_ready(self, row: ReplicaRow) -> bool:
        """Tell whether all members say that they serve this generation."""
        found = [self.reports.get(member) for member in row.members]
        return all(
            report is not None
            and report.state is MemberState.READY
            and report.generation == row.generation
            for report in found
        )

    def is_drained(self, row: ReplicaRow, closed: str) -> bool:
        """Tell whether work ended after an instance closed for all nodes."""
        report = self.leader_report(row)
        return (
            closed in self.settled
            and report is not None
            and report.running + report.queued == 0
        )
