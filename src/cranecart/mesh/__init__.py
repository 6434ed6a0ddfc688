"""Other nodes of a deployment: beats, evidence, newer configuration."""

from cranecart.mesh._mesh import Mesh, MeshEvents, OwnState, PeerNode
from cranecart.mesh._messages import (
    Beat,
    ConfigAsk,
    ConfigGive,
    ListNews,
    MeshMessage,
    RecordNews,
    Stopped,
    Suspect,
    decode_mesh_message,
    encode_mesh_message,
)

__all__ = (
    'Beat',
    'ConfigAsk',
    'ConfigGive',
    'ListNews',
    'Mesh',
    'MeshEvents',
    'MeshMessage',
    'OwnState',
    'PeerNode',
    'RecordNews',
    'Stopped',
    'Suspect',
    'decode_mesh_message',
    'encode_mesh_message',
)
