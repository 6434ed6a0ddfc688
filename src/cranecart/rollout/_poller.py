"""Follow the head of the history by polling."""

import logging
import random

import attrs
import curio

from cranecart.exceptions import PlatformError
from cranecart.native import PlatformClient
from cranecart.rollout._active_config import ActiveConfig, Release
from cranecart.rollout._history import ConfigHistory

_LOG = logging.getLogger(__name__)
_POLL_SECONDS = 2.0
_JITTER = 0.2


@attrs.define
class ConfigPoller:
    """Polls the head and fetches what it does not have yet."""

    _current: ActiveConfig
    _history: ConfigHistory
    _platform: PlatformClient
    _random: random.Random

    async def run(self) -> None:
        """Poll until cancelled; keep what is in force while it is away."""
        while True:
            try:
                await self.poll()
            except PlatformError as error:
                _LOG.debug('the configuration cannot be read: %s', error)
            jitter = 1 + _JITTER * (self._random.random() - 1 / 2)
            await curio.sleep(_POLL_SECONDS * jitter)

    async def poll(self) -> None:
        """Take the newest release; raise ``PlatformError``."""
        head = await self._history.head()
        if head is not None:
            await self.fetch(head.release)

    async def fetch(self, release: Release) -> None:
        """Fetch a release from the object store if it is newer."""
        if release.version > self._current.release.version:
            self._current.activate(release, await self.read(release))

    async def read(self, release: Release) -> bytes:
        """Return what a release says; raise ``PlatformError``."""
        return await self._platform.get_object(release.sha256)
