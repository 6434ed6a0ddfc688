"""Keep the whole replicas up to date, one instance's change at a time.

Going through all instances of a failure domain for each request would cost
many milliseconds at several hundred of them.
"""

from collections import defaultdict
from collections.abc import Mapping

import attrs

from cranecart.instances import Instance, MemberReport
from cranecart.targets._assemble import ServingReplica, assemble

_Group = tuple[str, int, tuple[str, ...]]


@attrs.define
class Assembly:
    """The reports that count, by instance, and the replicas they make."""

    _reports: dict[str, MemberReport] = attrs.field(factory=dict, init=False)
    _groups: dict[_Group, set[str]] = attrs.field(
        factory=lambda: defaultdict(set),
        init=False,
    )
    _whole: dict[_Group, ServingReplica] = attrs.field(
        factory=dict,
        init=False,
    )

    @property
    def reports(self) -> Mapping[str, MemberReport]:
        """Return the reports that count, by instance."""
        return self._reports

    def whole(self) -> list[ServingReplica]:
        """Return the replicas all of whose members are ready for them."""
        return list(self._whole.values())

    def update(
        self,
        name: str,
        report: MemberReport | None,
        instances: Mapping[str, Instance],
    ) -> None:
        """Take over what counts of an instance now, or that nothing does."""
        before = self._reports.pop(name, None)
        if report is not None:
            self._reports[name] = report
        changed = {_group(one) for one in (before, report) if one is not None}
        for group in changed:
            if report is not None and _group(report) == group:
                self._groups[group].add(name)
            else:
                self._groups[group].discard(name)
            self._judge(group, instances)

    def _judge(
        self,
        group: _Group,
        instances: Mapping[str, Instance],
    ) -> None:
        present = self._groups[group]
        if not present:
            self._groups.pop(group)
        reports = {name: self._reports[name] for name in present}
        found = list(assemble(instances, reports))
        if found:
            self._whole[group] = found[0]
        else:
            self._whole.pop(group, None)


def _group(report: MemberReport) -> _Group:
    return (report.replica, report.generation, report.members)
