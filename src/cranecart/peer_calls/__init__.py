"""Peer: other nodes, for client requests that this node cannot send itself."""

from cranecart.peer_calls._admission import RETRY_AFTER_SECONDS, PeerAdmission
from cranecart.peer_calls._choice import Peer, PeerChoice
from cranecart.peer_calls._client import PeerAnswer, PeerCall, PeerClient
from cranecart.peer_calls._endpoint import PeerEndpoint
from cranecart.peer_calls._grants import AttemptGrants, ask_for_attempt
from cranecart.peer_calls._knowledge import UNABLE_SECONDS, PeerKnowledge
from cranecart.peer_calls._messages import (
    PeerOutcome,
    PeerRequest,
    decode_peer_request,
    encode_peer_request,
    outcome_of,
    without_outcome,
)

__all__ = (
    'RETRY_AFTER_SECONDS',
    'UNABLE_SECONDS',
    'AttemptGrants',
    'Peer',
    'PeerAdmission',
    'PeerAnswer',
    'PeerCall',
    'PeerChoice',
    'PeerClient',
    'PeerEndpoint',
    'PeerKnowledge',
    'PeerOutcome',
    'PeerRequest',
    'ask_for_attempt',
    'decode_peer_request',
    'outcome_of',
    'encode_peer_request',
    'without_outcome',
)
