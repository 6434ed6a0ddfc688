"""What the parts of the mesh share."""

from collections.abc import Awaitable, Callable, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import News
from cranecart.mesh._messages import Stopped, Suspect
from cranecart.mesh._peer_state import PeerState
from cranecart.mesh._roster import Roster
from cranecart.mesh._stop_notices import StopNotices
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.models import RouteConfig
from cranecart.ports import ListedInstance, Row


@attrs.define
class LocalState:
    """What this node tells of itself with each beat."""

    node_id: str
    address: str
    failure_domain: str
    requests: int = 0
    placer_domain: str = ''
    stopping: bool = False
    source_versions: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class MeshCallbacks:
    """Whom to tell what other nodes say.

    ``cases`` returns whether anything was new; ``renew_own`` brings this node's
    own state up to date before it is told.
    """

    on_stopped: Callable[[Stopped], object]
    on_suspect: Callable[[Suspect], Awaitable[None]]
    on_cases: Callable[[RequestCases], bool]
    on_list_news: Callable[[News[ListedInstance]], None]
    on_record_news: Callable[[News[Row]], None]
    read_in_flight: Callable[[], Mapping[str, int]]
    read_config: Callable[[], RouteConfig | None]
    on_config: Callable[[RouteConfig], None]
    refresh_local_state: Callable[[], None]
    on_broken: Callable[[Broken], None]
    on_limits: Callable[[TargetLimits], None]
    on_leaving: Callable[[Leaving], object]


@attrs.define
class MeshState:
    """A node, the others, and what they told each other.

    ``digest_at`` is when a relay of the own failure domain spoke last.
    """

    local: LocalState
    clock: Callable[[], float] = since_boot
    others: PeerState = attrs.field(init=False)
    roster: Roster = attrs.field(init=False)
    notices: StopNotices = attrs.field(init=False)
    digest_at: float | None = attrs.field(default=None, init=False)

    @others.default
    def _make_others(self) -> PeerState:
        return PeerState(
            self.local.node_id,
            self.local.failure_domain,
            self.clock,
        )

    @roster.default
    def _make_roster(self) -> Roster:
        return Roster(
            self.local.node_id,
            self.local.failure_domain,
            self.others,
            self.clock,
        )

    @notices.default
    def _make_notices(self) -> StopNotices:
        return StopNotices(self.clock)
