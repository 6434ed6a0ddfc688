"""The active configuration, which is only replaced by newer versions."""

from collections.abc import Callable, Mapping

import attrs

from cranecart.logs import log_decision
from cranecart.models import ColdStart, RouteConfig


@attrs.define
class ActiveRouteConfig:
    """Holds the newest configuration that this process has received."""

    _subscribers: list[Callable[[RouteConfig], None]] = attrs.field(
        factory=list,
        init=False,
    )
    _config: RouteConfig | None = attrs.field(default=None, init=False)

    def current(self) -> RouteConfig | None:
        """Return the active configuration, if there is one yet."""
        return self._config

    def cold_start(self, service: str) -> ColdStart | None:
        """Return how cold targets of a service are loaded, if it says so."""
        return (
            None if self._config is None else self._config.cold_start(service)
        )

    def subscribe(self, callback: Callable[[RouteConfig], None]) -> None:
        """Register a callback for each new configuration."""
        self._subscribers.append(callback)

    def apply_from_store(
        self,
        items: Mapping[str, RouteConfig | None],
        is_complete: bool,
    ) -> None:
        """Activate the configuration in the operator's row, if it is newer.

        A store that was restored from a backup may issue a version again. If
        the content under the active version differs, the operator has written
        it since, and it is activated as well.
        """
        for config in items.values():
            if config is not None:
                known = self._config.version if self._config else 0
                if config.version > known or self._is_rewritten(config):
                    self._activate(config, 'store')

    def apply_from_peer(self, config: RouteConfig) -> None:
        """Activate the configuration of another node, if it is newer."""
        known = self._config.version if self._config else 0
        if config.version > known:
            self._activate(config, 'peer')

    def _is_rewritten(self, config: RouteConfig) -> bool:
        known = self._config
        if known is None or config.version != known.version:
            return False
        return config != known

    def _activate(self, config: RouteConfig, source: str) -> None:
        known = self._config.version if self._config else 0
        self._config = config
        log_decision(
            'config_in_force',
            version=config.version,
            earlier=known,
            source=source,
            routes=len(config.routes),
        )
        for callback in self._subscribers:
            callback(config)
