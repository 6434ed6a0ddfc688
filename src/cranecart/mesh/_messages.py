"""What the nodes of a deployment tell each other directly."""

import msgspec

from cranecart.fleet import News
from cranecart.mesh._target_messages import (
    Broken,
    Leaving,
    RequestCases,
    TargetLimits,
)
from cranecart.models import RouteConfig
from cranecart.ports import ListedInstance, Row


class Stopped(msgspec.Struct, tag='stopped', array_like=True):
    """A replica that nobody should send to any more.

    One that ``finishes`` still ends what it has; any other stands still.
    """

    sender: str
    replica: str
    epoch: int
    reason: str
    finishes: bool = False


class Beat(msgspec.Struct, tag='beat', array_like=True):
    """What each node tells of itself a few times a second.

    ``in_flight`` counts its requests by the instance that has them;
    ``places`` names the failure domain whose placer it is, if it is one.
    ``announced`` holds, for each source that it reads from the store over a
    path known to be good, the version of the last change. ``demand`` is the
    work that its clients want of each model. ``stopped`` repeats what was
    said lately, for those whom it has not reached. One ``via_relays`` does
    not go to all nodes.
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


class Summary(msgspec.Struct, tag='summary', array_like=True):
    """What the nodes of a failure domain tell, as a relay sums it up.

    ``relays`` are the addresses of those that take in what others tell;
    ``announced`` holds the first name among a source's readers and the
    version of the last change; ``placer`` is the address of the placer.
    """

    sender: str
    failure_domain: str
    node_count: int
    relays: dict[str, str]
    config_version: int
    config_address: str
    has_traffic: bool
    in_flight: dict[str, int]
    placer_address: str = ''
    source_readers: dict[str, tuple[str, int]] = {}
    demand: dict[str, float] = {}
    recent_stops: list[Stopped] = []


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """What a relay tells the nodes of its failure domain.

    ``beat`` is its own; ``heard`` names those that ``own`` sums up,
    ``others`` are the summaries of other failure domains, ``ages`` the
    seconds since it heard each.
    """

    beat: Beat
    summary: Summary
    summarized_nodes: list[str]
    summary_ages: list[float]
    other_summaries: list[Summary]


class Suspect(msgspec.Struct, tag='suspect', array_like=True):
    """Evidence that a replica may stand still, for its placer to look at."""

    sender: str
    replica: str
    epoch: int
    evidence: str


class ConfigAsk(msgspec.Struct, tag='config_ask', array_like=True):
    """A node without the newest configuration asks one that has it."""

    sender: str
    address: str
    version: int


class ConfigGive(msgspec.Struct, tag='config_give', array_like=True):
    """The configuration in force at the sender."""

    sender: str
    config: RouteConfig


class ListNews(msgspec.Struct, tag='list_news', array_like=True):
    """Changes of the platform's list that the sender has read."""

    sender: str
    news: News[ListedInstance]


class RecordNews(msgspec.Struct, tag='record_news', array_like=True):
    """Changes of the rows of replicas and nodes that the sender has read."""

    sender: str
    news: News[Row]


SourceNews = ListNews | RecordNews

MeshMessage = (
    Beat
    | Summary
    | Digest
    | Stopped
    | Suspect
    | Broken
    | Leaving
    | RequestCases
    | TargetLimits
    | ConfigAsk
    | ConfigGive
    | ListNews
    | RecordNews
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MeshMessage)


def encode_mesh_message(message: MeshMessage) -> bytes:
    """Encode a message for the wire."""
    return _ENCODER.encode(message)


def decode_mesh_message(encoded: bytes) -> MeshMessage:
    """Decode a message; raise ``msgspec.MsgspecError`` for anything else."""
    return _DECODER.decode(encoded)
