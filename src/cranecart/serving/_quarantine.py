"""Connect the quarantine of crashing requests to the fleet and the mesh."""

from collections.abc import Callable, Sequence
from typing import Self

import attrs
import curio

from cranecart.fleet import Fleet
from cranecart.mesh import Mesh, RequestCases
from cranecart.ports import Incarnation, Table
from cranecart.quarantine import (
    CaseUpdate,
    HeldRows,
    RequestGuard,
    Runner,
    TerminationProbe,
)
from cranecart.reachability import TargetDialer


@attrs.frozen
class NodeQuarantine:
    """This node's request guard and the stored rows of held requests."""

    guard: RequestGuard
    rows: HeldRows
    _fleet: Fleet

    @classmethod
    def for_node(
        cls,
        node_id: str,
        table: Table,
        fleet: Fleet,
        mesh: Callable[[], Mesh],
        dialer: TargetDialer,
    ) -> Self:
        """Build the quarantine of a node; no request is known yet."""

        def publish(cases: Sequence[CaseUpdate]) -> None:  # noqa: WPS430
            mesh().publish(RequestCases(node_id, list(cases)))

        def is_expected(runner: Runner) -> bool:  # noqa: WPS430
            instance = fleet.instances.get(runner.id)
            return instance is None or instance.leaving

        def has_terminated(incarnation: Incarnation) -> bool:  # noqa: WPS430
            instance = fleet.find_instance(incarnation.id)
            if instance is None:
                return True
            if incarnation.id in fleet.instances:
                return instance.incarnation.differs_from(incarnation)
            # Its entry was removed: a termination, unless it was leaving.
            return not instance.leaving

        async def is_path_sound(  # noqa: WPS430
            runner: Runner, since: float
        ) -> bool:
            instance = fleet.find_instance(runner.id)
            return instance is None or await dialer.is_own_path_sound(
                instance, since
            )

        guard = RequestGuard(
            is_expected,
            publish,
            probe=TerminationProbe(is_path_sound=is_path_sound),
            has_terminated=has_terminated,
        )
        return cls(guard, HeldRows(node_id, table, guard.cases), fleet)

    def merge_remote(self, message: RequestCases) -> bool:
        """Merge another node's cases; return whether any of them is new."""
        changes = [
            self.guard.merge_remote(update, message.sender)
            for update in message.cases
        ]
        return any(changes)

    async def refresh(self) -> None:
        """Republish new cases, expire old ones and store held requests."""
        self.guard.refresh(self._fleet.instance_list.incarnations())
        if self.rows.has_pending_writes:
            # The store may be slow, and the caller must not wait for it.
            await curio.spawn(self.rows.write, daemon=True)
