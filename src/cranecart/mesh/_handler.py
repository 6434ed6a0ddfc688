"""Take over what other nodes say."""

import attrs

from cranecart.fleet import Extent
from cranecart.logs import decision
from cranecart.mesh._messages import (
    Beat,
    ConfigAsk,
    ConfigGive,
    Digest,
    ListNews,
    MeshMessage,
    RecordNews,
    SourceNews,
    Stopped,
    Summary,
    Suspect,
)
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
    """Sorts messages into what is kept and what somebody has to be told."""

    _state: MeshState
    _transport: PeerTransport[MeshMessage]
    _callbacks: MeshCallbacks
    # The last version of each kind of news that was passed on.
    _passed_on: dict[tuple[type, Extent], int] = attrs.field(
        factory=dict,
        init=False,
    )

    async def take(self, message: MeshMessage) -> None:
        """Take one message over."""
        now = self._state.clock()
        match message:
            case Beat():
                self._take_beat(message)
            case Digest():
                self._take_digest(message, now)
            case Summary():
                self._take_summary(message, now)
            case Stopped():
                self._take_stopped(message)
            case Suspect():
                await self._callbacks.on_suspect(message)
            case Broken() | Leaving() | RequestCases() | TargetLimits():
                self._take_of_targets(message)
            case ListNews() | RecordNews():
                self._take_news(message)
            case ConfigAsk() | ConfigGive():
                self._take_config_message(message)

    def _take_of_targets(
        self,
        message: Broken | Leaving | RequestCases | TargetLimits,
    ) -> None:
        match message:
            case Broken():
                self._pass_on(message, include_silent=False)
                self._callbacks.on_broken(message)
            case Leaving():
                self._pass_on(message, include_silent=False)
                self._callbacks.on_leaving(message)
            case RequestCases():
                if self._callbacks.on_cases(message):
                    self._pass_on(message, include_silent=True)
            case TargetLimits():
                self._pass_on(message, include_silent=False)
                self._callbacks.on_limits(message)

    def _take_news(self, message: SourceNews) -> None:
        kind = (type(message), message.news.extent)
        # Two relays that speak at once hand it to each other as well.
        if message.news.version > self._passed_on.get(kind, -1):
            if self._pass_on(message, include_silent=False):
                self._passed_on[kind] = message.news.version
        match message:
            case ListNews():
                self._callbacks.on_list_news(message.news)
            case RecordNews():
                self._callbacks.on_record_news(message.news)

    def _take_stopped(self, message: Stopped) -> None:
        if self._state.notices.note(message):
            self._pass_on(message, include_silent=True)
        self._callbacks.on_stopped(message)

    def _pass_on(
        self,
        message: SourceNews
        | Stopped
        | Broken
        | Leaving
        | RequestCases
        | TargetLimits,
        *,
        include_silent: bool,
    ) -> bool:
        """Tell the own failure domain what another one's node has told."""
        roster = self._state.roster
        teller = roster.peers.get(message.sender)
        if teller is None or not roster.uses_relays or not roster.is_speaking():
            return False
        if teller.failure_domain == self._state.local.failure_domain:
            return False
        self._transport.send_all(
            roster.beside(include_silent=include_silent), message
        )
        return True

    def _take_beat(self, beat: Beat) -> None:
        self._hear_stopped(beat.recent_stops)
        if beat.stopping:
            self._state.others.drop(beat.sender)
            self._state.roster.stop_relaying(beat.sender)
            return
        if not self._state.others.has_met(beat.sender):
            decision('peer_met', peer=beat.sender, address=beat.address)
        if beat.via_relays:
            self._state.roster.grow()
        peer = PeerNode(beat.address, beat.failure_domain)
        self._state.roster.add(beat.sender, peer)
        self._state.others.take_beat(beat)

    def _take_digest(self, digest: Digest, now: float) -> None:
        domain = digest.summary.failure_domain
        self._take_beat(digest.beat)
        self._state.roster.grow()
        if domain == self._state.local.failure_domain:
            self._state.digest_at = now
            self._state.roster.note_digest(digest)
            self._state.others.take_digest(digest)
            for name, address in digest.summary.relays.items():
                self._meet(name, PeerNode(address, domain))
        self._hear_stopped(digest.summary.recent_stops)
        for age, summary in zip(
            digest.summary_ages, digest.other_summaries, strict=False
        ):
            self._take_summary(summary, now - age)

    def _meet(self, name: str, peer: PeerNode) -> None:
        if name != self._state.local.node_id:
            self._state.roster.add(name, peer)

    def _take_summary(self, summary: Summary, at: float) -> None:
        self._state.roster.grow()
        if summary.failure_domain != self._state.local.failure_domain:
            self._state.others.take_summary(summary, at)
        self._hear_stopped(summary.recent_stops)

    def _hear_stopped(self, repeated: list[Stopped]) -> None:
        for message in repeated:
            if self._state.notices.note(message):
                self._callbacks.on_stopped(message)

    def _take_config_message(self, message: ConfigAsk | ConfigGive) -> None:
        match message:
            case ConfigAsk():
                self._give_config(message)
            case ConfigGive():
                self._callbacks.on_config(message.config)

    def _give_config(self, ask: ConfigAsk) -> None:
        config = self._callbacks.read_config()
        if config is not None and config.version > ask.version:
            give = ConfigGive(self._state.local.node_id, config)
            self._transport.send(ask.address, give)
