"""The state of one failure domain that a plan is based on."""

from collections.abc import Mapping

import attrs

from cranecart.declarations import ModelSpec
from cranecart.instances import Instance, MemberReport, MemberState, ReplicaRow


@attrs.frozen
class DomainState:
    """The rows of the table, and what instances report.

    ``instances`` holds only the domain's engines; ``reports`` holds recent
    reports only; ``lost`` names instances that have not answered for so long
    that they are considered dead; ``quiesced`` names instances that have
    refused requests for so long that all nodes have learned of it. While the
    domain ``is_evacuated``, nothing is created or repaired there.
    """

    failure_domain: str
    models: tuple[ModelSpec, ...]
    rows: Mapping[str, ReplicaRow]
    owners: Mapping[str, str]
    instances: Mapping[str, Instance]
    reports: Mapping[str, MemberReport]
    lost: frozenset[str] = frozenset()
    quiesced: frozenset[str] = frozenset()
    is_evacuated: bool = False

    def ordered_rows(self) -> list[ReplicaRow]:
        """Return the rows by id, so that equal states give equal plans."""
        return [self.rows[name] for name in sorted(self.rows)]

    def leader_report(self, row: ReplicaRow) -> MemberReport | None:
        """Return the report of a replica's leader, if there is one."""
        return self.reports.get(row.members[0])

    def is_refusing_requests(self, instance_id: str) -> bool:
        """Return whether a live instance accepts no more requests."""
        instance = self.instances.get(instance_id)
        report = self.reports.get(instance_id)
        is_listed_leaving = instance is not None and instance.leaving
        is_reported = report is not None and (
            report.draining or report.retiring
        )
        return is_listed_leaving or is_reported

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance is listed or reported as leaving."""
        instance = self.instances.get(instance_id)
        report = self.reports.get(instance_id)
        is_listed_leaving = instance is not None and instance.leaving
        return is_listed_leaving or (report is not None and report.draining)

    def is_gone(self, instance_id: str) -> bool:
        """Return whether an instance was lost or is no longer listed."""
        return instance_id in self.lost or instance_id not in self.instances

    def is_free(self, instance_id: str) -> bool:
        """Return whether an instance may join a replica.

        It must have reported that it has left its earlier replica. No instance
        is free in an evacuated failure domain.
        """
        report = self.reports.get(instance_id)
        if report is None or report.state is not MemberState.IDLE:
            return False
        if self.is_evacuated:
            return False
        if report.replica or instance_id in self.owners:
            return False
        return not self.is_gone(instance_id) and not self.is_leaving(
            instance_id,
        )

    def is_ready(self, row: ReplicaRow) -> bool:
        """Return whether all members report that they serve this generation."""
        member_reports = [self.reports.get(member) for member in row.members]
        return all(
            report is not None
            and report.state is MemberState.READY
            and report.generation == row.generation
            for report in member_reports
        )

    def is_drained(self, row: ReplicaRow, instance_id: str) -> bool:
        """Return whether a replica has no work left after a member closed."""
        report = self.leader_report(row)
        return (
            instance_id in self.quiesced
            and report is not None
            and report.running + report.queued == 0
        )
