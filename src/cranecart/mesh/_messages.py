"""Messages that the nodes of a deployment send each other."""

import zlib

import msgspec

from cranecart.fleet import SourceUpdate
from cranecart.mesh._retry_messages import RetryLoan, RetryLoanRequest
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.models import Evacuation
from cranecart.ports import ListedInstance, Row


class Stopped(msgspec.Struct, tag='stopped', array_like=True):
    """Notice that no node may send to a replica any more.

    A replica that ``finishes`` still completes its requests in flight; any
    other makes no progress.
    """

    sender: str
    replica: str
    epoch: int
    reason: str
    finishes: bool = False


class Heartbeat(msgspec.Struct, tag='beat', array_like=True):
    """The state that each node sends a few times a second.

    ``requests`` counts those received since the start, ``in_flight`` those in
    progress, by instance. ``placer_domain`` is the failure domain whose placer
    the node is, if any. ``source_versions`` has the version of the last change
    for each source that the node reads from the store over a path known to
    work. ``demand`` is the work that its clients ask for, by model.
    ``recent_stops`` repeats recent notices for nodes that missed them. A heartbeat
    ``via_relays`` is not sent to all nodes. ``evacuations`` has what the node
    knows of failure domains that are or were evacuated. ``offered`` is the load
    that arrives at the node, only while a model is short
    (``cranecart.load_shedding``). ``slow_targets`` has the paces
    of some slow targets in hundredths, by instance id.
    """

    sender: str
    address: str
    failure_domain: str
    config_version: int
    requests: int
    in_flight: dict[str, int]
    placer_domain: str = ''
    source_versions: dict[str, int] = {}
    stopping: bool = False
    demand: dict[str, float] = {}
    recent_stops: list[Stopped] = []
    via_relays: bool = False
    evacuations: list[Evacuation] = []
    offered: dict[str, float] = {}
    slow_targets: dict[str, int] = {}


class Summary(msgspec.Struct, tag='summary', array_like=True):
    """The heartbeats of the nodes of a failure domain, summed up by a relay.

    ``relays`` are the addresses of the nodes that receive the summaries of
    other domains, by name. ``config_addresses`` are those of some nodes that
    have the newest configuration. ``source_readers`` has, for each source, the
    reader that ranks first and the version of the last change. ``evacuations``
    are those that the relay knows, as it learns them from the heartbeats.
    """

    sender: str
    failure_domain: str
    node_count: int
    relays: dict[str, str]
    config_version: int
    config_addresses: list[str]
    has_traffic: bool
    in_flight: dict[str, int]
    placer_address: str = ''
    source_readers: dict[str, tuple[str, int]] = {}
    demand: dict[str, float] = {}
    recent_stops: list[Stopped] = []
    evacuations: list[Evacuation] = []
    offered: dict[str, float] = {}
    slow_targets: dict[str, int] = {}


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """What a relay sends to the nodes of its failure domain.

    ``heartbeat`` is the relay's own. ``summary`` is that of its failure domain and
    includes ``summarized_nodes``. ``other_summaries`` are those of the other
    failure domains, and ``summary_ages`` their ages in seconds.
    """

    heartbeat: Heartbeat
    summary: Summary
    summarized_nodes: list[str]
    summary_ages: list[float]
    other_summaries: list[Summary]


class Suspect(msgspec.Struct, tag='suspect', array_like=True):
    """Evidence that a replica may have stalled, for its placer to check."""

    sender: str
    replica: str
    epoch: int
    evidence: str


class ConfigAsk(msgspec.Struct, tag='config_ask', array_like=True):
    """Request of a node for a configuration newer than ``version``."""

    sender: str
    address: str
    version: int


class ConfigCopy(msgspec.Struct, tag='config_copy', array_like=True):
    """The configuration in force at the sender, in reply to ``ConfigAsk``.

    It is ``packed`` by ``pack_config``, so that a node that has it meanwhile
    need not decode it.
    """

    sender: str
    version: int
    packed: bytes


class ConfigBusy(msgspec.Struct, tag='config_busy', array_like=True):
    """Refusal of ``ConfigAsk``, as too many copies are on their way."""

    sender: str


class ListNews(msgspec.Struct, tag='list_news', array_like=True):
    """Changes of the platform's list of instances, as read by the sender."""

    sender: str
    update: SourceUpdate[ListedInstance]


class RecordNews(msgspec.Struct, tag='record_news', array_like=True):
    """Changes of the rows of replicas and nodes, as read by the sender."""

    sender: str
    update: SourceUpdate[Row]


SourceUpdateMessage = ListNews | RecordNews

# What relays forward to the nodes of their failure domain.
ForwardableMessage = (
    SourceUpdateMessage
    | Stopped
    | Broken
    | Leaving
    | RequestCases
    | TargetLimits
)


class Forwarded(msgspec.Struct, tag='forwarded', array_like=True):
    """A message of another failure domain, forwarded by a relay.

    It is not forwarded again. Several relays of a failure domain may be active
    at once, and would otherwise send each other the same message without end.
    """

    message: ForwardableMessage


MeshMessage = (
    Heartbeat
    | Summary
    | Digest
    | Stopped
    | Suspect
    | Broken
    | Leaving
    | RequestCases
    | TargetLimits
    | ConfigAsk
    | ConfigCopy
    | ConfigBusy
    | ListNews
    | RecordNews
    | Forwarded
    | RetryLoanRequest
    | RetryLoan
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MeshMessage)
# A relay sends digests of 16 KB and changes of the list to each node of its
# failure domain, which took most of a link of 100 Mbit/s. Smaller messages
# hardly shrink.
_MIN_COMPRESSED_BYTES = 512
# The first byte of compressed data; encoded messages are arrays, which begin
# with another one.
_COMPRESSED_MARK = 0x78
_FASTEST = 1
_MAX_MESSAGE_BYTES = 16777216


def encode_mesh_message(message: MeshMessage) -> bytes:
    """Encode a message for the wire; compress it if it is large."""
    encoded = _ENCODER.encode(message)
    if len(encoded) < _MIN_COMPRESSED_BYTES:
        return encoded
    return zlib.compress(encoded, _FASTEST)


def decode_mesh_message(encoded: bytes) -> MeshMessage:
    """Decode a message; raise ``msgspec.MsgspecError`` for anything else."""
    if encoded and encoded[0] == _COMPRESSED_MARK:
        encoded = _decompress(encoded)
    return _DECODER.decode(encoded)


def _decompress(compressed: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(compressed, _MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(
            f'cannot decompress a message: {error}'
        ) from error
