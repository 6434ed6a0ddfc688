"""What matters in a report to other nodes than the one that asked for it."""

import enum

import attrs

from cranecart.instances import MemberReport

_LOAD_STEPS = 4


class Reach(enum.Enum):
    """What came of asking an instance."""

    ANSWERED = 'answered'
    SILENT = 'silent'
    NOT_ASKED = 'not asked'


@attrs.frozen
class Probe:
    """What a node found of an instance, or that it asks it no more."""

    reach: Reach
    report: MemberReport | None = None


def essence(report: MemberReport | None) -> MemberReport | None:
    """Return what nodes must agree on; the load may differ."""
    if report is None:
        return None
    return attrs.evolve(report, running=0, queued=0, slots=0, fencing=0)


def is_material(
    before: MemberReport | None,
    after: MemberReport | None,
) -> bool:
    """Tell whether other nodes should hear of a change of report."""
    if before is None or after is None:
        return before is not after
    return essence(before) != essence(after) or (
        _load_step(before) != _load_step(after)
    )


def _load_step(report: MemberReport) -> int:
    """Return the load in quarters of the slots, so that few changes count."""
    return (
        _LOAD_STEPS * (report.running + report.queued) // max(1, report.slots)
    )
