"""Poll the platform's list of instances, which may be out of date."""

import logging
from collections.abc import Callable, Sequence

import attrs
import curio

from cranecart.exceptions import PlatformError
from cranecart.instances import Instance
from cranecart.native import PlatformClient

_LOG = logging.getLogger(__name__)
_POLL_INTERVAL_SECONDS = 1.0
_UNKNOWN_VERSION = -1


@attrs.define
class InstanceListPoller:
    """Polls the list; the response is small if the list has not changed."""

    _platform: PlatformClient
    _failure_domain: str | None
    _on_change: Callable[[Sequence[Instance]], None]
    _version: int = attrs.field(default=_UNKNOWN_VERSION, init=False)

    async def run(self) -> None:
        """Poll until cancelled; the last list is kept during an outage."""
        while True:
            try:
                await self._poll()
            except PlatformError as error:
                _LOG.debug('cannot read the list of instances: %s', error)
            await curio.sleep(_POLL_INTERVAL_SECONDS)

    async def _poll(self) -> None:
        listed = await self._platform.instances(
            self._failure_domain,
            self._version,
        )
        self._version = listed.version
        if listed.instances is not None:
            self._on_change(listed.instances)
