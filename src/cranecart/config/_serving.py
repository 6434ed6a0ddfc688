"""Settings of a node that serves on a deployment's platform."""

from pathlib import Path
from typing import Self

import attrs

from cranecart.config._source import Finding, FindingsError, read_document
from cranecart.config._structure import structure
from cranecart.http import Address

# What both users' sheets say today; their platforms' settings are used.
_WINDOW_MS = 10000
_STALL_MS = 4000
_GRACE_MS = 8000
# Enough ordinary requests to compare a failed one with.
_LOGGED_SHARE = 0.05
_POSITIVE = attrs.validators.gt(0)


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


@attrs.frozen(kw_only=True)
class ServingSettings:
    """What one process must know before it can ask anybody anything.

    ``first_start`` holds only when the whole deployment starts for the first
    time. The retry figures bound repeated sends over all nodes together:
    ``retry_slack`` and ``retry_ratio`` of the requests in each window.
    ``stall_ms`` is how long a replica without a member stands still before
    it is broken, ``stop_grace_ms`` how long a stopping process is left.
    ``log_successes`` is the share of ordinary requests that are logged.
    """

    node_id: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domains: tuple[str, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    client_address: str = _address_field()
    ready_address: str = _address_field()
    peer_address: str = _address_field()
    metrics_address: str = _address_field()
    platform_address: str = _address_field()
    first_start: bool = False
    retry_ratio: float = attrs.field(
        default=0.1, validator=attrs.validators.ge(0)
    )
    retry_slack: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    retry_window_ms: int = attrs.field(default=_WINDOW_MS, validator=_POSITIVE)
    stall_ms: int = attrs.field(default=_STALL_MS, validator=_POSITIVE)
    stop_grace_ms: int = attrs.field(default=_GRACE_MS, validator=_POSITIVE)
    log_successes: float = attrs.field(
        default=_LOGGED_SHARE,
        validator=[attrs.validators.ge(0), attrs.validators.le(1)],
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(('debug', 'info', 'warning', 'error')),
    )

    @classmethod
    def from_file(cls, file: Path) -> Self:
        """Read settings; raise ``FindingsError`` with all that is wrong.

        Unknown fields are ignored, as a platform may write more.
        """
        document = read_document(file)
        if not isinstance(document.root, dict):
            raise FindingsError([Finding(str(file), 1, 'must be an object')])
        return structure(document, cls, ignores_unknown=True)
