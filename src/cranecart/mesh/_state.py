"""What the parts of the mesh share."""

from collections.abc import Awaitable, Callable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import News
from cranecart.mesh._messages import Stopped, Suspect
from cranecart.mesh._notices import Notices
from cranecart.mesh._others import Others
from cranecart.mesh._roster import Roster
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.models import RouteConfig
from cranecart.ports import ListedInstance, Row


@attrs.define
class OwnState:
    """What this node tells of itself with each beat."""

    node_id: str
    address: str
    failure_domain: str
    requests: int = 0
    places: str = ''
    stopping: bool = False
    announced: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class MeshEvents:
    """Whom to tell what other nodes say.

    ``cases`` returns whether anything was new; ``renew_own`` brings this node's
    own state up to date before it is told.
    """

    stopped: Callable[[Stopped], object]
    suspect: Callable[[Suspect], Awaitable[None]]
    cases: Callable[[RequestCases], bool]
    list_news: Callable[[News[ListedInstance]], None]
    record_news: Callable[[News[Row]], None]
    in_flight: Callable[[], Mapping[str, int]]
    read_config: Callable[[], RouteConfig | None]
    take_config: Callable[[RouteConfig], None]
    renew_own: Callable[[], None]
    broken: Callable[[Broken], None]
    limits: Callable[[TargetLimits], None]
    leaving: Callable[[Leaving], object]


@attrs.define
class Circle:
    """A node, the others, and what they told each other.

    ``digest_at`` is when a relay of the own failure domain spoke last.
    """

    own: OwnState
    clock: Callable[[], float] = since_boot
    others: Others = attrs.field(init=False)
    roster: Roster = attrs.field(init=False)
    notices: Notices = attrs.field(init=False)
    digest_at: float | None = attrs.field(default=None, init=False)

    @others.default
    def _make_others(self) -> Others:
        return Others(
            self.own.node_id,
            self.own.failure_domain,
            self.clock,
        )

    @roster.default
    def _make_roster(self) -> Roster:
        return Roster(
            self.own.node_id,
            self.own.failure_domain,
            self.others,
            self.clock,
        )

    @notices.default
    def _make_notices(self) -> Notices:
        return Notices(self.clock)
