"""Bring newer configuration from peer to peer, also without the platform."""

from collections.abc import Callable

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.exceptions import DamagedObjectError
from cranecart.gossip._entries import (
    Entry,
    MemberInfo,
    Message,
    MessageKind,
)
from cranecart.gossip._sender import GossipSender
from cranecart.logs import decision

_ASK_SECONDS = 0.3


@attrs.frozen
class HeldConfig:
    """The configuration in force on a node, as it was stored."""

    version: int
    sha256: str
    encoded: bytes


@attrs.define
class ConfigExchange:
    """Asks whoever announces a newer version, and gives to whoever asks."""

    _speaker: GossipSender
    _read: Callable[[], HeldConfig]
    _take: Callable[[HeldConfig], object]
    _asked_at: float = attrs.field(default=float('-inf'), init=False)

    def look_at(self, entry: Entry) -> None:
        """Ask for a newer version that a member entry announces."""
        info = msgspec.convert(entry.body, MemberInfo)
        self._ask_if_newer(info)

    def look_around(self) -> None:
        """Ask again if another node is still ahead, as asking may be lost."""
        others = self._speaker.members.others().values()
        newest = max(
            others,
            key=lambda info: info.config_version,
            default=None,
        )
        if newest is not None:
            self._ask_if_newer(newest)

    def give(self, message: Message) -> None:
        """Answer a node that asked."""
        held = self._read()
        if held.version:
            self._speaker.send(
                message.address,
                MessageKind.CONFIG_GIVE,
                number=held.version,
                about=held.sha256,
                payload=held.encoded,
            )

    def receive(self, message: Message) -> None:
        """Take what a node gave, unless it is damaged or not newer."""
        held = HeldConfig(message.number, message.about, message.payload)
        try:
            self._take(held)
        except DamagedObjectError as error:
            decision(
                'config_refused',
                sender=message.sender,
                version=held.version,
                why=str(error),
            )

    def _ask_if_newer(self, info: MemberInfo) -> None:
        now = since_boot()
        is_newer = info.config_version > self._read().version
        if is_newer and now - self._asked_at > _ASK_SECONDS:
            self._asked_at = now
            self._speaker.send(info.address, MessageKind.CONFIG_ASK)
