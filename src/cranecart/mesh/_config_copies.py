"""Copies of the configuration that nodes send each other; no I/O."""

import zlib
from collections.abc import Callable

import attrs
import msgspec

from cranecart.exceptions import CorruptObjectError
from cranecart.models import RouteConfig

# Less than half of the link of a small node (10 Mbit/s), which its clients and
# heartbeats need as well.
_BYTES_PER_SECOND = 500_000
# Copies behind these would arrive after their receivers have asked again.
_MAX_BACKLOG_SECONDS = 0.5
# Several times the largest configuration that the platform stores.
_MAX_UNPACKED_BYTES = 16_777_216


def pack_config(config: RouteConfig) -> bytes:
    """Encode and compress a configuration."""
    return zlib.compress(msgspec.msgpack.encode(config))


def unpack_config(packed: bytes) -> RouteConfig:
    """Reverse ``pack_config``; raise ``CorruptObjectError`` if that fails."""
    unpacking = zlib.decompressobj()
    try:
        encoded = unpacking.decompress(packed, _MAX_UNPACKED_BYTES)
        return msgspec.msgpack.decode(encoded, type=RouteConfig)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise CorruptObjectError(
            f'the configuration of a peer cannot be read: {error}'
        ) from error


@attrs.define
class ConfigCopies:
    """Packs copies for peers, within a share of this node's link.

    All nodes that are behind may ask at the same moment. Those that get no copy
    ask another node, drawn among those that have got one by then.
    """

    _clock: Callable[[], float]
    _packed_config: tuple[RouteConfig, bytes] | None = attrs.field(
        default=None, init=False
    )
    # When the copies so far have left, at the rate above.
    _busy_until: float = attrs.field(default=float('-inf'), init=False)

    def packed_for_peer(self, config: RouteConfig) -> bytes | None:
        """Return a copy to send now, or ``None`` if too many are on their way.

        Several requests are answered from one packed copy.
        """
        now = self._clock()
        if self._busy_until > now + _MAX_BACKLOG_SECONDS:
            return None
        packed = self._pack(config)
        seconds = len(packed) / _BYTES_PER_SECOND
        self._busy_until = max(now, self._busy_until) + seconds
        return packed

    def _pack(self, config: RouteConfig) -> bytes:
        if self._packed_config is None or self._packed_config[0] is not config:
            self._packed_config = (config, pack_config(config))
        return self._packed_config[1]
