"""The active configuration of this node; its version never decreases."""

import hashlib

import attrs

from cranecart.declarations import Declarations, compiled_from_json
from cranecart.exceptions import CorruptObjectError
from cranecart.logs import log_decision


@attrs.frozen
class Release:
    """An accepted configuration version and the checksum of its contents."""

    version: int
    sha256: str


@attrs.define
class ActiveConfig:
    """The active release and its declarations."""

    _release: Release = attrs.field(
        factory=lambda: Release(0, ''),
        init=False,
    )
    _declarations: Declarations | None = attrs.field(default=None, init=False)
    _encoded: bytes = attrs.field(default=b'', init=False)

    @property
    def release(self) -> Release:
        """Return the active release; version 0 before the first."""
        return self._release

    @property
    def encoded(self) -> bytes:
        """Return the compiled declarations as they were stored."""
        return self._encoded

    def declarations(self) -> Declarations | None:
        """Return the active declarations, if there are any."""
        return self._declarations

    def activate(self, release: Release, encoded: bytes) -> bool:
        """Activate a release if it is newer; return whether it was activated.

        Raise ``CorruptObjectError`` if ``encoded`` does not match its checksum
        or cannot be decoded.
        """
        if release.version <= self._release.version:
            return False
        if hashlib.sha256(encoded).hexdigest() != release.sha256:
            raise CorruptObjectError(
                f'configuration version {release.version} does not match its checksum',
            )
        try:
            declarations = compiled_from_json(encoded)
        except ValueError as error:
            raise CorruptObjectError(
                f'configuration version {release.version} cannot be decoded: {error}',
            ) from error
        self._release = release
        self._encoded = encoded
        self._declarations = declarations
        log_decision(
            'config_in_force',
            version=release.version,
            sha256=release.sha256,
        )
        return True
