"""Poll for the newest configuration release."""

import logging
import random

import attrs
import curio

from cranecart.exceptions import PlatformError
from cranecart.native import PlatformClient
from cranecart.rollout._active_config import ActiveConfig, Release
from cranecart.rollout._evacuation_table import (
    EVACUATIONS_KEY,
    EvacuationTable,
)
from cranecart.rollout._history import HEAD_KEY, ConfigHistory

_LOG = logging.getLogger(__name__)
_POLL_INTERVAL_SECONDS = 2.0
_JITTER = 0.2


@attrs.define
class ConfigPoller:
    """Polls the head of the history and fetches newer releases.

    The same read shows the evacuations.
    """

    _active_config: ActiveConfig
    _history: ConfigHistory
    _platform: PlatformClient
    _random: random.Random
    _evacuation_table: EvacuationTable

    async def run(self) -> None:
        """Poll until cancelled; keep the active release during outages."""
        while True:
            try:
                await self.poll()
            except PlatformError as error:
                _LOG.debug(
                    'could not read the configuration, will retry: %s', error
                )
            jitter = 1 + _JITTER * (self._random.random() - 1 / 2)
            await curio.sleep(_POLL_INTERVAL_SECONDS * jitter)

    async def poll(self) -> None:
        """Fetch and activate the newest release; raise ``PlatformError``."""
        rows = await self._platform.read_keys([HEAD_KEY, EVACUATIONS_KEY])
        self._evacuation_table.apply(rows.get(EVACUATIONS_KEY))
        head = self._history.head_in(rows)
        if head is not None:
            await self.fetch(head.release)

    async def fetch(self, release: Release) -> None:
        """Fetch and activate a release if it is newer."""
        if release.version > self._active_config.release.version:
            self._active_config.activate(release, await self.read(release))

    async def read(self, release: Release) -> bytes:
        """Return a release's contents; raise ``PlatformError``."""
        return await self._platform.get_object(release.sha256)
