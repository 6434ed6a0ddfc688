"""State and callbacks shared by the parts of the mesh."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.fleet import SourceUpdate
from cranecart.mesh._messages import Heartbeat, Stopped, Summary, Suspect
from cranecart.mesh._peer_state import PeerState
from cranecart.mesh._retry_messages import RetryLoan
from cranecart.mesh._roster import Roster
from cranecart.mesh._stop_notices import StopNotices
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.models import Evacuation, RouteConfig
from cranecart.ports import ListedInstance, Row


def _ignore_offered(_message: Heartbeat | Summary) -> None:
    """Ignore the load of other nodes, where capacity is not planned."""


def _ignore_slow_targets(_sender: str, _paces: Mapping[str, int]) -> None:
    """Ignore slow targets, at a node that has none."""


def _lend_nothing(_service: str, _amount: float) -> float:
    """Lend no retries, where there is no budget."""
    return 0


def _ignore_loan(_loan: RetryLoan) -> None:
    """Ignore a loan of retries, where there is no budget."""


@attrs.define
class LocalState:
    """The state of this node that each heartbeat announces.

    ``link_mbps`` is the bandwidth of its link, 0 if it is not known.
    ``requests`` counts those received since the start; ``placer_domain`` is the
    failure domain whose placer this node is, if any. ``source_versions`` are
    the last changes read from the store, by source, and ``demand`` the work
    that clients ask for, by model. ``evacuations`` are all that it knows.
    ``offered`` is the load that arrives here, ``domain_offered`` that of the
    failure domain, and ``remote_offered`` what was heard of other failure
    domains since the last heartbeat. ``slow_targets`` has paces in hundredths by
    instance id. ``is_established`` is whether all other nodes know of this
    one, also those that were cut off when it started.
    """

    node_id: str
    address: str
    failure_domain: str
    link_mbps: float = 0
    requests: int = 0
    placer_domain: str = ''
    stopping: bool = False
    source_versions: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    offered: dict[str, float] = attrs.field(factory=dict)
    domain_offered: dict[str, float] = attrs.field(factory=dict)
    remote_offered: dict[str, dict[str, float]] = attrs.field(factory=dict)
    slow_targets: dict[str, int] = attrs.field(factory=dict)
    is_established: bool = True


def _ignore_evacuations(
    _evacuations: Sequence[Evacuation], _sender: str
) -> None:
    """Ignore evacuations, where nothing is sent to targets."""


@attrs.frozen
class MeshCallbacks:
    """Functions through which the mesh reads and updates the node.

    ``on_cases`` returns whether anything was new; ``refresh_local_state``
    updates the local state before a heartbeat is built from it. ``on_slow_targets``
    gets the paces that a node or the relay of a failure domain reports.
    ``lend_retries`` returns how many retries of a service are lent, of the number
    that another node asks for.
    """

    on_stopped: Callable[[Stopped], object]
    on_suspect: Callable[[Suspect], Awaitable[None]]
    on_cases: Callable[[RequestCases], bool]
    on_list_update: Callable[[SourceUpdate[ListedInstance]], None]
    on_record_update: Callable[[SourceUpdate[Row]], None]
    read_in_flight: Callable[[], Mapping[str, int]]
    read_config: Callable[[], RouteConfig | None]
    on_config: Callable[[RouteConfig], None]
    refresh_local_state: Callable[[], None]
    on_broken: Callable[[Broken], None]
    on_limits: Callable[[TargetLimits], None]
    on_leaving: Callable[[Leaving], object]
    on_evacuations: Callable[[Sequence[Evacuation], str], object] = (
        _ignore_evacuations
    )
    on_offered: Callable[[Heartbeat | Summary], None] = _ignore_offered
    on_slow_targets: Callable[[str, Mapping[str, int]], None] = (
        _ignore_slow_targets
    )
    lend_retries: Callable[[str, float], float] = _lend_nothing
    on_retry_loan: Callable[[RetryLoan], None] = _ignore_loan


@attrs.define
class MeshState:
    """State of this node and of its peers.

    ``last_digest_at`` is when a relay of the local failure domain last sent a
    digest, ``last_met_at`` when a heartbeat came from a node that was silent before.
    ``is_config_refused`` is whether the node last asked for the configuration
    had too many copies to send.
    """

    local: LocalState
    clock: Callable[[], float] = since_boot
    peer_state: PeerState = attrs.field(init=False)
    roster: Roster = attrs.field(init=False)
    stop_notices: StopNotices = attrs.field(init=False)
    last_digest_at: float | None = attrs.field(default=None, init=False)
    last_met_at: float = attrs.field(default=float('-inf'), init=False)
    is_config_refused: bool = attrs.field(default=False, init=False)

    @peer_state.default
    def _make_peer_state(self) -> PeerState:
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
            self.peer_state,
            self.clock,
            self.local.link_mbps,
        )

    @stop_notices.default
    def _make_stop_notices(self) -> StopNotices:
        return StopNotices(self.clock)
