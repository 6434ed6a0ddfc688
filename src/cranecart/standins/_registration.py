"""Enter a stand-in instance in the stand-in platform's list."""

import logging

import attrs
import curio
import msgspec

from cranecart.exceptions import HttpError
from cranecart.http import Address, Request, exchange

_LOG = logging.getLogger(__name__)
_CALL_SECONDS = 5.0
_RETRY_SECONDS = 0.2


@attrs.frozen
class ListEntry:
    """What the platform's list says of an instance."""

    id: str
    kind: str
    host: str
    port: int
    failure_domain: str = ''
    fabric_domain: str = ''
    service: str = ''


async def register(platform: Address, entry: ListEntry) -> None:
    """Enter an instance in the list, however late the platform starts.

    Entering it again changes nothing, so that a call is repeated that may have
    been carried out.
    """
    request = Request(
        'POST', '/standin/instances', body=msgspec.json.encode(entry)
    )
    while not await _is_accepted(platform, request):
        await curio.sleep(_RETRY_SECONDS)


async def _is_accepted(platform: Address, request: Request) -> bool:
    try:
        response = await exchange(platform, request, _CALL_SECONDS)
    except HttpError as error:
        _LOG.warning('cannot register yet: %s', error)
        return False
    if not response.is_success:
        _LOG.warning('cannot register yet: status %s', response.status)
    return response.is_success
