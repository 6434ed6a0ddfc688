"""Probe results that nodes share, and which of them are worth sharing."""

import enum

import attrs

from cranecart.instances import MemberReport

_LOAD_STEP_COUNT = 4


class ProbeOutcome(enum.Enum):
    """The outcome of a probe."""

    ANSWERED = 'answered'
    SILENT = 'silent'
    NOT_ASKED = 'not asked'


@attrs.frozen
class ProbeResult:
    """A node's latest probe of an instance, as published to other nodes.

    ``reach`` is the outcome; ``NOT_ASKED`` means that the node has stopped
    probing the instance.
    """

    reach: ProbeOutcome
    report: MemberReport | None = None


def without_load(report: MemberReport | None) -> MemberReport | None:
    """Return the part of a report that all nodes must agree on."""
    if report is None:
        return None
    return attrs.evolve(report, running=0, queued=0, slots=0, fencing=0)


def is_significant_change(
    previous: MemberReport | None,
    current: MemberReport | None,
) -> bool:
    """Return whether a change should be published to other nodes."""
    if previous is None or current is None:
        return previous is not current
    return without_load(previous) != without_load(current) or (
        _load_step(previous) != _load_step(current)
    )


def _load_step(report: MemberReport) -> int:
    """Return the load in quarters of the slots, so that it changes rarely."""
    return (
        _LOAD_STEP_COUNT
        * (report.running + report.queued)
        // max(1, report.slots)
    )
