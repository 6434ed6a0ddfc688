"""Grant peers further attempts at the requests that were passed on to them.

The node that a client asked counts the attempts at a request. A peer makes one
and asks before each further one: if it falls silent, that node knows at how many
targets the request may be running.
"""

import contextlib
import uuid
from collections.abc import Callable, Generator

import attrs

from cranecart.exceptions import HttpError
from cranecart.http import Address, Request, exchange

GRANT_PATH = '/attempts'
# A few round trips. Without an answer the origin may have started another
# attempt by itself.
_TIMEOUT_SECONDS = 0.25


@attrs.define
class AttemptGrants:
    """The requests that peers handle for this node.

    ``address`` is where they ask, empty if they cannot. ``granted`` and
    ``denied`` count further attempts since the start.
    """

    address: str = ''
    granted: int = attrs.field(default=0, init=False)
    denied: int = attrs.field(default=0, init=False)
    _calls: dict[str, Callable[[], bool]] = attrs.field(
        factory=dict, init=False
    )

    @contextlib.contextmanager
    def register(self, grant: Callable[[], bool]) -> Generator[str, None, None]:
        """Yield an id by which a peer may ask ``grant`` meanwhile."""
        call_id = uuid.uuid4().hex
        self._calls[call_id] = grant
        try:
            yield call_id
        finally:
            self._calls.pop(call_id)

    def grant(self, call_id: str, age_seconds: float) -> bool:
        """Return whether a peer may make another attempt.

        ``age_seconds`` is how long ago it asked. It may have given up waiting,
        and what was granted would count as used.
        """
        grant = self._calls.get(call_id)
        is_awaited = age_seconds < _TIMEOUT_SECONDS
        is_granted = is_awaited and grant is not None and grant()
        self.granted += is_granted
        self.denied += not is_granted
        return is_granted


async def ask_for_attempt(address: str, call_id: str) -> bool:
    """Return whether the node at an address grants another attempt."""
    if not address:
        return False
    request = Request('POST', GRANT_PATH, {}, call_id.encode())
    try:
        response = await exchange(
            Address.from_text(address), request, _TIMEOUT_SECONDS
        )
    except (HttpError, ValueError):
        return False
    return response.is_success
