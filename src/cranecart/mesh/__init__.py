"""Other nodes of a deployment: beats, evidence, newer configuration."""

from cranecart.mesh._mesh import Mesh, MeshEvents, OwnState, PeerNode
from cranecart.mesh._messages import (
    Beat,
    ConfigAsk,
    ConfigGive,
    MeshMessage,
    Stopped,
    Suspect,
    decode_mesh_message,
    encode_mesh_message,
)

__all__ = (
    'Beat',
    'ConfigAsk',
    'ConfigGive',
    'Mesh',
    'MeshEvents',
    'MeshMessage',
    'OwnState',
    'PeerNode',
    'Stopped',
    'Suspect',
    'decode_mesh_message',
    'encode_mesh_message',
)
