"""Take up changed settings while a process runs."""

from collections.abc import Callable
from pathlib import Path

import attrs

from cranecart.clocks import since_boot
from cranecart.documents import FindingsError
from cranecart.logs import log_decision
from cranecart.settings._serving import ServingSettings

# What a running process can take up; the rest says where it listens, who it
# is and whom it asks, and needs a start.
_LIVE = frozenset(
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
_LOOK_SECONDS = 1.0


@attrs.define
class LiveSettings:
    """The settings in force, and the file that they come from."""

    current: ServingSettings
    _file: Path
    _clock: Callable[[], float] = since_boot
    _seen: tuple[int, int] | None = attrs.field(default=None, init=False)
    _looked_at: float = attrs.field(default=float('-inf'), init=False)

    def reload_if_changed(self) -> bool:
        """Read the file if it has changed; return whether settings changed."""
        if self._clock() - self._looked_at < _LOOK_SECONDS:
            return False
        self._looked_at = self._clock()
        earlier = self._seen
        self._seen = self._stamp()
        if earlier is None or self._seen in {None, earlier}:
            return False
        return self.reload('the file has changed')

    def reload(self, why: str) -> bool:
        """Read the file; return whether settings changed.

        A file with mistakes changes nothing.
        """
        try:
            read = ServingSettings.from_file(self._file)
        except (FindingsError, OSError) as error:
            log_decision('settings_refused', why=str(error))
            return False
        changed = _differing(self.current, read)
        live = changed & _LIVE
        log_decision(
            'settings_read',
            why=why,
            taken_up=sorted(live),
            at_next_start=sorted(changed - _LIVE),
        )
        self.current = attrs.evolve(
            self.current,
            **{name: getattr(read, name) for name in live},
        )
        return bool(live)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = self._file.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size


def _differing(one: ServingSettings, other: ServingSettings) -> set[str]:
    ours = attrs.asdict(one)
    theirs = attrs.asdict(other)
    return {name for name, setting in ours.items() if setting != theirs[name]}
