"""Gossip entries and the messages that carry them between nodes."""

import enum
from typing import Any

import attrs
import msgspec

from cranecart.models import Evacuation


class Topic(enum.Enum):
    """What an entry is about.

    MEMBER is a node; REPORT is a node's latest probe result for an instance;
    DEMAND is the demand of a node's clients; SUMMARY is the state of a failure
    domain; CASE is a request that may have ended targets.
    """

    MEMBER = 'member'
    REPORT = 'report'
    DEMAND = 'demand'
    SUMMARY = 'summary'
    CASE = 'case'


class MemberStatus(enum.IntEnum):
    """Status of a node; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class MemberInfo:
    """What a node announces about itself.

    ``evacuations`` is what it knows of evacuated failure domains.
    """

    address: str
    failure_domain: str
    config_version: int = 0
    config_sha256: str = ''
    stopping: bool = False
    evacuations: tuple[Evacuation, ...] = ()


@attrs.frozen
class EntryKey:
    """Key of an entry: its topic, its subject, and the node it comes from."""

    topic: Topic
    subject: str
    origin: str


@attrs.frozen
class Entry:
    """One entry; for each key the highest ``version`` wins.

    A version is (incarnation of the origin, status, sequence number). The
    status is 0 except in member entries, where other nodes may raise it.
    """

    key: EntryKey
    version: tuple[int, int, int]
    body: Any

    @property
    def status(self) -> MemberStatus:
        """Return the status of a member entry."""
        return MemberStatus(self.version[1])


class MessageKind(enum.Enum):
    """Type of a gossip message.

    An INDIRECT_PING asks the receiver to ping a third node.
    """

    PING = 'ping'
    ACK = 'ack'
    INDIRECT_PING = 'ping for me'
    SYNC = 'sync'
    CONFIG_REQUEST = 'config ask'
    CONFIG_RESPONSE = 'config give'
    LIST_REQUEST = 'list ask'
    LIST_RESPONSE = 'list give'


@attrs.frozen(kw_only=True)
class Message:
    """One message between nodes.

    ``number`` matches an acknowledgement with its ping, or is the version of a
    configuration; ``about`` names the node to ping in an indirect ping, or is
    the SHA-256 of a configuration. ``digest`` is that of the sender's store.
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
