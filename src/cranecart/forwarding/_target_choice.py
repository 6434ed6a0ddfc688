"""Choose where the next attempt at a request goes."""

from collections.abc import Awaitable, Callable, Collection, Iterator

import attrs

from cranecart.exceptions import (
    AllTargetsRefusedError,
    PeerRefusedError,
    TargetError,
    TargetRefusedError,
    TargetsOutOfReachError,
    TargetUnreachableError,
)
from cranecart.forwarding._attempt import Attempt
from cranecart.forwarding._attempt_log import trace_passing_on, trace_routing
from cranecart.forwarding._call import routing_request
from cranecart.forwarding._failures import WITHOUT_RUN
from cranecart.forwarding._peer_requests import PeersOfCall
from cranecart.forwarding._request_state import RequestState
from cranecart.peer_calls import Peer, PeerCall, PeerClient
from cranecart.quarantine import RequestGuard
from cranecart.routing import RoutingRequest, Target, TargetRouter

# Retry-after sent with requests that arrive with too little time left.
_NO_TIME_RETRY_AFTER_SECONDS = 0.2
# With less time left than this, a request would time out before any target
# could answer. Operators configure objectives from 0.1 s upwards.
_MIN_OBJECTIVE_FRACTION = 0.1
_MIN_SECONDS_LEFT = 0.02
# Failed connections after which the request is passed on to another node, which
# may reach the targets that are left.
_FAILED_BEFORE_PEER = 2


