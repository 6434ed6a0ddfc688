"""What the nodes of a deployment tell each other directly."""

import msgspec

from cranecart.fleet import News
from cranecart.models import RouteConfig
from cranecart.ports import ListedInstance, Row


class Beat(msgspec.Struct, tag='beat'):
    """What each node tells all others a few times a second.

    ``in_flight`` counts its requests by the instance that has them;
    ``places`` names the failure domain whose placer it is, if it is one.
    ``announced`` holds, for each source that it reads from the store over a
    path known to be good, the version of the last change. ``demand`` is the
    work that its clients want of each model.
    """

    sender: str
    address: str
    failure_domain: str
    config_version: int
    requests: int
    in_flight: dict[str, int]
    places: str = ''
    announced: dict[str, int] = {}
    stopping: bool = False
    demand: dict[str, float] = {}


class Stopped(msgspec.Struct, tag='stopped'):
    """A replica that nobody should send to any more.

    One that ``finishes`` still ends what it has; any other stands still.
    """

    sender: str
    replica: str
    epoch: int
    reason: str
    finishes: bool = False


class Suspect(msgspec.Struct, tag='suspect'):
    """Evidence that a replica may stand still, for its placer to look at."""

    sender: str
    replica: str
    epoch: int
    evidence: str


class ConfigAsk(msgspec.Struct, tag='config_ask'):
    """A node without the newest configuration asks one that has it."""

    sender: str
    address: str
    version: int


class ConfigGive(msgspec.Struct, tag='config_give'):
    """The configuration in force at the sender."""

    sender: str
    config: RouteConfig


class ListNews(msgspec.Struct, tag='list_news'):
    """Changes of the platform's list that the sender has read."""

    sender: str
    news: News[ListedInstance]


class RecordNews(msgspec.Struct, tag='record_news'):
    """Changes of the rows of replicas and nodes that the sender has read."""

    sender: str
    news: News[Row]


MeshMessage = (
    Beat | Stopped | Suspect | ConfigAsk | ConfigGive | ListNews | RecordNews
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MeshMessage)


def encode_mesh_message(message: MeshMessage) -> bytes:
    """Encode a message for the wire."""
    return _ENCODER.encode(message)


def decode_mesh_message(encoded: bytes) -> MeshMessage:
    """Decode a message; raise ``msgspec.MsgspecError`` for anything else."""
    return _DECODER.decode(encoded)
