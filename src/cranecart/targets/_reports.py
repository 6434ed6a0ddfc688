"""What matters in a report to other nodes than the one that asked for it."""

import enum

import attrs

from cranecart.instances import MemberReport

_LOAD_STEP_COUNT = 4


class ProbeOutcome(enum.Enum):
    """What came of asking an instance."""

    ANSWERED = 'answered'
    SILENT = 'silent'
    NOT_ASKED = 'not asked'


@attrs.frozen
class ProbeResult:
    """What a node found of an instance, or that it asks it no more."""

    reach: ProbeOutcome
    report: MemberReport | None = None


def without_load(report: MemberReport | None) -> MemberReport | None:
    """Return what nodes must agree on; the load may differ."""
    if report is None:
        return None
    return attrs.evolve(report, running=0, queued=0, slots=0, fencing=0)


def is_significant_change(
    previous: MemberReport | None,
    current: MemberReport | None,
) -> bool:
    """Tell whether other nodes should hear of a change of report."""
    if previous is None or current is None:
        return previous is not current
    return without_load(previous) != without_load(current) or (
        _load_step(previous) != _load_step(current)
    )


def _load_step(report: MemberReport) -> int:
    """Return the load in quarters of the slots, so that few changes count."""
    return (
        _LOAD_STEP_COUNT
        * (report.running + report.queued)
        // max(1, report.slots)
    )