@attrs.define
class TargetChoice:
    """Chooses another target, or a peer, for each attempt at a request.

    ``tried`` lists the instances that the request was sent to so far, also by
    peers, ``_excluded`` those that are not chosen again. ``_peers`` are the
    nodes that the request may be passed on to, none if it comes from one.
    """

    _state: RequestState
    _router: TargetRouter
    _guard: RequestGuard
    _peers: PeersOfCall | None
    tried: list[str] = attrs.field(factory=list, init=False)
    _excluded: list[str] = attrs.field(factory=list, init=False)
    # The targets that have refused, and those of them that are not asked again
    # at present.
    refused_by: list[str] = attrs.field(factory=list, init=False)
    _refusing: list[str] = attrs.field(factory=list, init=False)
    # Where attempts were cancelled as others went on, and how many targets each
    # may have reached.
    _lost: dict[str, int] = attrs.field(factory=dict, init=False)
    # The targets that this node does not reach, while others may.
    _unreached: set[str] = attrs.field(factory=set, init=False)

    @property
    def lost_count(self) -> int:
        """Return at how many other targets attempts did not fail."""
        return sum(self._lost.values())

    def exclude(self, instance_id: str) -> None:
        """Do not choose an instance again."""
        self.tried.append(instance_id)
        self._excluded.append(instance_id)

    def is_any_left(self, *, only_lost: bool = False) -> bool:
        """Return whether another target accepts requests, or a peer may.

        With ``only_lost`` only targets whose attempts were cancelled count.
        """
        call = self._state.call
        has_target = self._router.has_untried_target(
            call.config,
            call.service,
            call.facts.model,
            self._left_out(only_lost=only_lost),
        )
        return has_target or (
            self._peers is not None
            and not only_lost
            and self._is_peer_next()
            and self._peers.may_help(call.service)
        )

    def choose(self, *, only_lost: bool = False) -> Target | Peer:
        """Return where the next attempt goes; its target is left out from now on.

        ``only_lost`` is as in ``is_any_left``. Raise the ``RequestError`` that
        says why there is none.
        """
        self._check_time_left()
        request = routing_request(
            self._state.call,
            self._left_out(only_lost=only_lost),
            self._guard.instances_to_avoid(
                self._state.call.identify,
                self._state.call.facts.shared_segments,
            ),
            has_begun=self._state.has_begun,
        )
        choose = self._router.choose if only_lost else self._choose_reached
        choice = choose(request)
        if isinstance(choice, Target):
            self._excluded.append(choice.instance.id)
        return choice

    def record_start(self, choice: Target | Peer) -> None:
        """Log where an attempt goes, and why."""
        match choice:
            case Peer():
                trace_passing_on(
                    self._state.call,
                    choice,
                    self.tried,
                    self._state.failures.connects_failed,
                )
            case Target():
                trace_routing(self._state.call, choice, self.tried)
                self.tried.append(choice.instance.id)
                self._lost.pop(choice.instance.id, None)

    def readmit(self, choice: Target | Peer) -> None:
        """Let a target be chosen again."""
        if isinstance(choice, Target):
            self._readmit(choice.instance.id)

    def record_lost(self, attempt: Attempt) -> None:
        """Record that an attempt was cancelled as another went on."""
        self.readmit(attempt.choice)
        self._lost[attempt.name] = attempt.target_count

    def record_failure(self, target: Target, error: TargetError) -> None:
        """Record that an attempt at a target has failed."""
        if isinstance(error, TargetUnreachableError):
            self._unreached.add(target.instance.id)
        if isinstance(error, TargetRefusedError):
            self.refused_by.append(target.instance.id)
        if isinstance(error, WITHOUT_RUN):
            self._refusing.append(target.instance.id)

    def record_peer_failure(self, error: TargetError) -> None:
        """Record that an attempt through a peer has failed."""
        if isinstance(error, PeerRefusedError):
            for instance_id in error.refused_by:
                self.exclude(instance_id)
                self._refusing.append(instance_id)

    def call_through(
        self,
        peer: Peer,
        attempts_left: int,
        check: Callable[[str], Awaitable[None]],
        grant: Callable[[], bool],
    ) -> tuple[PeerClient, PeerCall]:
        """Return the call with which a peer is asked, and its client.

        ``check`` and ``grant`` are as in ``PeerCall``.
        """
        assert self._peers is not None
        call = self._peers.call_through(
            peer,
            self._state.call,
            [name for name in self._excluded if name not in self._unreached],
            attempts_left,
            check,
            has_begun=self._state.has_begun,
        )
        return self._peers.client, attrs.evolve(call, grant=grant)

    def retry_after_seconds(self) -> float:
        """Return when a client should retry that was refused by targets."""
        return self._router.retry_after_seconds(
            routing_request(
                self._state.call, (), has_begun=self._state.has_begun
            )
        )

    def _readmit(self, instance_id: str) -> None:
        if instance_id in self._excluded:
            self._excluded.remove(instance_id)

    def _left_out(self, *, only_lost: bool) -> Collection[str]:
        if self._state.may_wait:
            # Those that have refused may have a free slot by now.
            for instance_id in self._refusing:
                self._readmit(instance_id)
            self._refusing.clear()
        return _AllExcept(self._lost) if only_lost else self._excluded

    def _choose_reached(self, request: RoutingRequest) -> Target | Peer:
        """Return a target, or a peer if this node seems to reach none."""
        if self._is_peer_next():
            peer = self._next_peer()
            if peer is not None:
                return peer
        try:
            return self._router.choose(request)
        except TargetsOutOfReachError:
            return self._next_peer() or self._choose_unreached(request)

    def _choose_unreached(self, request: RoutingRequest) -> Target:
        """Return a target that may be reached though a connection failed."""
        try:
            return self._router.choose(
                attrs.evolve(request, tries_unreached=True)
            )
        except TargetsOutOfReachError as error:
            raise self._out_of_reach(error) from error

    def _is_peer_next(self) -> bool:
        """Return whether this node seems to reach no more targets."""
        return self._state.failures.connects_failed >= _FAILED_BEFORE_PEER

    def _next_peer(self) -> Peer | None:
        if self._peers is None:
            return None
        return self._peers.choose(self._state.call.service)

    def _out_of_reach(
        self, error: TargetsOutOfReachError
    ) -> TargetsOutOfReachError:
        if self._peers is None:
            return error
        return TargetsOutOfReachError(
            f'{error}, and no other node takes the request',
            retry_after=self._peers.retry_after_seconds(),
        )

    def _check_time_left(self) -> None:
        min_seconds = min(
            _MIN_OBJECTIVE_FRACTION * self._state.call.route.objective_seconds,
            _MIN_SECONDS_LEFT,
        )
        if (
            not self._state.has_begun
            and self._state.call.seconds_left <= min_seconds
        ):
            raise AllTargetsRefusedError(
                'no time is left for any target',
                retry_after=_NO_TIME_RETRY_AFTER_SECONDS,
            )


@attrs.frozen
class _AllExcept(Collection[str]):
    """The ids of all instances but some."""

    _ids: Collection[str]

    def __contains__(self, instance_id: object) -> bool:
        """Return whether an instance is not one of those."""
        return instance_id not in self._ids

    def __iter__(self) -> Iterator[str]:
        """Return no ids, as not all instances are known."""
        return iter(())

    def __len__(self) -> int:
        """Return the number of ids that are known, at least one."""
        return 1
