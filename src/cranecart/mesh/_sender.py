"""Tell the others of this node, and a relay of what it has heard."""

import attrs

from cranecart.mesh._messages import (
    Beat,
    ConfigAsk,
    Digest,
    MeshMessage,
    Summary,
)
from cranecart.mesh._peer_state import Totals
from cranecart.mesh._state import MeshCallbacks, MeshState
from cranecart.transport import PeerTransport

# How long the store may be ahead of a node before it asks another node, and how
# long it waits for an answer: asked with each beat, one of half a megabyte was
# sent four times a second.
_CONFIG_LAG_SECONDS = 0.3
_ASK_AGAIN_SECONDS = 1.0


@attrs.define
class MessageSender:
    """Sends beats to all in a small deployment, by relays in a larger one."""

    _state: MeshState
    _transport: PeerTransport[MeshMessage]
    _callbacks: MeshCallbacks
    _behind_since: float | None = attrs.field(default=None, init=False)

    def build_beat(self) -> Beat:
        """Return what this node tells of itself now."""
        self._callbacks.refresh_local_state()
        local = self._state.local
        config = self._callbacks.read_config()
        return Beat(
            local.node_id,
            local.address,
            local.failure_domain,
            config.version if config else 0,
            local.requests,
            {
                name: count
                for name, count in self._callbacks.read_in_flight().items()
                if count
            },
            local.placer_domain,
            local.source_versions,
            local.stopping,
            local.demand,
            self._state.notices.recent(),
            self._state.roster.uses_relays,
        )

    def send_beat(self, *, include_silent: bool) -> None:
        """Send a beat to whom it concerns, or relay."""
        roster = self._state.roster
        beat = self.build_beat()
        self._state.others.told = beat
        if beat.via_relays:
            self._tell_relays(beat, include_silent=include_silent)
        else:
            everyone = roster.everyone(include_silent=include_silent)
            self._transport.send_all(everyone, beat)

    def publish(self, message: MeshMessage, *, include_silent: bool) -> None:
        """Tell all, in a larger deployment by the relays of other domains."""
        roster = self._state.roster
        if roster.uses_relays:
            beside = roster.beside(include_silent=include_silent)
            far = roster.far_relays(include_silent=include_silent)
            self._transport.send_all((*beside, *far), message)
        else:
            everyone = roster.everyone(include_silent=True)
            self._transport.send_all(everyone, message)

    def ask_for_config(self) -> None:
        """Ask another node for a configuration that the store withholds."""
        config = self._callbacks.read_config()
        version = config.version if config else 0
        newest_version, address = self._state.others.totals().newest_config
        if newest_version <= version:
            self._behind_since = None
            return
        now = self._state.clock()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _CONFIG_LAG_SECONDS:
            local = self._state.local
            ask = ConfigAsk(local.node_id, local.address, version)
            self._transport.send(address, ask)
            self._behind_since = now + _ASK_AGAIN_SECONDS - _CONFIG_LAG_SECONDS

    def _tell_relays(self, beat: Beat, *, include_silent: bool) -> None:
        roster = self._state.roster
        if roster.is_speaking() and not beat.stopping:
            self._relay(beat, include_silent=include_silent)
        elif beat.placer_domain:
            # Who waits for this duty hears its holder itself.
            beside = roster.beside(include_silent=include_silent)
            self._transport.send_all(beside, beat)
        else:
            self._transport.send_all(roster.next_relays(), beat)

    def _relay(self, own_beat: Beat, *, include_silent: bool) -> None:
        """Tell the own failure domain all, and the others a summary."""
        roster = self._state.roster
        beats = [own_beat, *self._state.others.beside()]
        summary = self._summary(beats)
        beside = roster.beside(include_silent=include_silent)
        self._transport.send_all(beside, self._digest(beats, summary))
        far = roster.far_relays(include_silent=include_silent)
        self._transport.send_all(far, summary)

    def _digest(self, beats: list[Beat], summary: Summary) -> Digest:
        now = self._state.clock()
        told = [
            one
            for domain, one in self._state.others.summaries().items()
            if domain != summary.failure_domain
        ]
        return Digest(
            beats[0],
            summary,
            [beat.sender for beat in beats],
            [round(now - one.at, 3) for one in told],
            [one.summary for one in told],
        )

    def _summary(self, beats: list[Beat]) -> Summary:
        own_beat = beats[0]
        roster = self._state.roster
        totals = Totals()
        # Rather another node than the relay is asked for the configuration.
        for beat in reversed(beats):
            totals.add_beat(beat)
        version, address = totals.newest_config
        return Summary(
            own_beat.sender,
            own_beat.failure_domain,
            totals.node_count,
            {
                name: own_beat.address
                if name == own_beat.sender
                else roster.peers[name].address
                for name in roster.relays()
            },
            version,
            address,
            own_beat.requests > 0 or self._state.others.has_traffic,
            dict(totals.in_flight),
            totals.placer_addresses.get(own_beat.failure_domain, ''),
            {
                source: (min(told)[0], max(version for _name, version in told))
                for source, told in totals.source_readers.items()
            },
            dict(totals.demand),
            own_beat.recent_stops,
        )
