"""Handle the messages of other nodes."""

import attrs

from cranecart.exceptions import CorruptObjectError
from cranecart.fleet import Extent
from cranecart.logs import log_decision
from cranecart.mesh._config_copies import ConfigCopies, unpack_config
from cranecart.mesh._messages import (
    ConfigAsk,
    ConfigBusy,
    ConfigCopy,
    Digest,
    ForwardableMessage,
    Forwarded,
    Heartbeat,
    ListNews,
    MeshMessage,
    RecordNews,
    Stopped,
    Summary,
    Suspect,
)
from cranecart.mesh._retry_messages import RetryLoan, RetryLoanRequest
from cranecart.mesh._roster import PeerNode
from cranecart.mesh._state import MeshCallbacks, MeshState
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.transport import PeerTransport


@attrs.define
class MessageHandler:
    """Updates the mesh state from messages, and passes others to callbacks.

    An active relay also forwards messages of other failure domains to the
    nodes of its own.
    """

    _state: MeshState
    _transport: PeerTransport[MeshMessage]
    _callbacks: MeshCallbacks
    # The last forwarded version, by message type and extent.
    _forwarded_versions: dict[tuple[type, Extent], int] = attrs.field(
        factory=dict,
        init=False,
    )
    _copies: ConfigCopies = attrs.field(
        default=attrs.Factory(
            lambda handler: ConfigCopies(handler._state.clock), takes_self=True
        ),
        init=False,
    )

    async def handle(self, message: MeshMessage) -> None:
        """Handle one message."""
        now = self._state.clock()
        match message:
            case Heartbeat():
                self._handle_heartbeat(message)
            case Digest():
                self._handle_digest(message, now)
            case Summary():
                self._handle_summary(message, now)
            case Suspect():
                await self._callbacks.on_suspect(message)
            case ConfigAsk() | ConfigCopy() | ConfigBusy():
                self._handle_config_message(message)
            case RetryLoanRequest():
                self._lend_retries(message)
            case RetryLoan():
                self._callbacks.on_retry_loan(message)
            case Forwarded():
                self._handle_forwardable(message.message, is_forwarded=True)
            case _:
                self._handle_forwardable(message, is_forwarded=False)

    def _handle_forwardable(
        self, message: ForwardableMessage, *, is_forwarded: bool
    ) -> None:
        """Handle a message; forward it if it comes from its first sender."""
        if self._is_new(message) and not is_forwarded:
            self._forward_to_domain(message)
        match message:
            case Stopped():
                self._callbacks.on_stopped(message)
            case ListNews():
                self._callbacks.on_list_update(message.update)
            case RecordNews():
                self._callbacks.on_record_update(message.update)
            case Broken() | Leaving() | TargetLimits():
                self._handle_target_message(message)

    def _handle_target_message(
        self, message: Broken | Leaving | TargetLimits
    ) -> None:
        match message:
            case Broken():
                self._callbacks.on_broken(message)
            case Leaving():
                self._callbacks.on_leaving(message)
            case TargetLimits():
                self._callbacks.on_limits(message)

    def _is_new(self, message: ForwardableMessage) -> bool:
        """Record a message; return whether it may contain anything new."""
        match message:
            case Stopped():
                return self._state.stop_notices.add(message)
            case RequestCases():
                return self._callbacks.on_cases(message)
        return True

    def _forward_to_domain(self, message: ForwardableMessage) -> None:
        """Forward a message of another failure domain, if this node relays.

        Nodes that seem to be silent get only what nothing else tells them.
        """
        roster = self._state.roster
        sender = roster.peers.get(message.sender)
        if (
            sender is None
            or not roster.uses_relays
            or not roster.is_active_relay()
        ):
            return
        is_local = sender.failure_domain == self._state.local.failure_domain
        if is_local or self._has_forwarded(message):
            return
        include_silent = isinstance(message, Stopped | RequestCases)
        self._transport.send_all(
            roster.domain_addresses(include_silent=include_silent),
            Forwarded(message),
        )

    def _has_forwarded(self, message: ForwardableMessage) -> bool:
        """Record a source's version; return whether it was forwarded before.

        Several nodes may read the same changes when a reader is replaced.
        """
        if not isinstance(message, ListNews | RecordNews):
            return False
        kind = (type(message), message.update.extent)
        version = message.update.version
        if version <= self._forwarded_versions.get(kind, -1):
            return True
        self._forwarded_versions[kind] = version
        return False

    def _handle_config_message(
        self, message: ConfigAsk | ConfigCopy | ConfigBusy
    ) -> None:
        match message:
            case ConfigAsk():
                self._send_config(message)
            case ConfigCopy():
                self._receive_config(message)
            case ConfigBusy():
                self._state.is_config_refused = True

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._handle_repeated_stops(heartbeat.recent_stops)
        self._handle_evacuations(heartbeat)
        if heartbeat.stopping:
            self._state.peer_state.record_stopping(heartbeat)
            self._state.roster.remove_relay(heartbeat.sender)
            self._state.roster.stopping.record(
                heartbeat.sender, heartbeat.address, heartbeat.failure_domain
            )
            return
        if not self._state.peer_state.was_seen_recently(heartbeat.sender):
            self._state.last_met_at = self._state.clock()
        if not self._state.peer_state.has_sent_heartbeat(heartbeat.sender):
            log_decision(
                'peer_met', peer=heartbeat.sender, address=heartbeat.address
            )
        if heartbeat.via_relays:
            self._state.roster.enable_relays()
        peer = PeerNode(heartbeat.address, heartbeat.failure_domain)
        self._state.roster.add(heartbeat.sender, peer)
        self._state.peer_state.record_heartbeat(heartbeat)
        if heartbeat.offered:
            self._callbacks.on_offered(heartbeat)
        if not heartbeat.via_relays:
            self._callbacks.on_slow_targets(
                heartbeat.sender, heartbeat.slow_targets
            )

    def _handle_digest(self, digest: Digest, now: float) -> None:
        domain = digest.summary.failure_domain
        self._handle_heartbeat(digest.heartbeat)
        self._state.roster.enable_relays()
        if domain == self._state.local.failure_domain:
            self._state.last_digest_at = now
            self._state.roster.record_relay_coverage(digest)
            self._state.peer_state.record_digest(digest)
            self._callbacks.on_slow_targets(domain, digest.summary.slow_targets)
            for name, address in digest.summary.relays.items():
                self._add_relay(name, PeerNode(address, domain))
            if digest.summary.offered:
                self._callbacks.on_offered(digest.summary)
        self._handle_repeated_stops(digest.summary.recent_stops)
        self._handle_evacuations(digest.summary)
        for age, summary in zip(
            digest.summary_ages, digest.other_summaries, strict=False
        ):
            self._handle_summary(summary, now - age)

    def _add_relay(self, name: str, peer: PeerNode) -> None:
        if name != self._state.local.node_id:
            self._state.roster.add(name, peer)

    def _handle_summary(self, summary: Summary, made_at: float) -> None:
        self._state.roster.enable_relays()
        if summary.failure_domain != self._state.local.failure_domain:
            self._state.peer_state.record_summary(summary, made_at)
            if summary.offered:
                self._callbacks.on_offered(summary)
            self._callbacks.on_slow_targets(
                summary.failure_domain, summary.slow_targets
            )
        self._handle_repeated_stops(summary.recent_stops)
        self._handle_evacuations(summary)

    def _handle_evacuations(self, message: Heartbeat | Summary) -> None:
        if message.evacuations:
            self._callbacks.on_evacuations(message.evacuations, message.sender)

    def _handle_repeated_stops(self, stops: list[Stopped]) -> None:
        for message in stops:
            if self._state.stop_notices.add(message):
                self._callbacks.on_stopped(message)

    def _lend_retries(self, request: RetryLoanRequest) -> None:
        lent = self._callbacks.lend_retries(request.service, request.amount)
        if lent:
            loan = RetryLoan(
                self._state.local.node_id,
                request.service,
                lent,
                request.requested_at,
            )
            self._transport.send(request.address, loan)

    def _send_config(self, request: ConfigAsk) -> None:
        config = self._callbacks.read_config()
        if config is None or config.version <= request.version:
            return
        node_id = self._state.local.node_id
        packed = self._copies.packed_for_peer(config)
        response: ConfigCopy | ConfigBusy = ConfigBusy(node_id)
        if packed is not None:
            response = ConfigCopy(node_id, config.version, packed)
        self._transport.send(request.address, response)

    def _receive_config(self, copy: ConfigCopy) -> None:
        config = self._callbacks.read_config()
        if config is not None and config.version >= copy.version:
            return
        try:
            self._callbacks.on_config(unpack_config(copy.packed))
        except CorruptObjectError as error:
            log_decision(
                'config_refused',
                sender=copy.sender,
                version=copy.version,
                why=str(error),
            )
