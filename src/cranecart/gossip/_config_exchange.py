"""Fetch newer configuration from peers, even if the platform is down."""

from collections.abc import Callable

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.exceptions import CorruptObjectError
from cranecart.gossip._entries import (
    Entry,
    MemberInfo,
    Message,
    MessageKind,
)
from cranecart.gossip._sender import GossipSender
from cranecart.logs import log_decision

_REQUEST_INTERVAL_SECONDS = 0.3


@attrs.frozen
class EncodedConfig:
    """The configuration in force on a node, in its stored encoding."""

    version: int
    sha256: str
    encoded: bytes


@attrs.define
class ConfigExchange:
    """Requests newer versions that peers announce and answers requests."""

    _sender: GossipSender
    _read_local: Callable[[], EncodedConfig]
    _accept: Callable[[EncodedConfig], object]
    _requested_at: float = attrs.field(default=float('-inf'), init=False)

    def check_member_entry(self, entry: Entry) -> None:
        """Request the configuration if a member entry announces a newer one."""
        info = msgspec.convert(entry.body, MemberInfo)
        self._request_if_newer(info)

    def check_peers(self) -> None:
        """Repeat the request while a peer is ahead; requests may be lost."""
        others = self._sender.members.others().values()
        newest = max(
            others,
            key=lambda info: info.config_version,
            default=None,
        )
        if newest is not None:
            self._request_if_newer(newest)

    def respond(self, message: Message) -> None:
        """Send the local configuration to the node that requested it."""
        config = self._read_local()
        if config.version:
            self._sender.send(
                message.address,
                MessageKind.CONFIG_RESPONSE,
                number=config.version,
                about=config.sha256,
                payload=config.encoded,
            )

    def receive(self, message: Message) -> None:
        """Accept a received configuration unless it is damaged or not newer."""
        config = EncodedConfig(message.number, message.about, message.payload)
        try:
            self._accept(config)
        except CorruptObjectError as error:
            log_decision(
                'config_refused',
                sender=message.sender,
                version=config.version,
                why=str(error),
            )

    def _request_if_newer(self, info: MemberInfo) -> None:
        now = since_boot()
        is_newer = info.config_version > self._read_local().version
        if is_newer and now - self._requested_at > _REQUEST_INTERVAL_SECONDS:
            self._requested_at = now
            self._sender.send(info.address, MessageKind.CONFIG_REQUEST)
