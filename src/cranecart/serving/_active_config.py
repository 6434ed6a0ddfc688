"""The configuration in force: versions only rise."""

from collections.abc import Callable, Mapping

import attrs

from cranecart.logs import decision
from cranecart.models import RouteConfig


@attrs.define
class ActiveRouteConfig:
    """Holds the newest configuration that this process has seen."""

    _changed: list[Callable[[RouteConfig], None]] = attrs.field(
        factory=list,
        init=False,
    )
    _config: RouteConfig | None = attrs.field(default=None, init=False)

    def current(self) -> RouteConfig | None:
        """Return the configuration in force, if there is one yet."""
        return self._config

    def subscribe(self, tell: Callable[[RouteConfig], None]) -> None:
        """Have something told of each new version."""
        self._changed.append(tell)

    def apply_from_store(
        self,
        items: Mapping[str, RouteConfig | None],
        is_whole: bool,
    ) -> None:
        """Take over what the operator's row holds.

        Its version may be given out again after the store has come back from a
        copy that lacked it; what the operator has written then counts.
        """
        for config in items.values():
            if config is not None:
                known = self._config.version if self._config else 0
                if config.version > known or self._is_rewritten(config):
                    self._take(config, 'store')

    def apply_from_peer(self, config: RouteConfig) -> None:
        """Take over what another node has in force."""
        known = self._config.version if self._config else 0
        if config.version > known:
            self._take(config, 'peer')

    def _is_rewritten(self, config: RouteConfig) -> bool:
        known = self._config
        if known is None or config.version != known.version:
            return False
        return config != known

    def _take(self, config: RouteConfig, source: str) -> None:
        known = self._config.version if self._config else 0
        self._config = config
        decision(
            'config_in_force',
            version=config.version,
            earlier=known,
            source=source,
            routes=len(config.routes),
        )
        for tell in self._changed:
            tell(config)
