"""A node's part in holding requests that end targets, wired to its peers."""

from collections.abc import Callable, Sequence
from typing import Self

import attrs
import curio

from cranecart.fleet import Fleet
from cranecart.mesh import Mesh, RequestCases
from cranecart.ports import Incarnation, Table
from cranecart.quarantine import CaseUpdate, HeldRows, RequestGuard, Runner


@attrs.frozen
class NodeQuarantine:
    """The guard of this node, the rows of held requests, and other nodes."""

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
    ) -> Self:
        """Know of no request yet."""

        def tell(cases: Sequence[CaseUpdate]) -> None:  # noqa: WPS430
            mesh().publish(RequestCases(node_id, list(cases)))

        def is_expected(runner: Runner) -> bool:  # noqa: WPS430
            listed = fleet.instances.get(runner.id)
            return listed is None or listed.leaving

        def has_ended(incarnation: Incarnation) -> bool:  # noqa: WPS430
            known = fleet.find_instance(incarnation.id)
            if known is None:
                return True
            if incarnation.id in fleet.instances:
                return known.incarnation.is_another(incarnation)
            # Its entry went, but not as it was leaving.
            return not known.leaving

        guard = RequestGuard(is_expected, tell, has_terminated=has_ended)
        return cls(guard, HeldRows(node_id, table, guard.cases), fleet)

    def merge_remote(self, message: RequestCases) -> bool:
        """Take over what another node knows; return whether it is news."""
        news = [
            self.guard.merge_remote(one, message.sender)
            for one in message.cases
        ]
        return any(news)

    async def refresh(self) -> None:
        """Repeat what is new, forget what is old, write what must last."""
        self.guard.refresh(self._fleet.instance_list.incarnations())
        if self.rows.has_pending_writes:
            # The store may be slow: nothing else is kept waiting for it.
            await curio.spawn(self.rows.write, daemon=True)
