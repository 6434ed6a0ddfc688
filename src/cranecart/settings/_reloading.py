"""Reload changed settings while a process runs."""

from collections.abc import Callable
from pathlib import Path

import attrs

from cranecart.clocks import since_boot
from cranecart.documents import FindingsError
from cranecart.logs import log_decision
from cranecart.settings._serving import ServingSettings

# Settings that a running process can apply. The others concern its identity and
# addresses, and need a restart.
_RELOADABLE = frozenset(
    (
        'retry_ratio',
        'retry_slack',
        'retry_window_seconds',
        'stall_ms',
        'stop_grace_seconds',
        'log_successes',
        'log_level',
        'first_start',
    ),
)
_CHECK_INTERVAL_SECONDS = 1.0


@attrs.define
class LiveSettings:
    """The current settings and the file that they are read from."""

    current: ServingSettings
    _file: Path
    _clock: Callable[[], float] = since_boot
    _last_stamp: tuple[int, int] | None = attrs.field(default=None, init=False)
    _checked_at: float = attrs.field(default=float('-inf'), init=False)

    def reload_if_changed(self) -> bool:
        """Reload the file if it changed; return whether settings changed."""
        if self._clock() - self._checked_at < _CHECK_INTERVAL_SECONDS:
            return False
        self._checked_at = self._clock()
        earlier = self._last_stamp
        self._last_stamp = self._stamp()
        if earlier is None or self._last_stamp in {None, earlier}:
            return False
        return self.reload('the file has changed')

    def reload(self, why: str) -> bool:
        """Read the file; return whether settings changed.

        An invalid file changes nothing.
        """
        try:
            reread = ServingSettings.from_file(self._file)
        except (FindingsError, OSError) as error:
            log_decision('settings_refused', why=str(error))
            return False
        changed = _differing_fields(self.current, reread)
        reloadable = changed & _RELOADABLE
        log_decision(
            'settings_read',
            why=why,
            taken_up=sorted(reloadable),
            at_next_start=sorted(changed - _RELOADABLE),
        )
        self.current = attrs.evolve(
            self.current,
            **{name: getattr(reread, name) for name in reloadable},
        )
        return bool(reloadable)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self._file.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


def _differing_fields(
    first: ServingSettings, second: ServingSettings
) -> set[str]:
    first_fields = attrs.asdict(first)
    second_fields = attrs.asdict(second)
    return {
        name
        for name, setting in first_fields.items()
        if setting != second_fields[name]
    }
