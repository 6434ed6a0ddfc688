"""Settings of a node on the native platform."""

from pathlib import Path
from typing import Self

import attrs

from cranecart.documents import Finding, FindingsError, read_document, structure
from cranecart.http import Address

_POSITIVE = attrs.validators.gt(0)
_STOP_GRACE_MS = 30000
_READY_OFF_MS = 2000


def _check_address(
    _instance: object,
    _attribute: object,
    text: str,
) -> None:
    Address.from_text(text)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings that a process needs before it can contact others."""

    node_id: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str
    client_address: str = attrs.field(validator=_check_address)
    operator_address: str = attrs.field(validator=_check_address)
    peer_address: str = attrs.field(validator=_check_address)
    advertised_peer_address: str = ''
    platform_address: str = attrs.field(validator=_check_address)
    operator_key_sha256: str
    peers: tuple[str, ...] = ()
    stop_grace_ms: float = attrs.field(
        default=_STOP_GRACE_MS, validator=_POSITIVE
    )
    ready_off_ms: float = attrs.field(
        default=_READY_OFF_MS, validator=_POSITIVE
    )
    log_format: str = attrs.field(
        default='json',
        validator=attrs.validators.in_(('json', 'text')),
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(('debug', 'info', 'warning', 'error')),
    )
    routing_policy: str = attrs.field(
        default='two_choices',
        validator=attrs.validators.in_(
            ('two_choices', 'prefix', 'least_loaded'),
        ),
    )
    seed: int = 0

    @classmethod
    def from_file(cls, file: Path) -> Self:
        """Read settings; raise ``FindingsError`` with all errors."""
        document = read_document(file)
        if not isinstance(document.root, dict):
            raise FindingsError(
                [Finding(str(file), 1, 'must be a JSON object')]
            )
        return structure(document, cls)

    @property
    def client_listen_address(self) -> Address:
        """Return the address on which clients are served."""
        return Address.from_text(self.client_address)

    @property
    def operator_listen_address(self) -> Address:
        """Return the address of the admin interface."""
        return Address.from_text(self.operator_address)

    @property
    def reachable_peer_address(self) -> str:
        """Return the peer address at which other nodes reach this one."""
        return self.advertised_peer_address or self.peer_address

    @property
    def platform_endpoint(self) -> Address:
        """Return the address of the platform."""
        return Address.from_text(self.platform_address)
