"""The active configuration of a node."""

import hashlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.declarations import Declarations, compiled_to_json
from cranecart.exceptions import CorruptObjectError
from cranecart.rollout import ActiveConfig, Release

_ENCODED = compiled_to_json(Declarations('d', 'r', ('a',)))
_SHA256 = hashlib.sha256(_ENCODED).hexdigest()


class ActiveConfigTest(unittest.TestCase):
    """Which releases are activated and which are refused."""

    @given(st.lists(st.integers(0, 9)))
    def test_version_never_decreases(self, versions: list[int]) -> None:
        """Releases may arrive in any order."""
        active_config = ActiveConfig()
        for version in versions:
            before = active_config.release.version
            active_config.activate(Release(version, _SHA256), _ENCODED)
            self.assertEqual(
                active_config.release.version, max(before, version)
            )

    @given(st.binary())
    def test_damaged_bytes_are_refused(self, damage: bytes) -> None:
        """The active release stays in effect."""
        active_config = ActiveConfig()
        active_config.activate(Release(1, _SHA256), _ENCODED)
        with self.assertRaises(CorruptObjectError):
            damaged = b'%b%bx' % (_ENCODED, damage)
            active_config.activate(Release(2, _SHA256), damaged)
        self.assertEqual(active_config.release.version, 1)
        self.assertIsNotNone(active_config.declarations())

    def test_other_declarations_are_refused(self) -> None:
        """Valid declarations that do not match the accepted checksum."""
        other = compiled_to_json(Declarations('other', 'r', ('a',)))
        with self.assertRaises(CorruptObjectError):
            ActiveConfig().activate(Release(1, _SHA256), other)

    def test_undecodable_bytes_are_refused(self) -> None:
        """A matching checksum is not enough if the contents cannot be decoded."""
        sha256 = hashlib.sha256(b'{}').hexdigest()
        with self.assertRaises(CorruptObjectError):
            ActiveConfig().activate(Release(1, sha256), b'{}')
