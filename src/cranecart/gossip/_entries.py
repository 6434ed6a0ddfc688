"""Entries that nodes spread among each other, and the messages for it."""

import enum
from typing import Any

import attrs
import msgspec


class Topic(enum.Enum):
    """What an entry is about."""

    MEMBER = 'member'
    REPORT = 'report'
    DEMAND = 'demand'
    SUMMARY = 'summary'
    CASE = 'case'


class MemberStatus(enum.IntEnum):
    """What is held of a node; for one incarnation, the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class MemberInfo:
    """What a node says of itself."""

    address: str
    failure_domain: str
    config_version: int = 0
    config_sha256: str = ''
    stopping: bool = False


@attrs.frozen
class EntryKey:
    """An entry's place: a topic, a subject, and who speaks about it."""

    topic: Topic
    subject: str
    origin: str


@attrs.frozen
class Entry:
    """One entry; the higher ``version`` of a key wins.

    A version is (incarnation of the origin, status, sequence). The status is
    that of a member entry, which others may raise, and 0 for all else.
    """

    key: EntryKey
    version: tuple[int, int, int]
    body: Any

    @property
    def status(self) -> MemberStatus:
        """Return the status of a member entry."""
        return MemberStatus(self.version[1])


class MessageKind(enum.Enum):
    """What a message between nodes asks or answers."""

    PING = 'ping'
    ACK = 'ack'
    PING_FOR_ME = 'ping for me'
    SYNC = 'sync'
    CONFIG_ASK = 'config ask'
    CONFIG_GIVE = 'config give'
    LIST_ASK = 'list ask'
    LIST_GIVE = 'list give'


@attrs.frozen(kw_only=True)
class Message:
    """One message between nodes.

    ``number`` ties an acknowledgement to its ping; ``about`` names the node
    that is pinged on somebody's behalf, or the node it is done for.
    """

    kind: MessageKind
    sender: str
    address: str
    failure_domain: str
    number: int = 0
    about: str = ''
    digest: int = 0
    entries: tuple[Entry, ...] = ()
    payload: bytes = b''


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message for the wire."""
    return _ENCODER.encode(message)


def decode_message(encoded: bytes) -> Message:
    """Decode a message; raise ``msgspec.MsgspecError`` for anything else."""
    return _DECODER.decode(encoded)
