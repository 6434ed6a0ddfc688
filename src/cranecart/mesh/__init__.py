"""State exchange between the nodes of a deployment, by periodic heartbeats.

The nodes of ``cranecart.serving`` use it.
"""

from cranecart.mesh._mesh import Mesh
from cranecart.mesh._messages import (
    ConfigAsk,
    ConfigCopy,
    Digest,
    Heartbeat,
    ListNews,
    MeshMessage,
    RecordNews,
    SourceUpdateMessage,
    Stopped,
    Summary,
    Suspect,
    decode_mesh_message,
    encode_mesh_message,
)
from cranecart.mesh._rendezvous import dealt_requests, sharing_node_count
from cranecart.mesh._roster import PeerNode
from cranecart.mesh._slow_targets import SlowTargetReports
from cranecart.mesh._state import LocalState, MeshCallbacks
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)

__all__ = (
    'Heartbeat',
    'Broken',
    'ConfigAsk',
    'ConfigCopy',
    'Digest',
    'Leaving',
    'ListNews',
    'Mesh',
    'MeshCallbacks',
    'MeshMessage',
    'LocalState',
    'PeerNode',
    'RecordNews',
    'RequestCases',
    'SlowTargetReports',
    'SourceUpdateMessage',
    'Stopped',
    'Summary',
    'Suspect',
    'TargetLimits',
    'decode_mesh_message',
    'encode_mesh_message',
    'dealt_requests',
    'sharing_node_count',
)
