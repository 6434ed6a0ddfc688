"""What several nodes found of one instance."""

import attrs

from cranecart.instances import MemberReport
from cranecart.targets._reports import essence

# How long a report that this node fetched itself counts.
FRESH_SECONDS = 5.0
# How long one node's failure to reach an instance outweighs another's
# success; the other has asked again by then and told if it failed too.
DOUBT_SECONDS = 4.0


@attrs.frozen
class View:
    """What one node found of an instance; no report means no answer."""

    report: MemberReport | None
    at: float


@attrs.define
class InstanceViews:
    """The views of one instance by node; own ones expire, others' do not.

    A report of another node counts until that node tells of a change or is
    not held alive any more: as long as it lives it goes on asking.
    """

    _own: str
    _views: dict[str, View] = attrs.field(factory=dict, init=False)

    @property
    def is_known(self) -> bool:
        """Tell whether any node found something, good or bad."""
        return bool(self._views)

    def note(self, node_id: str, view: View) -> None:
        """Take over a node's newest view."""
        self._views[node_id] = view

    def withdraw(self, node_id: str) -> None:
        """Forget the view of a node that does not ask any more."""
        self._views.pop(node_id, None)

    def keep_only(self, nodes: frozenset[str]) -> None:
        """Forget what any but these nodes and this one found."""
        for gone in self._views.keys() - nodes - {self._own}:
            self._views.pop(gone)

    @property
    def valid_until(self) -> float:
        """Return until when ``agreed`` stays what it was, if nothing comes."""
        own = self._views.get(self._own)
        ends = [
            view.at + DOUBT_SECONDS
            for view in self._views.values()
            if view.report is None
        ]
        if own is not None:
            ends.append(own.at + FRESH_SECONDS)
        return min(ends, default=float('inf'))

    def agreed(self, now: float) -> MemberReport | None:
        """Return the report, if nothing speaks against it.

        All nodes that reach the instance must agree on what it is, and none
        may have failed to reach it just now.
        """
        if any(_is_doubt(view, now) for view in self._views.values()):
            return None
        reached = self.reached(now)
        if len({essence(view.report) for view in reached}) != 1:
            return None
        return max(reached, key=lambda view: view.at).report

    def reached(self, now: float) -> list[View]:
        """Return the views of the nodes that reach the instance."""
        return [
            view
            for node, view in self._views.items()
            if view.report is not None
            and (node != self._own or now - view.at <= FRESH_SECONDS)
        ]


def _is_doubt(view: View, now: float) -> bool:
    return view.report is None and now - view.at < DOUBT_SECONDS
