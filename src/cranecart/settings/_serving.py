"""Settings of a node that serves on a deployment's platform."""

from pathlib import Path
from typing import Self

import attrs

from cranecart.documents import Finding, FindingsError, read_document, structure
from cranecart.http import Address

# What both users' sheets say today; their platforms' settings are used.
_WINDOW_SECONDS = 10.0
_STALL_MS = 4000.0
_GRACE_SECONDS = 8.0
_LEAVING_MS = 2000.0
_DESCRIPTORS = 4096.0
# A tenth of the requests, as long as nobody says what may be sent again.
_RETRY_RATIO = 0.1
# Enough ordinary requests to compare a failed one with.
_LOGGED_SHARE = 0.05
_NOT_NEGATIVE = attrs.validators.ge(float(0))


def _is_address(
    _instance: object,
    attribute: 'attrs.Attribute[str]',
    found: str,
) -> None:
    try:
        Address.from_text(found)
    except ValueError as error:
        raise ValueError(f'{attribute.name}: {error}') from error


def _address_field() -> str:
    field: str = attrs.field(validator=_is_address)
    return field


def _figure(default: float) -> float:
    # Platforms name whole numbers and fractions alike, and zeros.
    field: float = attrs.field(default=default, validator=_NOT_NEGATIVE)
    return field


@attrs.frozen(kw_only=True)
class ServingSettings:
    """What one process must know before it can ask anybody anything.

    ``first_start`` holds only when the whole deployment starts for the first
    time. The retry figures bound repeated sends over all nodes together:
    ``retry_slack`` and ``retry_ratio`` of the requests in each window.
    ``stall_ms`` is how long a replica without a member stands still before
    it is broken, ``leaving_ms`` how long a leaving instance may still be sent
    requests, ``stop_grace_seconds`` how long a stopping process is left.
    ``max_descriptors`` is how many files and connections it may have open.
    ``log_successes`` is the share of ordinary requests that are logged.
    Figures are in the units that platforms name them in, so that nothing
    has to be worked out where the file is written.
    """

    node_id: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domains: tuple[str, ...] = ()
    client_address: str = _address_field()
    ready_address: str = _address_field()
    peer_address: str = _address_field()
    metrics_address: str = _address_field()
    platform_address: str = _address_field()
    first_start: bool = False
    retry_ratio: float = _figure(_RETRY_RATIO)
    retry_slack: float = _figure(0)
    retry_window_seconds: float = _figure(_WINDOW_SECONDS)
    stall_ms: float = _figure(_STALL_MS)
    leaving_ms: float = _figure(_LEAVING_MS)
    stop_grace_seconds: float = _figure(_GRACE_SECONDS)
    max_descriptors: float = _figure(_DESCRIPTORS)
    log_successes: float = attrs.field(
        default=_LOGGED_SHARE,
        validator=[_NOT_NEGATIVE, attrs.validators.le(1)],
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(('debug', 'info', 'warning', 'error')),
    )

    @classmethod
    def from_file(cls, file: Path) -> Self:
        """Read settings; raise ``FindingsError`` with all that is wrong.

        Unknown fields are ignored, as a platform may write more; what is
        null is read like what is not there, as a platform may know less.
        """
        document = read_document(file)
        if not isinstance(document.root, dict):
            raise FindingsError([Finding(str(file), 1, 'must be an object')])
        told = {
            name: field
            for name, field in document.root.items()
            if field is not None
        }
        return structure(document, cls, found=told, ignores_unknown=True)

    @property
    def all_failure_domains(self) -> tuple[str, ...]:
        """Return those of the whole deployment, each once, the own too."""
        return tuple(
            dict.fromkeys((*self.failure_domains, self.failure_domain)),
        )
