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

    _circle: MeshState
    _link: PeerTransport[MeshMessage]
    _events: MeshCallbacks
    _behind_since: float | None = attrs.field(default=None, init=False)

    def beat(self) -> Beat:
        """Return what this node tells of itself now."""
        self._events.renew_own()
        own = self._circle.own
        config = self._events.read_config()
        return Beat(
            own.node_id,
            own.address,
            own.failure_domain,
            config.version if config else 0,
            own.requests,
            {
                name: count
                for name, count in self._events.in_flight().items()
                if count
            },
            own.places,
            own.announced,
            own.stopping,
            own.demand,
            self._circle.notices.recent(),
            self._circle.roster.is_large,
        )

    def tell(self, *, with_silent: bool) -> None:
        """Send a beat to whom it concerns, or relay."""
        roster = self._circle.roster
        beat = self.beat()
        self._circle.others.told = beat
        if beat.for_relays:
            self._tell_relays(beat, with_silent=with_silent)
        else:
            everyone = roster.everyone(with_silent=with_silent)
            self._link.send_all(everyone, beat)

    def spread(self, message: MeshMessage, *, with_silent: bool) -> None:
        """Tell all, in a larger deployment by the relays of other domains."""
        roster = self._circle.roster
        if roster.is_large:
            beside = roster.beside(with_silent=with_silent)
            far = roster.far_relays(with_silent=with_silent)
            self._link.send_all((*beside, *far), message)
        else:
            everyone = roster.everyone(with_silent=True)
            self._link.send_all(everyone, message)

    def ask_for_config(self) -> None:
        """Ask another node for a configuration that the store withholds."""
        config = self._events.read_config()
        version = config.version if config else 0
        newest, address = self._circle.others.totals().newest
        if newest <= version:
            self._behind_since = None
            return
        now = self._circle.clock()
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= _CONFIG_LAG_SECONDS:
            own = self._circle.own
            ask = ConfigAsk(own.node_id, own.address, version)
            self._link.send(address, ask)
            self._behind_since = now + _ASK_AGAIN_SECONDS - _CONFIG_LAG_SECONDS

    def _tell_relays(self, beat: Beat, *, with_silent: bool) -> None:
        roster = self._circle.roster
        if roster.is_speaking() and not beat.stopping:
            self._relay(beat, with_silent=with_silent)
        elif beat.places:
            # Who waits for this duty hears its holder itself.
            beside = roster.beside(with_silent=with_silent)
            self._link.send_all(beside, beat)
        else:
            self._link.send_all(roster.next_relays(), beat)

    def _relay(self, own: Beat, *, with_silent: bool) -> None:
        """Tell the own failure domain all, and the others a summary."""
        roster = self._circle.roster
        beats = [own, *self._circle.others.beside()]
        summary = self._summary(beats)
        beside = roster.beside(with_silent=with_silent)
        self._link.send_all(beside, self._digest(beats, summary))
        far = roster.far_relays(with_silent=with_silent)
        self._link.send_all(far, summary)

    def _digest(self, beats: list[Beat], summary: Summary) -> Digest:
        now = self._circle.clock()
        told = [
            one
            for domain, one in self._circle.others.summaries().items()
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
        own = beats[0]
        roster = self._circle.roster
        totals = Totals()
        # Rather another node than the relay is asked for the configuration.
        for beat in reversed(beats):
            totals.add_beat(beat)
        version, address = totals.newest
        return Summary(
            own.sender,
            own.failure_domain,
            totals.nodes,
            {
                name: own.address
                if name == own.sender
                else roster.peers[name].address
                for name in roster.relays()
            },
            version,
            address,
            own.requests > 0 or self._circle.others.has_traffic,
            dict(totals.in_flight),
            totals.places.get(own.failure_domain, ''),
            {
                source: (min(told)[0], max(version for _name, version in told))
                for source, told in totals.announced.items()
            },
            dict(totals.demand),
            own.stopped,
        )
