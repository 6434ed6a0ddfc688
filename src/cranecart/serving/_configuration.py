"""The configuration in force: versions only rise."""

from collections.abc import Callable, Mapping

import attrs

from cranecart.logs import decision
from cranecart.models import RouteConfig


@attrs.define
class ForceConfig:
    """Holds the newest configuration that this process has seen."""

    _changed: list[Callable[[RouteConfig], None]] = attrs.field(
        factory=list,
        init=False,
    )
    _config: RouteConfig | None = attrs.field(default=None, init=False)

    def current(self) -> RouteConfig | None:
        """Return the configuration in force, if there is one yet."""
        return self._config

    def on_change(self, tell: Callable[[RouteConfig], None]) -> None:
        """Have something told of each new version."""
        self._changed.append(tell)

    def take_from_store(
        self,
        items: Mapping[str, RouteConfig | None],
        is_whole: bool,
    ) -> None:
        """Take over what the operator's row holds."""
        for config in items.values():
            if config is not None:
                self._take(config, 'store')

    def take_from_peer(self, config: RouteConfig) -> None:
        """Take over what another node has in force."""
        self._take(config, 'peer')

    def _take(self, config: RouteConfig, source: str) -> None:
        known = self._config.version if self._config else 0
        if config.version <= known:
            return
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
