"""Keys of the offered load, and the tokens of requests."""

import zlib

import attrs

# The organisations whose load is not listed on its own, taken together.
OTHERS = '*'
_CRC_RANGE = 1 << 32  # noqa: WPS432


@attrs.frozen
class OfferedLoad:
    """Key of the load that requests of one kind offer to a model.

    The load is in replica-seconds a second, that is the number of replicas
    that it fully occupies.
    """

    model: str
    rank: int
    organisation: str


def request_token(request_id: str) -> float:
    """Return a number in [0, 1) that is the same for all tries of a request.

    A client that retries at once gets the same decision, so retries do not
    raise a request's chances.
    """
    return zlib.crc32(request_id.encode()) / _CRC_RANGE
