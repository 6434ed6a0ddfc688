"""The configuration in force on this node; its version only ever rises."""

import hashlib

import attrs

from cranecart.declarations import Declarations, compiled_from_json
from cranecart.exceptions import DamagedObjectError
from cranecart.logs import decision


@attrs.frozen
class Release:
    """An accepted version and the checksum of what it says."""

    version: int
    sha256: str


@attrs.define
class ActiveConfig:
    """Holds one release and what it says."""

    _release: Release = attrs.field(
        factory=lambda: Release(0, ''),
        init=False,
    )
    _declarations: Declarations | None = attrs.field(default=None, init=False)
    _encoded: bytes = attrs.field(default=b'', init=False)

    @property
    def release(self) -> Release:
        """Return the release in force; version 0 before the first."""
        return self._release

    @property
    def encoded(self) -> bytes:
        """Return the compiled declarations as they were stored."""
        return self._encoded

    def declarations(self) -> Declarations | None:
        """Return the declarations in force, if any are."""
        return self._declarations

    def activate(self, release: Release, encoded: bytes) -> bool:
        """Take a newer release; return whether it is in force now.

        Raise ``DamagedObjectError`` for bytes that do not match it.
        """
        if release.version <= self._release.version:
            return False
        if hashlib.sha256(encoded).hexdigest() != release.sha256:
            raise DamagedObjectError(
                f'version {release.version} does not match its checksum',
            )
        try:
            declarations = compiled_from_json(encoded)
        except ValueError as error:
            raise DamagedObjectError(
                f'version {release.version} cannot be read: {error}',
            ) from error
        self._release = release
        self._encoded = encoded
        self._declarations = declarations
        decision(
            'config_in_force',
            version=release.version,
            sha256=release.sha256,
        )
        return True
