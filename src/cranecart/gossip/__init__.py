"""Gossip between nodes: SWIM-style membership and replicated entries.

The nodes of ``cranecart.node`` use it.
"""

from cranecart.gossip._config_exchange import ConfigExchange, EncodedConfig
from cranecart.gossip._entries import (
    Entry,
    EntryKey,
    MemberInfo,
    MemberStatus,
    Message,
    Topic,
    decode_message,
    encode_message,
)
from cranecart.gossip._list_exchange import ListExchange
from cranecart.gossip._members import Members
from cranecart.gossip._protocol import (
    GossipCallbacks,
    GossipProtocol,
    GossipSettings,
    PayloadExchanges,
)
from cranecart.gossip._rendezvous import choose_nodes
from cranecart.gossip._sender import GossipSender
from cranecart.gossip._store import EntryStore
from cranecart.transport import PeerTransport

__all__ = (
    'ConfigExchange',
    'Entry',
    'EntryKey',
    'EntryStore',
    'PayloadExchanges',
    'EncodedConfig',
    'ListExchange',
    'MemberInfo',
    'MemberStatus',
    'Message',
    'Members',
    'GossipCallbacks',
    'GossipSettings',
    'GossipProtocol',
    'GossipSender',
    'Topic',
    'choose_nodes',
    'decode_message',
    'encode_message',
    'PeerTransport',
)
