"""Pass a request on to another node, and take over one from another node."""

import random
from collections.abc import Awaitable, Callable, Sequence

import attrs

from cranecart.exceptions import (
    NotConfiguredError,
    NotFoundError,
    PeerAnsweredError,
    PeerRefusedError,
    PeerUnableError,
    ReplicasUnknownError,
    RequestError,
    TargetsOutOfReachError,
    TargetUnreachableError,
    UnauthorizedError,
)
from cranecart.forwarding._admit import admit
from cranecart.forwarding._call import RoutedCall
from cranecart.forwarding._failures import AttemptFailures
from cranecart.logs import RequestTrace
from cranecart.models import RouteConfig
from cranecart.peer_calls import (
    UNABLE_SECONDS,
    Peer,
    PeerCall,
    PeerClient,
    PeerOutcome,
    PeerRequest,
)
from cranecart.ports import RequestInfo

# Another node may be able to handle a request that ended here with one of
# these: it has other paths, or another version of the configuration.
_UNABLE_ERRORS = (
    TargetsOutOfReachError,
    NotConfiguredError,
    ReplicasUnknownError,
    NotFoundError,
    UnauthorizedError,
)


# Peers that are asked for one request. Each that cannot handle it says so at
# once, and is not asked again for some time.
_MAX_PEERS = 32
# When peers may be able again that were found to be unable.
_RETRY_AFTER_SECONDS = 0.5


@attrs.define
class PeersOfCall:
    """The peers that one request may be passed on to, each once."""

    client: PeerClient
    _node_id: str
    _asked: list[str] = attrs.field(factory=list, init=False)

    def choose(self, service: str) -> Peer | None:
        """Return the next peer to ask, if any is left."""
        if len(self._asked) >= _MAX_PEERS:
            return None
        peer = self.client.choice.choose(service, self._asked)
        if peer is not None:
            self._asked.append(peer.name)
        return peer

    def may_help(self, service: str) -> bool:
        """Return whether a peer is left to ask."""
        choice = self.client.choice
        has_room = len(self._asked) < _MAX_PEERS
        return has_room and choice.choose(service, self._asked) is not None

    def retry_after_seconds(self) -> float:
        """Return when a client should retry that no peer can help."""
        return self.client.choice.seconds_until_able(_RETRY_AFTER_SECONDS)

    def call_through(
        self,
        peer: Peer,
        call: RoutedCall,
        tried: Sequence[str],
        attempts_left: int,
        check: Callable[[str], Awaitable[None]],
        *,
        has_begun: bool,
    ) -> PeerCall:
        """Return the call with which a peer is asked to handle a request.

        ``check`` is as in ``PeerCall``.
        """
        request = call.request
        message = PeerRequest(
            self._node_id,
            request.method,
            request.target,
            request.header_lines,
            request.body,
            call.service,
            call.seconds_left,
            call.elapsed_seconds,
            call.retrying_for_seconds,
            attempts_left,
            list(tried),
            has_begun=has_begun,
        )
        return PeerCall(
            peer, message, call.may_repeat, lambda: call.seconds_left, check
        )


def admit_from_peer(
    message: PeerRequest,
    facts: RequestInfo,
    config: RouteConfig | None,
    random_source: random.Random,
    trace: RequestTrace,
    now: float,
) -> RoutedCall:
    """Admit a request of a peer's client as one of this node's own clients.

    Route, key and organisation follow from the client's request, so that a
    sender could claim nothing that a client could not have. Raise the errors of
    ``admit``.
    """
    call = admit(message.to_request(), facts, config, random_source, trace, now)
    services = {share.service for share in call.route.shares}
    return attrs.evolve(
        call,
        service=message.service
        if message.service in services
        else call.service,
        started_at=now - message.elapsed_seconds,
        ends_at=min(call.ends_at, now + message.seconds_left),
        retrying_for_seconds=message.retrying_seconds,
    )


def outcome_for_peer(
    error: RequestError,
    failures: AttemptFailures,
    able: dict[str, float],
    refused_by: Sequence[str] = (),
    retry_after: float | None = None,
) -> PeerOutcome:
    """Return what a peer is told of a request that this node gave up.

    ``able`` are nodes that may handle it. The targets ``refused_by`` have refused
    it, and may take it after ``retry_after`` seconds.
    """
    reached_none = isinstance(failures.decisive_error, TargetUnreachableError)
    is_unable = reached_none or isinstance(error, _UNABLE_ERRORS)
    return PeerOutcome(
        from_target=False,
        status=error.status,
        code=error.code,
        message=str(error),
        execution=error.execution,
        unable=is_unable and not failures.may_have_run,
        retry_after=error.retry_after if retry_after is None else retry_after,
        able=able,
        refused_by=list(refused_by),
    )


def check_outcome(
    client: PeerClient, call: PeerCall, outcome: PeerOutcome
) -> None:
    """Return if the peer passes a target's response on.

    Raise ``PeerUnableError`` or ``PeerRefusedError`` if another peer is to be
    asked, else ``PeerAnsweredError``.
    """
    choice = client.choice
    service = call.request.service
    if outcome.from_target:
        choice.record_served(call.peer, service)
        return
    text = f'{call.peer.name}: {outcome.message}'
    if outcome.unable:
        seconds = outcome.retry_after or UNABLE_SECONDS
        if outcome.is_general:
            choice.record_busy(call.peer, seconds)
        else:
            choice.record_unable(call.peer, seconds, service)
        choice.knowledge.learn(service, outcome.able)
        if outcome.refused_by:
            names = ', '.join(outcome.refused_by)
            raise PeerRefusedError(
                f'{text}; refused by {names}',
                outcome.refused_by,
                outcome.retry_after,
            )
        raise PeerUnableError(text)
    raise PeerAnsweredError(
        text,
        status=outcome.status,
        code=outcome.code,
        execution=outcome.execution,
        retry_after=outcome.retry_after,
    )
