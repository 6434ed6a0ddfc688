"""Keep track of the complete replicas, one changed report at a time.

Looking for them among all instances at each request would take many
milliseconds with several hundred instances in a failure domain.
"""

from collections import defaultdict
from collections.abc import Mapping

import attrs

from cranecart.instances import Instance, MemberReport
from cranecart.targets._complete_replicas import (
    ServingReplica,
    complete_replicas,
)

_Group = tuple[str, int, tuple[str, ...]]


@attrs.define
class ReplicaIndex:
    """The valid reports by instance, and the replicas that they complete."""

    _reports: dict[str, MemberReport] = attrs.field(factory=dict, init=False)
    _groups: dict[_Group, set[str]] = attrs.field(
        factory=lambda: defaultdict(set),
        init=False,
    )
    _complete: dict[_Group, ServingReplica] = attrs.field(
        factory=dict,
        init=False,
    )

    @property
    def reports(self) -> Mapping[str, MemberReport]:
        """Return the valid reports by instance."""
        return self._reports

    def complete(self) -> list[ServingReplica]:
        """Return the replicas whose members are all ready."""
        return list(self._complete.values())

    def update(
        self,
        instance_id: str,
        report: MemberReport | None,
        instances: Mapping[str, Instance],
    ) -> None:
        """Replace an instance's report; ``None`` means that none is valid."""
        previous = self._reports.pop(instance_id, None)
        if report is not None:
            self._reports[instance_id] = report
        changed = {
            _group_of(member_report)
            for member_report in (previous, report)
            if member_report is not None
        }
        for group in changed:
            if report is not None and _group_of(report) == group:
                self._groups[group].add(instance_id)
            else:
                self._groups[group].discard(instance_id)
            self._refresh_group(group, instances)

    def _refresh_group(
        self,
        group: _Group,
        instances: Mapping[str, Instance],
    ) -> None:
        member_ids = self._groups[group]
        if not member_ids:
            self._groups.pop(group)
        reports = {
            instance_id: self._reports[instance_id]
            for instance_id in member_ids
        }
        replicas = list(complete_replicas(instances, reports))
        if replicas:
            self._complete[group] = replicas[0]
        else:
            self._complete.pop(group, None)


def _group_of(report: MemberReport) -> _Group:
    return (report.replica, report.generation, report.members)
