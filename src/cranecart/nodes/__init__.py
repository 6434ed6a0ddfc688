"""Other nodes as peers: membership and the state that nodes share."""

from cranecart.links._link import NodeLink
from cranecart.nodes._config_exchange import ConfigExchange, HeldConfig
from cranecart.nodes._entries import (
    Entry,
    EntryKey,
    MemberInfo,
    MemberStatus,
    Message,
    Topic,
    decode_message,
    encode_message,
)
from cranecart.nodes._list_exchange import ListExchange
from cranecart.nodes._members import Members
from cranecart.nodes._peers import Exchanges, PeerEvents, Peers, PeerSettings
from cranecart.nodes._sharing import choose_nodes
from cranecart.nodes._speaker import Speaker
from cranecart.nodes._store import EntryStore

__all__ = (
    'ConfigExchange',
    'Entry',
    'EntryKey',
    'EntryStore',
    'Exchanges',
    'HeldConfig',
    'ListExchange',
    'MemberInfo',
    'MemberStatus',
    'Message',
    'Members',
    'PeerEvents',
    'PeerSettings',
    'Peers',
    'Speaker',
    'Topic',
    'choose_nodes',
    'decode_message',
    'encode_message',
    'NodeLink',
)
